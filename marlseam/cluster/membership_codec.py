"""What members of a fleet say to one another: one datagram a letter, MessagePack, bounded in size.

A letter from another fleet, of another version, with names that the settings do not hold or values out of
bounds is no letter: `read` raises Odd with a code, and nothing of it is kept.
"""

import enum

import msgspec

VERSION = 1
MAX_DATAGRAM_BYTES = 1400  # bytes of a letter: one packet on common links
MAX_GOSSIP_ENTRIES = 16  # in a letter
MAX_NUMBER = (1 << 53) - 1  # incarnations, lives, sequence numbers
MAX_NAME_CHARACTERS = 64  # characters


class DatagramKind(enum.IntEnum):
    """What a letter asks or tells."""

    PING = 1  # are you there?
    ACK = 2  # I am; or: the one that you asked me to ask is
    ASK = 3  # ask this one for me, as I do not hear it
    NACK = 4  # I was asked to ask, and have not heard either


class MemberStatus(enum.IntEnum):
    """What is held of a member, the stronger word of one incarnation last."""

    HERE = 0
    SUSPECT = 1
    GONE = 2
    LEFT = 3


class MemberState(msgspec.Struct, array_like=True, frozen=True, order=True):
    """What is said of a member. The greater claim holds: claims merge in any order, any number of times.

    A higher incarnation, which only the member itself begins, goes before all; of two lives that begin the
    same one the greater number holds, so that all agree; of one life the stronger word.
    """

    incarnation: int
    life: int
    standing: int


class GossipEntry(msgspec.Struct, array_like=True, frozen=True):
    """A claim on a member and, where it is suspected, who suspects it."""

    name: str
    claim: MemberState
    by: str = ""


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One datagram: from whom and on what claim of its own, what about, and rumours."""

    version: int
    fleet: str
    sender: str
    own: MemberState
    kind: int
    seq: int
    about: str
    rumours: list[GossipEntry] = []


class InvalidMessageError(Exception):
    """No letter; its code says why."""

    def __init__(self, code: str) -> None:
        super().__init__(code)
        self.code = code


DECODER, ENCODER = msgspec.msgpack.Decoder(Datagram), msgspec.msgpack.Encoder()


def write(letter: Datagram) -> bytes:
    """Return a letter's bytes, with as many of its rumours as fit."""
    data = ENCODER.encode(letter)
    while len(data) > MAX_DATAGRAM_BYTES and letter.rumours:
        letter = msgspec.structs.replace(letter, rumours=letter.rumours[:-1])
        data = ENCODER.encode(letter)
    return data


def fits(claim: MemberState) -> bool:
    """Return whether a claim's values are in bounds."""
    numbers = 0 <= claim.incarnation <= MAX_NUMBER and 0 <= claim.life <= MAX_NUMBER
    return numbers and MemberStatus.HERE <= claim.standing <= MemberStatus.LEFT


def read(data: bytes, fleet: str, names: frozenset[str]) -> Datagram:
    """Return a letter of the fleet's.

    Raises Odd with a code: too-large, bad-message, version, foreign, unknown, bounds.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise InvalidMessageError("too-large")
    try:
        letter = DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise InvalidMessageError("bad-message") from None
    if letter.version != VERSION:
        raise InvalidMessageError("version")
    if letter.fleet != fleet:
        raise InvalidMessageError("foreign")
    said = [letter.sender, *(rumour.name for rumour in letter.rumours)]
    by = [rumour.by for rumour in letter.rumours if rumour.by]
    if not names.issuperset((*said, *by)) or (letter.about and letter.about not in names):
        raise InvalidMessageError("unknown")
    claims = [letter.own, *(rumour.claim for rumour in letter.rumours)]
    known = DatagramKind.PING <= letter.kind <= DatagramKind.NACK and 0 <= letter.seq <= MAX_NUMBER
    if not known or len(letter.rumours) > MAX_GOSSIP_ENTRIES or not all(fits(claim) for claim in claims):
        raise InvalidMessageError("bounds")
    return letter
