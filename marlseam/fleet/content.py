"""A version's content: what a fleet's nodes share of their configuration, as one document; pure.

Its id is a digest of all of it; the digest of its meaning is of the settings alone, so that a comment, the
order of keys or how a number is written changes nothing.
"""

import hashlib
import json
from collections.abc import Mapping
from typing import Any

import msgspec

from marlseam.fleet.says import CONTENT_MOST, TEXT_MOST
from marlseam.fleet.words import NAME_MOST

FORMAT = 1  # which this program writes, and the only one that it reads
VOTERS = (3, 5, 7)  # how many a version may name; a fleet of fewer members has all of them
COMMENTS = ("_", "//", "#")  # how keys begin that say nothing to a node
MEMBERS_MOST = 1000
OWN = ("zone",)  # of the settings: what each node has of its own


class Unfit(Exception):
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
    text = json.dumps(plain(shared(settings)), separators=(",", ":"), ensure_ascii=True)
    return digest(text.encode())


def write(content: Content) -> bytes:
    """Return a content as bytes, its settings in plain form; raises Unfit where it is too large."""
    whole = msgspec.structs.replace(content, settings=plain(shared(content.settings)))
    data = msgspec.json.encode(whole)
    if len(data) > CONTENT_MOST:
        raise Unfit(f"{len(data)} bytes, {CONTENT_MOST} at most were expected")
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
        raise Unfit(f"no content: {error}"[:TEXT_MOST]) from None
    if found.format != FORMAT:
        raise Unfit(f"format {found.format}, this program reads {FORMAT}")
    if found.number < 1 or not (0 < len(found.why) <= TEXT_MOST and len(found.by) <= NAME_MOST):
        raise Unfit("number, why or by is out of bounds")
    if len(found.members) > MEMBERS_MOST or not all(0 < len(name) <= NAME_MOST for name in found.members):
        raise Unfit(f"members: up to {MEMBERS_MOST} names of 1 to {NAME_MOST} characters were expected")
    wrong = voters_fit(found.voters, frozenset(found.members) or members)
    if wrong:
        raise Unfit(wrong)
    return found
