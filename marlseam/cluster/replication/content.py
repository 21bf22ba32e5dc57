"""The content of a version: the configuration that the nodes of a cluster share, as one JSON document; pure.

The id of a content is the SHA-256 digest of all its bytes. The digest of its settings ignores what has no
effect: comments, the order of keys, the notation of numbers.
"""

import hashlib
import json
from collections.abc import Mapping
from typing import Any

import msgspec

from marlseam.cluster.membership_codec import MAX_NAME_CHARACTERS
from marlseam.cluster.replication.messages import MAX_CONTENT_BYTES, MAX_REASON_CHARACTERS
from marlseam.shared_limits import MAX_MEMBERS

FORMAT = 1  # the format that this program writes, and the only one that it reads
ALLOWED_VOTER_COUNTS = (3, 5, 7)  # voters of a version; any other count must be all members of the cluster
COMMENT_PREFIXES = ("_", "//", "#")  # prefixes of keys that are comments
NODE_SETTINGS = ("zone",)  # keys of settings that each node sets for itself, not shared in the cluster


class ContentError(Exception):
    """Base class of errors in contents and in their deltas; the text is the reason."""


class InvalidContentError(ContentError):
    """Raised for the content of a version that cannot be used on this node."""


class Content(msgspec.Struct):
    """The content of one version.

    Attributes:
        format: format number of the document, `FORMAT`.
        number: number of the version.
        before: id of the content of the previous version; "" for the first version.
        voters: members that vote on the next version.
        why: the operator's reason for the version.
        by: the member that proposed the version.
        settings: the settings that all nodes share.
        members: addresses of all members, by name; empty if each node takes them from its own settings.

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
canonical_json = json.JSONEncoder(separators=(",", ":"), ensure_ascii=True).encode  # for settings digests


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
    """Return the settings of a node without those that it sets for itself (`NODE_SETTINGS`)."""
    return {key: value for key, value in settings.items() if key not in NODE_SETTINGS}


def digest(data: bytes) -> str:
    """Return the id of a content: the SHA-256 digest of its bytes, in hexadecimal."""
    return hashlib.sha256(data).hexdigest()


def settings_digest(settings: Mapping[str, Any]) -> str:
    """Return the digest of the shared settings in canonical form, without comments."""
    return digest(canonical_json(normalized(cluster_settings(settings))).encode())


class DigestedObject:
    """A settings object in canonical JSON, with its nested objects.

    Attributes:
        value: the object.
        parts: its nested objects, by key.
        text: its canonical JSON.
        row: its key and `text`, as they appear in the enclosing object.

    """

    def __init__(self, key: str, value: Mapping[str, Any], before: "DigestedObject | None") -> None:
        """Encode an object; nested objects that are identical to those in `before` are not encoded again."""
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
        """Return a nested object, reused from `before` if it is the identical object, else encoded."""
        part = before.parts.get(key) if before is not None else None
        # The identical object has the same encoding, because settings are never changed in place, only
        # replaced. Reuse is frequent, because changed settings share unchanged objects with the earlier ones.
        if part is not None and part.value is value:
            return part
        return DigestedObject(key, value, part)


class SettingsDigester:
    """Computes digests of successive settings incrementally: only objects that were replaced are encoded."""

    def __init__(self) -> None:
        """Start without earlier settings."""
        self.last: DigestedObject | None = None

    def digest(self, settings: Mapping[str, Any]) -> str:
        """Return the same digest as `settings_digest`."""
        self.last = DigestedObject("", cluster_settings(settings), self.last)
        return digest(self.last.text.encode())


def write(content: Content) -> bytes:
    """Encode a content, with normalized settings and members in key order.

    Raises InvalidContentError if it is larger than `MAX_CONTENT_BYTES`.
    """
    members = dict(sorted(content.members.items()))
    settings = normalized(cluster_settings(content.settings))
    data = msgspec.json.encode(msgspec.structs.replace(content, settings=settings, members=members))
    if len(data) > MAX_CONTENT_BYTES:
        raise InvalidContentError(f"content has {len(data)} bytes, expected at most {MAX_CONTENT_BYTES}")
    return data


def voters_fault(voters: list[str], members: frozenset[str]) -> str:
    """Return why some voters are invalid in a cluster of these members, or "" if they are valid."""
    if len(set(voters)) != len(voters) or not members.issuperset(voters):
        return f"voters {sorted(voters)}: expected distinct names of members"
    if len(voters) not in ALLOWED_VOTER_COUNTS and set(voters) != members:
        return f"{len(voters)} voters: expected 3, 5 or 7, or all members"
    return ""


def is_single_step(before: frozenset[str], after: frozenset[str], max_changes: int) -> bool:
    """Return whether at most `max_changes` names were added or removed, or one name replaced another."""
    added, removed = len(after - before), len(before - after)
    return added + removed <= max_changes or added == removed == 1


def read(data: bytes, members: frozenset[str]) -> Content:
    """Decode a content and check it; raises InvalidContentError.

    `members` are those of the cluster, for a content that lists no members itself.
    """
    try:
        found = DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise InvalidContentError(f"invalid content: {error}"[:MAX_REASON_CHARACTERS]) from None
    check_usable(found, members)
    return found


def of_document(document: Mapping[str, Any], members: frozenset[str]) -> Content:
    """Convert a parsed document to a content, without a copy of its settings; raises InvalidContentError."""
    try:
        found = msgspec.convert(document, Content)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise InvalidContentError(f"invalid content: {error}"[:MAX_REASON_CHARACTERS]) from None
    check_usable(found, members)
    return found


def check_usable(content: Content, members: frozenset[str]) -> None:
    """Raise InvalidContentError if the format or a field of a content is out of bounds.

    `members` are those of the cluster, for contents that name no members themselves.
    """
    if content.format != FORMAT:
        raise InvalidContentError(f"content has format {content.format}, this program reads format {FORMAT}")
    is_why_in_bounds = 0 < len(content.why) <= MAX_REASON_CHARACTERS
    if content.number < 1 or not is_why_in_bounds or len(content.by) > MAX_NAME_CHARACTERS:
        raise InvalidContentError("content: length or value of `number`, `why` or `by` is out of bounds")
    are_names_in_bounds = all(0 < len(name) <= MAX_NAME_CHARACTERS for name in content.members)
    if len(content.members) > MAX_MEMBERS or not are_names_in_bounds:
        raise InvalidContentError(
            f"members: expected at most {MAX_MEMBERS} names of 1 to {MAX_NAME_CHARACTERS} characters each"
        )
    fault = voters_fault(content.voters, frozenset(content.members) or members)
    if fault:
        raise InvalidContentError(fault)
