"""The audit of ledgers, and the audit command."""

import json
from math import inf

import pytest
from click.testing import CliRunner
from ledgers import GENERATION, PROCESS_STARTED, interval_begun, write_ledger
from replicas import LEASE_MS

from marlseam.cli import fleet as fleet_command
from marlseam.cluster import audit
from marlseam.cluster.audit_log import (
    ActionCounts,
    BatchWritten,
    LedgerBegun,
    ProcessEnded,
    ProcessStarted,
    VersionHeld,
)
from marlseam.store import file_format
from marlseam.store.disk import Disk
from marlseam.store.state_directory import StateDirectory


@pytest.fixture
def ledger_folder(tmp_path):
    """Return the folder of a ledger with two files."""
    path = tmp_path / "n"
    write_ledger(path)
    return path


def audit_of(*entries):
    """Return the audit of the ledger of one process with these records."""
    return audit.read({"n": [[LedgerBegun(0.0), PROCESS_STARTED, *entries]]}, error_ms=10.0)


def test_each_action_belongs_to_one_interval_and_unknown_periods_are_reported():
    found = audit_of(
        interval_begun(1, 1000.0),
        interval_begun(2, 2000.0),
        ActionCounts(GENERATION, [(1, 3, 2, 1, 0), (2, 1, 1, 0, 0)], 2500.0, 0.0),
    )
    rows = audit.interval_rows(found)
    assert [(row["taken"], row["sent"], row["unknown_after"]) for row in rows] == [
        (3, 2, False),
        (1, 1, True),
    ]
    assert found.processes["n"][0].unknown == (2500.0, inf)
    assert not found.findings
    assert (
        audit_of(interval_begun(1, 1000.0), ProcessEnded(GENERATION, 3000.0, 0.0)).processes["n"][0].unknown
        is None
    )
    assert audit.interval_at(found, "n", 1500.0).begun.interval == 1
    assert audit.interval_at(found, "n", 500.0) is None


@pytest.mark.parametrize(
    ("entries", "what"),
    [
        ([interval_begun(1, 1000.0), interval_begun(3, 2000.0)], "intervals [2]"),
        (
            [
                BatchWritten(900.0),
                ProcessStarted(8, "0.1", "boot", 1e6, 0.0, LEASE_MS),
                interval_begun(2, 1e6, generation=8),
            ],
            "intervals [1]",
        ),
        ([interval_begun(1, 1000.0), ActionCounts(GENERATION, [(2, 1, 1, 1, 1)], 1500.0, 0.0)], "is missing"),
        ([interval_begun(1, 1000.0), interval_begun(1, 2000.0)], "two different intervals 1"),
        (
            [
                interval_begun(1, 1000.0),
                ActionCounts(GENERATION, [(1, 5, 5, 5, 5)], 1.0, 0.0),
                ActionCounts(GENERATION, [(1, 4, 5, 5, 5)], 2.0, 0.0),
            ],
            "fewer actions",
        ),
        ([VersionHeld(1, "x", 1.0), VersionHeld(1, "y", 1.0)], "2 contents"),
        (
            [
                interval_begun(1, 1000.0),
                VersionHeld(1, "x", 2000.0),
                ActionCounts(GENERATION, [(1, 1, 1, 1, 1)], 2000.0 + LEASE_MS + 50.0, 0.0),
                ActionCounts(GENERATION, [(1, 2, 2, 2, 2)], 2000.0 + LEASE_MS + 99.0, 0.0),
            ],
            "1 attempts sent on version 0, as proven",
        ),
        (
            [
                ActionCounts(GENERATION, [], 9000.0, 0.0),
                ProcessStarted(8, "0.1", "boot", 5000.0, 0.0, LEASE_MS),
            ],
            "generation 8 began before 7",
        ),
    ],
)
def test_an_audit_reports_violations_and_gaps(entries, what):
    assert any(what in text for text in audit_of(*entries).findings)


def test_actions_within_the_lease_or_unproven_are_not_reported_as_stale():
    lease_end_ms = 2000.0 + LEASE_MS
    counts = [
        ActionCounts(GENERATION, [(1, 1, 1, 1, 1)], lease_end_ms - 500.0, 0.0),
        ActionCounts(GENERATION, [(1, 9, 9, 9, 9)], lease_end_ms + 5.0, 0.0),
    ]
    assert not audit_of(interval_begun(1, 1000.0), VersionHeld(1, "x", 2000.0), *counts).findings
    counts = [
        ActionCounts(GENERATION, [(1, 1, 1, 1, 1)], lease_end_ms + 50.0, 0.0),
        ActionCounts(GENERATION, [(1, 9, 9, 9, 9)], lease_end_ms + 99.0, 0.0),
    ]
    assert not audit_of(
        interval_begun(1, 1000.0, proved=False), VersionHeld(1, "x", 2000.0), *counts
    ).findings


def test_actions_after_the_last_counts_are_unknown_even_if_an_interval_began_later():
    found = audit_of(
        interval_begun(1, 1000.0),
        ActionCounts(GENERATION, [(1, 3, 2, 1, 0)], 1500.0, 0.0),
        interval_begun(2, 2000.0),
    )
    assert found.processes["n"][0].unknown == (1500.0, inf)


def test_the_audit_command_reports_killed_processes_writes_a_page_and_exits_with_1_on_findings(
    ledger_folder, tmp_path
):
    page = tmp_path / "page.html"
    good = CliRunner().invoke(fleet_command.group, ["audit", str(ledger_folder), "--html", str(page)])
    assert good.exit_code == 0
    assert "its actions from" in good.output
    assert "svg" in page.read_text()
    row = json.loads(CliRunner().invoke(fleet_command.group, ["audit", str(ledger_folder), "--json"]).output)
    assert (row["node"], row["sent"]) == ("n", 4)
    path = max(ledger_folder.glob("ledger-*"))
    data = path.read_bytes()
    path.write_bytes(data[:300] + b"x" + data[301:])
    bad = CliRunner().invoke(fleet_command.group, ["audit", str(ledger_folder)])
    assert bad.exit_code == 1
    assert "WRONG" in bad.output
    assert CliRunner().invoke(fleet_command.group, ["audit"]).exit_code == 1


def test_the_audit_reports_which_node_sent_a_keyed_request_and_on_which_version(ledger_folder, tmp_path):
    (tmp_path / "state").mkdir()
    state = StateDirectory(Disk(tmp_path / "state"), "n")
    state.snapshot([], 0.0)
    attempt = file_format.AttemptSent("key-1", "pod-3", "here", 1, 1200.0, 9e15)
    state.append([file_format.encode_record(attempt)], True)
    state.close()
    arguments = ["audit", str(ledger_folder), "--store", str(tmp_path / "state"), "--unit"]
    output = CliRunner().invoke(fleet_command.group, [*arguments, "key-1"]).output
    assert "pod-3" in output
    assert "0 m" in output
    assert "not known" not in output.splitlines()[1]
    assert (
        "nothing was sent under other"
        in CliRunner().invoke(fleet_command.group, [*arguments, "other"]).output
    )
