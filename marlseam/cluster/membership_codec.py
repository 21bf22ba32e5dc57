"""Membership datagrams: their types, the bounds of their values, and MessagePack encoding and decoding.

All structs are arrays on the wire: the order of their fields is the format, the names are not sent.

A datagram of another cluster or protocol version, with names of unknown members, or with values out of bounds
is invalid: `read` raises `InvalidMessageError`, and nothing of the datagram is used.
"""

import enum

import msgspec

VERSION = 1
MAX_DATAGRAM_BYTES = 1400  # fits into one packet on common links
MAX_GOSSIP_ENTRIES = 16  # most states of other members in one datagram
MAX_NUMBER = (1 << 53) - 1  # bound of incarnations, generations, sequence, version and round numbers
MAX_NAME_CHARACTERS = 64


class DatagramKind(enum.IntEnum):
    """The purpose of a datagram; the names are also step names in fault schedules and experiment files."""

    PING = 1
    ACK = 2  # answers a ping, directly or on behalf of the member that was probed indirectly
    ASK = 3  # SWIM's ping-req: requests an indirect probe of another member
    NACK = 4  # Lifeguard's nack: the member that was probed indirectly has not answered yet


class MemberStatus(enum.IntEnum):
    """The status of a member; within one incarnation and generation the greater status overrides."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class MemberState(msgspec.Struct, array_like=True, frozen=True, order=True):
    """The state of a member as held by one member; of two states the greater one overrides the other.

    The order is total, so merging is commutative, associative and idempotent. A higher incarnation, which
    only the member itself begins, overrides all else; of two processes that begin the same incarnation the
    greater generation overrides; of one process the greater status.

    Attributes:
        incarnation: raised by the member itself to refute a state that others hold of it.
        generation: number of the process that uses the member's name, different after each restart.
        status: a `MemberStatus`; a plain number, so that unknown values can be decoded.
    """

    incarnation: int
    generation: int
    status: int


class GossipEntry(msgspec.Struct, array_like=True, frozen=True):
    """A member's state, passed on by another member.

    Attributes:
        name: the member.
        state: its state.
        suspected_by: a member that suspects it; empty if the state is not `SUSPECT`.
    """

    name: str
    state: MemberState
    suspected_by: str = ""


class Datagram(msgspec.Struct, array_like=True, frozen=True):
    """One datagram between members.

    Attributes:
        version: version of this protocol.
        cluster: name of the cluster.
        sender: name of the sending member.
        sender_state: the sender's own state.
        kind: a `DatagramKind`; a plain number, so that unknown values can be decoded.
        sequence: matches answers to pings; 0 if the sender does not wait for an answer.
        subject: the member that an indirect probe, an ack or a nack is about; empty for pings.
        entries: piggybacked gossip.
    """

    version: int
    cluster: str
    sender: str
    sender_state: MemberState
    kind: int
    sequence: int
    subject: str
    entries: list[GossipEntry] = []


class InvalidMessageCode(enum.StrEnum):
    """Why a datagram is invalid, as logged and counted."""

    TOO_LARGE = "too-large"
    BAD_MESSAGE = "bad-message"
    VERSION = "version"
    FOREIGN = "foreign"
    UNKNOWN = "unknown"
    BOUNDS = "bounds"


class InvalidMessageError(Exception):
    """Raised for data that is not a valid datagram of the cluster.

    Attributes:
        code: the reason, as logged and counted (`InvalidMessageCode`).
    """

    def __init__(self, code: str) -> None:
        super().__init__(code)
        self.code = str(code)


DECODER: msgspec.msgpack.Decoder[Datagram] = msgspec.msgpack.Decoder(Datagram)
ENCODER = msgspec.msgpack.Encoder()


def write(datagram: Datagram) -> bytes:
    """Encode a datagram; its last gossip entries are dropped until it fits into `MAX_DATAGRAM_BYTES`."""
    data = ENCODER.encode(datagram)
    while len(data) > MAX_DATAGRAM_BYTES and datagram.entries:
        datagram = msgspec.structs.replace(datagram, entries=datagram.entries[:-1])
        data = ENCODER.encode(datagram)
    return data


def read(data: bytes, cluster: str, names: frozenset[str]) -> Datagram:
    """Decode a datagram of a cluster whose members have these names.

    Raises InvalidMessageError with an `InvalidMessageCode`.
    """
    if len(data) > MAX_DATAGRAM_BYTES:
        raise InvalidMessageError(InvalidMessageCode.TOO_LARGE)
    try:
        datagram = DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        raise InvalidMessageError(InvalidMessageCode.BAD_MESSAGE) from None
    if datagram.version != VERSION:
        raise InvalidMessageError(InvalidMessageCode.VERSION)
    if datagram.cluster != cluster:
        raise InvalidMessageError(InvalidMessageCode.FOREIGN)
    if not names.issuperset(names_in(datagram)):
        raise InvalidMessageError(InvalidMessageCode.UNKNOWN)
    if not is_within_bounds(datagram):
        raise InvalidMessageError(InvalidMessageCode.BOUNDS)
    return datagram


def names_in(datagram: Datagram) -> list[str]:
    """Return the names of all members that a datagram contains."""
    names = [datagram.sender, *(entry.name for entry in datagram.entries)]
    names += [entry.suspected_by for entry in datagram.entries if entry.suspected_by]
    if datagram.subject:
        names.append(datagram.subject)
    return names


def is_within_bounds(datagram: Datagram) -> bool:
    """Return whether all numbers of a datagram and its count of gossip entries are in bounds."""
    if not DatagramKind.PING <= datagram.kind <= DatagramKind.NACK:
        return False
    if not 0 <= datagram.sequence <= MAX_NUMBER or len(datagram.entries) > MAX_GOSSIP_ENTRIES:
        return False
    states = [datagram.sender_state, *(entry.state for entry in datagram.entries)]
    return all(is_state_within_bounds(state) for state in states)


def is_state_within_bounds(state: MemberState) -> bool:
    """Return whether all numbers of a state are in bounds."""
    numbers = 0 <= state.incarnation <= MAX_NUMBER and 0 <= state.generation <= MAX_NUMBER
    return numbers and MemberStatus.ALIVE <= state.status <= MemberStatus.LEFT
