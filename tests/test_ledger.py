"""Ledgers: recovery after a restart, detection of damage, and retention of files."""

import resource

import pytest
from click.testing import CliRunner
from ledgers import load_ledger, write_ledger

from marlseam.cli import fleet as fleet_command
from marlseam.cluster.audit_log import OperatorOverride, encode
from marlseam.store import file_format, ledger_audit
from marlseam.store.disk import Disk


@pytest.fixture
def ledger_folder(tmp_path):
    """Return the directory of a ledger with two files."""
    path = tmp_path / "n"
    write_ledger(path)
    return path


def test_a_ledger_recovers_what_was_written_over_several_files(ledger_folder):
    for _ in range(3):
        recovered, ledger = load_ledger(ledger_folder)
        assert recovered.votes_excluded_up_to == 0
        assert recovered.operator_override == "w"
        assert recovered.promises[3].ballot == (2, "p")
        assert not ledger.findings
        ledger.compact()
        ledger.close()


def test_a_ledger_truncated_at_any_byte_is_read_up_to_that_byte(ledger_folder):
    path = max(ledger_folder.glob("ledger-*"))
    whole = path.read_bytes()
    for size in range(len(whole) - 1, 0, -7):
        with path.open("r+b") as file:
            file.truncate(size)
        recovered, ledger = load_ledger(ledger_folder)
        assert not [finding for finding in ledger.findings if finding.code in ("chain", "damaged")]
        assert recovered.begun
        assert recovered.votes_excluded_up_to == 0 or [finding.code for finding in ledger.findings] == [
            "lost"
        ]


def test_a_changed_byte_breaks_the_chain_and_the_node_does_not_vote(ledger_folder):
    path = max(ledger_folder.glob("ledger-*"))
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 1
    path.write_bytes(data)
    recovered, ledger = load_ledger(ledger_folder)
    assert recovered.votes_excluded_up_to is None
    assert {"damaged", "lost"} <= {finding.code for finding in ledger.findings}


def test_a_removed_record_breaks_the_chain(ledger_folder):
    path = max(ledger_folder.glob("ledger-*"))
    data = path.read_bytes()
    ends = [end for end, _ in file_format.iterate_payloads(data)]
    path.write_bytes(data[: ends[-3]] + data[ends[-2] :])
    assert "chain" in {finding.code for finding in load_ledger(ledger_folder)[1].findings}


def test_a_restored_or_copied_file_and_an_empty_directory_are_detected(ledger_folder, tmp_path):
    path = max(ledger_folder.glob("ledger-*"))
    data, stat = path.read_bytes(), path.stat()
    copy = path.with_name("copy")
    copy.write_bytes(data)
    copy.rename(path)
    recovered, ledger = load_ledger(ledger_folder)
    assert recovered.votes_excluded_up_to is None
    assert "copy" in ledger.findings[-1].text
    assert load_ledger(tmp_path)[0].votes_excluded_up_to is None  # a directory without a ledger
    assert stat.st_ino != path.stat().st_ino


def test_a_file_overwritten_in_place_is_detected_by_its_change_time(ledger_folder, monkeypatch):
    real = Disk.identity

    def changed_a_minute_later(disk, name):
        inode, changed_ms = real(disk, name)
        return inode, changed_ms + 60000.0

    monkeypatch.setattr(Disk, "identity", changed_a_minute_later)
    recovered, ledger = load_ledger(ledger_folder)
    assert recovered.votes_excluded_up_to is None
    assert "changed by another" in ledger.findings[-1].text


def test_a_full_disk_leaves_no_file_that_hides_the_last_valid_one(ledger_folder):
    _, ledger = load_ledger(ledger_folder)
    soft_limit, hard_limit = resource.getrlimit(resource.RLIMIT_FSIZE)
    resource.setrlimit(resource.RLIMIT_FSIZE, (0, hard_limit))
    try:
        for _ in range(4):
            with pytest.raises(OSError, match="File too large"):
                ledger.compact()
    finally:
        resource.setrlimit(resource.RLIMIT_FSIZE, (soft_limit, hard_limit))
    recovered, ledger = load_ledger(ledger_folder)
    assert recovered.votes_excluded_up_to == 0
    assert recovered.operator_override == "w"
    assert ledger.compact() == []
    ledger.close()


def test_only_the_newest_ledger_files_are_retained(ledger_folder, monkeypatch):
    monkeypatch.setattr("marlseam.store.ledger_writer.MAX_LEDGER_FILES", 3)
    _, ledger = load_ledger(ledger_folder)
    for _ in range(6):
        ledger.compact()
    ledger.close()
    assert len(list(ledger_folder.glob("ledger-*"))) == 3
    assert load_ledger(ledger_folder)[0].operator_override == "w"
    assert ledger_audit.read([ledger_folder], 10.0).findings == []


def test_a_second_begin_of_a_ledger_exits_with_1(tmp_path):
    arguments = ["begin", str(tmp_path / "l"), "n"]
    assert CliRunner().invoke(fleet_command.group, arguments).exit_code == 0
    again = CliRunner().invoke(fleet_command.group, arguments)
    assert again.exit_code == 1
    assert "ledger already" in again.output


def test_the_end_of_an_override_survives_a_new_ledger_file(ledger_folder):
    _, ledger = load_ledger(ledger_folder)
    ledger.compact()
    ledger.append([encode(OperatorOverride(False, "", 99.0))], True)
    ledger.compact()
    ledger.compact()
    ledger.close()
    recovered, _ = load_ledger(ledger_folder)
    assert recovered.operator_override is None
    assert recovered.override_ms == 99.0
