"""Reads the directories of ledgers for an audit."""

import fcntl
import os
from collections.abc import Iterable
from pathlib import Path

from marlseam.cluster import audit
from marlseam.cluster.audit_log import LogRecord
from marlseam.store.disk import Disk
from marlseam.store.ledger_writer import BESIDE, LedgerWriter


def is_being_written(folder: Path) -> bool:
    """Return whether a process holds a ledger's lock."""
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
    """Audit the ledgers in some directories, findings about their files included; raises OSError.

    A process that started while another process of its node held the ledger wrote to the subdirectory BESIDE,
    which is read together with its parent. `error_ms` is the maximum difference of two machines' clocks.
    """
    ledgers: dict[str, list[list[LogRecord]]] = {}
    running_nodes: list[str] = []
    findings: list[str] = []
    for folder in (path for parent in folders for path in (parent, parent / BESIDE)):
        is_beside = folder.name == BESIDE
        if is_beside and not folder.exists():
            continue
        ledger = LedgerWriter(Disk(folder), None)
        is_running = is_being_written(folder)
        files = ledger.files()
        findings += [
            f"{folder}: {finding.name} code={finding.code}: {finding.text}" for finding in ledger.findings
        ]
        if not files:
            if not is_beside:  # an empty BESIDE is left by a process that ended before it wrote
                findings.append(f"{folder}: no ledger file found")
            continue
        node = files[-1].node
        if is_running:
            running_nodes.append(node)
        ledgers.setdefault(node, []).append([record for file in files for record in file.records])
    result = audit.read(ledgers, running_nodes, error_ms)
    result.findings = findings + result.findings
    return result
