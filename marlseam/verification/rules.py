"""The rules, each checked against the records of all sides; every violation names its try or server.

The names of the rules and the texts are written into reports, and experiments compare the names.
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
    ServerStateHeard,
    TrySent,
)
from marlseam.verification.book import RunRecords, find_gaps
from marlseam.verification.verdict import Rule, Verdict

DEFAULT_EFFECT = ("exclusive", "cell")  # of a request class that the run's rules do not list


# Rule 1: one answer.


def check_one_answer(run: RunRecords) -> Rule:
    """Check rule 1: each try gets one final answer before its deadline, and nothing is sent for it after."""
    rule = Rule("one answer", "largest share of its time that an answered work unit took")
    for tried in run.tries.values():
        finals = run.final_answers(tried.id)
        if len(finals) > 1:
            rule.add_violation(tried.id, f"{len(finals)} final answers")
        if finals:
            _check_answer_time(rule, run, tried, answered_ms=finals[0].t)
        elif not _is_missing_answer_excused(run, tried):
            what = (
                "its connection ended without an answer"
                if run.answers.get(tried.id)
                else "no answer before its hard limit"
            )
            rule.add_violation(tried.id, what)
    return rule


def _check_answer_time(rule: Rule, run: RunRecords, tried: TrySent, answered_ms: float) -> None:
    """Check that a try's answer came before its deadline and that no server got an attempt after it."""
    rule.raise_margin((answered_ms - tried.t) / max(1.0, tried.expires - tried.t))
    if answered_ms > tried.expires + run.slack_ms and not _is_node_paused_at_deadline(run, tried):
        rule.add_violation(tried.id, f"answered {answered_ms - tried.expires:.0f} ms after its hard limit")
    for attempt in run.attempts.get(tried.id, ()):
        if attempt.t > answered_ms + run.slack_ms:
            late_ms = attempt.t - answered_ms
            rule.add_violation(tried.id, f"sent to {attempt.by} {late_ms:.0f} ms after its answer")


def _is_missing_answer_excused(run: RunRecords, tried: TrySent) -> bool:
    """Return whether a try may have no final answer.

    It never reached a node, its client left early, or its node was killed, or paused at its deadline.
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
    """Return whether a try's node was paused at the try's deadline, so that it could not answer."""
    return any(
        pause.from_ms <= tried.expires + run.slack_ms and pause.until_ms >= tried.expires - run.slack_ms
        for pause in run.node_pauses.get(tried.node, ())
    )


# Rule 2: no effect twice.


def check_effects(run: RunRecords) -> Rule:
    """Check rule 2: no effect twice, no rejection of what may have run, no barred hedged attempts."""
    rule = Rule("no effect twice", "largest number of effects of one receipted or exclusive work unit")
    effect_by_class = run.rules.get("effects", {})
    allows_hedging = run.rules.get("second_copies", False)
    for tries in run.tries_by_first.values():
        effect, group = effect_by_class.get(tries[0].type, DEFAULT_EFFECT)
        if effect != "rerunnable":
            _check_single_effect(rule, run, tries, effect)
            # An idempotency key that all nodes share makes a client's retry of what ran harmless.
            if not (effect == "receipted" and group == "all"):
                _check_no_rejection_after_run(rule, run, tries, effect)
        if not allows_hedging:
            _check_no_overlap(rule, run, tries)
    return rule


def _check_single_effect(rule: Rule, run: RunRecords, tries: Sequence[TrySent], effect: str) -> None:
    """Check that all tries of a request together had one effect at most."""
    runs = [started for tried in tries for started in run.runs.get(tried.id, ()) if started.effect]
    rule.raise_margin(float(len(runs)))
    if len(runs) > 1:
        servers = ", ".join(started.by for started in runs)
        rule.add_violation(tries[0].first, f"{len(runs)} effects of {effect} work: {servers}")


def _check_no_rejection_after_run(rule: Rule, run: RunRecords, tries: Sequence[TrySent], effect: str) -> None:
    """Check that no try of a request was rejected, as if safe to retry, although a server ran it."""
    for tried in tries:
        final, runs = run.final_answer(tried.id), run.runs.get(tried.id)
        if final is not None and final.how == "deferred" and runs:
            rule.add_violation(tried.first, f"{effect} work deferred though {runs[0].by} ran it")


def _check_no_overlap(rule: Rule, run: RunRecords, tries: Sequence[TrySent]) -> None:
    """Check that no try of a request had two attempts in flight at once."""
    for tried in tries:
        overlap = find_overlap(run, tried.id)
        if overlap is not None:
            rule.add_violation(tried.first, f"a second copy: {overlap}")


class _AttemptSpan(NamedTuple):
    """The time in which an attempt was in flight; compared in order of its fields."""

    from_ms: float
    until_ms: float
    server: str
    position: int


def find_overlap(run: RunRecords, try_id: str) -> str | None:
    """Return which two attempts of a try were in flight at once, as a text, or None."""
    spans = []
    for index, attempt in enumerate(run.attempts.get(try_id, ())):
        ends_ms = (end.t for end in run.ends_at_server(try_id, attempt.by) if end.t >= attempt.t)
        spans.append(_AttemptSpan(attempt.t, min(ends_ms, default=inf), attempt.by, index))
    spans.sort()
    for earlier, later in pairwise(spans):
        if later.from_ms + run.slack_ms < earlier.until_ms:
            return f"sent to {later.server} while out at {earlier.server}"
    return None


# Rule 3: draining servers get nothing new.


def check_drains(run: RunRecords) -> Rule:
    """Check rule 3: no attempt to a server after the grace since its node heard that it drains or is gone."""
    rule = Rule("drains kept", "latest send after being told, as a share of the grace")
    grace_ms = float(run.rules.get("grace_ms", 0.0))
    draining_binds = not run.rules.get("drain_binds_alone", False)
    for try_id, attempts in run.attempts.items():
        tried = run.tries.get(try_id)
        if tried is None:
            continue
        for attempt in attempts:
            notices = run.state_notices.get((tried.node, attempt.by), ())
            left_ms = _leaving_known_since(notices, attempt.t, draining_binds)
            if left_ms is None:
                continue
            rule.raise_margin((attempt.t - left_ms) / grace_ms)
            if attempt.t > left_ms + grace_ms + run.slack_ms:
                late_ms = attempt.t - left_ms
                rule.add_violation(
                    try_id, f"sent to {attempt.by} {late_ms:.0f} ms after {tried.node} was told"
                )
    return rule


def _leaving_known_since(
    notices: Sequence[ServerStateHeard], until_ms: float, draining_binds: bool
) -> float | None:
    """Return since when a node knew, at some time, that a server leaves; None if it is listed as ready.

    The first notice of leaving counts, until the server is listed as ready again.
    """
    since_ms = None
    for notice in notices:
        if notice.t > until_ms:
            break
        binds = notice.state == "draining" or draining_binds
        if notice.state == "ready":
            since_ms = None
        elif since_ms is None and binds:
            since_ms = notice.t
    return since_ms


# Rule 4: recovering servers are not overloaded.


def check_slow_start(run: RunRecords) -> Rule:
    """Check rule 4: all nodes together do not overload a server in slow start."""
    rule = Rule("cold spared", "largest share of what a cold executor bears that it was sent")
    rule.margin = max((attempt.load for attempt in run.of_type(AttemptReceived)), default=0.0)
    for overload in run.of_type(ServerOverloaded):
        rule.raise_margin(overload.load)
        last = _last_attempt_before(run, overload)
        subject = overload.by if last is None else last.id
        rule.add_violation(subject, f"{overload.by} was pushed over at {overload.load:.2f} of its bound")
    return rule


def _last_attempt_before(run: RunRecords, overload: ServerOverloaded) -> AttemptReceived | None:
    """Return the last attempt that a server received before it was overloaded, or None."""
    before = [
        attempt
        for attempt in run.of_type(AttemptReceived)
        if attempt.by == overload.by and attempt.t <= overload.t
    ]
    return before[-1] if before else None


# Rule 5: requests of one key run in order.


class _KeyRelease(NamedTuple):
    """When a try no longer occupied its key, and whether the key must then be left unused for the gap."""

    at_ms: float
    needs_gap: bool


def check_key_order(run: RunRecords) -> Rule:
    """Check rule 5: where a class asks for it, requests of one key run one at a time, in order of arrival.

    Tries that went out closer to each other than the slack may have arrived in either order: not compared.
    """
    rule = Rule("in turn", "largest share of a key's rest that the next of its line cut short")
    gap_ms = float(run.rules.get("turn_gap_ms", 0.0))
    for tries in _tries_by_node_and_key(run):
        for index, tried in enumerate(tries):
            for attempt in run.attempts.get(tried.id, ()):
                for earlier in _tries_to_wait_for(run, tries[:index], tried, attempt):
                    _check_after_release(rule, run, earlier, attempt, gap_ms)
    return rule


def _tries_by_node_and_key(run: RunRecords) -> Iterator[list[TrySent]]:
    """Yield the tries of each key at each node, by time; only of classes that ask for order."""
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
    """Yield the tries of a key that a later try's attempt must have waited for."""
    for earlier in earlier_tries:
        if earlier.t + run.slack_ms >= tried.t:
            return
        # A node that was restarted since knows nothing of the earlier try.
        restarted = any(
            earlier.t - run.slack_ms <= killed_ms <= attempt.t
            for killed_ms in run.node_kills.get(tried.node, ())
        )
        if not restarted:
            yield earlier


def _check_after_release(
    rule: Rule, run: RunRecords, earlier: TrySent, attempt: AttemptReceived, gap_ms: float
) -> None:
    """Check that an attempt was sent after an earlier try of its key had released the key."""
    release = _key_release(run, earlier.id, attempt.t)
    if release.needs_gap and gap_ms:
        rule.raise_margin((release.at_ms + gap_ms - attempt.t) / gap_ms)
    if attempt.t + run.slack_ms < release.at_ms + (gap_ms if release.needs_gap else 0.0):
        rule.add_violation(attempt.id, f"sent to {attempt.by} before {earlier.id} of the same key was over")


def _key_release(run: RunRecords, try_id: str, until_ms: float) -> _KeyRelease:
    """Return when a try released its key, judged by the attempts that servers received until some time."""
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
    """Return when a try's client had an answer or left, infinity if neither."""
    done_ms = [answer.t for answer in run.answers.get(try_id, ())]
    quit_record: ClientLeft | None = run.quits.get(try_id)
    if quit_record is not None:
        done_ms.append(quit_record.t)
    return min(done_ms, default=inf)


def _may_still_run(end: AttemptRefused | AttemptEnded | AttemptCancelled | None) -> bool:
    """Return whether a server may still run an attempt for a while after its end: cancelled, or lost."""
    return isinstance(end, AttemptCancelled) or (isinstance(end, AttemptEnded) and end.how == "lost")


# All rules.


class Judgement(NamedTuple):
    """A run's verdict, and its records as they were indexed for it."""

    verdict: Verdict
    run: RunRecords


def judge(records: list[Record], read_errors: list[str] | None = None) -> Judgement:
    """Check a run's records against all rules; `read_errors` is what reading them found wrong."""
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
