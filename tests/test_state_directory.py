"""State files on a disk that crashes at each call and each byte, compared with a model in memory."""

import errno
import os
import time

import pytest
from faulty_disk import CrashError, FaultyDisk
from hypothesis import given, settings
from hypothesis import strategies as st
from state_samples import ERA, NOW, attempt_sent, encode_entries, file_header, load_state

from marlseam.store import file_format as form
from marlseam.store.clock_era import ClockEra
from marlseam.store.disk import Disk
from marlseam.store.errors import code_of
from marlseam.store.file_format import AttemptNeverRan, DepartureRateStored, ListConfirmed, ListStored
from marlseam.store.node_state import NodeState
from marlseam.store.state_directory import StateDirectory, create_state

KEYS = st.sampled_from("abcde")
ENTRIES = st.one_of(
    st.builds(attempt_sent, KEYS, st.integers(1, 5).map(float)),
    st.builds(lambda key, sent_ms: AttemptNeverRan(key, "e", float(sent_ms)), KEYS, st.integers(1, 5)),
    st.builds(
        lambda version: ListStored(version, [{"host": f"h{version}"}], float(version)), st.integers(1, 9)
    ),
    st.builds(lambda confirmed_ms: ListConfirmed(float(confirmed_ms)), st.integers(10, 20)),
    st.builds(lambda departures: DepartureRateStored(float(departures), 1.0), st.integers(0, 5)),
)
STEPS = st.lists(st.one_of(ENTRIES, st.just("snapshot")), max_size=25)


def run_steps(steps, disk):
    """Append and sync records, and write snapshots, until the steps end or the disk crashes.

    Return the states that are valid after a crash: the durable one and all later ones.
    """
    directory, model = StateDirectory(disk, "n", ERA), NodeState()
    states = [model.entries()]
    directory.snapshot(encode_entries(*model.entries()), NOW)
    try:
        for step in steps:
            if step == "snapshot":
                directory.snapshot(encode_entries(*model.entries()), NOW)
            else:
                model.apply(step)
                states.append(model.entries())
                directory.append([form.encode_record(step)], True)
                states[:] = states[-1:]
    except CrashError:
        pass
    return [encoded(entries) for entries in states]


def encoded(entries):
    """Return the records' bytes in sorted order, so that two states can be compared."""
    return sorted(form.ENCODER.encode(entry) for entry in entries)


@settings(max_examples=150, deadline=None)
@given(STEPS, st.integers(0, 2500), st.booleans())
def test_a_crash_at_any_byte_leaves_the_durable_state_or_the_next(steps, further_budget, torn):
    empty = FaultyDisk()
    StateDirectory(empty, "n", ERA).snapshot(encode_entries(*NodeState().entries()), NOW)
    disk = FaultyDisk(10**9 - empty.budget + further_budget)
    states = run_steps(steps, disk)
    state, _ = load_state(disk.after_crash(torn))
    assert encoded(state.entries()) in states


def test_a_crash_at_each_byte_of_a_snapshot_and_an_append_leaves_a_valid_state():
    steps = [
        attempt_sent("a"),
        "snapshot",
        attempt_sent("b"),
        AttemptNeverRan("a", "e", 1.0),
        ListStored(3, [{"host": "h"}], 5.0),
    ]
    whole = FaultyDisk()
    run_steps(steps, whole)
    empty = FaultyDisk()
    StateDirectory(empty, "n", ERA).snapshot(encode_entries(*NodeState().entries()), NOW)
    for budget in range(10**9 - empty.budget, 10**9 - whole.budget + 1):
        for torn in (True, False):
            disk = FaultyDisk(budget)
            states = run_steps(steps, disk)
            state, _ = load_state(disk.after_crash(torn))
            assert encoded(state.entries()) in states, budget


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 10**6), st.integers(0, 7))
def test_a_flipped_bit_raises_no_error_and_leaves_no_wrong_record(position, bit):
    disk = FaultyDisk()
    steps = [
        attempt_sent("a"),
        attempt_sent("b", 2.0),
        "snapshot",
        attempt_sent("c", 3.0),
        attempt_sent("d", 4.0),
    ]
    run_steps(steps, disk)
    names = sorted(disk.visible)
    name = names[position % len(names)]
    data = bytearray(disk.read(name))
    data[position // len(names) % len(data)] ^= 1 << bit
    disk.visible[name] = [bytes(data)]
    state, directory = load_state(disk)
    written = {form.ENCODER.encode(step) for step in steps if step != "snapshot"}
    found = {form.ENCODER.encode(row) for rows in state.sent.values() for row in rows}
    assert found <= written or state.lost_ms is not None
    # Guards against skipping the records after the flipped bit as if their attempts had never been sent.
    assert state.lost_ms is not None or set("abcd") <= set(state.sent)
    assert all(
        finding.code in ("torn", "foreign", "version", "clock", "lost") for finding in directory.findings
    )


def test_old_files_are_removed_and_the_previous_snapshot_is_retained():
    disk = FaultyDisk()
    directory = StateDirectory(disk, "n", ERA)
    for i in range(6):
        directory.snapshot(encode_entries(attempt_sent(f"k{i}")), NOW)
    assert len(directory.files("snapshot")) == 2
    assert len(directory.files("journal")) == 2
    newest = f"snapshot-{directory.number:010d}"
    disk.visible[newest] = [b"MARLSEAM nonsense"]
    state, reopened = load_state(disk)
    assert set(state.sent) == {"k4"}
    assert [finding.code for finding in reopened.findings] == ["torn"]
    assert state.lost_ms is None  # the earlier snapshot and its journal have all records


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"PK\3\4 something else", "foreign"),
        (form.encode_snapshot(file_header(node="other"), []), "foreign"),
        (form.encode_header(file_header("journal")), "foreign"),
        (form.encode_snapshot(file_header(version=99), []), "version"),
        (form.encode_snapshot(file_header(), [])[:-1], "torn"),
        (b"", "foreign"),
    ],
)
def test_an_unusable_file_is_reported_and_renamed_only_once_a_snapshot_notes_the_loss(data, code):
    disk = FaultyDisk()
    disk.visible["snapshot-0000000001"] = [data]
    state, directory = load_state(disk)
    assert state.lost_ms == NOW
    assert [finding.code for finding in directory.findings] == [code, "lost"]
    assert list(disk.visible) == [
        "snapshot-0000000001"
    ]  # a crash at this point must not look like a first start
    directory.snapshot(form.encode_records(state.entries()), NOW)
    assert "bad-snapshot-0000000001" in disk.visible
    state, directory = load_state(disk)
    assert state.lost_ms == pytest.approx(NOW)
    assert not directory.findings


def test_a_clock_that_was_set_back_is_reported():
    disk = FaultyDisk()
    StateDirectory(disk, "n", ERA).snapshot(encode_entries(), NOW + 3600e3)
    assert [finding.code for finding in load_state(disk)[1].findings] == ["clock"]


def test_keys_expire_once_their_deduplication_window_is_over():
    state = NodeState()
    state.apply(attempt_sent("a", until_ms=5.0))
    state.apply(attempt_sent("b", until_ms=9.0))
    list(state.expire(6.0))
    assert set(state.sent) == {"b"}


def test_an_unreadable_journal_end_is_no_loss_only_if_a_crash_explains_it():
    def state_with_journal(change):
        disk = FaultyDisk()
        run_steps([attempt_sent("a"), attempt_sent("b", 2.0)], disk)
        data = disk.read("journal-0000000001")
        disk.visible["journal-0000000001"] = [change(data)]
        return load_state(disk)[0]

    for cut in range(1, len(form.encode_record(attempt_sent("b", 2.0)))):
        state = state_with_journal(lambda data, cut=cut: data[:-cut])
        assert state.lost_ms is None
        assert set(state.sent) == {"a"}
    zeros = form.encode_record(DepartureRateStored(0.0, 1.0))  # holds eight zero bytes
    assert state_with_journal(lambda data: data + zeros[:-1]).lost_ms is None
    assert state_with_journal(lambda data: data + bytes(4096)).lost_ms is not None
    assert state_with_journal(lambda data: data[:-1] + b"x").lost_ms is not None


@pytest.mark.parametrize("missing", ["journal-0000000001", "snapshot-0000000001"])
def test_a_missing_file_counts_as_a_loss_unless_the_others_have_all_records(missing):
    disk = FaultyDisk()
    run_steps([attempt_sent("a"), "snapshot", attempt_sent("b", 2.0)], disk)
    assert load_state(disk)[0].lost_ms is None
    disk.visible["snapshot-0000000002"] = [b"MARLSEAM"]
    assert set(load_state(disk)[0].sent) == {"a", "b"}
    del disk.visible[missing]
    assert load_state(disk)[0].lost_ms is not None


def test_a_created_state_has_no_loss_and_an_empty_directory_has_one(tmp_path):
    assert load_state(FaultyDisk())[0].lost_ms == NOW
    create_state(tmp_path / "new", "n")
    state = StateDirectory(Disk(tmp_path / "new"), "n").load(time.time() * 1000.0)
    assert state.lost_ms is None
    assert not state.sent
    with pytest.raises(FileExistsError):
        create_state(tmp_path / "new", "n")


@pytest.mark.parametrize("step_ms", [-3600e3, 3600e3])
def test_a_clock_set_while_the_node_was_down_shortens_no_deduplication_window(step_ms):
    disk = FaultyDisk()
    run_steps([attempt_sent("a", NOW - 500.0, until_ms=NOW + 500.0)], disk)
    # The same start of the machine, after its clock was set an hour forward or back.
    reopened = StateDirectory(disk, "n", ClockEra(ERA.boot, ERA.zero_ms + step_ms))
    (row,) = reopened.load(NOW + 400.0 + step_ms).sent["a"]
    assert (row.sent_ms, row.until_ms) == (NOW - 500.0 + step_ms, NOW + 500.0 + step_ms)
    assert "a" not in reopened.load(NOW + 600.0 + step_ms).sent
    # Another start of the machine: the time since the first start is not known, so no server counts as
    # remembering the key, and the key itself does not expire.
    (row,) = StateDirectory(disk, "n", ClockEra("another boot", 0.0)).load(NOW + step_ms).sent["a"]
    assert row.sent_ms == 0.0
    assert row.until_ms >= NOW + step_ms + 1000.0


def test_records_that_were_written_but_not_synced_are_lost_with_the_machine():
    disk = FaultyDisk()
    run_steps([attempt_sent("a")], disk)
    assert StateDirectory(disk, "n", ERA, outlives_machine=False).load(NOW).lost_ms is None
    next_boot = ClockEra("another boot", 0.0)
    assert StateDirectory(disk, "n", next_boot, outlives_machine=False).load(NOW).lost_ms == NOW
    assert StateDirectory(disk, "n", next_boot).load(NOW).lost_ms is None


@pytest.mark.parametrize(
    ("error_number", "code"), [(errno.ENOSPC, "full"), (errno.EROFS, "read-only"), (errno.ENOENT, "vanished")]
)
def test_each_disk_error_has_its_code(error_number, code):
    disk = FaultyDisk()
    directory = StateDirectory(disk, "n")
    directory.snapshot(encode_entries(), NOW)
    disk.error = error_number
    with pytest.raises(OSError, match=os.strerror(error_number)) as error:
        directory.append([b"x"], True)
    assert code_of(error.value) == code
