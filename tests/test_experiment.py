"""Experiment files, exit codes, summaries, reports, comparisons of runs and baseline policies."""

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

import msgspec
import pytest
from click.testing import CliRunner, Result
from worlds import KINDS, TYPES, day, run_day

from marlseam.__main__ import main
from marlseam.experiment import compare, file, plays, policy_comparison, registered_plays
from marlseam.experiment.policies import POLICIES
from marlseam.experiment.summary import ViolationExample

DAY = {
    "seconds": 4,
    "fleet": {"zones": ["east"], "nodes": 2, "kinds": KINDS},
    "types": TYPES,
    "load": {"rate": 20},
    "troubles": [{"what": "slow", "at_s": 1}],
}


def experiment_data(**changes: object) -> dict[str, Any]:
    """Return the data of a valid experiment file, with the keys of `changes` added or replaced."""
    return {"name": "x", "driver": "virtual", "day": DAY} | changes


@pytest.mark.parametrize(
    ("values", "text"),
    [
        (experiment_data(sed=1), "sed: no such key, the nearest is seed"),
        (experiment_data(day=DAY | {"laod": {}}), "day.laod: no such key, the nearest is load"),
        (experiment_data(day=DAY | {"load": {"rat": 2}}), "day.load.rat: no such key, the nearest is rate"),
        (
            experiment_data(day=DAY | {"types": [TYPES[0] | {"efect": "x"}]}),
            r"day.types\[0\].efect: .*effect",
        ),
        (experiment_data(day=DAY | {"load": {"rate": -1}}), "day.load.rate: expected"),
        (
            experiment_data(day=DAY | {"types": [TYPES[0] | {"effect": "x"}]}),
            r"day.types\[0\].effect: invalid",
        ),
        (experiment_data(day=DAY | {"types": []}), "day.types: expected"),
        (
            experiment_data(day=DAY | {"types": [TYPES[0], TYPES[0]]}),
            "day.types: duplicate name, expected unique names",
        ),
        (experiment_data(day=DAY | {"troubles": [{"what": "slow", "at_s": 9}]}), r"day.troubles\[0\].at_s"),
        (
            experiment_data(day=DAY | {"troubles": [{"what": "errors", "at_s": 1, "type": "lokup"}]}),
            "nearest is lookup",
        ),
        (
            experiment_data(day=DAY | {"troubles": [{"what": "slow", "at_s": 1, "targets": ["fast-9"]}]}),
            "nearest is fast-",
        ),
        (experiment_data(day=DAY | {"load": {"shape": "trace"}}), "day.load.trace: missing"),
        (experiment_data(day=DAY | {"types": [TYPES[0] | {"slots": [1] * 9}]}), r"day.types\[0\].slots"),
        (
            experiment_data(expect={"service": {"leest": 1}}),
            "expect.service.leest: no such key, the nearest is least",
        ),
    ],
)
def test_an_invalid_key_or_value_raises_an_error_that_names_the_key(values, text):
    with pytest.raises(file.FileError, match=text):
        file.read(values)


def test_one_error_lists_all_unknown_keys():
    with pytest.raises(file.FileError) as error:
        file.read(experiment_data(sed=1, day=DAY | {"laod": {}, "fleet": DAY["fleet"] | {"nods": 3}}))
    assert len(str(error.value).split("\n")) == 3
    assert len(error.value.problems) == 3


HEAD = """name = "x"
driver = "virtual"
play = "{play}"
[day]
seconds = 4
fleet = {{ zones = ["east"], nodes = 2, kinds = [{{ name = "k", executors = 4 }}] }}
types = [{{ name = "lookup", share = 1, work_ms = 100, promised_ms = 200, limit_ms = 5000 }}]
load = {{ rate = 20 }}
{more}
"""


class CommandRun(NamedTuple):
    """The result of `marlseam experiment run`, and its output folder."""

    result: Result
    out: Path


@pytest.fixture
def run(tmp_path) -> Callable[..., CommandRun]:
    """Return a function that runs an experiment file with `marlseam experiment run`."""

    def run_file(more: str = "", play: str = "day") -> CommandRun:
        path = tmp_path / "x.toml"
        path.write_text(HEAD.format(play=play, more=more))
        out = tmp_path / f"out-{len(list(tmp_path.iterdir()))}"
        return CommandRun(CliRunner().invoke(main, ["experiment", "run", str(path), "--out", str(out)]), out)

    return run_file


@pytest.mark.parametrize(
    ("more", "code", "text"),
    [
        ("[expect]\nservice = { least = 0.9 }\nrules_broken = { most = 0 }", 0, "holds"),
        ("[expect]\nservice = { least = 1.1 }", 1, "missed: service: expected at least 1.1, seen"),
        ("[expect]\nservise = { least = 0.9 }", 2, "expect.servise: no such figure, the nearest is service"),
        ("[days]", 2, "days: no such key, the nearest is day"),
    ],
)
def test_the_exit_code_is_0_if_all_holds_1_if_a_bound_is_missed_2_if_a_key_is_unknown(run, more, code, text):
    result, out = run(more)
    assert result.exit_code == code
    assert text in result.output
    if code < 2:
        summary = json.loads((out / "summary.json").read_text())
        assert summary["code"] == code
        assert summary["versions"]["numpy"]
        assert summary["seed"] == 1


def test_an_infinite_figure_over_its_bound_is_reported_as_missed_and_printed_as_inf(run, monkeypatch):
    endless = plays.RunResult({"heal_s": float("inf")})
    monkeypatch.setitem(plays.PLAYS, "endless", lambda _experiment, _out, _show_progress: endless)
    result, _ = run("[expect]\nheal_s = { most = 5 }", play="endless")
    assert result.exit_code == 1
    assert "MISSED heal_s: at most 5, seen inf" in result.output
    assert "Traceback" not in result.output
    assert isinstance(result.exception, SystemExit)


@pytest.mark.parametrize(
    ("play", "text"), [("dya", "play: no play named 'dya', the nearest is day"), ('day"', "")]
)
def test_an_unknown_play_or_invalid_toml_exits_with_2_and_no_traceback(run, play, text):
    result, _ = run(play=play)
    assert result.exit_code == 2
    assert text in result.output
    assert "Traceback" not in result.output


SUMMARY_KEYS = [
    *("name", "about", "play", "driver", "seed", "took_s", "code", "missed", "expected", "figures", "rules"),
    *("tables", "slopes", "versions"),
]


def test_the_summary_keeps_its_json_keys_and_their_order(run):
    _, out = run("[expect]\nservice = { least = 0 }")
    summary = json.loads((out / "summary.json").read_text())
    assert list(summary) == SUMMARY_KEYS
    assert list(summary["expected"][0]) == ["figure", "expected", "seen", "holds"]
    assert list(summary["rules"][0]) == ["name", "broken", "margin", "means", "examples"]
    example = ViolationExample("t1", "two answers", ["sent"])
    assert msgspec.to_builtins(example) == {"who": "t1", "what": "two answers", "story": ["sent"]}


def test_units_json_stores_each_request_as_a_row_of_four_values(run):
    _, out = run()
    rows = json.loads((out / "units.json").read_text())
    first_try, weight, earned_weight, turnaround_ms = rows[0]
    assert first_try
    assert earned_weight in (0.0, weight)
    assert turnaround_ms > 0.0


def test_the_report_is_self_contained_and_shows_charts_faults_and_rules(run):
    _, out = run('[[day.troubles]]\nwhat = "slow"\nat_s = 1')
    page = (out / "report.html").read_text()
    assert "prefers-color-scheme: dark" in page
    assert "://" not in page
    assert "src=" not in page
    for part in ("Arrivals and answers", "Latency from the intended send", "slow", "one answer", "<svg"):
        assert part in page


def test_runs_of_one_seed_are_paired_and_a_run_does_not_differ_from_itself(run):
    _, one = run()
    _, two = run('[[day.troubles]]\nwhat = "slow"\nat_s = 0\nfor_s = 4\nshare = 1.0\nsize = 30')
    same, paired = compare.differences(one, one)
    assert paired
    assert all(difference.is_noise for difference in same)
    found, paired = compare.differences(one, two)
    service = {difference.name: difference for difference in found}["service"]
    assert paired
    assert service.second < service.first
    assert not service.is_noise
    assert "differs" in compare.text(one, two)
    with pytest.raises(compare.IncomparableRunsError):
        compare.differences(one, one.parent)


@pytest.mark.parametrize("name", POLICIES)
def test_each_policy_keeps_the_rules_in_the_simulation(name):
    verdict, _, figures, _ = run_day(day(seconds=8.0, rate=15.0), make_reducer=POLICIES[name])
    assert verdict.is_judged
    assert not verdict.violation_count
    assert figures["service"] > 0.4


FILES = sorted((Path(__file__).parent.parent / "experiments").glob("*.toml"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_each_experiment_file_of_the_project_loads_and_its_policies_play_keeps_the_rules(path):
    registered_plays.register()
    experiment = file.load(path)
    assert experiment.head.name == path.stem
    assert experiment.head.play in plays.PLAYS
    if experiment.head.play == "policies":
        found = policy_comparison.one_run(experiment.day, experiment.head.seed, "marlseam")
        assert found["judged"]
        assert not found["rules_broken"]
        assert found["none"] == 0.0


def test_a_run_whose_record_streams_have_no_end_is_not_judged_and_exits_with_1(run, monkeypatch):
    from marlseam import records

    monkeypatch.setattr(records.StreamWriter, "end", lambda self, _at_ms: self.file.flush())
    result, _ = run()
    assert result.exit_code == 1
    assert "not judged" in result.output
