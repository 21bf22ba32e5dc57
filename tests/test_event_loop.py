"""The event loop and modules around it: buffers, timers, waits of coroutines, and the log."""

import socket
from math import inf

from loopback_servers import control_clock

from marlseam.net.buffer import Buffer
from marlseam.net.log import MAX_BURST_LINES, Log
from marlseam.net.loop import BACKGROUND_MS, LATE, READ, WOKEN, in_background


def test_a_buffer_returns_bytes_in_the_order_received():
    buffer = Buffer(8)
    for part in (b"abc", b"defg", b"hijklmnop"):
        buffer.reserve(len(part))[: len(part)] = part
        buffer.commit(len(part))
    assert buffer.take(5) + buffer.take(100) == b"abcdefghijklmnop"
    assert not len(buffer)


def test_a_buffer_is_compacted_before_it_grows():
    buffer = Buffer(8)
    buffer.commit(8)
    buffer.take(6)
    assert len(buffer.reserve(6)) == 6
    assert len(buffer.bytes) == 8
    assert len(buffer) == 2


def test_timers_run_in_order_of_their_time(loop, until):
    seen = []
    loop.call_at(2.0, lambda: seen.append(2))
    loop.call_at(1.0, lambda: seen.append(1))
    until(lambda: len(seen) == 2)
    assert seen == [1, 2]


def test_a_timer_set_for_the_past_is_not_late(loop, until):
    seen = []
    loop.call_at(loop.now() - 5000.0, lambda: seen.append(1))
    until(lambda: seen)
    assert loop.late_ms < 5000.0


def test_a_cancelled_timer_never_runs(loop, until):
    seen = []
    loop.cancel_timer(loop.call_at(1.0, lambda: seen.append("cancelled")))
    loop.call_at(2.0, lambda: seen.append("kept"))
    until(lambda: seen)
    assert seen == ["kept"]


def test_many_cancelled_timers_are_removed(loop):
    for _ in range(5000):
        loop.cancel_timer(loop.call_at(1e9, lambda: None))
    assert len(loop.timers) < 2000


def test_a_wait_that_reaches_its_time_resumes_with_late(loop, until):
    seen = []

    def wait():
        seen.append((yield (-1, 0, loop.now() + 1.0)))

    loop.spawn(wait())
    until(lambda: seen)
    assert seen == [LATE]


def test_a_wake_during_a_step_is_not_lost(loop, until):
    seen = []

    def wait():
        loop.current.wake()
        seen.append((yield (-1, 0, inf)))

    loop.spawn(wait())
    until(lambda: seen)
    assert seen == [WOKEN]


def test_a_cancelled_coroutine_runs_its_finally_block(loop):
    seen = []

    def wait():
        try:
            yield (-1, 0, inf)
        finally:
            seen.append("end")

    loop.spawn(wait()).cancel()
    assert seen == ["end"]
    assert not loop.tasks


def test_an_error_in_one_coroutine_or_call_does_not_affect_others(loop, until):
    faults, seen = [], []
    loop.on_exception = faults.append

    def fail():
        yield (-1, 0, loop.now())
        raise RuntimeError

    loop.spawn(fail())
    loop.call_at(0.0, lambda: 1 / 0)
    loop.call_at(loop.now() + 1.0, lambda: seen.append(1))
    until(lambda: seen)
    assert len(faults) == 2


def test_an_event_of_a_closed_socket_does_not_reach_a_new_socket_with_its_descriptor(loop):
    seen = []
    first, second = (socket.socketpair() for _ in range(2))

    def close():
        yield (first[0].fileno(), READ, inf)
        number = second[0].fileno()
        loop.close(second[0])
        new = socket.socket()
        assert new.fileno() == number
        loop.spawn(wait(new))

    def wait(sock):
        seen.append((yield (sock.fileno(), READ, inf)))

    loop.spawn(close())
    loop.spawn(wait(second[0]))
    for pair in (first, second):
        pair[1].send(b"x")
    loop.turn()
    assert not seen


def test_a_loop_without_timers_polls_without_a_time_limit(loop):
    loop.cancel_timer(loop.call_at(5.0, lambda: None))
    assert loop.pause_s() == -1.0


def test_equal_unix_times_stay_equal(loop):
    assert loop.clock.from_unix(loop.clock.unix_zero_ms + 5.0) == 5.0


def test_log_lines_past_the_burst_limit_are_dropped_and_counted(capsys):
    clock = [0.0]
    log = Log("n", lambda: clock[0])
    for _ in range(int(MAX_BURST_LINES) + 7):
        log.line("x")
    clock[0] = 1000.0
    log.line("y")
    assert capsys.readouterr().err.splitlines()[-2:] == ["marlseam n: 7 lines dropped", "marlseam n: y"]


def test_background_tasks_get_a_bounded_part_of_each_turn_in_their_order(loop):
    # Guards tasks that wait for events against many others that always have something to do.
    advance, seen = control_clock(loop), []

    def work(number):
        while True:
            yield from in_background()
            advance(BACKGROUND_MS / 2)
            seen.append(number)

    tasks = [loop.spawn(work(number)) for number in range(5)]
    loop.turn()
    assert seen == [0, 1]
    loop.turn()
    loop.turn()
    assert seen == [0, 1, 2, 3, 4, 0]
    for task in tasks:
        task.cancel()
    loop.turn()
    assert len(seen) == 6
    assert loop.pause_s() == -1.0


def test_a_task_woken_in_the_background_runs_once(loop):
    seen = []

    def work():
        seen.append((yield from in_background()))
        yield (-1, 0, inf)

    loop.spawn(work()).wake()
    for _ in range(3):
        loop.call_soon(lambda: None)  # so that a turn does not wait for events
        loop.turn()
    assert seen == [WOKEN]
