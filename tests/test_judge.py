"""The check of a run's records: planted defects of a dispatcher, gaps in records, each rule, figures."""

import msgspec
import pytest
from worlds import TYPES, day, run_day

from marlseam import records
from marlseam.core import Reducer
from marlseam.decisions.dispatcher import Dispatcher
from marlseam.decisions.request_state import RequestState
from marlseam.decisions.types import Idempotency, Outcome
from marlseam.records import (
    AttemptCancelled,
    AttemptEnded,
    AttemptReceived,
    ProbeAnswered,
    StreamBegan,
    StreamEnded,
    TryAnswered,
    TrySent,
)
from marlseam.verification.rules import judge
from marlseam.verification.run_records import RunRecords
from marlseam.verification.service import figures


def defective_reducer(state_type, **methods):
    """Return a reducer class whose dispatcher uses `state_type` for requests and has these methods."""

    defective = type("DefectiveDispatcher", (Dispatcher,), {"request_state_type": state_type, **methods})

    class DefectiveReducer(Reducer):
        dispatcher_type = defective

    return DefectiveReducer


class NoFailureAnswer(RequestState):
    """Sends no answer to a request that it gives up."""

    def answer(self):
        self.is_closed = True


class RepeatsKeyed(RequestState):
    """Sends keyed requests to any server again after they have run on one."""

    def is_eligible(self, _server):
        return True

    def may_attempt(self):
        return not self.is_closed and len(self.attempts) < 3

    def attempt_ended(self, attempt_index, outcome, _final, report):
        super().attempt_ended(
            attempt_index,
            Outcome.ERROR if self.request_class.idempotency is Idempotency.KEYED else outcome,
            False,
            report,
        )


class AlwaysHedges(RequestState):
    """Sends each request to two servers at once."""

    def may_attempt(self):
        return not self.is_closed and len(self.attempts) < 2

    def send(self, server):
        super().send(server)
        if len(self.attempts) == 1:
            super().send((server + 1) % len(self.dispatcher.endpoint_state))


class SendsAfterAnswer(RequestState):
    """Sends further attempts of a request that is answered."""

    def close(self):
        super().close()
        if self.attempts and len(self.attempts) < 3:
            self.is_closed = False
            self.send((self.attempts[-1].server + 1) % len(self.dispatcher.endpoint_state))
            self.is_closed = True


class IgnoresKeyOrder(RequestState):
    """Does not wait for earlier requests of its key."""

    has_turn = property(lambda _self: True, lambda _self, _value: None)


def always_true(*_):
    return True


def always_none(*_):
    return None


def apply_first_list_only(dispatcher, update_kind, endpoints, _doubt):
    """Apply the first endpoint list and ignore all later updates."""
    if not dispatcher.same_zone and not dispatcher.other_zones:
        Dispatcher.update_endpoints(dispatcher, update_kind, endpoints)


CRASH = {"what": "crash", "at_s": 3, "for_s": 2, "share": 0.4}
TYPES_WITH_ORDERED_KEYS = [row | {"keys": 3, "in_turn": True} for row in TYPES]
DRAIN = {"what": "shrink", "at_s": 2, "for_s": 8, "share": 0.4}
DEFECTS = {  # by name: the rule that each defect violates, the defective reducer, and settings of the day
    "no-failure-answer": ("one answer", defective_reducer(NoFailureAnswer), {"rate": 60.0}),
    "sends-after-answer": ("one answer", defective_reducer(SendsAfterAnswer), {}),
    "repeats-keyed": ("no effect twice", defective_reducer(RepeatsKeyed), {}),
    "always-hedges": ("no effect twice", defective_reducer(AlwaysHedges), {}),
    "ignores-key-order": (
        "in turn",
        defective_reducer(IgnoresKeyOrder),
        {"types": TYPES_WITH_ORDERED_KEYS, "rules": {"turn_gap_ms": 50.0}},
    ),
    "ignores-list-updates": (
        "drains kept",
        defective_reducer(RequestState, update_endpoints=apply_first_list_only),
        {"troubles": [DRAIN]},
    ),
    "ignores-slow-start": (
        "cold spared",
        defective_reducer(RequestState, has_budget=always_true, relative_cost=lambda _self, _request: 0.0),
        {
            "troubles": [CRASH],
            "rate": 40.0,
            "rules": {"fall_multiple": 0.7, "fall_ms": 2000.0},
        },
    ),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_defect_violates_its_rule_and_a_correct_dispatcher_none(name):
    violated_rule, make_reducer, changes = DEFECTS[name]
    assert not run_day(day(**changes)).verdict.violation_count
    verdict, run_records, _, _ = run_day(day(**changes), make_reducer=make_reducer)
    violations = {rule.name: rule.violations for rule in verdict.rules}
    assert verdict.is_judged
    assert violations[violated_rule], {name: found[:2] for name, found in violations.items()}
    subject, text = violations[violated_rule][0]
    assert text
    assert (
        run_records.timeline(subject)
        or subject in run_records.attempts
        or any(record.by == subject for record in run_records.records)
    )


# Single records.


def complete_streams(*rows):
    """Return a complete stream for each system that is required, with the records that name it as writer."""
    found = []
    for system in ("clients", "executors", "roster", "driver"):
        records_of_system = [record for record in rows if record.by == system]
        rules = {"slack_ms": 10.0, "grace_ms": 100.0, "effects": {"t": ("exclusive", "cell")}}
        rules |= {"in_turn": ["u"], "turn_gap_ms": 50.0}
        stream = [
            StreamBegan(t=0.0, by=system, system=system, rules=rules if system == "driver" else {}),
            *records_of_system,
        ]
        stream.append(StreamEnded(t=99.0, by=system))
        for n, record in enumerate(stream, 1):
            record.n = n
        found += stream
    return found


def try_sent(id="a", first="a", number=0, t=0.0, **more):
    values = {"node": "n0", "zone": "z", "type": "t", "intended": 0.0, "expires": 1000.0, "promised": 100.0}
    return TrySent(
        t=t, by="clients", id=id, first=first, number=number, credit=2.0, late_credit=0.5, **values | more
    )


def try_answered(t, how="completed", id="a"):
    return TryAnswered(t=t, by="clients", id=id, how=how)


def judged_rules(*rows):
    """Return the result of each rule by name, and the indexed records."""
    verdict, run_records = judge(complete_streams(*rows))
    assert verdict.is_judged
    return {rule.name: rule for rule in verdict.rules}, run_records


@pytest.mark.parametrize("missing", ["number", "begin", "end", "system", "line"])
def test_incomplete_records_are_not_judged(missing):
    found = complete_streams(try_sent(), try_answered(50.0))
    read_errors = ["clients.jsonl: line 3: odd"] if missing == "line" else []
    match missing:
        case "number":
            found = [record for record in found if not isinstance(record, TryAnswered)]
        case "begin":
            del found[0]
        case "end":
            found = [
                record for record in found if not (isinstance(record, StreamEnded) and record.by == "clients")
            ]
        case "system":
            found = [record for record in found if record.by != "roster"]
    verdict, _ = judge(found, read_errors)
    assert not verdict.is_judged
    assert not verdict.rules
    assert verdict.gaps


@pytest.mark.parametrize(
    ("ends", "violation"),
    [
        ([], "no answer"),
        ([try_answered(50.0, "lost")], "ended without"),
        ([try_answered(1020.0)], "after its"),
        ([try_answered(50.0), try_answered(60.0, "aborted")], "2 final answers"),
        ([records.ClientLeft(t=1010.0, by="clients", id="a")], "no answer"),
    ],
)
def test_a_try_without_one_answer_before_its_deadline_violates_one_answer(ends, violation):
    found, _ = judged_rules(try_sent(), *ends)
    assert [subject for subject, _ in found["one answer"].violations] == ["a"]
    assert violation in found["one answer"].violations[0][1]


@pytest.mark.parametrize(
    "ends",
    [
        [try_answered(1005.0)],
        [try_answered(0.0, "unsent")],
        [records.ClientLeft(t=90.0, by="clients", id="a", early=True)],
        [
            try_answered(50.0, "lost"),
            records.NodeStateChanged(t=48.0, by="driver", node="n0", state="killed"),
        ],
    ],
)
def test_slack_no_connection_an_early_leave_and_a_killed_node_do_not_violate_one_answer(ends):
    assert not judged_rules(try_sent(), *ends)[0]["one answer"].violations


def run_to_completion(t, _server, id="a"):
    """Return the records of an attempt that a server receives and starts at `t` and completes after 1 ms."""
    return [
        records.AttemptReceived(t=t, by="executors", id=id),
        records.AttemptStarted(t=t, by="executors", id=id),
        records.AttemptEnded(t=t + 1.0, by="executors", id=id, how="done"),
    ]


def test_two_tries_with_effects_and_a_rejection_after_a_run_violate_no_effect_twice():
    found, run_records = judged_rules(
        try_sent(),
        *run_to_completion(1.0, "e"),
        try_answered(5.0, "deferred"),
        try_sent("a.1", "a", 1, 10.0),
        *run_to_completion(12.0, "e", "a.1"),
        try_answered(20.0, id="a.1"),
    )
    texts = [text for _, text in found["no effect twice"].violations]
    assert any("2 effects" in text for text in texts)
    assert any("deferred though" in text for text in texts)
    assert len(run_records.timeline("a")) == 10


def test_a_send_to_a_draining_server_after_the_grace_violates_drains_kept_until_it_is_ready_again():
    notices = [
        records.ServerStateNotified(t=t, by="roster", node="n0", executor="executors", state=state)
        for t, state in ((10.0, "draining"), (400.0, "ready"))
    ]
    for sent_ms, is_violation in ((100.0, False), (300.0, True), (500.0, False)):
        found, _ = judged_rules(
            try_sent(),
            *notices,
            records.AttemptReceived(t=sent_ms, by="executors", id="a"),
            try_answered(600.0),
        )
        assert bool(found["drains kept"].violations) == is_violation


ORDERED_TRY = {"node": "n0", "type": "u", "key": "k"}
END_FIELDS = {"by": "executors", "id": "a"}


@pytest.mark.parametrize(
    ("end", "answered_ms", "received_ms", "is_violation"),
    [
        (AttemptEnded(t=300.0, how="done", **END_FIELDS), 300.0, 310.0, False),
        (
            AttemptEnded(t=300.0, how="done", **END_FIELDS),
            300.0,
            250.0,
            True,
        ),  # the earlier attempt was still in flight
        (
            AttemptEnded(t=300.0, how="done", **END_FIELDS),
            900.0,
            500.0,
            True,
        ),  # the earlier try had no answer
        (
            AttemptCancelled(t=300.0, **END_FIELDS),
            300.0,
            330.0,
            True,
        ),  # within the gap after a cancelled attempt
        (AttemptCancelled(t=300.0, **END_FIELDS), 300.0, 345.0, False),
        (AttemptEnded(t=300.0, how="lost", **END_FIELDS), 300.0, 330.0, True),
        (None, 300.0, 800.0, True),  # the earlier attempt has no recorded end
    ],
)
def test_a_send_before_the_earlier_try_released_the_key_violates_in_turn(
    end, answered_ms, received_ms, is_violation
):
    rows = [
        try_sent(**ORDERED_TRY),
        try_sent("b", "b", t=100.0, **ORDERED_TRY),
        AttemptReceived(t=50.0, by="executors", id="a"),
        try_answered(answered_ms),
        AttemptReceived(t=received_ms, by="executors", id="b"),
        AttemptEnded(t=received_ms + 5.0, by="executors", id="b", how="done"),
        try_answered(received_ms + 5.0, id="b"),
    ]
    found = judged_rules(*rows, *([end] if end else []))[0]
    assert bool(found["in turn"].violations) is is_violation


def test_figures_count_retries_with_their_first_try_and_latency_from_the_intended_send():
    rows = complete_streams(
        try_sent(intended=0.0, t=30.0),
        try_answered(40.0, "deferred"),
        try_sent("a.1", "a", 1, 60.0),
        try_answered(90.0, id="a.1"),
        try_sent("b", "b", intended=0.0, t=50.0),
        try_answered(130.0, id="b"),
        try_sent("c", "c"),
        try_answered(50.0, "aborted", "c"),
        ProbeAnswered(t=1.0, by="executors"),
    )
    found = figures(RunRecords(rows))
    assert (found["work_units"], found["tries"]) == (3.0, 4.0)
    assert found["service"] == pytest.approx(2.0 / 6.0)
    assert found["late"] == pytest.approx(1.0 / 6.0)
    assert found["latency_max"] == 130.0
    assert found["aborted"] == 1.0


def test_an_invalid_line_is_reported_with_its_number(tmp_path):
    (tmp_path / "x.jsonl").write_bytes(msgspec.json.encode(StreamBegan(t=0.0, by="x", n=1)) + b"\nnonsense\n")
    _, problems = records.read_folder(tmp_path)
    assert len(problems) == 1
    assert "line 2" in problems[0]
