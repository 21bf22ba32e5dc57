"""Settings of the store, and the operator commands for a state directory."""

import json
import os
import time

import pytest
from click.testing import CliRunner
from state_samples import attempt_sent, encode_entries

from marlseam.__main__ import main
from marlseam.configuration import ConfigError, StoreSettings
from marlseam.store import check
from marlseam.store.disk import Disk, lock_directory
from marlseam.store.file_format import ListStored
from marlseam.store.state_directory import StateDirectory


@pytest.mark.parametrize(
    ("text", "key"),
    [
        ("[stor]\n", "stor"),
        ("[store]\nfoldr = 'x'\n", "store.foldr"),
        ("[store]\n", "store.folder"),
        ("[store]\nfolder = 'x'\nsync = 'no'\n", "store.sync"),
        ("nonsense", "MARLSEAM_SETTINGS"),
        ("[store]\nfolder = 'x'\njournal_mb = -1\n", "store.journal_mb"),
    ],
)
def test_the_error_for_an_invalid_setting_names_its_key(at_fault, text, key):
    assert at_fault(text) == key


def test_the_state_commands_show_verify_export_and_begin_a_state(tmp_path):
    directory = StateDirectory(Disk(tmp_path), "n")
    now_ms = time.time() * 1000.0
    directory.snapshot(
        encode_entries(ListStored(4, [{"host": "h"}], now_ms), attempt_sent("a", until_ms=now_ms + 9e5)),
        now_ms,
    )
    directory.close()

    def run(command):
        return CliRunner().invoke(main, ["state", command, str(tmp_path)])

    assert "1 servers, version 4" in run("show").output
    assert "1 keys" in run("show").output
    assert run("verify").exit_code == 0
    rows = [json.loads(line) for line in run("export").output.splitlines()]
    assert {row["entry"] for row in rows} == {"turned", "listed", "sent"}
    assert run("begin").exit_code == 2
    assert "known" not in run("show").output
    (tmp_path / "journal-0000000001").write_bytes(b"odd")
    assert run("verify").exit_code == 1
    assert "code=foreign" in run("verify").output
    assert (tmp_path / "journal-0000000001").exists()
    assert "is not known" in run("show").output
    second = CliRunner().invoke(main, ["state", "begin", str(tmp_path), "n"])
    assert second.exit_code == 1
    assert "there is a state" in second.output
    first = CliRunner().invoke(main, ["state", "begin", str(tmp_path / "new"), "n"])
    assert first.exit_code == 0
    assert (tmp_path / "new" / "snapshot-0000000001").exists()
    assert CliRunner().invoke(main, ["state", "show", str(tmp_path / "none")]).exit_code == 1


def test_check_writes_to_the_directory_and_rejects_a_locked_one(tmp_path, capsys):
    check.check_state(StoreSettings(str(tmp_path / "s"), "durable", 8.0, 100.0), "n")
    assert "a sync takes" in capsys.readouterr().out
    assert os.listdir(tmp_path / "s") == ["lock"]
    lock_fd = lock_directory(tmp_path / "s")
    with pytest.raises(ConfigError, match="locked"):
        check.check_state(StoreSettings(str(tmp_path / "s"), "durable", 8.0, 100.0), "n")
    os.close(lock_fd)
