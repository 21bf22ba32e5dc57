"""The models of a day's servers and jobs, and the settings of its rules; shared by all drivers."""

from collections import defaultdict
from collections.abc import Iterable, Mapping
from typing import Any

from marlseam.simulation.faults import ScheduledFault
from marlseam.simulation.job import GroupMemory, Job
from marlseam.simulation.model import Day, RequestType, ServerKind, placed_servers
from marlseam.simulation.plan import Arrival
from marlseam.simulation.random_streams import random_stream
from marlseam.simulation.server import Server
from marlseam.simulation.server_settings import ReportSettings, ServerSettings


def build(day: Day, seed: int, schedule: Iterable[ScheduledFault]) -> dict[str, Server]:
    """Return a day's servers by name; those that a `grow` fault adds later are down."""
    later = {name for fault in schedule if fault.settings.what == "grow" for name in fault.targets}
    memories: dict[object, GroupMemory] = defaultdict(GroupMemory)
    servers = {}
    for placed in placed_servers(day):
        groups = {"all": memories["all"], "zone": memories[placed.zone], "cell": memories[placed.cell]}
        server = make_server(day, seed, placed.name, placed.kind, groups)
        server.is_up = placed.name not in later
        servers[placed.name] = server
    return servers


def make_server(
    day: Day, seed: int, name: str, kind: ServerKind, memories: Mapping[str, GroupMemory]
) -> Server:
    """Return one server of a day; `memories` are those it shares, by group: all, zone and cell."""
    reports = ReportSettings(day.reports.period_ms, day.reports.late_ms, day.reports.queue)
    settings = ServerSettings(
        reports=reports,
        fall_multiple=day.rules.fall_multiple,
        fall_ms=day.rules.fall_ms,
        progress_ms=1000.0 * day.fleet.progress_s,
        checkpoint_ms=1000.0 * day.fleet.checkpoint_s,
    )
    started_ms = 0.0 if day.fleet.cold else None
    return Server(name, kind, memories, random_stream(seed, "executor", name), settings, started_ms)


def job(arrival: Arrival, type: RequestType, try_id: str, attempt: object) -> Job:
    """Return the job of an arrival for one attempt of a try; `attempt` completes the job's id."""
    return Job(
        id=f"{try_id}/{attempt}",
        try_id=try_id,
        class_name=type.name,
        work=arrival.work,
        slots=arrival.slots,
        memory=arrival.memory,
        idempotency_key=arrival.receipt,
        key_group=type.group,
        key_memory_ms=type.memory_ms,
    )


def rule_settings(day: Day, slack_ms: float) -> dict[str, Any]:
    """Return the settings of the rules for a day, for the first record of the driver's stream.

    `slack_ms` is by how much two records may appear out of order.
    """
    return {
        "slack_ms": slack_ms,
        "grace_ms": day.rules.grace_ms,
        "second_copies": day.rules.second_copies,
        "effects": {type.name: (type.effect, type.group) for type in day.types},
        "in_turn": [type.name for type in day.types if type.in_turn],
        "turn_gap_ms": day.rules.turn_gap_ms,
        "drain_binds_alone": day.rules.drain_binds_alone,
        "zones": {placed.name: placed.zone for placed in placed_servers(day)},
    }
