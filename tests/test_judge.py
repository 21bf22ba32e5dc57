"""The judge finds planted defects of a dispatcher by the rules broken, and judges no partial records."""

import msgspec
import pytest
from worlds import TYPES, day, played

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
from marlseam.verification.book import RunRecords
from marlseam.verification.rules import judge
from marlseam.verification.service import figures


def dispatcher(state_type, **methods):
    """Return a type of reducer with another type of requests, and other methods of the dispatcher."""

    wrong = type("Wrong", (Dispatcher,), {"request_state_type": state_type, **methods})

    class WrongCore(Reducer):
        dispatcher_type = wrong

    return WrongCore


class Mute(RequestState):
    """Gives no answer to what it gives up."""

    def answer(self):
        self.is_closed = True


class Twice(RequestState):
    """Sends keyed work on to anybody once it has run anywhere."""

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


class Copies(RequestState):
    """Sends each request to two servers at once."""

    def may_attempt(self):
        return not self.is_closed and len(self.attempts) < 2

    def send(self, server):
        super().send(server)
        if len(self.attempts) == 1:
            super().send((server + 1) % len(self.dispatcher.endpoint_state))


class Late(RequestState):
    """Goes on sending what is answered."""

    def close(self):
        super().close()
        if self.attempts and len(self.attempts) < 3:
            self.is_closed = False
            self.send((self.attempts[-1].server + 1) % len(self.dispatcher.endpoint_state))
            self.is_closed = True


class Jumps(RequestState):
    """Waits for no turn."""

    has_turn = property(lambda _self: True, lambda _self, _value: None)


def always(*_):
    return True


def nothing(*_):
    return None


def deaf(dispatcher, update_kind, endpoints, _doubt):
    """Hear of the first list alone."""
    if not dispatcher.same_zone and not dispatcher.other_zones:
        Dispatcher.update_endpoints(dispatcher, update_kind, endpoints)


CRASH = {"what": "crash", "at_s": 3, "for_s": 2, "share": 0.4}
TURNED = [row | {"keys": 3, "in_turn": True} for row in TYPES]
DRAIN = {"what": "shrink", "at_s": 2, "for_s": 8, "share": 0.4}
WRONG = {
    "mute": ("one answer", dispatcher(Mute), {"rate": 60.0}),
    "late": ("one answer", dispatcher(Late), {}),
    "twice": ("no effect twice", dispatcher(Twice), {}),
    "copies": ("no effect twice", dispatcher(Copies), {}),
    "jumps": ("in turn", dispatcher(Jumps), {"types": TURNED, "rules": {"turn_gap_ms": 50.0}}),
    "deaf": ("drains kept", dispatcher(RequestState, update_endpoints=deaf), {"troubles": [DRAIN]}),
    "rash": (
        "cold spared",
        dispatcher(RequestState, has_budget=always, relative_cost=lambda _self, _request: 0.0),
        {
            "troubles": [CRASH],
            "rate": 40.0,
            "rules": {"fall_multiple": 0.7, "fall_ms": 2000.0},
        },
    ),
}


@pytest.mark.parametrize("name", WRONG)
def test_a_dispatcher_that_breaks_a_rule_is_caught_by_name(name):
    rule, core, changes = WRONG[name]
    assert not played(day(**changes)).verdict.violation_count
    verdict, book, _, _ = played(day(**changes), make_reducer=core)
    broken = {r.name: r.violations for r in verdict.rules}
    assert verdict.is_judged
    assert broken[rule], {name: rows[:2] for name, rows in broken.items()}
    who, what = broken[rule][0]
    assert what
    assert book.timeline(who) or who in book.attempts or any(t.by == who for t in book.records)


# Records as such.


def run(*rows):
    """Return whole streams that hold some records: of clients, and empty ones of the others."""
    found = []
    for system in ("clients", "executors", "roster", "driver"):
        mine = [r for r in rows if r.by == system]
        rules = {"slack_ms": 10.0, "grace_ms": 100.0, "effects": {"t": ("exclusive", "cell")}}
        rules |= {"in_turn": ["u"], "turn_gap_ms": 50.0}
        stream = [
            StreamBegan(t=0.0, by=system, system=system, rules=rules if system == "driver" else {}),
            *mine,
        ]
        stream.append(StreamEnded(t=99.0, by=system))
        for n, record in enumerate(stream, 1):
            record.n = n
        found += stream
    return found


def tried(id="a", first="a", number=0, t=0.0, **more):
    values = {"node": "n0", "zone": "z", "type": "t", "intended": 0.0, "expires": 1000.0, "promised": 100.0}
    return TrySent(
        t=t, by="clients", id=id, first=first, number=number, credit=2.0, late_credit=0.5, **values | more
    )


def answered(t, how="completed", id="a"):
    return TryAnswered(t=t, by="clients", id=id, how=how)


def rules(*rows):
    verdict, book = judge(run(*rows))
    assert verdict.is_judged
    return {rule.name: rule for rule in verdict.rules}, book


@pytest.mark.parametrize("spoil", ["number", "begin", "end", "system", "line"])
def test_records_with_holes_are_not_judged(spoil):
    found = run(tried(), answered(50.0))
    wrong = ["clients.jsonl: line 3: odd"] if spoil == "line" else []
    match spoil:
        case "number":
            found = [r for r in found if not isinstance(r, TryAnswered)]
        case "begin":
            del found[0]
        case "end":
            found = [r for r in found if not (isinstance(r, StreamEnded) and r.by == "clients")]
        case "system":
            found = [r for r in found if r.by != "roster"]
    verdict, _ = judge(found, wrong)
    assert not verdict.is_judged
    assert not verdict.rules
    assert verdict.gaps


@pytest.mark.parametrize(
    ("ends", "what"),
    [
        ([], "no answer"),
        ([answered(50.0, "lost")], "ended without"),
        ([answered(1020.0)], "after its"),
        ([answered(50.0), answered(60.0, "aborted")], "2 final answers"),
        ([records.ClientLeft(t=1010.0, by="clients", id="a")], "no answer"),
    ],
)
def test_a_request_without_its_one_answer_in_time_breaks_the_first_rule(ends, what):
    found, _ = rules(tried(), *ends)
    assert [who for who, _ in found["one answer"].violations] == ["a"]
    assert what in found["one answer"].violations[0][1]


@pytest.mark.parametrize(
    "ends",
    [
        [answered(1005.0)],
        [answered(0.0, "unsent")],
        [records.ClientLeft(t=90.0, by="clients", id="a", early=True)],
        [answered(50.0, "lost"), records.NodeStateChanged(t=48.0, by="driver", node="n0", state="killed")],
    ],
)
def test_what_is_no_breach_of_the_first_rule(ends):
    assert not rules(tried(), *ends)[0]["one answer"].violations


def ran(t, _server, id="a"):
    return [
        records.AttemptReceived(t=t, by="executors", id=id),
        records.AttemptStarted(t=t, by="executors", id=id),
        records.AttemptEnded(t=t + 1.0, by="executors", id=id, how="done"),
    ]


def test_an_unsafe_effect_counts_over_all_tries_and_bars_a_deferral():
    found, book = rules(
        tried(),
        *ran(1.0, "e"),
        answered(5.0, "deferred"),
        tried("a.1", "a", 1, 10.0),
        *ran(12.0, "e", "a.1"),
        answered(20.0, id="a.1"),
    )
    texts = [what for _, what in found["no effect twice"].violations]
    assert any("2 effects" in text for text in texts)
    assert any("deferred though" in text for text in texts)
    assert len(book.timeline("a")) == 10


def test_a_send_after_the_grace_breaks_the_third_rule_until_it_is_ready_again():
    told = [
        records.ServerStateHeard(t=t, by="roster", node="n0", executor="executors", state=state)
        for t, state in ((10.0, "draining"), (400.0, "ready"))
    ]
    for sent, broken in ((100.0, False), (300.0, True), (500.0, False)):
        found, _ = rules(
            tried(), *told, records.AttemptReceived(t=sent, by="executors", id="a"), answered(600.0)
        )
        assert bool(found["drains kept"].violations) == broken


LINE = {"node": "n0", "type": "u", "key": "k"}
END = {"by": "executors", "id": "a"}


@pytest.mark.parametrize(
    ("end", "over", "took", "broken"),
    [
        (AttemptEnded(t=300.0, how="done", **END), 300.0, 310.0, False),
        (AttemptEnded(t=300.0, how="done", **END), 300.0, 250.0, True),  # it was still out
        (AttemptEnded(t=300.0, how="done", **END), 900.0, 500.0, True),  # it had no answer
        (AttemptCancelled(t=300.0, **END), 300.0, 330.0, True),  # the rest was cut short
        (AttemptCancelled(t=300.0, **END), 300.0, 345.0, False),
        (AttemptEnded(t=300.0, how="lost", **END), 300.0, 330.0, True),
        (None, 300.0, 800.0, True),  # nothing ever told of its end
    ],
)
def test_a_send_out_of_turn_breaks_the_rule_on_order(end, over, took, broken):
    rows = [
        tried(**LINE),
        tried("b", "b", t=100.0, **LINE),
        AttemptReceived(t=50.0, by="executors", id="a"),
        answered(over),
        AttemptReceived(t=took, by="executors", id="b"),
        AttemptEnded(t=took + 5.0, by="executors", id="b", how="done"),
        answered(took + 5.0, id="b"),
    ]
    found = rules(*rows, *([end] if end else []))[0]
    assert bool(found["in turn"].violations) is broken


def test_service_counts_retries_with_their_first_try_from_the_intended_send():
    rows = run(
        tried(intended=0.0, t=30.0),
        answered(40.0, "deferred"),
        tried("a.1", "a", 1, 60.0),
        answered(90.0, id="a.1"),
        tried("b", "b", intended=0.0, t=50.0),
        answered(130.0, id="b"),
        tried("c", "c"),
        answered(50.0, "aborted", "c"),
        ProbeAnswered(t=1.0, by="executors"),
    )
    found = figures(RunRecords(rows))
    assert (found["work_units"], found["tries"]) == (3.0, 4.0)
    assert found["service"] == pytest.approx(2.0 / 6.0)
    assert found["late"] == pytest.approx(1.0 / 6.0)
    assert found["latency_max"] == 130.0
    assert found["aborted"] == 1.0


def test_an_odd_line_is_told_with_its_number(tmp_path):
    (tmp_path / "x.jsonl").write_bytes(msgspec.json.encode(StreamBegan(t=0.0, by="x", n=1)) + b"\nnonsense\n")
    _, wrong = records.read_folder(tmp_path)
    assert len(wrong) == 1
    assert "line 2" in wrong[0]
