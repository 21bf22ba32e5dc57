"""Simulated servers in virtual time: events of their jobs, crashes and process starts."""

from collections.abc import Callable
from math import inf

from marlseam import records
from marlseam.experiment.virtual.state import SimulatedServer
from marlseam.experiment.virtual.world import VirtualWorld
from marlseam.simulation.job import JobEvent

JobListener = Callable[[SimulatedServer, JobEvent], None]


class ServerRunner:
    """Advances the models of servers to the current time and records their events."""

    def __init__(self, world: VirtualWorld) -> None:
        self._world = world
        self._listeners: list[JobListener] = []

    def add_job_listener(self, listener: JobListener) -> None:
        """Register a function that is called after each recorded event of a job."""
        self._listeners.append(listener)

    def advance(self, server: SimulatedServer) -> None:
        """Advance a server to the current time and schedule its next event."""
        self._process_events(server)
        next_event_ms = server.model.next_event_ms()
        if next_event_ms < server.next_event_ms:
            server.next_event_ms = next_event_ms
            self._world.queue.schedule(next_event_ms, self._advance_if_due, server, next_event_ms)

    def reschedule(self, server: SimulatedServer) -> None:
        """Reschedule a server's next event after its speed has changed."""
        server.next_event_ms = inf
        self.advance(server)

    def _advance_if_due(self, server: SimulatedServer, due_ms: float) -> None:
        """Advance a server, unless its next event has been rescheduled since."""
        if server.next_event_ms == due_ms:
            server.next_event_ms = inf
            self.advance(server)

    def _process_events(self, server: SimulatedServer) -> None:
        """Record the events of a server up to the current time and call the listeners."""
        for event in server.model.advance(self._world.now_ms):
            self._record(server, event)
            for listener in self._listeners:
                listener(server, event)

    def _record(self, server: SimulatedServer, event: JobEvent) -> None:
        """Record the start or end of a job; progress is not recorded."""
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
        """End a server's process and lose its jobs."""
        self.advance(server)
        server.model.crash()
        self._process_events(server)

    def start(self, server: SimulatedServer) -> None:
        """Start a server's process, which begins in slow start, and record the start."""
        now_ms = self._world.now_ms
        server.model.start_process(now_ms, now_ms)
        self._world.server_records(server).add(records.ServerStarted(t=now_ms, by=server.name))
