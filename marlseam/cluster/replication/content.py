"""A version's content: the configuration that a cluster's nodes share, as one document; pure.

Its id is a digest of all of it; the digest of its settings leaves out what changes nothing: comments, the
order of keys, how a number is written.
"""

import hashlib
import json
from collections.abc import Mapping
from typing import Any

import msgspec

from marlseam.cluster.membership_codec import MAX_NAME_CHARACTERS
from marlseam.cluster.replication.messages import MAX_CONTENT_BYTES, MAX_REASON_CHARACTERS
from marlseam.shared_limits import MAX_MEMBERS

FORMAT = 1  # which this program writes, and the only one that it reads
ALLOWED_VOTER_COUNTS = (3, 5, 7)  # of a version; in a smaller cluster all members may vote
COMMENT_PREFIXES = ("_", "//", "#")  # of keys that say nothing to a node
NODE_SETTINGS = ("zone",)  # keys of the settings that are each node's own


class ContentError(Exception):
    """The base of errors of contents and their deltas; the text says what is wrong."""


class InvalidContentError(ContentError):
    """A content that cannot be used on this node."""


class Content(msgspec.Struct):
    """A version.

    Attributes:
        format: of this document.
        number: of the version.
        before: the id of the version before; "" for the first.
        voters: members that vote on the next version.
        why: an operator's reason for it.
        by: the member that proposed it.
        settings: what nodes share of their settings.
        members: addresses of all members by name; none: those of each node's own settings.

    """

    format: int
    number: int
    before: str
    voters: list[str]
    why: str
    by: str
    settings: dict[str, Any]
    members: dict[str, str] = {}


DECODER: msgspec.json.Decoder[Content] = msgspec.json.Decoder(Content)
canonical_json = json.JSONEncoder(separators=(",", ":"), ensure_ascii=True).encode  # a value, for its digest


def normalized(value: object) -> object:
    """Return a value without comments, with keys in order and whole numbers as integers."""
    if isinstance(value, Mapping):
        keys = (key for key in value if not key.startswith(COMMENT_PREFIXES))
        return {key: normalized(value[key]) for key in sorted(keys)}
    if isinstance(value, list | tuple):
        return [normalized(row) for row in value]
    if isinstance(value, float) and value.is_integer():
        return int(value)
    return value


def cluster_settings(settings: Mapping[str, Any]) -> dict[str, Any]:
    """Return of a node's settings those that the cluster shares."""
    return {key: value for key, value in settings.items() if key not in NODE_SETTINGS}


def digest(data: bytes) -> str:
    """Return a content's id: SHA-256 of its bytes, in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def settings_digest(settings: Mapping[str, Any]) -> str:
    """Return the digest of what settings mean to the cluster."""
    return digest(canonical_json(normalized(cluster_settings(settings))).encode())


class DigestedObject:
    """An object of settings in canonical JSON, and the objects in it.

    Attributes:
        value: the object itself.
        parts: the objects in it, by key.
        text: its canonical JSON.
        row: the same behind its key, as its holder writes it.

    """

    def __init__(self, key: str, value: Mapping[str, Any], before: "DigestedObject | None") -> None:
        """Write an object; parts that are the same objects as before are not written again."""
        self.value, self.parts = value, dict[str, DigestedObject]()
        rows = []
        for inner_key in sorted(key for key in value if not key.startswith(COMMENT_PREFIXES)):
            inner = value[inner_key]
            if isinstance(inner, Mapping):
                self.parts[inner_key] = self.part_of(inner_key, inner, before)
                rows.append(self.parts[inner_key].row)
            else:
                rows.append(f"{canonical_json(inner_key)}:{canonical_json(normalized(inner))}")
        self.text = "{" + ",".join(rows) + "}"
        self.row: str = f"{canonical_json(key)}:{self.text}"

    @staticmethod
    def part_of(key: str, value: Mapping[str, Any], before: "DigestedObject | None") -> "DigestedObject":
        """Return a part as it was before, if it is the same object, else anew."""
        part = before.parts.get(key) if before is not None else None
        # The same object as before means the same: changed settings share what was not changed.
        if part is not None and part.value is value:
            return part
        return DigestedObject(key, value, part)


class SettingsDigester:
    """Digests of settings that follow each other: only objects that were replaced are read."""

    def __init__(self) -> None:
        """Begin without settings."""
        self.last: DigestedObject | None = None

    def digest(self, settings: Mapping[str, Any]) -> str:
        """Return the digest of what settings mean to the cluster, as `settings_digest` does."""
        self.last = DigestedObject("", cluster_settings(settings), self.last)
        return digest(self.last.text.encode())


def write(content: Content) -> bytes:
    """Return a content's bytes, settings normalized, keys in order; raises InvalidContentError."""
    members = dict(sorted(content.members.items()))
    settings = normalized(cluster_settings(content.settings))
    data = msgspec.json.encode(msgspec.structs.replace(content, settings=settings, members=members))
    if len(data) > MAX_CONTENT_BYTES:
        raise InvalidContentError(f"{len(data)} bytes, {MAX_CONTENT_BYTES} at most were expected")
    return data


def voters_fault(voters: list[str], members: frozenset[str]) -> str:
    """Return what is wrong with some voters, or nothing."""
    if len(set(voters)) != len(voters) or not members.issuperset(voters):
        return f"voters {sorted(voters)}: different names of members were expected"
    if len(voters) not in ALLOWED_VOTER_COUNTS and set(voters) != members:
        return f"{len(voters)} voters: 3, 5 or 7 were expected"
    return ""


def is_single_step(before: frozenset[str], after: frozenset[str], max_changes: int) -> bool:
    """Return whether names change by one step: so many come or go, or one takes another's place."""
    added, removed = len(after - before), len(before - after)
    return added + removed <= max_changes or added == removed == 1


def read(data: bytes, members: frozenset[str]) -> Content:
    """Return a content; raises InvalidContentError."""
    try:
        found = DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidContentError(f"no content: {error}"[:MAX_REASON_CHARACTERS]) from None
    check_usable(found, members)
    return found


def of_document(document: Mapping[str, Any], members: frozenset[str]) -> Content:
    """Return a parsed document as a content; its settings are not copied. Raises InvalidContentError."""
    try:
        found = msgspec.convert(document, Content)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise InvalidContentError(f"no content: {error}"[:MAX_REASON_CHARACTERS]) from None
    check_usable(found, members)
    return found


def check_usable(content: Content, members: frozenset[str]) -> None:
    """Raise InvalidContentError where a content is out of bounds for this program."""
    if content.format != FORMAT:
        raise InvalidContentError(f"format {content.format}, this program reads {FORMAT}")
    is_why_in_bounds = 0 < len(content.why) <= MAX_REASON_CHARACTERS
    if content.number < 1 or not is_why_in_bounds or len(content.by) > MAX_NAME_CHARACTERS:
        raise InvalidContentError("number, why or by is out of bounds")
    are_names_in_bounds = all(0 < len(name) <= MAX_NAME_CHARACTERS for name in content.members)
    if len(content.members) > MAX_MEMBERS or not are_names_in_bounds:
        raise InvalidContentError(
            f"members: up to {MAX_MEMBERS} names of 1 to {MAX_NAME_CHARACTERS} characters were expected"
        )
    fault = voters_fault(content.voters, frozenset(content.members) or members)
    if fault:
        raise InvalidContentError(fault)
