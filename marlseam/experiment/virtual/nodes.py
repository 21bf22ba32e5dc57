"""The reducers of simulated nodes: what events they are handed, and who carries out their effects."""

from collections.abc import Callable
from typing import Any

from marlseam import core
from marlseam.experiment.virtual.state import SimulatedNode
from marlseam.experiment.virtual.world import VirtualWorld

EffectHandler = Callable[[SimulatedNode, Any], None]


class NodeRunner:
    """Hands events to the reducers of nodes, and their effects to the handlers.

    Attributes:
        effect_handlers: what carries out effects, by the type of the effect; others have no consequence.
    """

    def __init__(self, world: VirtualWorld) -> None:
        """Make one that handles timers alone."""
        self._world = world
        self.effect_handlers: dict[type, EffectHandler] = {core.SetTimer: self._set_timer}

    def post(self, node: SimulatedNode, event: core.Event) -> None:
        """Hand an event to a node's reducer and carry out its effects."""
        for effect in node.reducer.reduce(self._world.now_ms, event):
            handle = self.effect_handlers.get(type(effect))
            if handle is not None:
                handle(node, effect)

    def post_to_generation(self, node: SimulatedNode, generation: int, event: core.Event) -> None:
        """Hand an event to a node if the process that it is meant for still runs."""
        if node.is_running(generation):
            self.post(node, event)

    def _set_timer(self, node: SimulatedNode, effect: core.SetTimer) -> None:
        """Fire a timer after its delay."""
        queue, fired = self._world.queue, core.TimerFired(effect.timer_id)
        queue.schedule(queue.now_ms + effect.delay_ms, self.post_to_generation, node, node.generation, fired)
