"""The rule that a try gets one answer before its deadline, with a node that is stopped (not scheduled)."""

import pytest

from marlseam.records import (
    AttemptReceived,
    ClientLeft,
    NodeStateChanged,
    StreamBegan,
    StreamEnded,
    TryAnswered,
    TrySent,
)
from marlseam.verification.rules import check_one_answer
from marlseam.verification.run_records import RunRecords


@pytest.mark.parametrize(("until_ms", "violations"), [(1500.0, 1), (2500.0, 0)])
def test_a_node_stopped_at_the_deadline_excuses_a_missing_answer_but_no_send_after_an_answer(
    until_ms, violations
):
    tried = TrySent(
        n=1,
        t=1000.0,
        by="c",
        id="1",
        first="1",
        number=0,
        node="n0",
        zone="z",
        type="t",
        intended=1000.0,
        expires=2000.0,
        promised=500.0,
        credit=1.0,
        late_credit=0.0,
    )
    rules = {"slack_ms": 50.0, "types": {"t": {"effect": "rerunnable", "group": "all", "memory_ms": 1.0}}}
    run = [
        StreamBegan(t=0.0, by="driver", system="driver", rules=rules),
        NodeStateChanged(n=1, t=900.0, by="driver", node="n0", state="stopped", until=until_ms),
        StreamEnded(n=1, t=3000.0, by="driver"),
        StreamBegan(t=0.0, by="c"),
        tried,
        ClientLeft(n=2, t=2000.0, by="c", id="1"),
        StreamEnded(n=2, t=3000.0, by="c"),
    ]
    assert len(check_one_answer(RunRecords(run)).violations) == violations
    # A stopped node does not excuse an attempt sent after the answer.
    send_after_answer = [
        TryAnswered(n=3, t=1500.0, by="c", id="1", how="deferred"),
        AttemptReceived(n=1, t=1900.0, by="e", id="1"),
    ]
    found = check_one_answer(RunRecords([*run, *send_after_answer])).violations
    assert any("after the try's answer" in violation.text for violation in found)
