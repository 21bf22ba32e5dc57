"""The store of a node's state, with a real writer process on a real directory."""

import errno
import os
import signal
import time

import pytest
from state_samples import attempt_sent, keys_on_disk

from marlseam.configuration import StoreSettings
from marlseam.net.log import Log
from marlseam.store import file_format as form
from marlseam.store.disk import Disk
from marlseam.store.node_state import NodeState
from marlseam.store.state_directory import StateDirectory, create_state
from marlseam.store.state_store import StateStore
from marlseam.store.writer_channel import WriteFailed, Written


@pytest.fixture
def make_store(loop, tmp_path):
    """Return a factory of stores on one directory; `late_states` of each has the states read in the loop."""
    stores = []
    create_state(tmp_path / "state", "n")

    def build(path=tmp_path / "state", **options):
        values = {"sync": "durable", "journal_mb": 8.0, "wait_ms": 5000.0} | options

        def on_late_load(state):
            store.late_states.append(state)
            return
            yield

        store = StateStore(loop, Log("n", loop.now), StoreSettings(str(path), **values), "n", on_late_load)
        store.late_states = []
        stores.append(store)
        return store

    yield build
    for store in stores:
        store.close()
        if store.lock_fd is not None:
            os.close(store.lock_fd)


@pytest.fixture
def record_attempt(loop):
    """Return a function that records an attempt, and later adds to `results` whether it became durable."""

    def record(store, key, results):
        def wait():
            number = store.append(attempt_sent(key, until_ms=time.time() * 2000.0))
            is_durable = yield from store.wait_durable(number)
            results.append((key, is_durable))

        loop.spawn(wait())
        return results

    return record


def test_a_durable_record_is_on_disk_after_the_process_is_killed(make_store, until, record_attempt):
    first_store = make_store()
    assert first_store.load().entries() == NodeState().entries()
    first_store.begin()
    results = record_attempt(first_store, "a", [])
    until(lambda: results)
    first_store.process.kill()  # as if the whole node were killed
    first_store.process.wait()
    assert results == [("a", True)]
    assert "a" in keys_on_disk(first_store)


def test_records_appended_right_after_the_start_follow_those_on_disk(make_store, until):
    first_store = make_store()
    directory = StateDirectory(Disk(first_store.path), "n")
    directory.number = 1
    directory.snapshot(form.encode_records([attempt_sent("old", until_ms=time.time() * 2000.0)]), 0.0)
    directory.close()
    first_store.load()
    first_store.begin()
    number = first_store.append(attempt_sent("new", until_ms=time.time() * 2000.0))
    until(lambda: first_store.answered_count >= number)
    first_store.close()
    assert keys_on_disk(first_store) == {"old", "new"}


def test_a_locked_directory_is_read_once_it_is_free_and_only_then_written(
    make_store, until, record_attempt, capsys, monkeypatch
):
    monkeypatch.setattr("marlseam.store.log_writer_client.MAX_LOCK_WAIT_S", 0.02)
    first_store, second_store = make_store(), make_store()
    first_store.load()
    first_store.begin()
    results = record_attempt(first_store, "a", [])
    until(lambda: results)
    # Guards against an empty state here that overwrites the stored one once the lock is free.
    assert second_store.load() is None
    second_store.begin()
    assert "code=locked" in capsys.readouterr().err
    assert not second_store.is_available()
    assert record_attempt(second_store, "b", []) == [("b", False)]
    first_store.process.kill()
    first_store.process.wait()
    os.close(first_store.lock_fd)
    first_store.lock_fd = None
    until(lambda: second_store.is_success_logged)
    assert set(second_store.late_states[0].sent) == {"a"}
    assert keys_on_disk(second_store) == {"a"}
    until(lambda: second_store.is_available())


def test_a_node_that_is_killed_leaves_a_free_lock_and_an_unfinished_snapshot_behind(
    make_store, until, record_attempt
):
    first_store = make_store()
    first_store.load()
    first_store.begin()
    until(lambda: first_store.is_success_logged)
    first_store.process.send_signal(signal.SIGSTOP)
    for i in range(50):
        record_attempt(first_store, f"k{i}", [])
    first_store.compact()
    until(lambda: not first_store.outgoing)
    first_store.channel.close()  # as the system does for a killed node
    first_store.channel = None
    first_store.process.send_signal(signal.SIGCONT)
    assert first_store.process.wait(20.0) == 0
    # None of these records was reported as durable, so none of the attempts was sent, and no sync was made.
    directory = StateDirectory(Disk(first_store.path), "n")
    assert directory.files("snapshot") == [1, 2]
    assert directory.load(0.0).lost_ms is None


def test_a_failing_disk_is_logged_once_makes_nothing_durable_and_is_retried(
    make_store, until, record_attempt, capsys, monkeypatch
):
    monkeypatch.setattr("marlseam.store.log_writer_client.MIN_RETRY_DELAY_MS", 10.0)
    store = make_store()
    store.load()
    store.begin()
    until(lambda: store.is_success_logged)
    results = record_attempt(store, "a", [])
    answered = store.answered_count - store.answered_before_process
    store.handle_answer(WriteFailed(answered + 1, "full", "No space left on device"))
    store.handle_answer(Written(answered, 0))  # read together with the failure
    until(lambda: results)
    assert results == [("a", False)]  # so the attempt must not be sent
    store.mark_unavailable("full", "No space left on device")
    assert not store.is_available()
    assert store.append(attempt_sent("b")) == 0
    until(lambda: store.is_available())
    logged = capsys.readouterr().err
    assert logged.count("code=full") == 2
    assert logged.count("state is kept") == 3


@pytest.mark.parametrize("error_number", [errno.ENOSYS, errno.EINVAL])
def test_if_no_writer_process_can_start_nothing_becomes_durable(
    make_store, until, capsys, monkeypatch, error_number
):
    def refuse(*_arguments, **_options):
        raise OSError(error_number, "refused")

    monkeypatch.setattr("marlseam.store.log_writer_client.subprocess.Popen", refuse)
    monkeypatch.setattr("marlseam.store.log_writer_client.MIN_RETRY_DELAY_MS", 10.0)
    store = make_store()
    store.load()
    store.begin()
    until(lambda: store.retry_delay_ms > 40.0)  # after more than one retry
    assert not store.is_available()
    assert store.append(attempt_sent("a")) == 0
    assert capsys.readouterr().err.count("code=unsupported") == 1


def test_a_slow_disk_delays_no_attempt_past_the_wait_limit_and_makes_none_durable(
    make_store, until, record_attempt, capsys
):
    store = make_store(wait_ms=1.0)
    store.load()
    store.begin()
    store.process.send_signal(signal.SIGSTOP)  # emulates a disk that hangs
    results = record_attempt(store, "a", [])
    until(lambda: results)
    assert results == [("a", False)]
    assert not store.is_available()
    store.process.send_signal(signal.SIGCONT)
    until(lambda: store.answered_count == store.sent_count)  # also where only the first message was answered
    assert store.is_available()
    assert "code=slow" in capsys.readouterr().err
    assert keys_on_disk(store) == {"a"}


def test_a_writer_process_that_ends_is_replaced_and_pending_records_are_not_durable(
    make_store, until, record_attempt, monkeypatch
):
    monkeypatch.setattr("marlseam.store.log_writer_client.MIN_RETRY_DELAY_MS", 10.0)
    store = make_store()
    store.load()
    store.begin()
    until(lambda: store.is_success_logged)
    results = record_attempt(store, "a", [])
    until(lambda: results)
    first_process = store.process
    first_process.send_signal(signal.SIGSTOP)
    record_attempt(store, "b", results)
    first_process.kill()
    until(lambda: store.process is not first_process and store.is_success_logged)
    assert store.is_available()
    assert results == [("a", True), ("b", False)]
    assert keys_on_disk(store) == {
        "a"
    }  # the new process compacts what the directory holds, not the node's memory


def test_a_long_read_yields_to_the_loop_in_every_turn(make_store, loop, until, monkeypatch):
    monkeypatch.setattr("marlseam.store.state_store.MAX_READ_MS_PER_TURN", 0.0)
    store = make_store()
    directory, far_ms = StateDirectory(Disk(store.path), "n"), time.time() * 2000.0
    directory.number = 1
    attempts = [attempt_sent(f"k{i}", until_ms=far_ms) for i in range(10 * form.MAX_ATTEMPTS_PER_BATCH)]
    directory.snapshot(form.encode_records(attempts), 0.0)
    directory.close()
    turns = []
    store.begin()
    while not store.is_loaded:
        turns.append(loop.now())
        loop.turn()
    until(lambda: store.is_success_logged)
    assert len(turns) > 10
    assert len(store.late_states[0].sent) == 10 * form.MAX_ATTEMPTS_PER_BATCH
