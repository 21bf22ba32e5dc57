"""A deployment's settings: one form for the simulator's first message and a real node's configuration file.

The platform's keys and words (`requestClasses`, `sendCap`, `keyed` ...) are mapped to the terms of the code
here alone; docs/GLOSSARY.md has the table.
"""

from collections.abc import Mapping
from dataclasses import dataclass, replace
from math import inf
from typing import Any, NamedTuple

from marlseam.configuration.errors import REQUIRED, ConfigError
from marlseam.configuration.table import ConfigTable, indexed
from marlseam.decisions.types import DeduplicationScope, Idempotency, RequestClass, Settings

IDEMPOTENCY = {"safe": Idempotency.SAFE, "keyed": Idempotency.KEYED, "unsafe": Idempotency.UNSAFE}
LIVE_WEIGHTS = {"none": False, "nominal": False, "rough": False, "live": True}
REPORTS_IN_RESPONSES = {"none": False, "probe": False, "answers": True}
WEIGHT_BY_SIZE = {"request": False, "work": True}
REPORT_FIELDS = {"outstanding": "held", "inflight": "held", "backlog": "queued", "queue": "queued"}
# The longest pause between two calls for the endpoint list, from the beginning of one to that of the next, as
# a share of the time after which one must call; and at most, of the 6 s after which a change counts as
# notified (docs/node.md).
POLL_SHARE_OF_MAX_AGE = 0.2
MAX_POLL_INTERVAL_MS = 2000.0
# Likewise, where changes count as notified when they are made, as a share of the grace for ending sends.
POLL_SHARE_OF_GRACE = 0.375
MIN_GRACE_MS = 100.0


@dataclass(frozen=True)
class Deployment:
    """A deployment's settings: the decisions' part, and what the adapters read of them.

    Attributes:
        settings: what decisions are made by.
        zones, kinds, types: index by name, of zones, kinds of server and request classes on offer.
        all_types: index by name of request classes, those of earlier configurations included.
        report_names: which field of a LoadReport each name of the wire's load report means.
        keepalive_ms: after which a server may close an idle connection.
        connect_ms: how long a connection may take to come up.
        pushed: whether changes of the endpoint list count as notified when they are made.
        grace_ms: within which sends to a draining server have to stop.
        marks_retry: whether clients mark their retries.
    """

    settings: Settings
    zones: dict[str, int]
    kinds: dict[str, int]
    types: dict[str, int]
    all_types: dict[str, int]
    report_names: dict[str, str]
    keepalive_ms: float
    connect_ms: float
    pushed: bool = False
    grace_ms: float = MIN_GRACE_MS
    marks_retry: bool = False


class Sections(NamedTuple):
    """The objects of a deployment's settings: limits on attempts, rules, costs, what is told of servers."""

    top: ConfigTable
    limits: ConfigTable
    rules: ConfigTable
    costs: ConfigTable
    info: ConfigTable


class RequestClasses(NamedTuple):
    """The request classes of a deployment."""

    offered: list[str]  # names
    index_of: dict[str, int]  # by name, those of earlier configurations included
    classes: tuple[RequestClass, ...]  # in the order of their indices


class ListTimes(NamedTuple):
    """How old the endpoint list may get, and how soon sends have to stop."""

    is_subscribed: bool  # else changes are pushed, and count as notified when they are made
    max_age_ms: float
    max_poll_interval_ms: float
    grace_ms: float


def deployment_from(
    options: object, key: str = "settings", before: Deployment | None = None, whole: bool = False
) -> Deployment:
    """Return a deployment's settings; what is missing means what is least generous.

    `before` is the deployment in force, of which names keep their indices. `whole` settings, as a node's file
    holds them, have to say how requests are answered: nothing stands in for that. Raises ConfigError.
    """
    top = ConfigTable(options, key)
    sections = Sections(
        top,
        limits=top.table("ceilings", {}),
        rules=top.table("guarantees", {}),
        costs=top.table("penalties", {}),
        info=top.table("familyInfo", {}),
    )
    zones = top.indexed_names("dcs", before.zones if before else {})
    kinds = top.indexed_names("kinds", before.kinds if before else {})
    classes = request_classes(top, sections.info, before, whole)
    times = list_times(top, sections.rules)
    return Deployment(
        settings=settings_from(sections, zones, len(kinds), classes.classes, times, whole),
        zones=zones,
        kinds=kinds,
        types={name: classes.index_of[name] for name in classes.offered},
        all_types=classes.index_of,
        report_names=report_names(sections.info),
        keepalive_ms=sections.limits.milliseconds("keepaliveUs", 10000.0),
        connect_ms=sections.limits.milliseconds("connectTimeoutUs", 250.0),
        pushed=not times.is_subscribed,
        grace_ms=times.grace_ms,
        marks_retry=top.table("clients", {}).flag("marksRetry"),
    )


def settings_from(
    sections: Sections,
    zones: Mapping[str, int],
    kind_count: int,
    classes: tuple[RequestClass, ...],
    times: ListTimes,
    whole: bool,
) -> Settings:
    """Return what decisions are made by."""
    top, limits, rules, costs, info = sections
    return Settings(
        request_classes=classes,
        kind_count=kind_count,
        zone=zones.get(top.text("zone", "none"), -1),
        node_count=max(1, int(top.number("fleetSize", 1))),
        tick_ms=top.milliseconds("tickUs", 1.0),
        **attempt_limits(limits, whole),
        subscribes_to_endpoints=times.is_subscribed,
        list_max_age_ms=times.max_age_ms,
        max_poll_interval_ms=times.max_poll_interval_ms,
        reports_start=info.flag("tellsStart"),
        progress_period_ms=info.milliseconds("progressUs", 0.0),
        **slow_start_rules(rules),
        cross_zone_cost=costs.number("crossZone", 0.0),
        reports_in_responses=reports_in_responses(top),
        live_weights=top.word("weights", LIVE_WEIGHTS, "none"),
        may_gossip=limits.flag("peers"),
        fetch_cost=costs.number("origin", 0.0),
        weight_by_size=top.word("worthBy", WEIGHT_BY_SIZE, "request"),
        key_gap_ms=rules.milliseconds("turnGapUs", 0.0),
        only_draining_excludes=rules.flag("drainBindsAlone"),
    )


def request_classes(
    top: ConfigTable, info: ConfigTable, before: Deployment | None, whole: bool
) -> RequestClasses:
    """Read the request classes; one that is offered no more keeps its index for what is open of it."""
    required_ms, least_us = (REQUIRED, 1.0) if whole else (0.0, 0.0)
    run_factors, class_kinds = info.numbers("classStretch"), info.numbers("classKind")
    rows = top.tables("requestClasses")
    offered = [row.text("name") for row in rows]
    index = indexed(offered, before.all_types if before else {})
    known = without_times(before.settings.request_classes) if before else {}
    for i, row in enumerate(rows):
        run_factor = run_factors[i] if i < len(run_factors) else row.number("aimStretch", 0.0)
        known[index[offered[i]]] = RequestClass(
            latency_objective_ms=row.milliseconds("aimUs", required_ms),
            objective_run_factor=run_factor,
            deadline_ms=row.milliseconds("deadlineUs", required_ms, least_us),
            idempotency=row.word("semantics", IDEMPOTENCY, REQUIRED if whole else "unsafe"),
            deduplication_scope=row.word("dedupScope", DeduplicationScope, "cell"),
            deduplication_window_ms=row.milliseconds("memorySpanUs", 0.0),
            kind=int(class_kinds[i]) if i < len(class_kinds) else -1,
            priority_weight=row.number("worth", 1.0),
            ordered_by_key=row.flag("oneAtATime"),
        )
    return RequestClasses(offered, index, tuple(known.values()))


def without_times(classes: tuple[RequestClass, ...]) -> dict[int, RequestClass]:
    """Return request classes by index that set no times any more, unless they are offered again."""
    return {
        index: replace(request_class, latency_objective_ms=inf, deadline_ms=inf)
        for index, request_class in enumerate(classes)
    }


def list_times(top: ConfigTable, rules: ConfigTable) -> ListTimes:
    """Read how soon a change of the endpoint list counts as notified."""
    is_subscribed = top.get("registryMode", "") == "subscribe"
    max_age_ms = rules.milliseconds("mustAskInUs", 10000.0)
    interval_ms = min(POLL_SHARE_OF_MAX_AGE * max_age_ms, MAX_POLL_INTERVAL_MS)
    grace_ms = max(MIN_GRACE_MS, rules.milliseconds("stopSendingWithinUs", 0.0))
    if not is_subscribed:
        interval_ms = min(interval_ms, POLL_SHARE_OF_GRACE * grace_ms)
    return ListTimes(is_subscribed, max_age_ms, interval_ms, grace_ms)


def attempt_limits(limits: ConfigTable, whole: bool) -> dict[str, Any]:
    """Read what a node may do for a request, as arguments of Settings."""
    required, least = (REQUIRED, 1.0) if whole else (1, 0.0)
    return {
        "max_attempts": int(limits.number("sendCap", required, least)),
        "may_probe": limits.flag("mayProbe"),
        "may_cancel": limits.flag("cancel"),
        "may_hedge": limits.flag("secondCopies"),
        "max_retry_after_ms": (
            limits.milliseconds("maxRetryAfterUs", 0.0) if limits.flag("retryAfter") else 0.0
        ),
    }


def slow_start_rules(rules: ConfigTable) -> dict[str, Any]:
    """Read what a server in slow start bears, as arguments of Settings."""
    return {
        "slow_start_initial_share": rules.number("startCapacity", 0.1),
        "slow_start_ms": rules.milliseconds("warmWithinUs", 30000.0),
        "overload_multiple": rules.number("fallMultiple", 1.0),
        "overload_window_ms": rules.milliseconds("tipAfterUs", 1000.0),
    }


def reports_in_responses(top: ConfigTable) -> bool:
    """Return whether servers report their load in responses; then the fields of a report have to be named."""
    reports = top.table("loadReport", {})
    found: bool = reports.word("how", REPORTS_IN_RESPONSES, "probe")
    fields = reports.get("fields", [])
    if not isinstance(fields, list) or not all(isinstance(name, str) for name in fields):
        raise ConfigError(reports.path("fields"), fields, "a list of names")
    if found and not fields:
        raise ConfigError(reports.path("fields"), fields, "one name at least where reports come with answers")
    return found


def report_names(info: ConfigTable) -> dict[str, str]:
    """Return which field of a LoadReport each name of the wire's load report means."""
    names = dict(REPORT_FIELDS)
    for extra in ("X0", "X1"):
        if "slot" in str(info.get("report" + extra, "")):
            names[extra.lower()] = "free_slots"
    return names


def require_request_classes(settings: Mapping[str, Any]) -> None:
    """Raise ConfigError for settings without request classes."""
    if not ConfigTable(settings, "settings").tables("requestClasses"):
        raise ConfigError("settings.requestClasses", [], "one request class at least")
