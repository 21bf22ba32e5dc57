"""Sample ledgers, written and read."""

from replicas import LEASE_MS

from marlseam.cluster.audit_log import (
    AcceptorPromise,
    ActionCounts,
    IntervalBegun,
    OperatorOverride,
    ProcessStarted,
    encode,
)
from marlseam.store.disk import Disk
from marlseam.store.ledger_writer import LedgerWriter, create_ledger

GENERATION = 7
PROCESS_STARTED = ProcessStarted(GENERATION, "0.1", "boot", 1000.0, 0.0, LEASE_MS)


def interval_begun(number, at_ms, version=0, proved=True, generation=GENERATION):
    return IntervalBegun(generation, number, "0.1", version, "", "m", 3, proved, True, "", at_ms, at_ms)


def write_ledger(path):
    """Write a ledger of two files: a process with one interval, a promise, an override and its counts."""
    create_ledger(path, "n")
    ledger = LedgerWriter(Disk(path), "n")
    ledger.compact()
    records = [
        PROCESS_STARTED,
        interval_begun(1, 1000.0),
        AcceptorPromise(3, 2, "p", 1, "q", "v"),
        OperatorOverride(True, "w", 1.0),
    ]
    ledger.append([encode(record) for record in records], True)
    counts = ActionCounts(GENERATION, [(1, 5, 4, 3, 2)], 1500.0, 500.0)
    ledger.append([encode(counts)], True)
    ledger.close()


def load_ledger(path):
    """Return the recovered log of a ledger, and the ledger."""
    ledger = LedgerWriter(Disk(path), "n")
    return ledger.load(), ledger
