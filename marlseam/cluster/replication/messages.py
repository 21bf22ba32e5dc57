"""What members say of versions: one datagram a note, MessagePack behind a byte of its own, bounded in size.

A note from another fleet, of another version, from a name that the settings do not hold or out of bounds is
no note: `read` raises Odd with a code, and nothing of it is kept.
"""

import enum

import msgspec

from marlseam.cluster.membership_codec import (
    MAX_DATAGRAM_BYTES,
    MAX_NAME_CHARACTERS,
    MAX_NUMBER,
    InvalidMessageError,
)

DATAGRAM_PREFIX = b"V"  # which no letter of `words` begins with
VERSION = 1
DIGEST_CHARACTERS = 64  # hexadecimal figures of a content's digest
MAX_PROPOSER_CHARACTERS = 2 * MAX_NAME_CHARACTERS + 48  # of a proposer's place in a ballot
CHUNK_BYTES = 1024  # bytes of a content in one note
MAX_CONTENT_BYTES = 256 << 10  # bytes of a content
MAX_REASON_CHARACTERS = 160  # characters of a reason


class StatusRequest(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """What do you hold? I hold this number, and have voted as far as `top`."""

    seq: int
    number: int


class StatusResponse(msgspec.Struct, array_like=True, frozen=True, tag="tell"):
    """What I hold and act on, and how fresh that is.

    `accepted` is the highest number for which I have accepted any content, `top` the highest of which I have
    promised anything, both 0 for none; `votes` whether my memory of that is whole. `age_ms`: so long ago no
    number above `number` was chosen; -1: I cannot say.
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
    """A message of agreement.

    `kind` and the fields of `agree`'s message of that name, as far as it has them.
    """

    kind: str
    number: int
    round: int
    place: str
    other_round: int = 0
    other_place: str = ""
    value: str = ""
    why: str = ""  # of a refusal: what is wrong with the content


class FetchRequest(msgspec.Struct, array_like=True, frozen=True, tag="want"):
    """Give me a content, from some byte on; or the changes to it from one that I hold, where these are fewer.

    A program that knows no `have` leaves it out or reads past it, and gives the whole.
    """

    id: str
    at: int
    have: str = ""


class Chunk(msgspec.Struct, array_like=True, frozen=True, tag="piece"):
    """A part of a content, and the size of all of it; or of the changes that lead to it from `have`."""

    id: str
    size: int
    at: int
    data: bytes
    have: str = ""


ReplicationMessage = StatusRequest | StatusResponse | VoteMessage | FetchRequest | Chunk
VOTES = ("prepare", "promise", "accept", "accepted", "refused")


class MessageKind(enum.IntEnum):
    """What a note is called, where steps are counted; other numbers than those of letters."""

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
    """One datagram: from whom, of which life, and what it says."""

    version: int
    fleet: str
    sender: str
    say: ReplicationMessage


DECODER, ENCODER = msgspec.msgpack.Decoder(ReplicationDatagram), msgspec.msgpack.Encoder()


KINDS = {
    StatusRequest: MessageKind.ASK,
    StatusResponse: MessageKind.TELL,
    FetchRequest: MessageKind.WANT,
    Chunk: MessageKind.PIECE,
}
VOTE_KINDS = {kind: MessageKind[kind.upper()] for kind in VOTES}


def kind_of(say: ReplicationMessage) -> MessageKind:
    """Return what a note is called."""
    return VOTE_KINDS[say.kind] if type(say) is VoteMessage else KINDS[type(say)]


def write(note: ReplicationDatagram) -> bytes:
    """Return a note's bytes."""
    return DATAGRAM_PREFIX + ENCODER.encode(note)


def fits(say: ReplicationMessage) -> bool:
    """Return whether what is said is in bounds."""
    if type(say) is StatusRequest:
        return 0 <= say.seq <= MAX_NUMBER and 0 <= say.number <= MAX_NUMBER
    if type(say) is StatusResponse:
        numbers = say.seq, say.number, say.acting, say.accepted, say.top
        whole = all(0 <= n <= MAX_NUMBER for n in numbers) and len(say.id) in (0, DIGEST_CHARACTERS)
        return whole and len(say.code) <= MAX_NAME_CHARACTERS and -1.0 <= say.age_ms <= MAX_NUMBER
    if type(say) is VoteMessage:
        numbers = say.number, say.round, say.other_round
        whole = (
            say.kind in VOTES
            and all(0 <= n <= MAX_NUMBER for n in numbers)
            and len(say.value) in (0, DIGEST_CHARACTERS)
        )
        return (
            whole
            and max(len(say.place), len(say.other_place)) <= MAX_PROPOSER_CHARACTERS
            and len(say.why) <= MAX_REASON_CHARACTERS
        )
    if len(say.have) not in (0, DIGEST_CHARACTERS):
        return False
    if type(say) is FetchRequest:
        return len(say.id) == DIGEST_CHARACTERS and 0 <= say.at < MAX_CONTENT_BYTES
    inside = 0 <= say.at <= say.size <= MAX_CONTENT_BYTES and say.at + len(say.data) <= say.size
    return len(say.id) == DIGEST_CHARACTERS and inside and 0 < len(say.data) <= CHUNK_BYTES


def read(data: bytes, fleet: str, names: frozenset[str]) -> ReplicationDatagram:
    """Return a note of the fleet's.

    Raises Odd with a code: too-large, bad-message, version, foreign, unknown, bounds.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise InvalidMessageError("too-large")
    try:
        note = DECODER.decode(data[len(DATAGRAM_PREFIX) :])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise InvalidMessageError("bad-message") from None
    if note.version != VERSION:
        raise InvalidMessageError("version")
    if note.fleet != fleet:
        raise InvalidMessageError("foreign")
    if note.sender not in names:
        raise InvalidMessageError("unknown")
    if not fits(note.say):
        raise InvalidMessageError("bounds")
    return note
