"""Invariants of a membership state machine between two events; for tests, as a check visits all members."""

from math import inf

from marlseam.cluster.membership import MAX_LOCAL_HEALTH, Membership
from marlseam.cluster.membership_codec import MemberStatus


def violated_invariants(membership: Membership) -> list[str]:
    """Return descriptions of the violated invariants; empty if all hold."""
    return [
        *violated_by_suspicions(membership),
        *violated_by_gossip(membership),
        *violated_by_probes(membership),
    ]


def violated_by_suspicions(membership: Membership) -> list[str]:
    """Check that exactly the suspected members have a suspicion, with a timeout and a suspecting member."""
    found = []
    for name, member in membership.members.items():
        is_suspect = member.state is not None and member.state.status == MemberStatus.SUSPECT
        if is_suspect != (name in membership.suspected):
            found.append(
                f"{name} has state {member.state}, but is among the suspected members: "
                f"{name in membership.suspected}"
            )
        if is_suspect != (member.suspicion_ends_ms < inf) or is_suspect != bool(member.suspected_by):
            found.append(
                f"{name} has state {member.state}, which its suspicion timeout or suspecting members "
                "contradict"
            )
    if not membership.suspected <= membership.members.keys():
        found.append("a suspected name is not a member of the cluster")
    return found


def violated_by_gossip(membership: Membership) -> list[str]:
    """Check that each queued member is queued once, has a send count and a known state."""
    queue = membership.gossip
    found = []
    if len(queue.order) != len(queue.send_counts) or set(queue.order) != queue.send_counts.keys():
        found.append("the gossip queue and its send counts have different members")
    for name in queue.order:
        if name not in membership.members or membership.members[name].state is None:
            found.append(f"{name} is in the gossip queue, but has no known state")
    return found


def violated_by_probes(membership: Membership) -> list[str]:
    """Check that probes are of members, with sequence numbers already used, and local health is in bounds."""
    found = []
    for sequence, probe in membership.pending_probes.items():
        if probe.name not in membership.members or sequence > membership.sequence:
            found.append(
                f"probe {sequence} of {probe.name}: not a member, or later than the last probe "
                f"{membership.sequence}"
            )
    if not 0 <= membership.local_health <= MAX_LOCAL_HEALTH:
        found.append(f"local health score is out of bounds: {membership.local_health}")
    return found
