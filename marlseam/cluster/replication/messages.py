"""Messages of replication: one a datagram, MessagePack behind a prefix byte, bounded in size.

A message of another cluster or protocol version, from an unknown member or out of bounds is rejected as a
whole: `read` raises InvalidMessageError with a code.
"""

import enum

import msgspec

from marlseam.cluster.membership_codec import (
    MAX_DATAGRAM_BYTES,
    MAX_NAME_CHARACTERS,
    MAX_NUMBER,
    InvalidMessageError,
)

DATAGRAM_PREFIX = b"V"  # with which no datagram of membership begins
VERSION = 1
DIGEST_CHARACTERS = 64  # of a content's id, in hexadecimal
MAX_PROPOSER_CHARACTERS = 2 * MAX_NAME_CHARACTERS + 48  # of a ballot's place
CHUNK_BYTES = 1024  # of a content in one message
MAX_CONTENT_BYTES = 256 << 10
MAX_REASON_CHARACTERS = 160


class StatusRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Asks what the recipient holds; `number` is what the sender holds, `seq` its quorum read, 0 for none."""

    seq: int
    number: int


class StatusResponse(msgspec.Struct, array_like=True, frozen=True, tag="tell"):
    """What the sender holds and acts on, and how fresh that is.

    Attributes:
        seq: of the request answered; 0 where the status is pushed.
        number, id: the version held, and its content's id.
        acting: the version acted on.
        serving, code: whether the sender serves, and what is wrong.
        accepted: the highest number for which it has accepted any content; 0 for none.
        top: the highest number of which it has promised anything; 0 for none.
        votes: whether it votes on the next version, its memory of votes being whole.
        age_ms: so long ago no number above `number` was chosen; -1 where that is not known.

    """

    seq: int
    number: int
    id: str
    acting: int
    serving: bool
    code: str
    accepted: int
    top: int
    votes: bool
    age_ms: float


class VoteMessage(msgspec.Struct, array_like=True, frozen=True, tag="vote"):
    """A message of agreement: `kind`, and the fields of the message of that name in `paxos`.

    Attributes:
        round, place: the ballot.
        other_round, other_place: the ballot accepted (of a promise) or promised (of a refusal).
        why: of a refusal: what is wrong with the content.

    """

    kind: str
    number: int
    round: int
    place: str
    other_round: int = 0
    other_place: str = ""
    value: str = ""
    why: str = ""


class FetchRequest(msgspec.Struct, array_like=True, frozen=True, tag="want"):
    """Asks for a content from byte `at` on; or for deltas to it from content `have`, where they are smaller.

    A program that knows no `have` leaves it out or reads past it, and sends the whole.
    """

    id: str
    at: int
    have: str = ""


class Chunk(msgspec.Struct, array_like=True, frozen=True, tag="piece"):
    """Bytes from `at` on of a content of `size` bytes, or of deltas that lead to it from content `have`."""

    id: str
    size: int
    at: int
    data: bytes
    have: str = ""


ReplicationMessage = StatusRequest | StatusResponse | VoteMessage | FetchRequest | Chunk
VOTES = ("prepare", "promise", "accept", "accepted", "refused")


class MessageKind(enum.IntEnum):
    """Kinds of messages by which counts and fault schedules tell them apart; membership has other numbers."""

    ASK = 11
    TELL = 12
    PREPARE = 13
    PROMISE = 14
    ACCEPT = 15
    ACCEPTED = 16
    REFUSED = 17
    WANT = 18
    PIECE = 19


class ReplicationDatagram(msgspec.Struct, array_like=True, frozen=True):
    """One datagram: the protocol's version, the cluster's name, the sending member, and its message."""

    version: int
    fleet: str
    sender: str
    message: ReplicationMessage


DECODER: msgspec.msgpack.Decoder[ReplicationDatagram] = msgspec.msgpack.Decoder(ReplicationDatagram)
ENCODER = msgspec.msgpack.Encoder()

KINDS_BY_TYPE = {
    StatusRequest: MessageKind.ASK,
    StatusResponse: MessageKind.TELL,
    FetchRequest: MessageKind.WANT,
    Chunk: MessageKind.PIECE,
}
KINDS_BY_VOTE = {
    "prepare": MessageKind.PREPARE,
    "promise": MessageKind.PROMISE,
    "accept": MessageKind.ACCEPT,
    "accepted": MessageKind.ACCEPTED,
    "refused": MessageKind.REFUSED,
}


def kind_of(message: ReplicationMessage) -> MessageKind:
    """Return a message's kind."""
    if isinstance(message, VoteMessage):
        return KINDS_BY_VOTE[message.kind]
    return KINDS_BY_TYPE[type(message)]


def write(datagram: ReplicationDatagram) -> bytes:
    """Return a datagram's bytes."""
    return DATAGRAM_PREFIX + ENCODER.encode(datagram)


def are_numbers(*numbers: int) -> bool:
    """Return whether all are in the bounds of a version's or a round's number."""
    return all(0 <= number <= MAX_NUMBER for number in numbers)


def is_id_or_none(text: str) -> bool:
    """Return whether a text has the length of a content's id, or is empty."""
    return len(text) in (0, DIGEST_CHARACTERS)


def is_in_bounds(message: ReplicationMessage) -> bool:
    """Return whether all fields of a message are in bounds."""
    match message:
        case StatusRequest():
            return are_numbers(message.seq, message.number)
        case StatusResponse():
            return is_status_in_bounds(message)
        case VoteMessage():
            return is_vote_in_bounds(message)
    if not is_id_or_none(message.have) or len(message.id) != DIGEST_CHARACTERS:
        return False
    if isinstance(message, FetchRequest):
        return 0 <= message.at < MAX_CONTENT_BYTES
    return is_chunk_in_bounds(message)


def is_status_in_bounds(status: StatusResponse) -> bool:
    """Return whether all fields of a status are in bounds."""
    return (
        are_numbers(status.seq, status.number, status.acting, status.accepted, status.top)
        and is_id_or_none(status.id)
        and len(status.code) <= MAX_NAME_CHARACTERS
        and -1.0 <= status.age_ms <= MAX_NUMBER
    )


def is_vote_in_bounds(vote: VoteMessage) -> bool:
    """Return whether all fields of a vote are in bounds, and its kind is known."""
    return (
        vote.kind in KINDS_BY_VOTE
        and are_numbers(vote.number, vote.round, vote.other_round)
        and is_id_or_none(vote.value)
        and max(len(vote.place), len(vote.other_place)) <= MAX_PROPOSER_CHARACTERS
        and len(vote.why) <= MAX_REASON_CHARACTERS
    )


def is_chunk_in_bounds(chunk: Chunk) -> bool:
    """Return whether a chunk has data, and lies in its content."""
    is_inside = 0 <= chunk.at <= chunk.size <= MAX_CONTENT_BYTES and chunk.at + len(chunk.data) <= chunk.size
    return is_inside and 0 < len(chunk.data) <= CHUNK_BYTES


def read(data: bytes, fleet: str, names: frozenset[str]) -> ReplicationDatagram:
    """Return a datagram of a cluster whose members have some names.

    Raises InvalidMessageError with a code: too-large, bad-message, version, foreign, unknown, bounds.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise InvalidMessageError("too-large")
    try:
        datagram = DECODER.decode(data[len(DATAGRAM_PREFIX) :])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise InvalidMessageError("bad-message") from None
    if datagram.version != VERSION:
        raise InvalidMessageError("version")
    if datagram.fleet != fleet:
        raise InvalidMessageError("foreign")
    if datagram.sender not in names:
        raise InvalidMessageError("unknown")
    if not is_in_bounds(datagram.message):
        raise InvalidMessageError("bounds")
    return datagram
