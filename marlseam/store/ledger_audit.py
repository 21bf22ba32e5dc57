"""Ledgers' folders as an audit reads them."""

import fcntl
import os
from collections.abc import Iterable
from pathlib import Path

from marlseam.cluster import audit
from marlseam.cluster.audit_log import LogRecord
from marlseam.store.ledger_writer import BESIDE, LedgerWriter
from marlseam.store.state_directory import Disk


def writing(folder: Path) -> bool:
    """Return whether a process has a ledger's lock."""
    try:
        fd = os.open(folder / "lock", os.O_RDWR)
    except OSError:
        return False
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        return True
    finally:
        os.close(fd)
    return False


def read(folders: Iterable[Path], error_ms: float) -> audit.Audit:
    """Return the audit of ledgers' folders, with what is wrong with their files; raises OSError."""
    ledgers: dict[str, list[list[LogRecord]]] = {}
    running, wrong = [], []
    for folder in (path for each in folders for path in (each, each / BESIDE)):
        if folder.name == BESIDE and not folder.exists():
            continue
        ledger = LedgerWriter(Disk(folder), None)
        live = writing(folder)
        files = ledger.files()
        wrong += [f"{folder}: {f.name} code={f.code}: {f.text}" for f in ledger.findings]
        if not files and folder.name == BESIDE:
            continue  # a process that ended before it wrote
        if not files:
            wrong.append(f"{folder}: no ledger is there")
            continue
        if live:
            running.append(files[-1].node)
        ledgers.setdefault(files[-1].node, []).append([entry for file in files for entry in file.entries])
    found = audit.read(ledgers, running, error_ms)
    found.wrong = wrong + found.wrong
    return found
