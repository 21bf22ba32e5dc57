"""Tests of the checks after a run of nodes with configuration versions under faults."""

from math import inf

import pytest

from marlseam.experiment.cluster_logs import ServiceReport
from marlseam.experiment.replication_runs import catch_up_ms


@pytest.mark.parametrize(
    ("logged", "expected_ms"),
    [
        # The node acted on version 2, the newest, before it was back: its later line on version 3 is ignored.
        ([(1.0, "1"), (5.0, "2"), (5.5, "in"), (20.0, "3")], 0.0),
        ([(1.0, "1"), (4.0, "unproved"), (12.0, "2"), (13.0, "in")], 3.0),
        ([(1.0, "1"), (4.0, "disk")], inf),
    ],
)
def test_the_time_until_a_straggler_has_caught_up_is_computed_from_its_log(logged, expected_ms):
    reports = [ServiceReport(at_ms, "n", state) for at_ms, state in logged]
    assert catch_up_ms(reports, "n", 10.0, {1: 0.5, 2: 4.5, 3: 19.0}) == expected_ms
