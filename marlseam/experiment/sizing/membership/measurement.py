"""Measures the cost of membership for a full member, and of the membership status for operators."""

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
from marlseam.experiment.sizing.membership.full_member import CLUSTER_NAME, Usage
from marlseam.experiment.sizing.membership.sample import MembershipSample
from marlseam.experiment.sizing.membership.settings import MembershipSizes
from marlseam.experiment.sizing.process_usage import BYTES_PER_MB
from marlseam.net.log import Log
from marlseam.net.loop import Loop
from marlseam.net.membership_service import MembershipService

WARM_UP_PERIODS = 2.0
OWN_ADDRESS, OTHERS_ADDRESS = ("127.0.0.1", 0), ("127.0.0.1", 9)  # nothing listens on port 9
STATUS_AT_PERIODS = 10.0


@dataclass(frozen=True)
class MembershipFigures:
    """The cost of a full member, as the mean over all full members, under the names used in reports.

    Attributes:
        tick_ms, heard_ms: processor time of a timer, and of a received datagram.
        turn_ms: the longest turn.
        core_share: processor time as a share of a core.
        letters, bytes_s: datagrams and bytes sent per second.
        letter_bytes, letter_most: mean and largest length of a datagram in bytes.
        changes: members that left or came back until the zone failed.
        zone_core_share, zone_letters, zone_bytes_s, zone_turn_ms: the same figures while a zone fails.
        memory_mb: memory of a member's state.
        gone_bound_s: the longest time until every member has detected a gone member by its own probes.
        door_bytes, door_ms: length of the status for operators in bytes, and processor time to make it.
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


class IntervalUsage(NamedTuple):
    """The work done in an interval of virtual time.

    Attributes:
        usage: the work of all full members together.
        longest_turn_ms: the longest turn of any full member.
    """

    usage: Usage
    longest_turn_ms: float


class StatusCost(NamedTuple):
    """The cost of the membership status for operators.

    Attributes:
        status_bytes: the length of the status.
        cpu_ms: processor time of the turn that makes the status.
    """

    status_bytes: int
    cpu_ms: float


def measure_membership(settings: MembershipSizes, count: int, seed: int) -> MembershipFigures:
    """Return the cost of a cluster of `count` members for a full member, normally and while a zone fails.

    Must be called in a separate process.
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


def measure_interval(sample: MembershipSample, seconds: float) -> IntervalUsage:
    """Run the sample for `seconds` of virtual time, and return the work done."""
    before = sample.begin_measurement()
    sample.run(sample.now_ms + 1000.0 * seconds)
    longest_turn_ms = sample.longest_turn_ms()
    return IntervalUsage(sample.begin_measurement() - before, longest_turn_ms)


def measure_status(names: Sequence[str]) -> StatusCost:
    """Return the cost for a node to report the state of the members `names` to operators."""
    loop, clock = Loop(print), CpuClock()
    # A fixed time: the status contains ages, whose text would have another length on each run.
    loop.now = lambda: STATUS_AT_PERIODS * PERIOD_MS
    members = dict.fromkeys(names, OTHERS_ADDRESS) | {names[0]: OWN_ADDRESS}
    settings = ClusterSettings(CLUSTER_NAME, members, PERIOD_MS)
    service = MembershipService(loop, Log("status", loop.now), settings, names[0], 1)
    for name in names:
        service.machine.merge(GossipEntry(name, MemberState(0, 1, MemberStatus.ALIVE)))
    text = clock.run(service.status)
    if service.sock is not None:
        service.sock.close()
    loop.poll.close()
    loop.prioritized.close()
    return StatusCost(len(text), clock.cpu_ms)


def measure_memory_mb(count: int) -> float:
    """Return the memory in MB of the state of a member in a cluster of `count` members."""
    names = frozenset(f"n{i:05}" for i in range(count))
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        machine = Membership(CLUSTER_NAME, "n00000", names, 0, 0, PERIOD_MS, 0.0)
        for name in sorted(names):
            machine.merge(GossipEntry(name, MemberState(0, 1, MemberStatus.ALIVE)))
        return (tracemalloc.get_traced_memory()[0] - before) / BYTES_PER_MB
    finally:
        tracemalloc.stop()
