"""Sample records and files of a node's state; times in Unix ms."""

from marlseam.store import file_format as form
from marlseam.store.clock_era import ClockEra
from marlseam.store.disk import Disk
from marlseam.store.file_format import AttemptSent
from marlseam.store.state_directory import StateDirectory

NOW = 1_000_000.0
ERA = ClockEra("this boot", 500_000.0)


def encode_entries(*entries):
    """Encode some records as frames."""
    return form.encode_records(list(entries))


def attempt_sent(key, sent_ms=1.0, server="e", until_ms=NOW * 2):
    """Return the record of an attempt on a server in zone z and cell 3."""
    return AttemptSent(key, server, "z", 3, sent_ms, until_ms)


def file_header(kind="snapshot", version=form.FORMAT_VERSION, node="n", number=1):
    """Return the header of a state file."""
    return form.FileHeader(kind, version, node, number, NOW, *ERA)


def load_state(disk, node="n"):
    """Return the state that a node reads from a disk, and the directory."""
    directory = StateDirectory(disk, node, ERA)
    return directory.load(NOW), directory


def keys_on_disk(store):
    """Return the idempotency keys in the files of a store."""
    return set(StateDirectory(Disk(store.path), None).load(0.0).sent)
