"""The play `size_changes`: repeatable counts, resource limits, and detection of missing deltas."""

from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from marlseam.__main__ import main
from marlseam.cluster.replication.content_store import ContentStore
from marlseam.cluster.replication.replica import ConfigReplica
from marlseam.experiment import file, plays, registered_plays, runner
from marlseam.experiment.config_change_measurement import SimulatedCase, measure_case
from marlseam.experiment.config_change_workload import change_one_team, team_quotas
from marlseam.experiment.size_changes_report import is_count

SHORT = Path(__file__).parent.parent / "experiments" / "size-changes-short.toml"


def test_short_experiment_meets_its_expectations_and_repeats_the_same_counts(tmp_path):
    registered_plays.register()
    experiment = file.load(SHORT)
    summary = runner.run(experiment, tmp_path / "one", lambda _text: None)
    assert summary.exit_code == 0, summary.missed
    runs = [plays.PLAYS["size_changes"](experiment, tmp_path / name, lambda _text: None) for name in "ab"]
    counts = [{key: value for key, value in run.figures.items() if is_count(key)} for run in runs]
    assert counts[0] == counts[1]
    assert len(counts[0]) > 30


def test_experiment_above_the_resource_limits_is_refused_with_the_largest_allowed_size(tmp_path):
    path = tmp_path / "big.toml"
    path.write_text(SHORT.read_text().replace("nodes = 12", "nodes = 60000"))
    result = CliRunner().invoke(main, ["experiment", "run", str(path), "--out", str(tmp_path / "out")])
    assert result.exit_code == 2
    assert "would fit" in result.output
    assert not (tmp_path / "out" / "band").exists()


@pytest.mark.parametrize("change_index", [0, 1, 1000])
def test_change_alters_the_quota_of_exactly_one_team(change_index):
    before = {"teams": team_quotas(10)}
    after = change_one_team(before, 7, change_index)
    assert sum(before["teams"][name] != after["teams"][name] for name in before["teams"]) == 1


class NoDeltasStore(ContentStore):
    """A content store that computes no deltas."""

    def add_delta_from_predecessor(self, content_id):
        pass


class NoDeltasReplica(ConfigReplica):
    """A defect: no delta is computed for a published content, so that nodes are sent the whole content."""

    store_type = NoDeltasStore


def test_bytes_per_change_reveal_a_defect_that_sends_no_deltas():
    experiment = file.load(SHORT)
    settings = msgspec.structs.replace(experiment.tables["size_changes"], burst=0)
    bytes_change = [
        measure_case(SimulatedCase(1, settings, teams=160, nodes=12, replica_type=replica))["bytes_change"]
        for replica in (ConfigReplica, NoDeltasReplica)
    ]
    assert bytes_change[0] < 3000 < 10000 < bytes_change[1]
