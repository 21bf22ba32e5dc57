"""A deployment's settings, in one format for the simulator's first message and a real node's file.

This module alone maps the platform's keys and values (`requestClasses`, `sendCap`, `keyed` ...) to the terms
of the code; docs/GLOSSARY.md has the table.
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
# The longest interval between two polls of the endpoint list, from start to start, as a share of the list's
# maximum age; and its upper bound, which follows from the 6 s after which a change counts as notified
# (docs/node.md).
POLL_SHARE_OF_MAX_AGE = 0.2
MAX_POLL_INTERVAL_MS = 2000.0
# The longest poll interval where changes count as notified when they are made, as a share of the grace within
# which sends to a draining server must stop.
POLL_SHARE_OF_GRACE = 0.375
MIN_GRACE_MS = 100.0


@dataclass(frozen=True)
class Deployment:
    """A deployment's settings: those of the decisions, and those that the adapters read.

    Attributes:
        settings: the settings of the decisions.
        zones, kinds, types: index by name, of zones, server kinds and the request classes now configured.
        all_types: index by name of request classes, those of earlier configurations included.
        report_names: field of a LoadReport by its name in the load reports on the wire.
        keepalive_ms: idle time after which a server may close a connection.
        connect_ms: maximum time to establish a connection.
        pushed: whether changes of the endpoint list count as notified when they are made.
        grace_ms: time within which sends to a draining server must stop.
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
    """The objects of a deployment's settings: top level, attempt limits, rules, costs, server information."""

    top: ConfigTable
    limits: ConfigTable
    rules: ConfigTable
    costs: ConfigTable
    info: ConfigTable


class RequestClasses(NamedTuple):
    """The request classes of a deployment, those of earlier configurations included."""

    offered: list[str]  # names of those now configured
    index_of: dict[str, int]  # by name, those of earlier configurations included
    classes: tuple[RequestClass, ...]  # in the order of their indices


class ListTimes(NamedTuple):
    """Maximum age and poll interval of the endpoint list, and the grace for sends to a draining server."""

    is_subscribed: bool  # False: changes are pushed, and count as notified when they are made
    max_age_ms: float
    max_poll_interval_ms: float
    grace_ms: float


def deployment_from(
    options: object, key: str = "settings", before: Deployment | None = None, is_complete: bool = False
) -> Deployment:
    """Parse a deployment's settings; a missing entry gets its most restrictive value.

    `key` is the full key of `options` in errors. `before` is the deployment in force, whose names keep their
    indices. `is_complete` is for settings of a node's file, which must give each request class an objective,
    a deadline and its semantics, and the number of attempts: these have no default. Raises ConfigError.
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
    classes = request_classes(top, sections.info, before, is_complete)
    times = list_times(top, sections.rules)
    return Deployment(
        settings=settings_from(sections, zones, len(kinds), classes.classes, times, is_complete),
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
    is_complete: bool,
) -> Settings:
    """Return the settings of the decisions."""
    top, limits, rules, costs, info = sections
    return Settings(
        request_classes=classes,
        kind_count=kind_count,
        zone=zones.get(top.text("zone", "none"), -1),
        node_count=max(1, int(top.number("fleetSize", 1))),
        tick_ms=top.milliseconds("tickUs", 1.0),
        **attempt_limits(limits, is_complete),
        subscribes_to_endpoints=times.is_subscribed,
        list_max_age_ms=times.max_age_ms,
        max_poll_interval_ms=times.max_poll_interval_ms,
        reports_start=info.flag("tellsStart"),
        progress_period_ms=info.milliseconds("progressUs", 0.0),
        **slow_start_rules(rules),
        cross_zone_cost=costs.number("crossZone", 0.0),
        reports_in_responses=reports_in_responses(top),
        live_weights=top.choice("weights", LIVE_WEIGHTS, "none"),
        may_gossip=limits.flag("peers"),
        fetch_cost=costs.number("origin", 0.0),
        weight_by_size=top.choice("worthBy", WEIGHT_BY_SIZE, "request"),
        key_gap_ms=rules.milliseconds("turnGapUs", 0.0),
        only_draining_excludes=rules.flag("drainBindsAlone"),
    )


def request_classes(
    top: ConfigTable, info: ConfigTable, before: Deployment | None, is_complete: bool
) -> RequestClasses:
    """Read the request classes; one that was removed keeps its index for its requests that are still open."""
    required_ms, minimum_us = (REQUIRED, 1.0) if is_complete else (0.0, 0.0)
    run_factors, class_kinds = info.numbers("classStretch"), info.numbers("classKind")
    rows = top.tables("requestClasses")
    offered = [row.text("name") for row in rows]
    index = indexed(offered, before.all_types if before else {})
    classes = without_time_limits(before.settings.request_classes) if before else {}
    for i, row in enumerate(rows):
        run_factor = run_factors[i] if i < len(run_factors) else row.number("aimStretch", 0.0)
        classes[index[offered[i]]] = RequestClass(
            latency_objective_ms=row.milliseconds("aimUs", required_ms),
            objective_run_factor=run_factor,
            deadline_ms=row.milliseconds("deadlineUs", required_ms, minimum_us),
            idempotency=row.choice("semantics", IDEMPOTENCY, REQUIRED if is_complete else "unsafe"),
            deduplication_scope=row.choice("dedupScope", DeduplicationScope, "cell"),
            deduplication_window_ms=row.milliseconds("memorySpanUs", 0.0),
            kind=int(class_kinds[i]) if i < len(class_kinds) else -1,
            priority_weight=row.number("worth", 1.0),
            ordered_by_key=row.flag("oneAtATime"),
        )
    return RequestClasses(offered, index, tuple(classes.values()))


def without_time_limits(classes: tuple[RequestClass, ...]) -> dict[int, RequestClass]:
    """Return the request classes by index, each with an infinite objective and deadline."""
    return {
        index: replace(request_class, latency_objective_ms=inf, deadline_ms=inf)
        for index, request_class in enumerate(classes)
    }


def list_times(top: ConfigTable, rules: ConfigTable) -> ListTimes:
    """Read how the endpoint list is updated, its maximum age and poll interval, and the drain grace."""
    is_subscribed = top.get("registryMode", "") == "subscribe"
    max_age_ms = rules.milliseconds("mustAskInUs", 10000.0)
    interval_ms = min(POLL_SHARE_OF_MAX_AGE * max_age_ms, MAX_POLL_INTERVAL_MS)
    grace_ms = max(MIN_GRACE_MS, rules.milliseconds("stopSendingWithinUs", 0.0))
    if not is_subscribed:
        interval_ms = min(interval_ms, POLL_SHARE_OF_GRACE * grace_ms)
    return ListTimes(is_subscribed, max_age_ms, interval_ms, grace_ms)


def attempt_limits(limits: ConfigTable, is_complete: bool) -> dict[str, Any]:
    """Read the limits on attempts of one request, as keyword arguments of Settings."""
    required, minimum = (REQUIRED, 1.0) if is_complete else (1, 0.0)
    return {
        "max_attempts": int(limits.number("sendCap", required, minimum)),
        "may_probe": limits.flag("mayProbe"),
        "may_cancel": limits.flag("cancel"),
        "may_hedge": limits.flag("secondCopies"),
        "max_retry_after_ms": (
            limits.milliseconds("maxRetryAfterUs", 0.0) if limits.flag("retryAfter") else 0.0
        ),
    }


def slow_start_rules(rules: ConfigTable) -> dict[str, Any]:
    """Read the slow start and overload parameters of servers, as keyword arguments of Settings."""
    return {
        "slow_start_initial_share": rules.number("startCapacity", 0.1),
        "slow_start_ms": rules.milliseconds("warmWithinUs", 30000.0),
        "overload_multiple": rules.number("fallMultiple", 1.0),
        "overload_window_ms": rules.milliseconds("tipAfterUs", 1000.0),
    }


def reports_in_responses(top: ConfigTable) -> bool:
    """Return whether servers report their load in responses, which requires the names of its fields."""
    reports = top.table("loadReport", {})
    is_in_responses: bool = reports.choice("how", REPORTS_IN_RESPONSES, "probe")
    fields = reports.get("fields", [])
    if not isinstance(fields, list) or not all(isinstance(name, str) for name in fields):
        raise ConfigError(reports.path("fields"), fields, "a list of names")
    if is_in_responses and not fields:
        raise ConfigError(reports.path("fields"), fields, "at least one name, because `how` is answers")
    return is_in_responses


def report_names(info: ConfigTable) -> dict[str, str]:
    """Return the field of a LoadReport by its name in the load reports on the wire."""
    names = dict(REPORT_FIELDS)
    for extra in ("X0", "X1"):
        if "slot" in str(info.get("report" + extra, "")):
            names[extra.lower()] = "free_slots"
    return names


def require_request_classes(settings: Mapping[str, Any]) -> None:
    """Raise ConfigError if the settings have no request class."""
    if not ConfigTable(settings, "settings").tables("requestClasses"):
        raise ConfigError("settings.requestClasses", [], "at least one request class")
