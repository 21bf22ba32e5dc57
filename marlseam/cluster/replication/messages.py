"""Replication messages: one per datagram, encoded as MessagePack after a prefix byte, bounded in size.

A message of another cluster or protocol version, from an unknown member or with a field out of bounds is
rejected as a whole: `read` raises InvalidMessageError with a code.
"""

import enum

import msgspec

from marlseam.cluster.membership_codec import (
    MAX_DATAGRAM_BYTES,
    MAX_NAME_CHARACTERS,
    MAX_NUMBER,
    InvalidMessageError,
)

DATAGRAM_PREFIX = b"V"  # no membership datagram begins with this byte
VERSION = 1
DIGEST_CHARACTERS = 64  # length of a content's id: SHA-256 in hexadecimal
MAX_PROPOSER_CHARACTERS = 2 * MAX_NAME_CHARACTERS + 48  # length of the `place` of a ballot
CHUNK_BYTES = 1024  # payload of one `Chunk`
MAX_CONTENT_BYTES = 256 << 10
MAX_REASON_CHARACTERS = 160


class StatusRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """Requests the recipient's status.

    Attributes:
        seq: sequence number of the sender's quorum read; 0 if the request belongs to none.
        number: the version that the sender holds.

    """

    seq: int
    number: int


class StatusResponse(msgspec.Struct, array_like=True, frozen=True, tag="tell"):
    """The status of the sender: the version held, the version applied, and the age of its proof.

    Attributes:
        seq: sequence number of the request answered; 0 for a status sent without a request.
        number, id: the version held, and the id of its content; 0 and "" before the first version.
        acting: the version applied.
        serving, code: whether the sender serves, and a code for its fault; "" without a fault.
        accepted: the highest number for which the sender has accepted a content, or which it holds; 0 for
            none.
        top: the highest number for which the sender has promised or accepted anything, or which it holds; 0
            for none.
        votes: whether the sender is a voter on the next version and its memory of votes is complete.
        age_ms: age of the sender's proof: no number above `number` was chosen this long ago; -1 without a
            proof.

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
    """A Paxos message: `kind` names the message in `paxos`, the other fields are those of that message.

    Attributes:
        kind: one of `VOTES`.
        number: the version voted on.
        round, place: the ballot.
        other_round, other_place: in a promise the ballot accepted earlier, in a refusal the ballot promised.
        value: id of the content; "" in a prepare and a refusal, and in a promise without an accepted content.
        why: in a refusal, what is wrong with the content; "" if a later ballot was promised.

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
    """Requests a content from byte offset `at` on, or the deltas to it from content `have` if smaller.

    A program version without the field `have` omits or ignores it, and sends the whole content.
    """

    id: str
    at: int
    have: str = ""


class Chunk(msgspec.Struct, array_like=True, frozen=True, tag="piece"):
    """Bytes from offset `at` on of a content of `size` bytes, or of the deltas to it from content `have`.

    With deltas `size` is the size of the encoded delta chain, in bytes.
    """

    id: str
    size: int
    at: int
    data: bytes
    have: str = ""


ReplicationMessage = StatusRequest | StatusResponse | VoteMessage | FetchRequest | Chunk
VOTES = ("prepare", "promise", "accept", "accepted", "refused")


class MessageKind(enum.IntEnum):
    """Kinds of messages for counts and fault schedules; their numbers differ from those of membership."""

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
    """One datagram: the protocol version, the cluster's name (`fleet`), the sending member, its message."""

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
    """Return the kind of a message; for a `VoteMessage` it depends on the field `kind`."""
    if isinstance(message, VoteMessage):
        return KINDS_BY_VOTE[message.kind]
    return KINDS_BY_TYPE[type(message)]


def write(datagram: ReplicationDatagram) -> bytes:
    """Return a datagram encoded, with its prefix byte."""
    return DATAGRAM_PREFIX + ENCODER.encode(datagram)


def are_numbers_in_bounds(*numbers: int) -> bool:
    """Return whether all numbers are within 0 and `MAX_NUMBER`, the bounds of version and round numbers."""
    return all(0 <= number <= MAX_NUMBER for number in numbers)


def is_id_or_empty(text: str) -> bool:
    """Return whether a text has the length of a content's id, or is empty."""
    return len(text) in (0, DIGEST_CHARACTERS)


def is_in_bounds(message: ReplicationMessage) -> bool:
    """Return whether all fields of a message are in bounds."""
    match message:
        case StatusRequest():
            return are_numbers_in_bounds(message.seq, message.number)
        case StatusResponse():
            return is_status_in_bounds(message)
        case VoteMessage():
            return is_vote_in_bounds(message)
    if not is_id_or_empty(message.have) or len(message.id) != DIGEST_CHARACTERS:
        return False
    if isinstance(message, FetchRequest):
        return 0 <= message.at < MAX_CONTENT_BYTES
    return is_chunk_in_bounds(message)


def is_status_in_bounds(status: StatusResponse) -> bool:
    """Return whether all fields of a status are in bounds."""
    return (
        are_numbers_in_bounds(status.seq, status.number, status.acting, status.accepted, status.top)
        and is_id_or_empty(status.id)
        and len(status.code) <= MAX_NAME_CHARACTERS
        and -1.0 <= status.age_ms <= MAX_NUMBER
    )


def is_vote_in_bounds(vote: VoteMessage) -> bool:
    """Return whether all fields of a vote are in bounds and its kind is one of `VOTES`."""
    return (
        vote.kind in KINDS_BY_VOTE
        and are_numbers_in_bounds(vote.number, vote.round, vote.other_round)
        and is_id_or_empty(vote.value)
        and max(len(vote.place), len(vote.other_place)) <= MAX_PROPOSER_CHARACTERS
        and len(vote.why) <= MAX_REASON_CHARACTERS
    )


def is_chunk_in_bounds(chunk: Chunk) -> bool:
    """Return whether a chunk has 1 to `CHUNK_BYTES` bytes of data that lie within the announced size."""
    is_inside = 0 <= chunk.at <= chunk.size <= MAX_CONTENT_BYTES and chunk.at + len(chunk.data) <= chunk.size
    return is_inside and 0 < len(chunk.data) <= CHUNK_BYTES


def read(data: bytes, fleet: str, names: frozenset[str]) -> ReplicationDatagram:
    """Decode a datagram of the cluster named `fleet`, whose members are `names`.

    Raises InvalidMessageError with a code: too-large, bad-message, version (another protocol version),
    foreign (another cluster), unknown (the sender is no member), bounds (a field is out of bounds).
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
