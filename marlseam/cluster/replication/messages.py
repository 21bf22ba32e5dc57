"""What members say of versions: one datagram a note, MessagePack behind a byte of its own, bounded in size.

A note from another fleet, of another version, from a name that the settings do not hold or out of bounds is
no note: `read` raises Odd with a code, and nothing of it is kept.
"""

import enum

import msgspec

from marlseam.cluster.membership_codec import LETTER_MOST, NAME_MOST, NUMBER_MOST, Odd

FIRST = b"V"  # which no letter of `words` begins with
VERSION = 1
ID = 64  # hexadecimal figures of a content's digest
PLACE_MOST = 2 * NAME_MOST + 48  # of a proposer's place in a ballot
PIECE = 1024  # bytes of a content in one note
CONTENT_MOST = 256 << 10  # bytes of a content
TEXT_MOST = 160  # characters of a reason


class Ask(msgspec.Struct, array_like=True, frozen=True, tag="ask"):
    """What do you hold? I hold this number, and have voted as far as `top`."""

    seq: int
    number: int


class Tell(msgspec.Struct, array_like=True, frozen=True, tag="tell"):
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


class Vote(msgspec.Struct, array_like=True, frozen=True, tag="vote"):
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


class Want(msgspec.Struct, array_like=True, frozen=True, tag="want"):
    """Give me a content, from some byte on; or the changes to it from one that I hold, where these are fewer.

    A program that knows no `have` leaves it out or reads past it, and gives the whole.
    """

    id: str
    at: int
    have: str = ""


class Piece(msgspec.Struct, array_like=True, frozen=True, tag="piece"):
    """A part of a content, and the size of all of it; or of the changes that lead to it from `have`."""

    id: str
    size: int
    at: int
    data: bytes
    have: str = ""


Say = Ask | Tell | Vote | Want | Piece
VOTES = ("prepare", "promise", "accept", "accepted", "refused")


class Kind(enum.IntEnum):
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


class Note(msgspec.Struct, array_like=True, frozen=True):
    """One datagram: from whom, of which life, and what it says."""

    version: int
    fleet: str
    sender: str
    say: Say


DECODER, ENCODER = msgspec.msgpack.Decoder(Note), msgspec.msgpack.Encoder()


def kind_of(say: Say) -> Kind:
    """Return what a note is called."""
    return Kind[(say.kind if type(say) is Vote else type(say).__name__).upper()]


def write(note: Note) -> bytes:
    """Return a note's bytes."""
    return FIRST + ENCODER.encode(note)


def fits(say: Say) -> bool:
    """Return whether what is said is in bounds."""
    if type(say) is Ask:
        return 0 <= say.seq <= NUMBER_MOST and 0 <= say.number <= NUMBER_MOST
    if type(say) is Tell:
        numbers = say.seq, say.number, say.acting, say.accepted, say.top
        whole = all(0 <= n <= NUMBER_MOST for n in numbers) and len(say.id) in (0, ID)
        return whole and len(say.code) <= NAME_MOST and -1.0 <= say.age_ms <= NUMBER_MOST
    if type(say) is Vote:
        numbers = say.number, say.round, say.other_round
        whole = (
            say.kind in VOTES and all(0 <= n <= NUMBER_MOST for n in numbers) and len(say.value) in (0, ID)
        )
        return whole and max(len(say.place), len(say.other_place)) <= PLACE_MOST and len(say.why) <= TEXT_MOST
    if len(say.have) not in (0, ID):
        return False
    if type(say) is Want:
        return len(say.id) == ID and 0 <= say.at < CONTENT_MOST
    inside = 0 <= say.at <= say.size <= CONTENT_MOST and say.at + len(say.data) <= say.size
    return len(say.id) == ID and inside and 0 < len(say.data) <= PIECE


def read(data: bytes, fleet: str, names: frozenset[str]) -> Note:
    """Return a note of the fleet's.

    Raises Odd with a code: too-large, bad-message, version, foreign, unknown, bounds.
    """
    if len(data) > LETTER_MOST:
        raise Odd("too-large")
    try:
        note = DECODER.decode(data[len(FIRST) :])
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise Odd("bad-message") from None
    if note.version != VERSION:
        raise Odd("version")
    if note.fleet != fleet:
        raise Odd("foreign")
    if note.sender not in names:
        raise Odd("unknown")
    if not fits(note.say):
        raise Odd("bounds")
    return note
