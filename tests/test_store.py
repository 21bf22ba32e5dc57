"""Durable state on a file system that fails at each call and each byte, against a plain model."""

import errno
import json
import os
import signal
import socket
import time
from dataclasses import replace

import pytest
from click.testing import CliRunner
from conftest import PAYMENTS
from hypothesis import given, settings
from hypothesis import strategies as st

from marlseam import core
from marlseam.__main__ import main
from marlseam.configuration import ConfigError, StoreSettings, load
from marlseam.decisions.types import Request
from marlseam.net.log import Log
from marlseam.net.node import Node
from marlseam.store import file_format as form
from marlseam.store.clock_era import ClockEra
from marlseam.store.disk import Disk, lock_directory
from marlseam.store.file_format import (
    AttemptNeverRan,
    AttemptSent,
    DepartureRateStored,
    ListConfirmed,
    ListStored,
)
from marlseam.store.node_state import NodeState
from marlseam.store.state_directory import StateDirectory, create_state
from marlseam.store.state_store import StateStore
from marlseam.store.writer_channel import WriteFailed, Written

NOW = 1_000_000.0
ERA = ClockEra("this boot", 500_000.0)


class CrashError(Exception):
    """The machine went down."""


class FaultyDisk:
    """A disk in memory.

    What is not synced may be lost, calls fail on demand, and the power goes after so many bytes.

    Names and bytes have a durable side and a side that the running system sees. `budget` counts bytes written
    and calls that change something.
    """

    def __init__(self, budget=10**9):
        self.seen, self.kept = {}, {}  # name to [bytes]; names are durable once the folder is synced
        self.fds, self.budget, self.error = {}, budget, None

    def spend(self, count=1):
        if self.error is not None:
            raise OSError(self.error, os.strerror(self.error))
        took = min(count, self.budget)
        self.budget -= took
        return took

    def names(self):
        return list(self.seen)

    def read(self, name):
        return b"".join(self.seen[name])

    def open(self, name):
        if not self.spend():
            raise CrashError
        self.seen.setdefault(name, [])
        fd = len(self.fds) + 1
        self.fds[fd] = [self.seen[name], 0 if not self.seen[name] else len(b"".join(self.seen[name]))]
        return fd

    def write(self, fd, data):
        took = self.spend(len(data))
        self.fds[fd][0].append(data[:took])
        if took < len(data):
            raise CrashError
        return took

    def sync(self, fd):
        if not self.spend():
            raise CrashError
        self.fds[fd][1] = len(b"".join(self.fds[fd][0]))

    def close(self, fd):
        pass

    def rename(self, old, new):
        if not self.spend():
            raise CrashError
        self.seen[new] = self.seen.pop(old)

    def remove(self, name):
        if not self.spend():
            raise CrashError
        self.seen.pop(name, None)

    def sync_folder(self):
        if not self.spend():
            raise CrashError
        self.kept = dict(self.seen)

    def after_crash(self, torn=True):
        """Return the disk as it is found.

        Names as last synced or as last seen, unsynced bytes there or not.
        """
        again = FaultyDisk()
        for name, parts in (self.seen if torn else self.kept).items():
            data = b"".join(parts)
            synced = max([size for held, size in self.fds.values() if held is parts], default=0)
            again.seen[name] = [data if torn else data[:synced]]
        again.kept = dict(again.seen)
        return again


def frames(*entries):
    return form.encode_records(list(entries))


def sent(key, at=1.0, executor="e", until=NOW * 2):
    return AttemptSent(key, executor, "z", 3, at, until)


def header(kind="snapshot", version=form.FORMAT_VERSION, node="n", number=1):
    return form.FileHeader(kind, version, node, number, NOW, *ERA)


def loaded(disk, node="n"):
    directory = StateDirectory(disk, node, ERA)
    return directory.load(NOW), directory


KEYS = st.sampled_from("abcde")
ENTRIES = st.one_of(
    st.builds(sent, KEYS, st.integers(1, 5).map(float)),
    st.builds(lambda key, at: AttemptNeverRan(key, "e", float(at)), KEYS, st.integers(1, 5)),
    st.builds(lambda v: ListStored(v, [{"host": f"h{v}"}], float(v)), st.integers(1, 9)),
    st.builds(lambda t: ListConfirmed(float(t)), st.integers(10, 20)),
    st.builds(lambda d: DepartureRateStored(float(d), 1.0), st.integers(0, 5)),
)
STEPS = st.lists(st.one_of(ENTRIES, st.just("snapshot")), max_size=25)


def play(steps, disk):
    """Append, sync and compact.

    Return the states that may be found after a crash: the durable one and all later.
    """
    directory, model = StateDirectory(disk, "n", ERA), NodeState()
    states = [model.entries()]
    directory.snapshot(frames(*model.entries()), NOW)
    try:
        for step in steps:
            if step == "snapshot":
                directory.snapshot(frames(*model.entries()), NOW)
            else:
                model.apply(step)
                states.append(model.entries())
                directory.append([form.encode_record(step)], True)
                states[:] = states[-1:]
    except CrashError:
        pass
    return [plain(entries) for entries in states]


def plain(entries):
    return sorted(form.ENCODER.encode(entry) for entry in entries)


@settings(max_examples=150, deadline=None)
@given(STEPS, st.integers(0, 2500), st.booleans())
def test_a_crash_at_any_byte_leaves_the_durable_state_or_the_next(steps, more, torn):
    empty = FaultyDisk()
    StateDirectory(empty, "n", ERA).snapshot(frames(*NodeState().entries()), NOW)
    disk = FaultyDisk(10**9 - empty.budget + more)
    states = play(steps, disk)
    state, _ = loaded(disk.after_crash(torn))
    assert plain(state.entries()) in states


def test_every_single_byte_of_a_snapshot_and_an_append_is_a_safe_place_to_crash():
    steps = [
        sent("a"),
        "snapshot",
        sent("b"),
        AttemptNeverRan("a", "e", 1.0),
        ListStored(3, [{"host": "h"}], 5.0),
    ]
    whole = FaultyDisk()
    play(steps, whole)
    empty = FaultyDisk()
    StateDirectory(empty, "n", ERA).snapshot(frames(*NodeState().entries()), NOW)
    for budget in range(10**9 - empty.budget, 10**9 - whole.budget + 1):
        for torn in (True, False):
            disk = FaultyDisk(budget)
            states = play(steps, disk)
            state, _ = loaded(disk.after_crash(torn))
            assert plain(state.entries()) in states, budget


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 10**6), st.integers(0, 7))
def test_a_flipped_bit_gives_no_traceback_and_no_wrong_entry(place, bit):
    disk = FaultyDisk()
    steps = [sent("a"), sent("b", 2.0), "snapshot", sent("c", 3.0), sent("d", 4.0)]
    play(steps, disk)
    names = sorted(disk.seen)
    name = names[place % len(names)]
    data = bytearray(disk.read(name))
    data[place // len(names) % len(data)] ^= 1 << bit
    disk.seen[name] = [bytes(data)]
    state, directory = loaded(disk)
    good = {form.ENCODER.encode(step) for step in steps if step != "snapshot"}
    found = {form.ENCODER.encode(row) for rows in state.sent.values() for row in rows}
    assert found <= good or state.lost_ms is not None
    # Guards against passing over what stands behind the bit, and serving on as if it had never been sent.
    assert state.lost_ms is not None or set("abcd") <= set(state.sent)
    assert all(
        finding.code in ("torn", "foreign", "version", "clock", "lost") for finding in directory.findings
    )


def test_files_are_compacted_and_the_last_good_snapshot_is_kept():
    disk = FaultyDisk()
    directory = StateDirectory(disk, "n", ERA)
    for i in range(6):
        directory.snapshot(frames(sent(f"k{i}")), NOW)
    assert len(directory.files("snapshot")) == 2
    assert len(directory.files("journal")) == 2
    newest = f"snapshot-{directory.number:010d}"
    disk.seen[newest] = [b"MARLSEAM nonsense"]
    state, again = loaded(disk)
    assert set(state.sent) == {"k4"}
    assert [finding.code for finding in again.findings] == ["torn"]
    assert state.lost_ms is None  # the snapshot before it and that one's journal hold all


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"PK\3\4 something else", "foreign"),
        (form.encode_snapshot(header(node="other"), []), "foreign"),
        (form.encode_header(header("journal")), "foreign"),
        (form.encode_snapshot(header(version=99), []), "version"),
        (form.encode_snapshot(header(), [])[:-1], "torn"),
        (b"", "foreign"),
    ],
)
def test_an_unusable_file_is_reported_and_renamed_only_once_a_snapshot_notes_the_loss(data, code):
    disk = FaultyDisk()
    disk.seen["snapshot-0000000001"] = [data]
    state, directory = loaded(disk)
    assert state.lost_ms == NOW
    assert [f.code for f in directory.findings] == [code, "lost"]
    assert list(disk.seen) == ["snapshot-0000000001"]  # a crash now must not make it a first life
    directory.snapshot(form.encode_records(state.entries()), NOW)
    assert "bad-snapshot-0000000001" in disk.seen
    again, later = loaded(disk)
    assert again.lost_ms == pytest.approx(NOW)
    assert not later.findings


def test_a_clock_that_was_set_back_is_reported():
    disk = FaultyDisk()
    StateDirectory(disk, "n", ERA).snapshot(frames(), NOW + 3600e3)
    assert [finding.code for finding in loaded(disk)[1].findings] == ["clock"]


def test_keys_expire_when_servers_have_forgotten_them():
    state = NodeState()
    state.apply(sent("a", until=5.0))
    state.apply(sent("b", until=9.0))
    list(state.expire(6.0))
    assert set(state.sent) == {"b"}


def test_only_an_end_that_a_crash_explains_loses_nothing():
    def ended(change):
        disk = FaultyDisk()
        play([sent("a"), sent("b", 2.0)], disk)
        data = disk.read("journal-0000000001")
        disk.seen["journal-0000000001"] = [change(data)]
        return loaded(disk)[0]

    for cut in range(1, len(form.encode_record(sent("b", 2.0)))):
        state = ended(lambda data, cut=cut: data[:-cut])
        assert state.lost_ms is None
        assert set(state.sent) == {"a"}
    zeros = form.encode_record(DepartureRateStored(0.0, 1.0))  # holds eight zero bytes
    assert ended(lambda data: data + zeros[:-1]).lost_ms is None
    assert ended(lambda data: data + bytes(4096)).lost_ms is not None
    assert ended(lambda data: data[:-1] + b"x").lost_ms is not None


@pytest.mark.parametrize("gone", ["journal-0000000001", "snapshot-0000000001"])
def test_a_file_that_is_missing_counts_as_lost_unless_what_is_left_holds_all(gone):
    disk = FaultyDisk()
    play([sent("a"), "snapshot", sent("b", 2.0)], disk)
    assert loaded(disk)[0].lost_ms is None
    disk.seen["snapshot-0000000002"] = [b"MARLSEAM"]
    assert set(loaded(disk)[0].sent) == {"a", "b"}
    del disk.seen[gone]
    assert loaded(disk)[0].lost_ms is not None


def test_a_new_nodes_directory_differs_from_one_that_lost_all(tmp_path):
    assert loaded(FaultyDisk())[0].lost_ms == NOW
    create_state(tmp_path / "new", "n")
    state = StateDirectory(Disk(tmp_path / "new"), "n").load(time.time() * 1000.0)
    assert state.lost_ms is None
    assert not state.sent
    with pytest.raises(FileExistsError):
        create_state(tmp_path / "new", "n")


@pytest.mark.parametrize("step", [-3600e3, 3600e3])
def test_a_clock_that_was_set_while_the_node_was_down_shortens_nothing(step):
    disk = FaultyDisk()
    play([sent("a", NOW - 500.0, until=NOW + 500.0)], disk)
    # The same start of the machine: a second later its clock says an hour more, or less.
    later = StateDirectory(disk, "n", ClockEra(ERA.boot, ERA.zero_ms + step))
    (row,) = later.load(NOW + 400.0 + step).sent["a"]
    assert (row.sent_ms, row.until_ms) == (NOW - 500.0 + step, NOW + 500.0 + step)
    assert "a" not in later.load(NOW + 600.0 + step).sent
    # Another start: how long ago it was is not known, so the pod is not relied on, nor the key let go.
    (row,) = StateDirectory(disk, "n", ClockEra("another boot", 0.0)).load(NOW + step).sent["a"]
    assert row.sent_ms == 0.0
    assert row.until_ms >= NOW + step + 1000.0


def test_what_was_only_written_is_lost_with_the_machine():
    disk = FaultyDisk()
    play([sent("a")], disk)
    assert StateDirectory(disk, "n", ERA, outlives_machine=False).load(NOW).lost_ms is None
    later = ClockEra("another boot", 0.0)
    assert StateDirectory(disk, "n", later, outlives_machine=False).load(NOW).lost_ms == NOW
    assert StateDirectory(disk, "n", later).load(NOW).lost_ms is None


# The node's side, with a real writer process on a real directory.


@pytest.fixture
def make_store(loop, tmp_path):
    """Return a maker of stores on one directory, with what each took in late; all are closed at the end."""
    made = []
    create_state(tmp_path / "state", "n")

    def build(path=tmp_path / "state", **options):
        values = {"sync": "durable", "journal_mb": 8.0, "wait_ms": 5000.0} | options

        def take_in(state):
            store.taken.append(state)
            return
            yield

        store = StateStore(loop, Log("n", loop.now), StoreSettings(str(path), **values), "n", take_in)
        store.taken = []
        made.append(store)
        return store

    yield build
    for store in made:
        store.close()
        if store.lock_fd is not None:
            os.close(store.lock_fd)


@pytest.fixture
def wait_for(loop):
    """Return a function that waits for a record of a key as a sending does, and a list of what came of it."""

    def begin(store, key, seen):
        def wait():
            number = store.append(sent(key, until=time.time() * 2000.0))
            is_durable = yield from store.wait_durable(number)
            seen.append((key, is_durable))

        loop.spawn(wait())
        return seen

    return begin


def on_disk(store):
    return set(StateDirectory(Disk(store.path), None).load(0.0).sent)


def test_what_is_durable_is_there_after_the_process_is_killed(make_store, until, wait_for):
    first_store = make_store()
    assert first_store.load().entries() == NodeState().entries()
    first_store.begin()
    seen = wait_for(first_store, "a", [])
    until(lambda: seen)
    first_store.process.kill()  # as the whole node would be
    first_store.process.wait()
    assert seen == [("a", True)]
    assert "a" in on_disk(first_store)


def test_records_of_a_nodes_first_moments_follow_what_was_there(make_store, until):
    first_store = make_store()
    directory = StateDirectory(Disk(first_store.path), "n")
    directory.number = 1
    directory.snapshot(form.encode_records([sent("old", until=time.time() * 2000.0)]), 0.0)
    directory.close()
    first_store.load()
    first_store.begin()
    number = first_store.append(sent("new", until=time.time() * 2000.0))
    until(lambda: first_store.answered_count >= number)
    first_store.close()
    assert on_disk(first_store) == {"old", "new"}


def test_a_locked_folder_is_read_as_soon_as_it_is_free_and_only_then_written(
    make_store, until, wait_for, capsys, monkeypatch
):
    monkeypatch.setattr("marlseam.store.log_writer_client.MAX_LOCK_WAIT_S", 0.02)
    first_store, second_store = make_store(), make_store()
    first_store.load()
    first_store.begin()
    seen = wait_for(first_store, "a", [])
    until(lambda: seen)
    # Guards against taking an empty state here, and writing it over the true one once the lock is free.
    assert second_store.load() is None
    second_store.begin()
    assert "code=locked" in capsys.readouterr().err
    assert not second_store.is_available()
    assert wait_for(second_store, "b", []) == [("b", False)]
    first_store.process.kill()
    first_store.process.wait()
    os.close(first_store.lock_fd)
    first_store.lock_fd = None
    until(lambda: second_store.is_success_logged)
    assert set(second_store.taken[0].sent) == {"a"}
    assert on_disk(second_store) == {"a"}
    until(lambda: second_store.is_available())


def test_a_node_that_is_killed_leaves_a_free_lock_and_an_unfinished_snapshot_behind(
    make_store, until, wait_for
):
    first_store = make_store()
    first_store.load()
    first_store.begin()
    until(lambda: first_store.is_success_logged)
    first_store.process.send_signal(signal.SIGSTOP)
    for i in range(50):
        wait_for(first_store, f"k{i}", [])
    first_store.compact()
    until(lambda: not first_store.outgoing)
    first_store.channel.close()  # as the system does for a killed node
    first_store.channel = None
    first_store.process.send_signal(signal.SIGCONT)
    assert first_store.process.wait(20.0) == 0
    # None of that was said to be kept, so nothing of it went out, and no sync was spent on it.
    directory = StateDirectory(Disk(first_store.path), "n")
    assert directory.files("snapshot") == [1, 2]
    assert directory.load(0.0).lost_ms is None


def test_a_disk_that_fails_is_logged_once_makes_nothing_durable_and_is_tried_again(
    make_store, until, wait_for, capsys, monkeypatch
):
    monkeypatch.setattr("marlseam.store.log_writer_client.MIN_RETRY_DELAY_MS", 10.0)
    store = make_store()
    store.load()
    store.begin()
    until(lambda: store.is_success_logged)
    seen = wait_for(store, "a", [])
    answered = store.answered_count - store.answered_before_process
    store.handle_answer(WriteFailed(answered + 1, "full", "No space left on device"))
    store.handle_answer(Written(answered, 0))  # read together with the way back
    until(lambda: seen)
    assert seen == [("a", False)]  # it must not be sent
    store.mark_unavailable("full", "No space left on device")
    assert not store.is_available()
    assert store.append(sent("b")) == 0
    until(lambda: store.is_available())
    err = capsys.readouterr().err
    assert err.count("code=full") == 2
    assert err.count("state is kept") == 3


@pytest.mark.parametrize("number", [errno.ENOSYS, errno.EINVAL])
def test_where_no_process_may_be_started_nothing_becomes_durable(
    make_store, until, capsys, monkeypatch, number
):
    def refused(*_arguments, **_options):
        raise OSError(number, "refused")

    monkeypatch.setattr("marlseam.store.log_writer_client.subprocess.Popen", refused)
    monkeypatch.setattr("marlseam.store.log_writer_client.MIN_RETRY_DELAY_MS", 10.0)
    store = make_store()
    store.load()
    store.begin()
    until(lambda: store.retry_delay_ms > 40.0)  # it was tried more than once
    assert not store.is_available()
    assert store.append(sent("a")) == 0
    assert capsys.readouterr().err.count("code=unsupported") == 1


def test_a_slow_disk_delays_nothing_past_the_wait_limit_and_lets_nothing_out(
    make_store, until, wait_for, capsys
):
    store = make_store(wait_ms=1.0)
    store.load()
    store.begin()
    store.process.send_signal(signal.SIGSTOP)  # a disk that hangs
    seen = wait_for(store, "a", [])
    until(lambda: seen)
    assert seen == [("a", False)]
    assert not store.is_available()
    store.process.send_signal(signal.SIGCONT)
    until(
        lambda: store.answered_count == store.sent_count
    )  # also where the first message alone was answered before
    assert store.is_available()
    assert "code=slow" in capsys.readouterr().err
    assert on_disk(store) == {"a"}


def test_a_writer_process_that_ends_is_replaced_and_what_waited_is_not_durable(
    make_store, until, wait_for, monkeypatch
):
    monkeypatch.setattr("marlseam.store.log_writer_client.MIN_RETRY_DELAY_MS", 10.0)
    store = make_store()
    store.load()
    store.begin()
    until(lambda: store.is_success_logged)
    seen = wait_for(store, "a", [])
    until(lambda: seen)
    before = store.process
    before.send_signal(signal.SIGSTOP)
    wait_for(store, "b", seen)
    before.kill()
    until(lambda: store.process is not before and store.is_success_logged)
    assert store.is_available()
    assert seen == [("a", True), ("b", False)]
    assert on_disk(store) == {"a"}  # the new one compacts what the folder holds, not what a node remembers


def test_a_long_read_yields_to_the_loop_in_every_turn(make_store, loop, until, monkeypatch):
    monkeypatch.setattr("marlseam.store.state_store.MAX_READ_MS_PER_TURN", 0.0)
    store = make_store()
    directory, far = StateDirectory(Disk(store.path), "n"), time.time() * 2000.0
    directory.number = 1
    attempts = [sent(f"k{i}", until=far) for i in range(10 * form.MAX_ATTEMPTS_PER_BATCH)]
    directory.snapshot(form.encode_records(attempts), 0.0)
    directory.close()
    turns = []
    store.begin()
    while not store.is_loaded:
        turns.append(loop.now())
        loop.turn()
    until(lambda: store.is_success_logged)
    assert len(turns) > 10
    assert len(store.taken[0].sent) == 10 * form.MAX_ATTEMPTS_PER_BATCH


@pytest.mark.parametrize(
    ("number", "code"), [(errno.ENOSPC, "full"), (errno.EROFS, "read-only"), (errno.ENOENT, "vanished")]
)
def test_each_failure_has_its_code(number, code):
    from marlseam.store.errors import code_of

    disk = FaultyDisk()
    directory = StateDirectory(disk, "n")
    directory.snapshot(frames(), NOW)
    disk.error = number
    with pytest.raises(OSError, match=os.strerror(number)) as error:
        directory.append([b"x"], True)
    assert code_of(error.value) == code


# A whole node on its directory.


@pytest.fixture
def live(tmp_path):
    """Return a maker of nodes that keep their state in one folder."""
    nodes = []

    def made(listen="127.0.0.1:0"):
        config, own = tmp_path / "node.json", tmp_path / "own.toml"
        host = {"host": "e1", "dial": "127.0.0.1:1", "health": "active", "site": "here", "class": "plain"}
        known = {"seq": 1, "whole": True, "hosts": [host | {"block": 4}]}
        values = {"listen": listen, "discovery": "127.0.0.1:1", "settings": PAYMENTS, "known": known}
        config.write_text(json.dumps(values))
        own.write_text(f'[store]\nfolder = "{tmp_path / "state"}"\n')
        node = Node(load(str(config), {}, own=str(own)))
        nodes.append(node)
        return node

    yield made
    for node in nodes:
        node.is_reducing = True
        node.durable_state.store.close()
        node.loop.finish()
        if node.durable_state.store.lock_fd is not None:
            os.close(node.durable_state.store.lock_fd)


def decided(node, key, marked):
    """Take a payment and return the effects that are asked for at once, and its attempts."""
    request = Request(key, 2, node.loop.now() + 5000.0, idempotency_key=key, may_be_retry=marked)
    request = replace(request, is_recordable=node.durable_state.store.is_available())
    effects = node.reducer.reduce(node.loop.now(), core.RequestArrived(request))
    return [type(e) for e in effects if type(e) in (core.SendAttempt, core.Reject, core.Fail)]


def turned(node, holds):
    end = node.loop.now() + 10000.0
    node.loop.at(end, lambda: None)
    while not holds():
        assert node.loop.now() < end
        node.loop.turn()


def test_clients_are_accepted_only_once_the_state_was_read(live, tmp_path, monkeypatch):
    seen = []

    def load(_store):
        port = json.loads((tmp_path / "node.json").read_text())["listen"].rpartition(":")[2]
        with socket.socket() as sock:
            seen.append(sock.connect_ex(("127.0.0.1", int(port))))

    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    monkeypatch.setattr(StateStore, "load", load)
    # Guards against accepting them before, and counting their time from the end of reading.
    node = live(f"127.0.0.1:{port}")
    assert seen == [errno.ECONNREFUSED]
    assert node.is_ready()


@pytest.mark.parametrize("started", [0, 1])
def test_a_node_whose_directory_is_locked_sends_no_keyed_request_until_it_has_read_it(
    live, tmp_path, started, monkeypatch
):
    monkeypatch.setattr("marlseam.store.log_writer_client.MAX_LOCK_WAIT_S", 0.02)
    path, far = tmp_path / "state", time.time() * 1000.0 + 20000.0
    create_state(path, "node")
    other = live() if started else None  # two processes started on one folder at once
    held = lock_directory(path) if not started else None
    node = live()
    assert node.is_ready()
    assert not node.durable_state.store.is_available()
    for _ in range(3):
        assert decided(node, "old", True) == [core.Fail]
        assert decided(node, "new", False) == [core.Reject]
        node.loop.turn()
    if other is not None:
        number = other.durable_state.store.append(sent("old", far - 1000.0, "gone", far))
        turned(other, lambda: other.durable_state.store.answered_count >= number)
        other.durable_state.store.close()
        os.close(other.durable_state.store.lock_fd)
        other.durable_state.store.lock_fd = None
    else:
        directory = StateDirectory(Disk(path), "node")
        directory.number = 1
        directory.snapshot(form.encode_records([sent("old", far - 1000.0, "gone", far)]), 0.0)
        directory.close()
        os.close(held)
    turned(node, node.durable_state.store.is_available)
    # The retry is bound to the pod that may have run it, which is gone; what is new goes out.
    assert decided(node, "old", True) == []
    assert not node.reducer.unavailable_history.last_sent_ms
    assert "old" in on_disk(node.durable_state.store)


def test_a_node_that_lost_its_state_says_so_until_servers_have_forgotten_and_after_a_restart(live):
    for _ in range(2):
        node = live()  # on a folder that nobody began
        assert (
            node.reducer.unavailable_history.last_sent_ms
        )  # in its second life by what the first has put on record
        turned(node, node.durable_state.store.is_available)
        assert decided(node, "old", True) == [core.Fail]
        ends = max(node.reducer.unavailable_history.last_sent_ms.values()) + 30000.0
        assert node.reducer.reduce(ends + 1.0, core.HistoryAvailable("none")) == []
        assert not node.reducer.is_history_incomplete()
        node.durable_state.store.close()
        os.close(node.durable_state.store.lock_fd)
        node.durable_state.store.lock_fd = None


# Settings and operators' commands.


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[stor]\n", "stor"),
        ("[store]\nfoldr = 'x'\n", "store.foldr"),
        ("[store]\n", "store.folder"),
        ("[store]\nfolder = 'x'\nsync = 'no'\n", "store.sync"),
        ("nonsense", "MARLSEAM_SETTINGS"),
        ("[store]\nfolder = 'x'\njournal_mb = -1\n", "store.journal_mb"),
    ],
)
def test_a_wrong_setting_is_named(at_fault, text, key):
    assert at_fault(text) == key


def test_operators_see_what_a_directory_holds(tmp_path):
    directory = StateDirectory(Disk(tmp_path), "n")
    now = time.time() * 1000.0
    directory.snapshot(frames(ListStored(4, [{"host": "h"}], now), sent("a", until=now + 9e5)), now)
    directory.close()

    def run(command):
        return CliRunner().invoke(main, ["state", command, str(tmp_path)])

    assert "1 servers, version 4" in run("show").output
    assert "1 keys" in run("show").output
    assert run("verify").exit_code == 0
    rows = [json.loads(line) for line in run("export").output.splitlines()]
    assert {row["entry"] for row in rows} == {"turned", "listed", "sent"}
    assert run("begin").exit_code == 2
    assert "known" not in run("show").output
    (tmp_path / "journal-0000000001").write_bytes(b"odd")
    assert run("verify").exit_code == 1
    assert "code=foreign" in run("verify").output
    assert (tmp_path / "journal-0000000001").exists()
    assert "is not known" in run("show").output
    again = CliRunner().invoke(main, ["state", "begin", str(tmp_path), "n"])
    assert again.exit_code == 1
    assert "there is a state" in again.output
    first = CliRunner().invoke(main, ["state", "begin", str(tmp_path / "new"), "n"])
    assert first.exit_code == 0
    assert (tmp_path / "new" / "snapshot-0000000001").exists()
    assert CliRunner().invoke(main, ["state", "show", str(tmp_path / "none")]).exit_code == 1


def test_check_tries_the_directory(tmp_path, capsys):
    from marlseam.store import check

    check.check_state(StoreSettings(str(tmp_path / "s"), "durable", 8.0, 100.0), "n")
    assert "a sync takes" in capsys.readouterr().out
    assert os.listdir(tmp_path / "s") == ["lock"]
    held = lock_directory(tmp_path / "s")
    with pytest.raises(ConfigError, match="locked"):
        check.check_state(StoreSettings(str(tmp_path / "s"), "durable", 8.0, 100.0), "n")
    os.close(held)
