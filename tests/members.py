"""Members of a cluster and their datagrams for tests."""

from marlseam.cluster.membership import Membership
from marlseam.cluster.membership_codec import VERSION, Datagram, DatagramKind, MemberState

NAMES = frozenset({"a", "b", "c"})
PERIOD_MS = 1000.0


def make_member(name="a", names=NAMES, now_ms=0.0):
    return Membership("f", name, names, 1, 7, PERIOD_MS, now_ms)


def make_datagram(sender="b", state=(0, 9, 0), kind=DatagramKind.PING, entries=()):
    """Return a datagram of a member whose `state` is (incarnation, generation, status)."""
    return Datagram(VERSION, "f", sender, MemberState(*state), kind, 1, "", list(entries))
