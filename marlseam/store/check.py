"""Whether a folder serves: tried as a node would use it, and left as it was."""

import os
import time
from collections.abc import Callable
from pathlib import Path

from marlseam.configuration import ClusterSettings, ConfigError, StoreSettings
from marlseam.store.ledger_writer import LedgerWriter
from marlseam.store.state_directory import Disk, Finding, StateDirectory, code_of, lock

TRIAL = "trial"


def tried(path: Path, key: str, read: Callable[[Disk], tuple[str, list[Finding]]]) -> None:
    """Lock a folder, write and sync a file in it, and read it; print what `read` tells and what is wrong.

    Raise ConfigError with the key where it does not serve.
    """
    try:
        held = lock(path)
    except OSError as error:
        expected = f"a folder that this node alone may write ({code_of(error)}: {error.strerror})"
        raise ConfigError(key, str(path), expected) from None
    disk = Disk(path)
    try:
        fd = disk.open(TRIAL)
        try:
            began = time.perf_counter()
            disk.write(fd, b"marlseam")
            disk.sync(fd)
            took = (time.perf_counter() - began) * 1000.0
        finally:
            disk.close(fd)
            disk.remove(TRIAL)
        told, findings = read(disk)
    except OSError as error:
        expected = f"a folder that can be written ({code_of(error)}: {error.strerror})"
        raise ConfigError(key, str(path), expected) from None
    finally:
        os.close(held)
    print(f"{told}, a sync takes {took:.1f} ms")
    for finding in findings:
        print(f"{told.split()[0]} file {finding.name or path} code={finding.code}: {finding.text}")


def test(settings: StoreSettings, node: str) -> None:
    """Try a state folder; raise ConfigError with what is wrong."""

    def read(disk: Disk) -> tuple[str, list[Finding]]:
        folder = StateDirectory(disk, node)
        state = folder.load(time.time() * 1000.0)
        listed = len(state.listed.rows) if state.listed else 0
        return f"state in {disk.path}: {listed} executors, {len(state.sent)} keys", folder.findings

    tried(Path(settings.folder), "store.folder", read)


def test_ledger(settings: ClusterSettings, node: str) -> None:
    """Try a ledger's folder; raise ConfigError with what is wrong."""

    def read(disk: Disk) -> tuple[str, list[Finding]]:
        ledger = LedgerWriter(disk, node)
        kept = ledger.load()
        number = kept.held.number if kept.held is not None else 0
        votes = "votes" if kept.bar is not None else "does not vote at first"
        return f"ledger in {disk.path}: version {number}, {votes}", ledger.findings

    tried(Path(settings.folder), "fleet.folder", read)
