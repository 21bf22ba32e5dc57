"""Durable state on a file system that fails at each call and each byte, against a plain model."""

import errno
import json
import os
import time

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from marlseam.__main__ import main
from marlseam.config import ConfigError, StoreSettings, own_settings
from marlseam.net.log import Log
from marlseam.store import format as form
from marlseam.store.folder import Disk, Folder, lock
from marlseam.store.format import Heard, Listed, NeverRan, Sent, Turned
from marlseam.store.keeper import Keeper
from marlseam.store.state import State

NOW = 1_000_000.0


class Crashed(Exception):
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
            raise Crashed
        self.seen.setdefault(name, [])
        fd = len(self.fds) + 1
        self.fds[fd] = [self.seen[name], 0 if not self.seen[name] else len(b"".join(self.seen[name]))]
        return fd

    def write(self, fd, data):
        took = self.spend(len(data))
        self.fds[fd][0].append(data[:took])
        if took < len(data):
            raise Crashed
        return took

    def sync(self, fd):
        if not self.spend():
            raise Crashed
        self.fds[fd][1] = len(b"".join(self.fds[fd][0]))

    def close(self, fd):
        pass

    def rename(self, old, new):
        if not self.spend():
            raise Crashed
        self.seen[new] = self.seen.pop(old)

    def remove(self, name):
        if not self.spend():
            raise Crashed
        self.seen.pop(name, None)

    def sync_folder(self):
        if not self.spend():
            raise Crashed
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
    return form.frames(list(entries))


def sent(key, at=1.0, executor="e", until=NOW * 2):
    return Sent(key, executor, "z", 3, at, until)


def loaded(disk, node="n"):
    folder = Folder(disk, node)
    return folder.load(NOW), folder


KEYS = st.sampled_from("abcde")
ENTRIES = st.one_of(
    st.builds(sent, KEYS, st.integers(1, 5).map(float)),
    st.builds(lambda key, at: NeverRan(key, "e", float(at)), KEYS, st.integers(1, 5)),
    st.builds(lambda v: Listed(v, [{"host": f"h{v}"}], float(v)), st.integers(1, 9)),
    st.builds(lambda t: Heard(float(t)), st.integers(10, 20)),
    st.builds(lambda d: Turned(float(d), 1.0), st.integers(0, 5)),
)
STEPS = st.lists(st.one_of(ENTRIES, st.just("snapshot")), max_size=25)


def play(steps, disk):
    """Append, sync and compact.

    Return the states that may be found after a crash: the durable one and all later.
    """
    folder, model = Folder(disk, "n"), State()
    states = [model.entries()]
    folder.snapshot(frames(*model.entries()), NOW)
    try:
        for step in steps:
            if step == "snapshot":
                folder.snapshot(frames(*model.entries()), NOW)
            else:
                model.apply(step)
                states.append(model.entries())
                folder.append(form.frame(step), True)
                states[:] = states[-1:]
    except Crashed:
        pass
    return [plain(entries) for entries in states]


def plain(entries):
    return sorted(form.ENCODER.encode(entry) for entry in entries)


@settings(max_examples=150, deadline=None)
@given(STEPS, st.integers(0, 2500), st.booleans())
def test_a_crash_at_any_byte_leaves_the_durable_state_or_the_next(steps, more, torn):
    empty = FaultyDisk()
    Folder(empty, "n").snapshot(frames(*State().entries()), NOW)
    disk = FaultyDisk(10**9 - empty.budget + more)
    states = play(steps, disk)
    state, _ = loaded(disk.after_crash(torn))
    assert plain(state.entries()) in states


def test_every_single_byte_of_a_snapshot_and_an_append_is_a_safe_place_to_crash():
    steps = [sent("a"), "snapshot", sent("b"), NeverRan("a", "e", 1.0), Listed(3, [{"host": "h"}], 5.0)]
    whole = FaultyDisk()
    play(steps, whole)
    empty = FaultyDisk()
    Folder(empty, "n").snapshot(frames(*State().entries()), NOW)
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
    state, folder = loaded(disk)
    good = {form.ENCODER.encode(step) for step in steps if step != "snapshot"}
    found = {form.ENCODER.encode(row) for rows in state.sent.values() for row in rows}
    assert found <= good and {"a", "b"} <= set(state.sent)
    assert all(finding.code in ("torn", "foreign", "version", "clock") for finding in folder.findings)


def test_files_are_compacted_and_the_last_good_snapshot_is_kept():
    disk = FaultyDisk()
    folder = Folder(disk, "n")
    for i in range(6):
        folder.snapshot(frames(sent(f"k{i}")), NOW)
    assert len(folder.files("snapshot")) == 2 and len(folder.files("journal")) == 2
    newest = f"snapshot-{folder.number:010d}"
    disk.seen[newest] = [b"MARLSEAM nonsense"]
    state, again = loaded(disk)
    assert set(state.sent) == {"k4"} and again.findings[0].code == "torn" and f"bad-{newest}" in disk.seen


@pytest.mark.parametrize(
    ("data", "code"),
    [
        (b"PK\3\4 something else", "foreign"),
        (form.snapshot("other", 1, NOW, []), "foreign"),
        (form.begin("journal", "n", 1, NOW), "foreign"),
        (form.MAGIC + form.frame(form.Head("snapshot", 99, "n", 1, NOW)), "version"),
        (form.snapshot("n", 1, NOW, [])[:-1], "torn"), (b"", "foreign"),
    ],
)  # fmt: skip
def test_a_file_that_cannot_be_used_is_set_aside_with_its_code(data, code):
    disk = FaultyDisk()
    disk.seen["snapshot-0000000001"] = [data]
    state, folder = loaded(disk)
    assert state.entries() == State().entries() and [f.code for f in folder.findings] == [code]
    assert list(disk.seen) == ["bad-snapshot-0000000001"]


def test_a_clock_that_was_set_back_is_told():
    disk = FaultyDisk()
    Folder(disk, "n").snapshot(frames(), NOW + 3600e3)
    assert [finding.code for finding in loaded(disk)[1].findings] == ["clock"]


def test_keys_die_with_their_pods_memory():
    state = State()
    state.apply(sent("a", until=5.0))
    state.apply(sent("b", until=9.0))
    state.expire(6.0)
    assert set(state.sent) == {"b"}


# The node's side, with a real helper on a real folder.


@pytest.fixture
def keeper(loop, tmp_path):
    """Return a maker of keepers on one folder; all are closed at the end."""
    made = []

    def build(held=(), path=tmp_path / "state", **options):
        values = {"sync": "durable", "journal_mb": 8.0, "wait_ms": 5000.0} | options
        keeper = Keeper(loop, Log("n", loop.now), StoreSettings(str(path), **values), "n", lambda: list(held))
        made.append(keeper)
        return keeper

    yield build
    for keeper in made:
        keeper.close()


def test_what_is_durable_is_there_after_the_process_is_killed(keeper, loop, until):
    first = keeper()
    assert first.load().entries() == State().entries()
    first.begin()
    seen = []

    def wait():
        yield from first.durable(first.append(sent("a", until=time.time() * 2000.0)))
        seen.append("durable")

    loop.spawn(wait())
    until(lambda: seen)
    first.process.kill()  # as the whole node would be
    first.process.wait()
    assert "a" in Folder(Disk(first.path), "n").load(0.0, change=False).sent


def test_entries_of_a_nodes_first_moments_go_behind_its_first_snapshot(keeper, loop, until):
    first = keeper()
    folder = Folder(Disk(first.path), "n")
    first.path.mkdir()
    folder.snapshot(form.frames([sent("old", until=time.time() * 2000.0)]), 0.0)
    folder.close()
    first.load()
    first.begin()
    number = first.append(sent("new", until=time.time() * 2000.0))
    until(lambda: first.done >= number)
    first.close()
    assert set(Folder(Disk(first.path), "n").load(0.0, change=False).sent) == {"old", "new"}


def test_two_nodes_on_one_folder_the_second_goes_on_without(keeper, loop, until, capsys, monkeypatch):
    monkeypatch.setattr("marlseam.store.keeper.LOCK_S", 0.05)
    first, second = keeper(), keeper()
    first.load()
    assert second.load().entries() == State().entries()
    assert "code=locked" in capsys.readouterr().err
    assert second.append(sent("a")) == 0


def test_a_disk_that_fails_is_told_once_and_tried_again(keeper, loop, until, capsys, monkeypatch):
    monkeypatch.setattr("marlseam.store.keeper.BACK_MS", 10.0)
    part = keeper()
    part.load()
    part.begin()
    until(lambda: part.told)
    part.answer({"failed": "full", "text": "No space left on device", "done": part.done})
    assert not part.works and part.append(sent("a")) == 0
    until(lambda: part.told)
    err = capsys.readouterr().err
    assert err.count("code=full") == 1 and err.count("state is kept") == 2


@pytest.mark.parametrize("number", [errno.ENOSYS, errno.EINVAL])
def test_where_no_process_may_be_started_work_goes_on_without(
    keeper, loop, until, capsys, monkeypatch, number
):
    def refused(*words, **named):
        raise OSError(number, "refused")

    monkeypatch.setattr("marlseam.store.keeper.subprocess.Popen", refused)
    monkeypatch.setattr("marlseam.store.keeper.BACK_MS", 10.0)
    part = keeper()
    part.load()
    part.begin()
    until(lambda: part.back_ms > 40.0)  # it was tried more than once
    assert part.append(sent("a")) == 0
    assert capsys.readouterr().err.count("code=unsupported") == 1


def test_a_slow_disk_holds_nothing_longer_than_its_patience(keeper, loop, until, capsys):
    part = keeper(wait_ms=1.0)
    part.load()
    part.begin()
    part.process.send_signal(19)  # SIGSTOP: a disk that hangs
    seen = []

    def wait():
        yield from part.durable(part.append(sent("a")))
        seen.append("went on")

    loop.spawn(wait())
    until(lambda: seen)
    part.process.send_signal(18)
    assert "code=slow" in capsys.readouterr().err


def test_a_helper_that_ends_is_followed_by_another(keeper, loop, until, monkeypatch):
    monkeypatch.setattr("marlseam.store.keeper.BACK_MS", 10.0)
    part = keeper()
    part.load()
    part.begin()
    until(lambda: part.told)
    before = part.process
    before.kill()
    until(lambda: part.process is not before and part.told)
    assert part.works


@pytest.mark.parametrize(
    ("number", "code"), [(errno.ENOSPC, "full"), (errno.EROFS, "read-only"), (errno.ENOENT, "vanished")]
)
def test_each_failure_has_its_code(number, code):
    from marlseam.store.folder import code_of

    disk = FaultyDisk()
    folder = Folder(disk, "n")
    folder.snapshot(frames(), NOW)
    disk.error = number
    with pytest.raises(OSError) as error:
        folder.append(b"x", True)
    assert code_of(error.value) == code


# Settings and staff's commands.


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[stor]\n", "stor"), ("[store]\nfoldr = 'x'\n", "store.foldr"), ("[store]\n", "store.folder"),
        ("[store]\nfolder = 'x'\nsync = 'no'\n", "store.sync"), ("nonsense", "MARLSEAM_SETTINGS"),
        ("[store]\nfolder = 'x'\njournal_mb = -1\n", "store.journal_mb"),
    ],
)  # fmt: skip
def test_a_wrong_setting_is_named(tmp_path, text, key):
    path = tmp_path / "own.toml"
    path.write_text(text)
    with pytest.raises(ConfigError) as error:
        own_settings(str(path))
    assert error.value.key == key


def test_staff_see_what_a_folder_holds(tmp_path):
    folder = Folder(Disk(tmp_path), "n")
    now = time.time() * 1000.0
    folder.snapshot(frames(Listed(4, [{"host": "h"}], now), sent("a", until=now + 9e5)), now)
    folder.close()

    def run(command):
        return CliRunner().invoke(main, ["state", command, str(tmp_path)])

    assert "1 executors, version 4" in run("show").output and "1 keys" in run("show").output
    assert run("verify").exit_code == 0
    rows = [json.loads(line) for line in run("export").output.splitlines()]
    assert {row["entry"] for row in rows} == {"turned", "listed", "sent"}
    (tmp_path / "journal-0000000001").write_bytes(b"odd")
    assert run("verify").exit_code == 1 and "code=foreign" in run("verify").output
    assert (tmp_path / "journal-0000000001").exists()
    assert CliRunner().invoke(main, ["state", "show", str(tmp_path / "none")]).exit_code == 1


def test_check_tries_the_folder(tmp_path, capsys):
    from marlseam.store import check

    check.test(StoreSettings(str(tmp_path / "s"), "durable", 8.0, 100.0), "n")
    assert "a sync takes" in capsys.readouterr().out and os.listdir(tmp_path / "s") == ["lock"]
    held = lock(tmp_path / "s")
    with pytest.raises(ConfigError, match="locked"):
        check.test(StoreSettings(str(tmp_path / "s"), "durable", 8.0, 100.0), "n")
    os.close(held)
