"""The virtual driver: the order of events, and the steps that experiments override."""

from worlds import day

from marlseam.experiment.virtual import AttemptInFlight, SimulatedServer, VirtualDriver
from marlseam.experiment.virtual.event_queue import EventQueue
from marlseam.records import AttemptReceived, Record, RecordStreams, ServerStarted
from marlseam.simulation.model import Day

CRASH = {"what": "crash", "at_s": 2.0, "for_s": 2.0, "share": 0.4}


def test_calls_run_in_order_of_time_and_calls_of_equal_time_in_order_of_scheduling() -> None:
    queue, played = EventQueue(), list[str]()
    queue.schedule(2.0, played.append, "third")
    queue.schedule(1.0, played.append, "first")
    queue.schedule(1.0, played.append, "second")
    queue.run_until(10.0)
    assert played == ["first", "second", "third"]
    assert (queue.now_ms, queue.played_count) == (2.0, 3)


def test_a_call_scheduled_in_the_past_runs_at_the_current_time() -> None:
    queue, played_at_ms = EventQueue(), list[float]()
    queue.schedule(5.0, queue.schedule, 1.0, lambda: played_at_ms.append(queue.now_ms))
    queue.run_until(10.0)
    assert played_at_ms == [5.0]


def test_calls_due_after_the_end_of_the_run_do_not_run() -> None:
    queue, played = EventQueue(), list[float]()
    for at_ms in (1.0, 2.0, 2.5):
        queue.schedule(at_ms, played.append, at_ms)
    queue.run_until(2.0)
    assert played == [1.0, 2.0]


class MeasuringDriver(VirtualDriver):
    """Counts the calls of each hook."""

    def __init__(self, day: Day, streams: RecordStreams) -> None:
        super().__init__(day, 1, streams)
        self.delivered = self.crashed = self.started = 0

    def deliver(self, attempt: AttemptInFlight) -> None:
        """Count a delivered attempt."""
        self.delivered += 1
        super().deliver(attempt)

    def crash(self, server: SimulatedServer) -> None:
        """Count a crash of a server."""
        self.crashed += 1
        super().crash(server)

    def start_server(self, server: SimulatedServer) -> None:
        """Count a start of a server."""
        self.started += 1
        super().start_server(server)


def records_of(streams: RecordStreams) -> list[Record]:
    return [record for writer in streams.writers.values() for record in writer.records]


def test_overridden_hooks_are_called_for_each_delivery_crash_and_start_and_records_do_not_change() -> None:
    crash_day = day(seconds=6.0, troubles=[CRASH])
    plain, measured = RecordStreams(None, "driver"), RecordStreams(None, "driver")
    VirtualDriver(crash_day, 1, plain).run()
    driver = MeasuringDriver(crash_day, measured)
    driver.run()
    records = records_of(measured)
    assert records == records_of(plain)
    assert driver.delivered >= sum(isinstance(record, AttemptReceived) for record in records) > 0
    assert driver.started == sum(isinstance(record, ServerStarted) for record in records) > 0
    assert driver.crashed >= driver.started
