"""Reads ledgers' folders for an audit."""

import fcntl
import os
from collections.abc import Iterable
from pathlib import Path

from marlseam.cluster import audit
from marlseam.cluster.audit_log import LogRecord
from marlseam.store.disk import Disk
from marlseam.store.ledger_writer import BESIDE, LedgerWriter


def is_being_written(folder: Path) -> bool:
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
    """Return the audit of ledgers' folders, with what is wrong with their files; raises OSError.

    A process that began beside another one wrote to a folder in the node's own, which is read with it.
    """
    ledgers: dict[str, list[list[LogRecord]]] = {}
    running_nodes: list[str] = []
    findings: list[str] = []
    for folder in (path for each in folders for path in (each, each / BESIDE)):
        is_beside = folder.name == BESIDE
        if is_beside and not folder.exists():
            continue
        ledger = LedgerWriter(Disk(folder), None)
        is_running = is_being_written(folder)
        files = ledger.files()
        findings += [f"{folder}: {found.name} code={found.code}: {found.text}" for found in ledger.findings]
        if not files:
            if not is_beside:  # beside, a process ended before it wrote
                findings.append(f"{folder}: no ledger is there")
            continue
        node = files[-1].node
        if is_running:
            running_nodes.append(node)
        ledgers.setdefault(node, []).append([record for file in files for record in file.records])
    result = audit.read(ledgers, running_nodes, error_ms)
    result.findings = findings + result.findings
    return result
