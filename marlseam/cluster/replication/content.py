"""A version's content: what a fleet's nodes share of their configuration, as one document; pure.

Its id is a digest of all of it; the digest of its meaning is of the settings alone, so that a comment, the
order of keys or how a number is written changes nothing.
"""

import hashlib
import json
from collections.abc import Mapping
from typing import Any

import msgspec

from marlseam.cluster.membership_codec import MAX_NAME_CHARACTERS
from marlseam.cluster.replication.messages import MAX_CONTENT_BYTES, MAX_REASON_CHARACTERS

FORMAT = 1  # which this program writes, and the only one that it reads
VOTERS = (3, 5, 7)  # how many a version may name; a fleet of fewer members has all of them
COMMENTS = ("_", "//", "#")  # how keys begin that say nothing to a node
MEMBERS_MOST = 1000
OWN = ("zone",)  # of the settings: what each node has of its own


class InvalidContentError(Exception):
    """A content that cannot be used here; its text says why."""


class Content(msgspec.Struct):
    """A version: its number, the id of the one before, who may vote on the next, why, and the settings."""

    format: int
    number: int
    before: str
    voters: list[str]
    why: str
    by: str
    settings: dict[str, Any]
    members: dict[str, str] = {}  # who may belong, with addresses; none: those of each node's own settings


DECODER = msgspec.json.Decoder(Content)


def plain(value: object) -> object:
    """Return a value as it counts: without comments, with keys in order, a whole number as one."""
    if isinstance(value, Mapping):
        kept = (key for key in value if not key.startswith(COMMENTS))
        return {key: plain(value[key]) for key in sorted(kept)}
    if isinstance(value, list | tuple):
        return [plain(row) for row in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def shared(settings: Mapping[str, Any]) -> dict[str, Any]:
    """Return of a node's settings what is the fleet's."""
    return {key: value for key, value in settings.items() if key not in OWN}


def digest(data: bytes) -> str:
    """Return what names a content."""
    return hashlib.sha256(data).hexdigest()


def meaning(settings: Mapping[str, Any]) -> str:
    """Return the digest of what settings mean to the fleet."""
    return digest(in_text(plain(shared(settings))).encode())


class Part:
    """An object of settings, what it means as text, and the objects in it."""

    def __init__(self, key: str, value: Mapping[str, Any], before: "Part | None") -> None:
        self.value, self.parts = value, dict[str, Part]()
        rows = []
        for inner_key in sorted(key for key in value if not key.startswith(COMMENTS)):
            inner = value[inner_key]
            if isinstance(inner, Mapping):
                part = before.parts.get(inner_key) if before is not None else None
                # The same object as before means the same: changed settings share what was not changed.
                if part is None or part.value is not inner:
                    part = Part(inner_key, inner, part)
                self.parts[inner_key] = part
                rows.append(part.row)
            else:
                rows.append(f"{in_text(inner_key)}:{in_text(plain(inner))}")
        self.text = "{" + ",".join(rows) + "}"
        self.row = f"{in_text(key)}:{self.text}"


class Meaning:
    """Digests of the meaning of settings that follow each other: only objects that are others are read."""

    def __init__(self) -> None:
        self.part: Part | None = None

    def of(self, settings: Mapping[str, Any]) -> str:
        """Return the digest of what settings mean to the fleet, as `meaning` does."""
        self.part = Part("", shared(settings), self.part)
        return digest(self.part.text.encode())


in_text = json.JSONEncoder(separators=(",", ":"), ensure_ascii=True).encode  # a value, for its digest


def write(content: Content) -> bytes:
    """Return a content as bytes, settings in plain form, all keys in order; raises Unfit if too large."""
    members = dict(sorted(content.members.items()))
    whole = msgspec.structs.replace(content, settings=plain(shared(content.settings)), members=members)
    data = msgspec.json.encode(whole)
    if len(data) > MAX_CONTENT_BYTES:
        raise InvalidContentError(f"{len(data)} bytes, {MAX_CONTENT_BYTES} at most were expected")
    return data


def voters_fit(voters: list[str], members: frozenset[str]) -> str:
    """Return what is wrong with some voters, or nothing."""
    if len(set(voters)) != len(voters) or not members.issuperset(voters):
        return f"voters {sorted(voters)}: different names of members were expected"
    if len(voters) not in VOTERS and set(voters) != members:
        return f"{len(voters)} voters: 3, 5 or 7 were expected"
    return ""


def stepwise(before: frozenset[str], now: frozenset[str], most: int) -> bool:
    """Return whether names change by one step: so many come or go, or one takes another's place."""
    come, go = len(now - before), len(before - now)
    return come + go <= most or come == go == 1


def read(data: bytes, members: frozenset[str]) -> Content:
    """Return a content; raises Unfit."""
    try:
        found = DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidContentError(f"no content: {error}"[:MAX_REASON_CHARACTERS]) from None
    fitting(found, members)
    return found


def of_document(document: Mapping[str, Any], members: frozenset[str]) -> Content:
    """Return a content that is there as a document; what is in its settings is not copied. Raises Unfit."""
    try:
        found = msgspec.convert(document, Content)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise InvalidContentError(f"no content: {error}"[:MAX_REASON_CHARACTERS]) from None
    fitting(found, members)
    return found


def fitting(found: Content, members: frozenset[str]) -> None:
    """Raise Unfit where a content cannot be used here."""
    if found.format != FORMAT:
        raise InvalidContentError(f"format {found.format}, this program reads {FORMAT}")
    if found.number < 1 or not (
        0 < len(found.why) <= MAX_REASON_CHARACTERS and len(found.by) <= MAX_NAME_CHARACTERS
    ):
        raise InvalidContentError("number, why or by is out of bounds")
    if len(found.members) > MEMBERS_MOST or not all(
        0 < len(name) <= MAX_NAME_CHARACTERS for name in found.members
    ):
        raise InvalidContentError(
            f"members: up to {MEMBERS_MOST} names of 1 to {MAX_NAME_CHARACTERS} characters were expected"
        )
    wrong = voters_fit(found.voters, frozenset(found.members) or members)
    if wrong:
        raise InvalidContentError(wrong)
