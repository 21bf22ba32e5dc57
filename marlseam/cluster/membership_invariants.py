"""What always holds of a membership state machine between two events; for tests, as it visits all members."""

from math import inf

from marlseam.cluster.membership import MAX_LOCAL_HEALTH, Membership
from marlseam.cluster.membership_codec import MemberStatus


def violated_invariants(membership: Membership) -> list[str]:
    """Return the invariants that do not hold, described; none of a machine that works."""
    return [
        *violated_by_suspicions(membership),
        *violated_by_gossip(membership),
        *violated_by_probes(membership),
    ]


def violated_by_suspicions(membership: Membership) -> list[str]:
    """Check that exactly the suspected members have a suspicion, with an end and somebody that suspects."""
    found = []
    for name, member in membership.members.items():
        is_suspect = member.state is not None and member.state.status == MemberStatus.SUSPECT
        if is_suspect != (name in membership.suspected):
            found.append(f"{name} is {member.state}, and suspected: {name in membership.suspected}")
        if is_suspect != (member.suspicion_ends_ms < inf) or is_suspect != bool(member.suspected_by):
            found.append(f"{name} is {member.state}, and its suspicion is not that of a member in this state")
    if not membership.suspected <= membership.members.keys():
        found.append("a member is suspected that does not belong to the cluster")
    return found


def violated_by_gossip(membership: Membership) -> list[str]:
    """Check that a member is queued at most once, with a count, and that some state of it is held."""
    queue = membership.gossip
    found = []
    if len(queue.order) != len(queue.send_counts) or set(queue.order) != queue.send_counts.keys():
        found.append("the queue of changes and their counts have different members")
    for name in queue.order:
        if name not in membership.members or membership.members[name].state is None:
            found.append(f"{name} is queued, and nothing is held of it")
    return found


def violated_by_probes(membership: Membership) -> list[str]:
    """Check that probes are of members, under numbers that were given out, and local health in its bounds."""
    found = []
    for sequence, probe in membership.pending_probes.items():
        if probe.name not in membership.members or sequence > membership.sequence:
            found.append(f"probe {sequence} is of {probe.name}, the last one is {membership.sequence}")
    if not 0 <= membership.local_health <= MAX_LOCAL_HEALTH:
        found.append(f"local health is {membership.local_health}")
    return found
