"""Replication messages from the network, and the contents that they carry."""

from math import inf

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from replicas import NAMES, make_content, make_replica, status_response

from marlseam.cluster.membership_codec import InvalidMessageError
from marlseam.cluster.replication import messages
from marlseam.cluster.replication.content import InvalidContentError, digest, read, settings_digest, write
from marlseam.cluster.replication.effects import ApplyContent, Persist
from marlseam.cluster.replication.messages import (
    Chunk,
    FetchRequest,
    ReplicationDatagram,
    StatusResponse,
    VoteMessage,
)


@given(st.binary(max_size=400))
def test_arbitrary_bytes_raise_invalid_message_error(data):
    with pytest.raises(InvalidMessageError):
        messages.read(messages.DATAGRAM_PREFIX + data, "f", NAMES)


IDS = st.sampled_from([digest(b"%d" % i) for i in range(40)])
NUMBERS = st.one_of(st.integers(0, 3), st.integers(0, 1 << 53))
PROPOSERS = st.sampled_from(["a/1", "b/1", ""])
MESSAGES = st.one_of(
    st.builds(messages.StatusRequest, NUMBERS, NUMBERS),
    st.builds(
        StatusResponse,
        NUMBERS,
        NUMBERS,
        IDS,
        NUMBERS,
        st.booleans(),
        st.just(""),
        NUMBERS,
        NUMBERS,
        st.booleans(),
        st.floats(-1.0, 1e9),
    ),
    st.builds(
        VoteMessage,
        st.sampled_from(list(messages.KINDS_BY_VOTE)),
        NUMBERS,
        NUMBERS,
        PROPOSERS,
        NUMBERS,
        PROPOSERS,
        IDS,
        st.just(""),
    ),
    st.builds(FetchRequest, IDS, st.integers(0, messages.MAX_CONTENT_BYTES - 1)),
    st.builds(Chunk, IDS, st.just(2000), st.sampled_from([0, 1000]), st.just(b"x" * 1000)),
)


@given(st.lists(st.tuples(st.sampled_from("bcg"), MESSAGES, st.booleans()), max_size=60))
def test_arbitrary_messages_apply_no_content_and_memory_is_bounded(received):
    replica, now_ms = make_replica("a"), 0.0
    replica.publish(0.0, write(make_content()))
    for sender, message, is_durable in received:
        now_ms += 100.0
        effects = replica.receive(now_ms, sender, message) + replica.tick(now_ms)
        for effect in effects:
            if type(effect) is Persist and is_durable:
                effects += replica.persisted(now_ms, effect.token)
        assert not [effect for effect in effects if type(effect) is ApplyContent]  # no content is complete
        replica.serving.evaluate(now_ms)
    assert len(replica.store.contents) <= 10
    assert len(replica.fetcher.fetches) <= 3
    assert len(replica.voter.awaiting_content) <= 3


def test_the_number_of_accept_requests_that_wait_for_contents_is_bounded():
    replica = make_replica("b")
    for ballot in range(40):
        accept = VoteMessage("accept", 1, ballot, "a/1", value=digest(b"%d" % ballot))
        replica.receive(0.0, "a", accept)
    assert len(replica.voter.awaiting_content) == len(replica.fetcher.fetches) == 3


@pytest.mark.parametrize(
    ("message", "code"),
    [
        (FetchRequest("x", 0), "bounds"),
        (FetchRequest("0" * 64, -1), "bounds"),
        (Chunk("0" * 64, 5, 4, b"22"), "bounds"),
        (Chunk("0" * 64, 5, 5, b""), "bounds"),
        (status_response(-1), "bounds"),
        (status_response(1, code="c" * 65), "bounds"),
        (VoteMessage("vote", 1, 1, ""), "bounds"),
        (VoteMessage("accept", 1, 1, "", value="short"), "bounds"),
        (VoteMessage("prepare", 1, 1, "p" * 999), "bounds"),
        (status_response(1, age_ms=inf), "bounds"),
    ],
)
def test_a_message_out_of_bounds_is_rejected_with_a_code(message, code):
    data = messages.write(ReplicationDatagram(messages.VERSION, "f", "a", message))
    with pytest.raises(InvalidMessageError) as error:
        messages.read(data, "f", NAMES)
    assert error.value.code == code


def test_the_settings_digest_ignores_comments_order_and_notation():
    one = {"b": 1, "a": [{"x": 2.0}], "zone": "z", "_why": "this"}
    assert settings_digest(one) == settings_digest({"a": [{"x": 2, "//": "that"}], "b": 1.0, "zone": "y"})
    assert settings_digest(one) != settings_digest({"b": 1, "a": [{"x": 3}]})


@pytest.mark.parametrize(
    ("change", "what"),
    [
        ({"format": 9}, "format 9"),
        ({"voters": ["z"]}, "voters"),
        ({"voters": ["a", "b"]}, "3, 5 or 7"),
        ({"why": ""}, "why"),
    ],
)
def test_the_error_of_an_unusable_content_names_the_reason(change, what):
    with pytest.raises(InvalidContentError, match=what):
        read(write(msgspec.structs.replace(make_content(), **change)), NAMES)
