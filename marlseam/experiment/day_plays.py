"""The plays of one day: `day` runs on one driver, `agree` runs on both and compares their results."""

import time
from pathlib import Path

import msgspec

from marlseam import records
from marlseam.experiment.file import Experiment
from marlseam.experiment.plays import JudgedResult, RunResult, ShowProgress, judge_records, register_play
from marlseam.experiment.sockets import SocketDriver
from marlseam.experiment.virtual import VirtualDriver
from marlseam.load.process import arrivals_of
from marlseam.load.tally import TallySummary
from marlseam.load.verdict import merge
from marlseam.records import RecordStreams
from marlseam.verification.verdict import Verdict

COMPARED_FIGURES = (  # figures that the play `agree` tabulates for both drivers
    "service",
    "late",
    "worst_type",
    "waste",
    "probes_per_try",
    "allocations_per_try",
    "latency_p50",
    "latency_p99",
)


@register_play("day")
def day(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play one day on the driver that the experiment file names."""
    if experiment.head.driver == "virtual":
        return play_in_virtual_time(experiment, out)
    return play_on_sockets(experiment, out, show_progress)


@register_play("agree")
def agree(experiment: Experiment, out: Path, show_progress: ShowProgress) -> RunResult:
    """Play one day on both drivers and compare their figures, rules and faults."""
    show_progress("virtual time")
    virtual = play_in_virtual_time(experiment, out / "virtual")
    sockets = play_on_sockets(experiment, out / "sockets", show_progress)
    figures = {f"virtual_{name}": value for name, value in virtual.figures.items()}
    figures |= sockets.figures | {
        "service_apart": abs(virtual.figures["service"] - sockets.figures["service"]),
        "rules_broken": virtual.figures["rules_broken"] + sockets.figures["rules_broken"],
        "rules_apart": float(differing_rule_count(virtual.verdict, sockets.verdict)),
        "troubles_apart": float(sorted_faults(virtual) != sorted_faults(sockets)),
    }
    return RunResult(
        figures,
        verdict=Verdict(sockets.verdict.rules, virtual.verdict.gaps + sockets.verdict.gaps),
        run_records=sockets.run_records,
        tables=[("Both drivers", comparison_rows(virtual, sockets))],
        driver="virtual and sockets",
    )


def play_in_virtual_time(experiment: Experiment, out: Path) -> JudgedResult:
    """Play an experiment's day in virtual time; write the records to `out/records`, replacing older ones."""
    day, seed = experiment.day, experiment.head.seed
    folder = out / "records"
    folder.mkdir(parents=True, exist_ok=True)
    for old_stream in folder.glob("*.jsonl"):
        old_stream.unlink()
    (out / "day.json").write_bytes(msgspec.json.encode(day))
    started_s = time.perf_counter()
    driver = VirtualDriver(day, seed, RecordStreams(folder, "driver"))
    driver.run(arrivals_of(day, seed))
    wall_s = time.perf_counter() - started_s
    result = judge_records(*records.read_folder(folder), driver="virtual")
    result.figures |= {
        "wall_s": wall_s,
        "events": float(driver.event_count),
        "events_per_s": driver.event_count / wall_s,
        "speed": day.seconds / wall_s,
    }
    return result


def play_on_sockets(experiment: Experiment, out: Path, show_progress: ShowProgress) -> JudgedResult:
    """Play an experiment's day on loopback sockets; write the records to `out/records`."""
    day, seed = experiment.day, experiment.head.seed
    driver = SocketDriver(day, seed, out)
    arrivals = arrivals_of(day, seed)

    def show_time(now_ms: float) -> None:
        show_progress(f"{max(0.0, now_ms) / 1000.0:.0f} s of {day.seconds:g} s played")

    counts = driver.run(show_time)
    counted = merge(msgspec.convert(counts, list[TallySummary]), len(arrivals))
    (out / "histograms.json").write_bytes(msgspec.json.encode(counts))
    result = judge_records(*records.read_folder(out / "records"), driver="sockets")
    result.figures |= {
        "generator_valid": float(counted.is_valid),
        "generator_lag_p99": counted.lag[99.0],
        "node_cpu_s": sum(driver.cpu_s.values()),
    }
    return result


def comparison_rows(virtual: RunResult, sockets: RunResult) -> list[list[str]]:
    """Return the compared figures of both drivers as table rows."""
    rows = [["figure", "virtual", "sockets"]]
    for name in COMPARED_FIGURES:
        rows.append([name, f"{virtual.figures[name]:.3f}", f"{sockets.figures[name]:.3f}"])
    return rows


def differing_rule_count(one: Verdict, other: Verdict) -> int:
    """Return the number of rules that exactly one of two verdicts has violations of."""
    pairs = zip(one.rules, other.rules, strict=True)
    return sum(bool(rule.violations) != bool(other_rule.violations) for rule, other_rule in pairs)


def sorted_faults(result: JudgedResult) -> list[tuple[str, tuple[str, ...]]]:
    """Return the kind and targets of each fault of a run, sorted so that two runs compare equal."""
    return sorted(
        (fault.kind, tuple(fault.targets)) for fault in result.run_records.of_type(records.FaultBegan)
    )
