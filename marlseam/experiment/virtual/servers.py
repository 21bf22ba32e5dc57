"""Simulated servers in virtual time: their own events, crashes and starts of their processes."""

from collections.abc import Callable
from math import inf

from marlseam import records
from marlseam.experiment.virtual.state import SimulatedServer
from marlseam.experiment.virtual.world import VirtualWorld
from marlseam.simulation.job import JobEvent

JobListener = Callable[[SimulatedServer, JobEvent], None]


class ServerRunner:
    """Advances the models of servers to the present time and records what happens at them."""

    def __init__(self, world: VirtualWorld) -> None:
        """Make one to which nobody listens."""
        self._world = world
        self._listeners: list[JobListener] = []

    def add_job_listener(self, listener: JobListener) -> None:
        """Call a function after each event of a job was recorded."""
        self._listeners.append(listener)

    def advance(self, server: SimulatedServer) -> None:
        """Advance a server to the present time, and schedule its next event."""
        self._process_events(server)
        next_event_ms = server.model.next_event_ms()
        if next_event_ms < server.next_event_ms:
            server.next_event_ms = next_event_ms
            self._world.queue.schedule(next_event_ms, self._advance_if_due, server, next_event_ms)

    def reschedule(self, server: SimulatedServer) -> None:
        """Schedule a server's next event anew, as its speed has changed."""
        server.next_event_ms = inf
        self.advance(server)

    def _advance_if_due(self, server: SimulatedServer, due_ms: float) -> None:
        """Advance a server, unless its next event was scheduled for another time since."""
        if server.next_event_ms == due_ms:
            server.next_event_ms = inf
            self.advance(server)

    def _process_events(self, server: SimulatedServer) -> None:
        """Record and pass on the events of a server up to the present time."""
        for event in server.model.advance(self._world.now_ms):
            self._record(server, event)
            for listener in self._listeners:
                listener(server, event)

    def _record(self, server: SimulatedServer, event: JobEvent) -> None:
        """Record what happened to a job; its progress is not recorded."""
        request_id = event.id.rpartition("/")[0]
        writer = self._world.server_records(server)
        if event.what == "started":
            has_effect = event.value > 0.0
            writer.add(records.AttemptStarted(t=event.t, by=server.name, id=request_id, effect=has_effect))
        elif event.what != "progress":
            writer.add(
                records.AttemptEnded(
                    t=event.t, by=server.name, id=request_id, how=event.what, work=event.value
                )
            )

    def crash(self, server: SimulatedServer) -> None:
        """End a server's process; its jobs are lost."""
        self.advance(server)
        server.model.crash()
        self._process_events(server)

    def start(self, server: SimulatedServer) -> None:
        """Start a server's process, in slow start."""
        now_ms = self._world.now_ms
        server.model.start_process(now_ms, now_ms)
        self._world.server_records(server).add(records.ServerStarted(t=now_ms, by=server.name))
