"""Measures what membership costs a member in full, and the operators' view of it."""

import gc
import tracemalloc
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from typing import NamedTuple

from marlseam.cluster.checking.membership_schedules import detection_bound_ms
from marlseam.cluster.checking.simulation import PERIOD_MS
from marlseam.cluster.membership import Membership
from marlseam.cluster.membership_codec import GossipEntry, MemberState, MemberStatus
from marlseam.configuration import ClusterSettings
from marlseam.experiment.sizing.cpu_clock import CpuClock
from marlseam.experiment.sizing.membership.full_member import CLUSTER, Usage
from marlseam.experiment.sizing.membership.sample import MembershipSample
from marlseam.experiment.sizing.membership.settings import MembershipSizes
from marlseam.experiment.sizing.process_usage import BYTES_PER_MB
from marlseam.net.log import Log
from marlseam.net.loop import Loop
from marlseam.net.membership_service import MembershipService

WARM_UP_PERIODS = 2.0
OWN_ADDRESS, OTHERS_ADDRESS = ("127.0.0.1", 0), ("127.0.0.1", 9)  # nobody listens at the others'
STATUS_AT_PERIODS = 10.0


@dataclass(frozen=True)
class MembershipFigures:
    """What a member in full costs, the mean over all of them; the names are those in reports.

    Attributes:
        tick_ms, heard_ms: processor time of a timer, and of a datagram that was received.
        turn_ms: the longest turn.
        core_share: processor time as a share of a core.
        letters, bytes_s: datagrams and bytes sent a second.
        letter_bytes, letter_most: length of a datagram, the mean and the most.
        changes: of who is a member, in the run.
        zone_core_share, zone_letters, zone_bytes_s, zone_turn_ms: the same where a zone fails.
        memory_mb: what a member holds.
        gone_bound_s: until each member has found out by its own probes that one is gone, at most.
        door_bytes, door_ms: length of the status that operators get, and its turn.
    """

    tick_ms: float
    heard_ms: float
    turn_ms: float
    core_share: float
    letters: float
    bytes_s: float
    letter_bytes: float
    letter_most: float
    changes: float
    zone_core_share: float
    zone_letters: float
    zone_bytes_s: float
    zone_turn_ms: float
    memory_mb: float
    gone_bound_s: float
    door_bytes: float
    door_ms: float

    def by_name(self) -> dict[str, float]:
        """Return the figures by their names in reports, in order."""
        return asdict(self)


class Interval(NamedTuple):
    """What a time took.

    Attributes:
        usage: of all full members together.
        longest_turn_ms: of any of them.
    """

    usage: Usage
    longest_turn_ms: float


class StatusCost(NamedTuple):
    """What the status that operators get costs.

    Attributes:
        status_bytes: its length.
        cpu_ms: processor time of the turn that tells it.
    """

    status_bytes: int
    cpu_ms: float


def measure_membership(settings: MembershipSizes, count: int, seed: int) -> MembershipFigures:
    """Return what `count` members cost each that runs in full, on an ordinary day and when a zone fails.

    To be called in a process of its own.
    """
    gc.freeze()
    sample = MembershipSample(count, min(settings.members, count), seed)
    sample.run(WARM_UP_PERIODS * PERIOD_MS)
    per_member_s = 1.0 / settings.seconds / len(sample.members)
    day = measure_interval(sample, settings.seconds)
    changes = sample.scripted.changes
    sample.fail_zone()
    zone = measure_interval(sample, settings.seconds)
    suspicion_ms = next(iter(sample.members.values())).machine.suspicion_ms(0)
    memory_mb = measure_memory_mb(count)
    status = measure_status(sample.names)
    return MembershipFigures(
        tick_ms=day.usage.tick_ms / max(1, day.usage.ticks),
        heard_ms=day.usage.receive_ms / max(1, day.usage.received),
        turn_ms=day.longest_turn_ms,
        core_share=day.usage.cpu_ms / 1000.0 * per_member_s,
        letters=day.usage.sent * per_member_s,
        bytes_s=day.usage.sent_bytes * per_member_s,
        letter_bytes=day.usage.sent_bytes / max(1, day.usage.sent),
        letter_most=float(sample.max_datagram_bytes()),
        changes=float(changes),
        zone_core_share=zone.usage.cpu_ms / 1000.0 * per_member_s,
        zone_letters=zone.usage.sent * per_member_s,
        zone_bytes_s=zone.usage.sent_bytes * per_member_s,
        zone_turn_ms=zone.longest_turn_ms,
        memory_mb=memory_mb,
        gone_bound_s=detection_bound_ms(count, suspicion_ms, PERIOD_MS, 0) / 1000.0,
        door_bytes=float(status.status_bytes),
        door_ms=status.cpu_ms,
    )


def measure_interval(sample: MembershipSample, seconds: float) -> Interval:
    """Let a time pass, and return what it took."""
    before = sample.begin_measurement()
    sample.run(sample.now_ms + 1000.0 * seconds)
    longest_turn_ms = sample.longest_turn_ms()
    return Interval(sample.begin_measurement() - before, longest_turn_ms)


def measure_status(names: Sequence[str]) -> StatusCost:
    """Return what it costs a node to tell operators the state of so many members."""
    loop, clock = Loop(print), CpuClock()
    # A fixed time: ages are told, and would have other lengths on each run.
    loop.now = lambda: STATUS_AT_PERIODS * PERIOD_MS
    members = dict.fromkeys(names, OTHERS_ADDRESS) | {names[0]: OWN_ADDRESS}
    settings = ClusterSettings(CLUSTER, members, PERIOD_MS)
    service = MembershipService(loop, Log("status", loop.now), settings, names[0], 1)
    for name in names:
        service.machine.merge(GossipEntry(name, MemberState(0, 1, MemberStatus.ALIVE)))
    text = clock.run(service.status)
    if service.sock is not None:
        service.sock.close()
    loop.poll.close()
    loop.first.close()
    return StatusCost(len(text), clock.cpu_ms)


def measure_memory_mb(count: int) -> float:
    """Return what a member holds that has heard of `count` members, in MB."""
    names = frozenset(f"n{i:05}" for i in range(count))
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        machine = Membership(CLUSTER, "n00000", names, 0, 0, PERIOD_MS, 0.0)
        for name in sorted(names):
            machine.merge(GossipEntry(name, MemberState(0, 1, MemberStatus.ALIVE)))
        return (tracemalloc.get_traced_memory()[0] - before) / BYTES_PER_MB
    finally:
        tracemalloc.stop()
