"""The rules, each checked against the records of clients, nodes and servers.

In records and reports a work unit is a request with all its tries, an executor is a server, and `deferred` is
the answer to a rejected request. Servers record an attempt when they receive it: the rules compare the times
of receipt, not of sending.

Each violation names its try or server. Reports contain the names of the rules and the texts of violations;
experiments compare the names.
"""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from itertools import pairwise
from math import inf
from typing import NamedTuple

from marlseam.records import (
    AttemptCancelled,
    AttemptEnded,
    AttemptReceived,
    AttemptRefused,
    ClientLeft,
    Record,
    ServerOverloaded,
    ServerStateNotified,
    TrySent,
)
from marlseam.verification.run_records import RunRecords, find_gaps
from marlseam.verification.verdict import Rule, Verdict

DEFAULT_EFFECT = ("exclusive", "cell")  # effect and key group of a request class without settings in the run


# Rule 1: one answer.


def check_one_answer(run: RunRecords) -> Rule:
    """Check rule 1: each try gets one final answer before its deadline.

    After that answer no server receives an attempt of the try.
    """
    rule = Rule("one answer", "largest share of the time to its deadline that an answered work unit took")
    for tried in run.tries.values():
        finals = run.final_answers(tried.id)
        if len(finals) > 1:
            rule.add_violation(tried.id, f"{len(finals)} final answers, expected one")
        if finals:
            _check_answer_time(rule, run, tried, answered_ms=finals[0].t)
        elif not _is_missing_answer_excused(run, tried):
            what = (
                "its connection ended without an answer"
                if run.answers.get(tried.id)
                else "no answer before its deadline"
            )
            rule.add_violation(tried.id, what)
    return rule


def _check_answer_time(rule: Rule, run: RunRecords, tried: TrySent, answered_ms: float) -> None:
    """Check that a try's answer came before its deadline and that no server received an attempt after it."""
    rule.raise_margin((answered_ms - tried.t) / max(1.0, tried.expires - tried.t))
    if answered_ms > tried.expires + run.slack_ms and not _is_node_paused_at_deadline(run, tried):
        rule.add_violation(tried.id, f"answered {answered_ms - tried.expires:.0f} ms after its deadline")
    for attempt in run.attempts.get(tried.id, ()):
        if attempt.t > answered_ms + run.slack_ms:
            late_ms = attempt.t - answered_ms
            rule.add_violation(tried.id, f"received by {attempt.by} {late_ms:.0f} ms after the try's answer")


def _is_missing_answer_excused(run: RunRecords, tried: TrySent) -> bool:
    """Return whether a try need not have a final answer.

    That is so if the try never reached a node, its client left early, or its node was killed before the try
    ended, or was paused at the deadline.
    """
    answers = run.answers.get(tried.id, [])
    if any(answer.how == "unsent" for answer in answers):
        return True
    if tried.id in run.quits and run.quits[tried.id].early:
        return True
    ended_ms = answers[0].t if answers else inf
    killed = any(
        tried.t - run.slack_ms <= killed_ms <= ended_ms + run.slack_ms
        for killed_ms in run.node_kills.get(tried.node, ())
    )
    return killed or _is_node_paused_at_deadline(run, tried)


def _is_node_paused_at_deadline(run: RunRecords, tried: TrySent) -> bool:
    """Return whether a try's node was paused at the try's deadline and could not answer."""
    return any(
        pause.from_ms <= tried.expires + run.slack_ms and pause.until_ms >= tried.expires - run.slack_ms
        for pause in run.node_pauses.get(tried.node, ())
    )


# Rule 2: no effect twice.


def check_effects(run: RunRecords) -> Rule:
    """Check rule 2 for each request.

    An unsafe request (effect `exclusive` in the records) or a keyed one (`receipted`) has at most one effect,
    and is not rejected (`deferred`) after it ran; a safe one (`rerunnable`) may have any number. The check of
    rejections leaves out keyed requests whose key is known to all servers. Without permission to hedge no try
    has two attempts in flight at once.
    """
    rule = Rule("no effect twice", "largest number of effects of one receipted or exclusive work unit")
    effect_by_class = run.rules.get("effects", {})
    allows_hedging = run.rules.get("second_copies", False)
    for tries in run.tries_by_first.values():
        effect, group = effect_by_class.get(tries[0].type, DEFAULT_EFFECT)
        if effect != "rerunnable":
            _check_single_effect(rule, run, tries, effect)
            # If all servers share the memory of keys, a client's retry of a request that ran has no effect.
            if not (effect == "receipted" and group == "all"):
                _check_no_rejection_after_run(rule, run, tries, effect)
        if not allows_hedging:
            _check_no_overlap(rule, run, tries)
    return rule


def _check_single_effect(rule: Rule, run: RunRecords, tries: Sequence[TrySent], effect: str) -> None:
    """Check that all tries of a request together had at most one effect."""
    runs = [started for tried in tries for started in run.runs.get(tried.id, ()) if started.effect]
    rule.raise_margin(float(len(runs)))
    if len(runs) > 1:
        servers = ", ".join(started.by for started in runs)
        rule.add_violation(tries[0].first, f"{len(runs)} effects of one {effect} work unit, on {servers}")


def _check_no_rejection_after_run(rule: Rule, run: RunRecords, tries: Sequence[TrySent], effect: str) -> None:
    """Check that no try of a request was rejected, which permits a retry, although a server ran it."""
    for tried in tries:
        final, runs = run.final_answer(tried.id), run.runs.get(tried.id)
        if final is not None and final.how == "deferred" and runs:
            rule.add_violation(tried.first, f"{effect} work unit was deferred though {runs[0].by} ran it")


def _check_no_overlap(rule: Rule, run: RunRecords, tries: Sequence[TrySent]) -> None:
    """Check that no try of a request had two attempts in flight at once."""
    for tried in tries:
        overlap = find_overlap(run, tried.id)
        if overlap is not None:
            rule.add_violation(tried.first, f"hedged attempt: {overlap}")


class _AttemptSpan(NamedTuple):
    """The period in which an attempt was in flight, in ms of the run; sorted by its fields in their order."""

    from_ms: float
    until_ms: float
    server: str
    position: int


def find_overlap(run: RunRecords, try_id: str) -> str | None:
    """Return a text on two attempts of a try that were in flight at once, None if no two were.

    An attempt counts as in flight from its receipt by the server until its end there.
    """
    spans = []
    for index, attempt in enumerate(run.attempts.get(try_id, ())):
        ends_ms = (end.t for end in run.ends_at_server(try_id, attempt.by) if end.t >= attempt.t)
        spans.append(_AttemptSpan(attempt.t, min(ends_ms, default=inf), attempt.by, index))
    spans.sort()
    for earlier, later in pairwise(spans):
        if later.from_ms + run.slack_ms < earlier.until_ms:
            return f"received by {later.server} while another attempt was in flight to {earlier.server}"
    return None


# Rule 3: draining servers get nothing new.


def check_drains(run: RunRecords) -> Rule:
    """Check rule 3: a server that leaves receives no attempt after the grace.

    The grace begins when the node that sends the attempt is notified that the server leaves. A server leaves
    when it drains or is gone; with the setting `drain_binds_alone` only when it drains.
    """
    rule = Rule(
        "drains kept", "latest receipt after the notice that the server leaves, as a share of the grace"
    )
    grace_ms = float(run.rules.get("grace_ms", 0.0))
    gone_binds = not run.rules.get("drain_binds_alone", False)
    for try_id, attempts in run.attempts.items():
        tried = run.tries.get(try_id)
        if tried is None:
            continue
        for attempt in attempts:
            notices = run.state_notices.get((tried.node, attempt.by), ())
            left_ms = _leaving_known_since(notices, attempt.t, gone_binds)
            if left_ms is None:
                continue
            rule.raise_margin((attempt.t - left_ms) / grace_ms)
            if attempt.t > left_ms + grace_ms + run.slack_ms:
                late_ms = attempt.t - left_ms
                rule.add_violation(
                    try_id,
                    f"received by {attempt.by} {late_ms:.0f} ms after {tried.node} was notified that this "
                    "server leaves",
                )
    return rule


def _leaving_known_since(
    notices: Sequence[ServerStateNotified], until_ms: float, gone_binds: bool
) -> float | None:
    """Return when a node was first notified that a server leaves, in ms of the run; None if it was not.

    `notices` are those on one server at one node, sorted by time. Those after `until_ms` are ignored, and a
    notice that the server is ready cancels those before. Without `gone_binds` only the notice that the server
    drains counts, not the one that it is gone.
    """
    since_ms = None
    for notice in notices:
        if notice.t > until_ms:
            break
        binds = notice.state == "draining" or gone_binds
        if notice.state == "ready":
            since_ms = None
        elif since_ms is None and binds:
            since_ms = notice.t
    return since_ms


# Rule 4: recovering servers are not overloaded.


def check_slow_start(run: RunRecords) -> Rule:
    """Check rule 4: all nodes together do not overload a server in slow start."""
    rule = Rule("cold spared", "largest share of its overload bound that an executor in slow start received")
    rule.margin = max((attempt.load for attempt in run.of_type(AttemptReceived)), default=0.0)
    for overload in run.of_type(ServerOverloaded):
        rule.raise_margin(overload.load)
        last = _last_attempt_before(run, overload)
        subject = overload.by if last is None else last.id
        rule.add_violation(
            subject, f"{overload.by} was overloaded in slow start: {overload.load:.2f} of its overload bound"
        )
    return rule


def _last_attempt_before(run: RunRecords, overload: ServerOverloaded) -> AttemptReceived | None:
    """Return the last attempt that a server received up to its overload, None if there is none."""
    before = [
        attempt
        for attempt in run.of_type(AttemptReceived)
        if attempt.by == overload.by and attempt.t <= overload.t
    ]
    return before[-1] if before else None


# Rule 5: requests of one key run in order.


class _KeyRelease(NamedTuple):
    """When a try released its key, in ms, and whether the key must stay unused for the gap after that."""

    at_ms: float
    needs_gap: bool


def check_key_order(run: RunRecords) -> Rule:
    """Check rule 5: requests of one key run one at a time, in order of arrival, if their class requires it.

    Tries sent within the slack of each other are not compared: they may have arrived in either order.
    """
    rule = Rule(
        "in turn", "largest share of the gap after a key's release that the next attempt of the key cut short"
    )
    gap_ms = float(run.rules.get("turn_gap_ms", 0.0))
    for tries in _tries_by_node_and_key(run):
        for index, tried in enumerate(tries):
            for attempt in run.attempts.get(tried.id, ()):
                for earlier in _tries_to_wait_for(run, tries[:index], tried, attempt):
                    _check_after_release(rule, run, earlier, attempt, gap_ms)
    return rule


def _tries_by_node_and_key(run: RunRecords) -> Iterator[list[TrySent]]:
    """Yield the tries of each key at each node, sorted by time; only of classes that require order."""
    ordered_classes = set(run.rules.get("in_turn", ()))
    by_node_and_key: dict[tuple[str, str], list[TrySent]] = defaultdict(list)
    for tried in run.tries.values():
        if tried.type in ordered_classes and tried.key is not None:
            by_node_and_key[tried.node, tried.key].append(tried)
    for tries in by_node_and_key.values():
        yield sorted(tries, key=lambda tried: tried.t)


def _tries_to_wait_for(
    run: RunRecords, earlier_tries: Sequence[TrySent], tried: TrySent, attempt: AttemptReceived
) -> Iterator[TrySent]:
    """Yield the earlier tries of a key whose release an attempt of a later try had to wait for."""
    for earlier in earlier_tries:
        if earlier.t + run.slack_ms >= tried.t:
            return
        # A node that was restarted since has no record of the earlier try.
        restarted = any(
            earlier.t - run.slack_ms <= killed_ms <= attempt.t
            for killed_ms in run.node_kills.get(tried.node, ())
        )
        if not restarted:
            yield earlier


def _check_after_release(
    rule: Rule, run: RunRecords, earlier: TrySent, attempt: AttemptReceived, gap_ms: float
) -> None:
    """Check that an attempt was received after an earlier try released the key and after any required gap."""
    release = _key_release(run, earlier.id, attempt.t)
    if release.needs_gap and gap_ms:
        rule.raise_margin((release.at_ms + gap_ms - attempt.t) / gap_ms)
    if attempt.t + run.slack_ms < release.at_ms + (gap_ms if release.needs_gap else 0.0):
        rule.add_violation(
            attempt.id,
            f"received by {attempt.by} before {earlier.id} released the same key or in the gap after that",
        )


def _key_release(run: RunRecords, try_id: str, until_ms: float) -> _KeyRelease:
    """Return when a try released its key, by the attempts that servers received until `until_ms`.

    The key is released at the last of: the end for the client, and the ends of the attempts; infinity if an
    attempt has no recorded end.
    """
    release = _KeyRelease(_client_done_ms(run, try_id), needs_gap=False)
    for attempt in run.attempts.get(try_id, ()):
        if attempt.t > until_ms:
            continue
        ends = [end for end in run.ends_at_server(try_id, attempt.by) if end.t >= attempt.t]
        end = min(ends, key=lambda end: end.t, default=None)
        ended_ms = inf if end is None else end.t
        if end is None or ended_ms >= release.at_ms:
            release = _KeyRelease(ended_ms, needs_gap=_may_still_run(end))
    return release


def _client_done_ms(run: RunRecords, try_id: str) -> float:
    """Return when a try's client received an answer or left, in ms; infinity if neither happened."""
    done_ms = [answer.t for answer in run.answers.get(try_id, ())]
    quit_record: ClientLeft | None = run.quits.get(try_id)
    if quit_record is not None:
        done_ms.append(quit_record.t)
    return min(done_ms, default=inf)


def _may_still_run(end: AttemptRefused | AttemptEnded | AttemptCancelled | None) -> bool:
    """Return whether a server may still run an attempt after its end: if it was cancelled or lost."""
    return isinstance(end, AttemptCancelled) or (isinstance(end, AttemptEnded) and end.how == "lost")


# All rules.


class Judgement(NamedTuple):
    """The verdict on a run, and the index of its records."""

    verdict: Verdict
    run: RunRecords


def judge(records: list[Record], read_errors: list[str] | None = None) -> Judgement:
    """Check a run's records against all rules, unless there are gaps.

    `read_errors` are texts on files that could not be read; they count as gaps.
    """
    gaps = [*(read_errors or []), *find_gaps(records)]
    run = RunRecords(records)
    if gaps:
        return Judgement(Verdict([], gaps), run)
    rules = [
        check_one_answer(run),
        check_effects(run),
        check_drains(run),
        check_slow_start(run),
        check_key_order(run),
    ]
    return Judgement(Verdict(rules, gaps), run)
