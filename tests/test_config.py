"""Configuration: what is read, the defaults, and messages that name the key at fault."""

import copy
import json
import signal
import subprocess
import sys

import pytest
from click.testing import CliRunner
from conftest import OPTIONS

from marlseam.__main__ import main
from marlseam.configuration import ConfigError, deployment_from, load

GOOD = {"listen": "127.0.0.1:8443", "discovery": "127.0.0.1:8500", "seed": "ff", "settings": OPTIONS}


@pytest.fixture
def write(tmp_path):
    """Return a function that writes the good configuration with one entry changed, and gives its path."""

    def change(key="", value=None):
        values = copy.deepcopy(GOOD)
        if key:
            *tables, last = key.split(".")
            at = values
            for name in tables:
                at = at[int(name)] if isinstance(at, list) else at.setdefault(name, {})
            at[last] = value
        path = tmp_path / "node.json"
        path.write_text(json.dumps(values))
        return str(path)

    return change


def test_a_good_file_is_read(write):
    config = load(write(), {})
    assert (config.listen, config.seed, config.sockets) == (("127.0.0.1", 8443), 255, 1024)


def test_the_environment_goes_before_the_file(write):
    config = load(write(), {"EDGE_LISTEN": "[::1]:99", "EDGE_NAME": "n7"})
    assert (config.listen, config.name) == (("::1", 99), "n7")


def test_times_become_milliseconds(deployment):
    assert (deployment.settings.request_classes[0].latency_objective_ms, deployment.keepalive_ms) == (
        200.0,
        1000.0,
    )


def test_what_is_missing_is_least_generous():
    settings = deployment_from({"requestClasses": [{"name": "x"}]}).settings
    assert not (settings.may_cancel)
    assert not (settings.may_probe)
    assert not (settings.may_hedge)
    assert not (settings.max_retry_after_ms)


def test_order_and_drains_are_read_and_off_without_them():
    row = {"name": "x", "oneAtATime": True}
    rules = {"turnGapUs": 50000, "drainBindsAlone": True}
    now = deployment_from({"requestClasses": [row], "guarantees": rules}).settings
    assert (now.request_classes[0].ordered_by_key, now.key_gap_ms, now.only_draining_excludes) == (
        True,
        50.0,
        True,
    )
    now = deployment_from({"requestClasses": [{"name": "x"}]}).settings
    assert (now.request_classes[0].ordered_by_key, now.key_gap_ms, now.only_draining_excludes) == (
        False,
        0.0,
        False,
    )


def test_a_reports_extra_figure_has_the_meaning_that_the_settings_give(deployment):
    assert (deployment.report_names["x0"], "x1" in deployment.report_names) == ("free_slots", False)


@pytest.mark.parametrize(
    ("key", "value", "shown"),
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
def test_a_bad_entry_is_named(write, key, value, shown):
    with pytest.raises(ConfigError, match=".") as raised:
        load(write(key, value), {})
    assert str(raised.value).startswith(shown)
    assert ", expected " in str(raised.value)


def test_a_bad_configuration_ends_with_2_and_one_line(write):
    result = CliRunner().invoke(main, ["check", "--config", write("seed", "xyz")])
    assert (result.exit_code, result.stderr.count("\n")) == (2, 1)


def test_no_configuration_ends_with_2(monkeypatch):
    monkeypatch.delenv("EDGE_CONFIG", raising=False)
    monkeypatch.setattr(signal, "pthread_sigmask", lambda *_: None)
    assert CliRunner().invoke(main, ["serve"]).exit_code == 2


def test_the_command_line_loads_nothing_that_only_the_version_needs():
    code = "import sys, marlseam.__main__; sys.exit('importlib.metadata' in sys.modules)"
    assert subprocess.run([sys.executable, "-c", code], check=False).returncode == 0


def test_check_of_a_good_configuration_ends_with_0(write):
    assert CliRunner().invoke(main, ["check", "--config", write()]).exit_code == 0


# In service.


def test_what_a_file_newly_says_goes_before_the_environment_of_the_start(write):
    before = load(write(), {"EDGE_DISCOVERY": "127.0.0.1:1"})
    after = load(write("discovery", "127.0.0.1:2"), before=before)
    assert (before.discovery[1], after.discovery[1], load(write(), before=after).discovery[1]) == (1, 2, 8500)


def test_a_file_read_again_unchanged_changes_nothing(write):
    before = load(write(), {"EDGE_DISCOVERY": "127.0.0.1:1", "EDGE_NAME": "n7"})
    after = load(write(), before=before)
    assert (after.discovery, after.name) == (before.discovery, "n7")


def test_request_classes_zones_and_kinds_keep_their_indices(write):
    before = load(write(), {}).deployment
    rows = [OPTIONS["requestClasses"][1], OPTIONS["requestClasses"][0] | {"name": "new"}]
    changed = OPTIONS | {"requestClasses": rows, "dcs": ["far", "there"], "kinds": ["big", "plain"]}
    after = deployment_from(changed, before=before)
    assert after.types == {"posting": 1, "new": 2}
    assert after.settings.request_classes[1] == before.settings.request_classes[1]
    assert (after.zones["there"], after.kinds["plain"], after.kinds["big"]) == (1, 0, 1)
    again = deployment_from(OPTIONS, before=after)
    assert again.types == before.types
    assert again.settings.request_classes[:2] == before.settings.request_classes


def test_a_request_class_offered_no_more_sets_no_times(write):
    before = load(write(), {}).deployment
    after = deployment_from(OPTIONS | {"requestClasses": OPTIONS["requestClasses"][1:]}, before=before)
    assert min(range(2), key=lambda i: after.settings.request_classes[i].latency_objective_ms) == 1


def test_a_node_loads_nothing_of_the_bench():
    script = "import sys, marlseam.__main__; print(*{name.partition('.')[0] for name in sys.modules})"
    loaded = subprocess.run(
        [sys.executable, "-c", script], capture_output=True, text=True, check=True
    ).stdout.split()
    assert "h11" in loaded
    assert not {"numpy", "msgspec", "hdrh", "httptools", "asyncio"} & set(loaded)


# What deployments of another shape set.

SHAPE = {
    "weights": "live",
    "worthBy": "work",
    "loadReport": {"how": "answers", "fields": ["backlog"]},
    "penalties": {"origin": 0.03},
}


@pytest.mark.parametrize(
    ("more", "shape"), [({}, (False, False, 0.0, False)), (SHAPE, (True, True, 0.03, True))]
)
def test_settings_of_another_shape_are_read_and_off_without_them(more, shape):
    now = deployment_from(OPTIONS | more).settings
    assert (
        now.live_weights,
        now.reports_in_responses,
        now.fetch_cost,
        now.weight_by_size,
    ) == shape
    assert not now.may_gossip


@pytest.mark.parametrize(
    ("key", "value", "named"),
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
def test_a_faulty_setting_of_another_shape_ends_with_one_line(write, key, value, named):
    done = CliRunner().invoke(main, ["check", "--config", write("settings." + key, value)])
    assert done.exit_code == 2
    assert done.stderr.count("\n") == 1
    assert done.stderr.startswith(f"marlseam: {named}: ")
    assert "expected" in done.stderr
