"""Membership datagrams: invalid ones are rejected with a code."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from members import NAMES, make_datagram

from marlseam.cluster.membership_codec import (
    MAX_DATAGRAM_BYTES,
    MAX_GOSSIP_ENTRIES,
    GossipEntry,
    InvalidMessageError,
    MemberState,
    read,
    write,
)


@given(st.binary(max_size=MAX_DATAGRAM_BYTES + 10))
def test_arbitrary_bytes_are_rejected(data):
    with pytest.raises(InvalidMessageError):
        read(data, "f", NAMES)


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({"version": 2}, "version"),
        ({"cluster": "g"}, "foreign"),
        ({"sender": "z"}, "unknown"),
        ({"subject": "z"}, "unknown"),
        ({"entries": [GossipEntry("z", MemberState(0, 1, 0))]}, "unknown"),
        ({"entries": [GossipEntry("b", MemberState(0, 1, 0), "z")]}, "unknown"),
        ({"kind": 9}, "bounds"),
        ({"sender_state": MemberState(-1, 1, 0)}, "bounds"),
        ({"sender_state": MemberState(0, 1 << 60, 0)}, "bounds"),
        ({"sender_state": MemberState(0, 1, 7)}, "bounds"),
        ({"sequence": -1}, "bounds"),
        ({"entries": [GossipEntry("b", MemberState(0, 1, 0))] * (MAX_GOSSIP_ENTRIES + 1)}, "bounds"),
        ({"cluster": "f" * MAX_DATAGRAM_BYTES}, "too-large"),
    ],
)
def test_an_invalid_datagram_is_rejected_with_its_code(change, code):
    data = msgspec.msgpack.encode(msgspec.structs.replace(make_datagram(), **change))
    with pytest.raises(InvalidMessageError) as error:
        read(data, "f", NAMES)
    assert error.value.code == code
    assert read(write(make_datagram()), "f", NAMES) == make_datagram()
