"""Simulated clients: their tries, the answers to tries, and clients that leave."""

import numpy as np

from marlseam import core, records
from marlseam.decisions.types import Request
from marlseam.experiment.virtual.nodes import NodeRunner
from marlseam.experiment.virtual.state import ClientTry, SimulatedNode
from marlseam.experiment.virtual.world import VirtualWorld
from marlseam.simulation.clients import Client, try_record
from marlseam.simulation.plan import Arrival
from marlseam.simulation.random_streams import random_stream

FinalAnswer = core.Respond | core.Reject | core.Fail

RECORDED_ANSWERS = {core.Respond: "completed", core.Reject: "deferred", core.Fail: "aborted"}


class ClientRunner:
    """Sends the tries of clients to nodes, and the answers back to the clients."""

    def __init__(self, world: VirtualWorld, nodes: NodeRunner) -> None:
        self._world, self._nodes = world, nodes
        self._rng: np.random.Generator = random_stream(world.seed, "clients")

    def arrive(self, arrival: Arrival) -> None:
        """Begin a request at its arrival; an arrival from a trace may be a later try of a request."""
        request_class = self._world.day.types[arrival.type]
        client = Client(arrival, request_class, self._world.day.clients, replayed=bool(arrival.first))
        self._send_try(client)

    def _send_try(self, client: Client) -> None:
        """Send a try to the node that the front load balancer picks."""
        world, arrival, try_id = self._world, client.arrival, client.begin()
        now_ms = world.now_ms
        node_name, is_listening = world.load_balancer.pick_node(arrival.zone, now_ms)
        node = world.nodes[node_name]
        client_try = ClientTry(client, try_id, node, node.generation)
        world.arrivals[try_id] = arrival
        world.client_records.add(try_record(client, try_id, "clients", node_name, now_ms))
        arrives_ms = now_ms + world.links.client_delay()
        if is_listening and node.is_up:
            node.tries[try_id] = client_try
            world.queue.schedule(arrives_ms, self._reach_node, client_try)
        else:
            world.queue.schedule(arrives_ms, self._answer, client_try, "unsent", 0.0)
        world.queue.schedule(self._leaves_ms(client), self._leave, client_try)

    def _leaves_ms(self, client: Client) -> float:
        """Return when a client leaves, in ms; the slack lets an answer sent at the deadline arrive."""
        leaves_ms = client.leaves_at(self._world.now_ms)
        return leaves_ms + (self._world.delivery_slack_ms if leaves_ms >= client.expires else 0.0)

    def _reach_node(self, client_try: ClientTry) -> None:
        """Deliver a try to its node, if the client still waits and the node's process still runs."""
        node, arrival = client_try.node, client_try.client.arrival
        if not (client_try.is_open and node.is_running(client_try.generation)):
            return
        deadline_ms = client_try.client.expires + self._world.links.settings.client_ms
        request = Request(client_try.id, arrival.type, deadline_ms, arrival.slots, resource_key=arrival.key)
        self._nodes.post(node, core.RequestArrived(request))

    def reply(self, node: SimulatedNode, effect: FinalAnswer) -> None:
        """Send a node's final answer to the client of the try."""
        client_try = node.tries.get(effect.request_id)
        if client_try is None:
            return
        retry_after_ms = effect.retry_after_ms if isinstance(effect, core.Reject) else 0.0
        arrives_ms = self._world.now_ms + self._world.links.client_delay()
        self._world.queue.schedule(
            arrives_ms, self._answer, client_try, RECORDED_ANSWERS[type(effect)], retry_after_ms
        )

    def node_ended(self, node: SimulatedNode) -> None:
        """Break the connections of all clients of a node whose process has ended."""
        world = self._world
        for client_try in list(node.tries.values()):
            arrives_ms = world.now_ms + world.links.client_delay()
            world.queue.schedule(arrives_ms, self._answer, client_try, "lost", 0.0)

    def _answer(self, client_try: ClientTry, how: str, retry_after_ms: float) -> None:
        """End a try that was answered, lost or never sent; schedule the client's next try if there is one."""
        if not client_try.is_open and how == "lost":
            return
        world, was_open = self._world, client_try.is_open
        client_try.is_open = False
        client_try.node.tries.pop(client_try.id, None)
        world.client_records.add(
            records.TryAnswered(
                t=world.now_ms, by="clients", id=client_try.id, how=how, advice_ms=retry_after_ms
            )
        )
        if not was_open:
            return
        client = client_try.client
        wait_ms = client.wait(world.now_ms, how, retry_after_ms, self._rng)
        if wait_ms is not None:
            world.queue.schedule(world.now_ms + wait_ms, self._send_try, client)

    def _leave(self, client_try: ClientTry) -> None:
        """Record that a client leaves, unless its try has been answered."""
        if not client_try.is_open:
            return
        client_try.is_open = False
        world = self._world
        is_early = world.now_ms < client_try.client.expires
        world.client_records.add(
            records.ClientLeft(t=world.now_ms, by="clients", id=client_try.id, early=is_early)
        )
        world.queue.schedule(world.now_ms + world.links.client_delay(), self._notice_leave, client_try)

    def _notice_leave(self, client_try: ClientTry) -> None:
        """Notify a node that a client has left."""
        client_try.node.tries.pop(client_try.id, None)
        left = core.ClientLeft(client_try.id)
        self._nodes.post_to_generation(client_try.node, client_try.generation, left)
