"""A day's executors as pure objects, made alike for both drivers."""

from collections import defaultdict

from marlseam.world.chance import stream
from marlseam.world.executor import Executor, Job, Memory
from marlseam.world.model import Day, Kind, Type, executors
from marlseam.world.plan import Arrival
from marlseam.world.troubles import Met


def build(day: Day, seed: int, schedule: list[Met]) -> dict[str, Executor]:
    """Return a day's executors by name; those that a `grow` brings are down until then."""
    later = {name for met in schedule if met.trouble.what == "grow" for name in met.targets}
    memories: dict[object, Memory] = defaultdict(Memory)
    found = {}
    for name, kind, _, zone, cell in executors(day):
        groups = {"all": memories["all"], "zone": memories[zone], "cell": memories[cell]}
        found[name] = executor(day, seed, name, kind, groups)
        found[name].up = name not in later
    return found


def executor(day: Day, seed: int, name: str, kind: Kind, memories: dict[str, Memory]) -> Executor:
    """Return one executor of a day; `memories` are those of its groups."""
    return Executor(
        name,
        kind,
        memories,
        stream(seed, "executor", name),
        (day.reports.period_ms, day.reports.late_ms, day.reports.queue),
        (day.rules.fall_multiple, day.rules.fall_ms),
        1000.0 * day.fleet.progress_s,
        1000.0 * day.fleet.checkpoint_s,
        0.0 if day.fleet.cold else None,
    )


def job(arrival: Arrival, type: Type, id: str, alloc: object) -> Job:
    """Return an arrival's job as one allocation of a try hands it to an executor."""
    return Job(
        id=f"{id}/{alloc}",
        unit=id,
        type=type.name,
        work=arrival.work,
        slots=arrival.slots,
        memory=arrival.memory,
        receipt=arrival.receipt,
        group=type.group,
        memory_ms=type.memory_ms,
    )


def rules(day: Day, slack_ms: float) -> dict:
    """Return what a judge must know of a day, for the driver's stream."""
    return {
        "slack_ms": slack_ms,
        "grace_ms": day.rules.grace_ms,
        "second_copies": day.rules.second_copies,
        "effects": {type.name: (type.effect, type.group) for type in day.types},
        "in_turn": [type.name for type in day.types if type.in_turn],
        "turn_gap_ms": day.rules.turn_gap_ms,
        "drain_binds_alone": day.rules.drain_binds_alone,
        "zones": {name: zone for name, _, _, zone, _ in executors(day)},
    }
