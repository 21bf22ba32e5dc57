"""Configuration: values read, defaults, and errors that name the key at fault."""

import copy
import json
import signal
import subprocess
import sys

import pytest
from click.testing import CliRunner
from settings_samples import OPTIONS

from marlseam.__main__ import main
from marlseam.configuration import ConfigError, deployment_from, load

VALID = {"listen": "127.0.0.1:8443", "discovery": "127.0.0.1:8500", "seed": "ff", "settings": OPTIONS}


@pytest.fixture
def write_config(tmp_path):
    """Return a function that writes the valid configuration with one entry changed, and returns its path."""

    def write_changed(key="", value=None):
        values = copy.deepcopy(VALID)
        if key:
            *tables, last = key.split(".")
            table = values
            for name in tables:
                table = table[int(name)] if isinstance(table, list) else table.setdefault(name, {})
            table[last] = value
        path = tmp_path / "node.json"
        path.write_text(json.dumps(values))
        return str(path)

    return write_changed


def test_a_valid_file_is_read(write_config):
    config = load(write_config(), {})
    assert (config.listen, config.seed, config.sockets) == (("127.0.0.1", 8443), 255, 1024)


def test_the_environment_takes_precedence_over_the_file(write_config):
    config = load(write_config(), {"EDGE_LISTEN": "[::1]:99", "EDGE_NAME": "n7"})
    assert (config.listen, config.name) == (("::1", 99), "n7")


def test_times_in_microseconds_are_converted_to_milliseconds(deployment):
    assert deployment.settings.request_classes[0].latency_objective_ms == 200.0
    assert deployment.keepalive_ms == 1000.0


def test_missing_settings_permit_nothing():
    settings = deployment_from({"requestClasses": [{"name": "x"}]}).settings
    assert not settings.may_cancel
    assert not settings.may_probe
    assert not settings.may_hedge
    assert not settings.max_retry_after_ms


def test_ordering_and_draining_settings_are_read_and_off_by_default():
    request_class = {"name": "x", "oneAtATime": True}
    guarantees = {"turnGapUs": 50000, "drainBindsAlone": True}
    settings = deployment_from({"requestClasses": [request_class], "guarantees": guarantees}).settings
    assert settings.request_classes[0].ordered_by_key
    assert settings.key_gap_ms == 50.0
    assert settings.only_draining_excludes
    settings = deployment_from({"requestClasses": [{"name": "x"}]}).settings
    assert not settings.request_classes[0].ordered_by_key
    assert settings.key_gap_ms == 0.0
    assert not settings.only_draining_excludes


def test_an_extra_field_of_load_reports_has_the_meaning_given_in_the_settings(deployment):
    assert deployment.report_names["x0"] == "free_slots"
    assert "x1" not in deployment.report_names


@pytest.mark.parametrize(
    ("key", "value", "message_start"),
    [
        ("listen", "nowhere", "listen: 'nowhere'"),
        ("listen", None, "listen: missing"),
        ("discovery", "h:99999", "discovery: 'h:99999'"),
        ("seed", "xyz", "seed: 'xyz'"),
        ("limits.sockets", "many", "limits.sockets: 'many'"),
        ("limits.memory_mb", -1, "limits.memory_mb: -1"),
        ("settings", [], "settings: []"),
        ("settings.requestClasses", [], "settings.requestClasses: []"),
        ("settings.requestClasses.1.semantics", "odd", "settings.requestClasses[1].semantics: 'odd'"),
        ("settings.requestClasses.0.aimUs", float("nan"), "settings.requestClasses[0].aimUs: nan"),
        ("settings.ceilings.cancel", "yes", "settings.ceilings.cancel: 'yes'"),
        ("settings.familyInfo.classStretch", "long", "settings.familyInfo.classStretch: 'long'"),
        ("settings.dcs", [1], "settings.dcs: [1]"),
        ("settings.ceilings.sendCap", 10**400, "settings.ceilings.sendCap: 1000"),
        ("settings.familyInfo.classKind", [float("nan")], "settings.familyInfo.classKind: [nan]"),
        ("settings.zone", ["here"], "settings.zone: ['here']"),
    ],
)
def test_the_error_for_an_invalid_entry_names_its_key_and_value(write_config, key, value, message_start):
    with pytest.raises(ConfigError, match=".") as raised:
        load(write_config(key, value), {})
    assert str(raised.value).startswith(message_start)
    assert ", expected " in str(raised.value)


def test_an_invalid_configuration_exits_with_2_and_one_line(write_config):
    result = CliRunner().invoke(main, ["check", "--config", write_config("seed", "xyz")])
    assert (result.exit_code, result.stderr.count("\n")) == (2, 1)


def test_no_configuration_exits_with_2(monkeypatch):
    monkeypatch.delenv("EDGE_CONFIG", raising=False)
    monkeypatch.setattr(signal, "pthread_sigmask", lambda *_: None)
    assert CliRunner().invoke(main, ["serve"]).exit_code == 2


def test_the_command_line_does_not_import_the_module_for_the_version():
    code = "import sys, marlseam.__main__; sys.exit('importlib.metadata' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


def test_check_of_a_valid_configuration_exits_with_0(write_config):
    assert CliRunner().invoke(main, ["check", "--config", write_config()]).exit_code == 0


def test_a_changed_entry_of_the_file_takes_precedence_over_the_environment(write_config):
    before = load(write_config(), {"EDGE_DISCOVERY": "127.0.0.1:1"})
    after = load(write_config("discovery", "127.0.0.1:2"), before=before)
    assert (before.discovery[1], after.discovery[1], load(write_config(), before=after).discovery[1]) == (
        1,
        2,
        8500,
    )


def test_a_reload_of_an_unchanged_file_changes_no_value(write_config):
    before = load(write_config(), {"EDGE_DISCOVERY": "127.0.0.1:1", "EDGE_NAME": "n7"})
    after = load(write_config(), before=before)
    assert (after.discovery, after.name) == (before.discovery, "n7")


def test_request_classes_zones_and_kinds_keep_their_indices(write_config):
    before = load(write_config(), {}).deployment
    request_classes = [OPTIONS["requestClasses"][1], OPTIONS["requestClasses"][0] | {"name": "new"}]
    changed = OPTIONS | {
        "requestClasses": request_classes,
        "dcs": ["far", "there"],
        "kinds": ["big", "plain"],
    }
    after = deployment_from(changed, before=before)
    assert after.types == {"posting": 1, "new": 2}
    assert after.settings.request_classes[1] == before.settings.request_classes[1]
    assert (after.zones["there"], after.kinds["plain"], after.kinds["big"]) == (1, 0, 1)
    restored = deployment_from(OPTIONS, before=after)
    assert restored.types == before.types
    assert restored.settings.request_classes[:2] == before.settings.request_classes


def test_a_removed_request_class_has_no_latency_objective(write_config):
    before = load(write_config(), {}).deployment
    after = deployment_from(OPTIONS | {"requestClasses": OPTIONS["requestClasses"][1:]}, before=before)
    assert min(range(2), key=lambda index: after.settings.request_classes[index].latency_objective_ms) == 1


def test_the_command_line_imports_no_module_of_the_test_bench():
    script = "import sys, marlseam.__main__; print(*{name.partition('.')[0] for name in sys.modules})"
    loaded = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    ).stdout.split()
    assert "h11" in loaded
    assert not {"numpy", "msgspec", "hdrh", "httptools", "asyncio"} & set(loaded)


LIVE_SETTINGS = {
    "weights": "live",
    "worthBy": "work",
    "loadReport": {"how": "answers", "fields": ["backlog"]},
    "penalties": {"origin": 0.03},
}


@pytest.mark.parametrize(("changes", "is_on", "fetch_cost"), [({}, False, 0.0), (LIVE_SETTINGS, True, 0.03)])
def test_live_weights_reports_costs_and_sizes_are_read_and_off_by_default(changes, is_on, fetch_cost):
    settings = deployment_from(OPTIONS | changes).settings
    assert settings.live_weights is is_on
    assert settings.reports_in_responses is is_on
    assert settings.weight_by_size is is_on
    assert settings.fetch_cost == fetch_cost
    assert not settings.may_gossip


@pytest.mark.parametrize(
    ("key", "value", "named_key"),
    [
        ("weights", "moving", "settings.weights"),
        ("weights", 3, "settings.weights"),
        ("worthBy", "size", "settings.worthBy"),
        ("penalties.origin", -0.1, "settings.penalties.origin"),
        ("penalties.origin", "much", "settings.penalties.origin"),
        ("ceilings.peers", "yes", "settings.ceilings.peers"),
        ("requestClasses.0.worth", -1, "settings.requestClasses[0].worth"),
        ("loadReport.how", "often", "settings.loadReport.how"),
        ("loadReport.how", "answers", "settings.loadReport.fields"),
        ("loadReport.fields", [3], "settings.loadReport.fields"),
        ("requestClasses.1.oneAtATime", 1, "settings.requestClasses[1].oneAtATime"),
        ("guarantees.turnGapUs", -5, "settings.guarantees.turnGapUs"),
        ("guarantees.drainBindsAlone", "no", "settings.guarantees.drainBindsAlone"),
    ],
)
def test_an_invalid_policy_setting_exits_with_2_and_one_line(write_config, key, value, named_key):
    result = CliRunner().invoke(main, ["check", "--config", write_config("settings." + key, value)])
    assert result.exit_code == 2
    assert result.stderr.count("\n") == 1
    assert result.stderr.startswith(f"marlseam: {named_key}: ")
    assert "expected" in result.stderr
