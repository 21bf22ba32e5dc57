"""The reducers of simulated nodes: delivery of events and dispatch of effects to their handlers."""

from collections.abc import Callable
from typing import Any

from marlseam import core
from marlseam.experiment.virtual.state import SimulatedNode
from marlseam.experiment.virtual.world import VirtualWorld

EffectHandler = Callable[[SimulatedNode, Any], None]


class NodeRunner:
    """Passes events to the reducers of nodes, and the resulting effects to handlers.

    Attributes:
        effect_handlers: the handler of each type of effect; effects of other types are ignored.
    """

    def __init__(self, world: VirtualWorld) -> None:
        """Register the handler of timers; the driver adds the handlers of all other effects."""
        self._world = world
        self.effect_handlers: dict[type, EffectHandler] = {core.SetTimer: self._set_timer}

    def post(self, node: SimulatedNode, event: core.Event) -> None:
        """Pass an event to a node's reducer and handle the effects in order."""
        for effect in node.reducer.reduce(self._world.now_ms, event):
            handle = self.effect_handlers.get(type(effect))
            if handle is not None:
                handle(node, effect)

    def post_to_generation(self, node: SimulatedNode, generation: int, event: core.Event) -> None:
        """Post an event to a node if the process of the given generation still runs."""
        if node.is_running(generation):
            self.post(node, event)

    def _set_timer(self, node: SimulatedNode, effect: core.SetTimer) -> None:
        """Schedule a timer of a node's process."""
        queue, fired = self._world.queue, core.TimerFired(effect.timer_id)
        queue.schedule(queue.now_ms + effect.delay_ms, self.post_to_generation, node, node.generation, fired)
