"""Checks whether a node can use a directory of the store; leaves the directory's content unchanged."""

import time
from collections.abc import Callable
from contextlib import ExitStack
from pathlib import Path
from typing import NamedTuple

from marlseam.configuration import ClusterSettings, ConfigError, StoreSettings
from marlseam.store.disk import Disk, directory_lock
from marlseam.store.errors import Finding, code_of
from marlseam.store.ledger_writer import LedgerWriter
from marlseam.store.state_directory import StateDirectory

TRIAL_FILE = "trial"


class DirectorySummary(NamedTuple):
    """A directory's content, as a line that begins with its kind, and the findings about its files."""

    text: str
    findings: list[Finding]


def check_directory(path: Path, key: str, summarize: Callable[[Disk], DirectorySummary]) -> None:
    """Lock a directory, write and sync a file in it, and read it; print its summary and findings.

    Raises ConfigError with the setting's key if the directory cannot be used.
    """
    with ExitStack() as stack:
        try:
            stack.enter_context(directory_lock(path))
        except OSError as error:
            raise _unusable(
                path, key, "a writable directory that no other process has locked", error
            ) from None
        disk = Disk(path)
        try:
            sync_ms = _time_sync(disk)
            summary = summarize(disk)
        except OSError as error:
            raise _unusable(path, key, "a writable directory", error) from None
    print(f"{summary.text}, a sync takes {sync_ms:.1f} ms")
    kind = summary.text.split()[0]
    for finding in summary.findings:
        print(f"{kind} file or directory {finding.name or path} code={finding.code}: {finding.text}")


def _unusable(path: Path, key: str, expected: str, error: OSError) -> ConfigError:
    """Return the error for a directory on which a system call failed."""
    return ConfigError(key, str(path), f"{expected} ({code_of(error)}: {error.strerror})")


def _time_sync(disk: Disk) -> float:
    """Write, sync and remove a file; return the time in ms until it was durable."""
    descriptor = disk.open(TRIAL_FILE)
    try:
        began = time.perf_counter()
        disk.write(descriptor, b"marlseam")
        disk.sync(descriptor)
        return (time.perf_counter() - began) * 1000.0
    finally:
        disk.close(descriptor)
        disk.remove(TRIAL_FILE)


def check_state(settings: StoreSettings, node: str) -> None:
    """Check a node's state directory; raises ConfigError if it cannot be used."""

    def summarize(disk: Disk) -> DirectorySummary:
        """Return the number of servers and keys in the state."""
        directory = StateDirectory(disk, node)
        state = directory.load(time.time() * 1000.0)
        listed = len(state.listed.rows) if state.listed else 0
        text = f"state in {disk.path}: {listed} servers, {len(state.sent)} keys"
        return DirectorySummary(text, directory.findings)

    check_directory(Path(settings.folder), "store.folder", summarize)


def check_ledger(settings: ClusterSettings, node: str) -> None:
    """Check a ledger's directory; raises ConfigError if it is not set or cannot be used."""

    def summarize(disk: Disk) -> DirectorySummary:
        """Return the ledger's version and whether its node votes."""
        ledger = LedgerWriter(disk, node)
        recovered = ledger.load()
        number = recovered.held.number if recovered.held is not None else 0
        votes = "votes" if recovered.votes_excluded_up_to is not None else "does not vote at first"
        return DirectorySummary(f"ledger in {disk.path}: version {number}, {votes}", ledger.findings)

    if settings.folder is None:
        raise ConfigError("fleet.folder", "", "a directory")
    check_directory(Path(settings.folder), "fleet.folder", summarize)
