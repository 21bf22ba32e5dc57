"""A version as the difference to the one before it: computed, sent in a chain, applied, checked; pure.

A content is a document of objects (by key, in order) and lists (by index). A difference is a list of edits at
paths into it; number and id of the version before are not in it, as they follow from what it is applied to.
What comes out of a chain of differences must have the id that was asked for (SHA-256 of the whole content):
a chain that is wrong, of another document or in another order is found out.

Applying costs by the edits and by the width of the objects on their paths; what is not edited is the same
object as before. Encoding the result and its digest cost by the whole content.
"""

from typing import Any

import msgspec

from marlseam.cluster.replication.content import ContentError, digest
from marlseam.cluster.replication.messages import DIGEST_CHARACTERS, MAX_CONTENT_BYTES

MAX_PATH_STEPS = 16  # of an edit; what lies deeper is replaced as a whole
DERIVED_KEYS = ("number", "before")  # of a content: what a difference leaves out
Document = dict[str, Any]
Step = str | int


class Put(msgspec.Struct, array_like=True, frozen=True, tag="put"):
    """Set the value at a path; a new key is inserted in key order."""

    path: list[Step]
    value: Any


class Drop(msgspec.Struct, array_like=True, frozen=True, tag="drop"):
    """Remove a key from an object."""

    path: list[Step]


class Splice(msgspec.Struct, array_like=True, frozen=True, tag="splice"):
    """Replace `count` items of a list, from index `at` on, by values."""

    path: list[Step]
    at: int
    count: int
    values: list[Any]


Edit = Put | Drop | Splice


class Change(msgspec.Struct, array_like=True, frozen=True):
    """What makes one version out of the one before it: its id, and the edits."""

    id: str
    edits: list[Edit]


class DeltaError(ContentError):
    """A chain or a document that does not lead to the content asked for; its text says why."""


ENCODER = msgspec.json.Encoder()
CHANGE: msgspec.json.Decoder[Change] = msgspec.json.Decoder(Change)
CHAIN: msgspec.json.Decoder[list[Change]] = msgspec.json.Decoder(list[Change])


def decode_document(data: bytes) -> Document:
    """Return a content as a document; raises DeltaError."""
    try:
        found = msgspec.json.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DeltaError(f"no document: {error}") from None
    if not isinstance(found, dict):
        raise DeltaError("no document: an object was expected")
    return found


def encode_document(document: Document) -> bytes:
    """Return a document's bytes; raises DeltaError."""
    try:
        data = ENCODER.encode(document)
    except (msgspec.MsgspecError, TypeError, ValueError, OverflowError, RecursionError) as error:
        raise DeltaError(f"cannot be written: {error}") from None
    if len(data) > MAX_CONTENT_BYTES:
        raise DeltaError("too large")
    return data


# Computing a difference.


def diff_values(before: object, after: object, path: tuple[Step, ...] = ()) -> list[Edit]:
    """Return the edits that make one value out of another."""
    if is_written_alike(before, after):
        return []
    if isinstance(before, dict) and isinstance(after, dict) and len(path) < MAX_PATH_STEPS:
        edits: list[Edit] = [Drop([*path, key]) for key in before if key not in after]
        for key, value in after.items():
            if key not in before:
                edits.append(Put([*path, key], value))
            else:
                edits += diff_values(before[key], value, (*path, key))
        return edits
    if isinstance(before, list) and isinstance(after, list) and len(path) < MAX_PATH_STEPS:
        return diff_lists(before, after, path)
    return [Put(list(path), after)]


def is_written_alike(before: object, after: object) -> bool:
    """Return whether two values have the same bytes: 1, 1.0 and true are equal, and are written apart."""
    if before is after:
        return True
    if type(before) is not type(after) or before != after:
        return False
    if isinstance(before, dict) and isinstance(after, dict):
        return list(before) == list(after) and all(
            is_written_alike(before[key], after[key]) for key in before
        )
    if isinstance(before, list) and isinstance(after, list):
        return all(map(is_written_alike, before, after))
    # Zeros of either sign are equal, and are written in two ways.
    return not isinstance(before, float) or repr(before) == repr(after)


def diff_lists(before: list[Any], after: list[Any], path: tuple[Step, ...]) -> list[Edit]:
    """Return what makes one list out of another: edits where as many rows changed, else one splice."""
    shorter = min(len(before), len(after))
    head = next((i for i in range(shorter) if not is_written_alike(before[i], after[i])), shorter)
    remaining = shorter - head
    tail = next(
        (i for i in range(remaining) if not is_written_alike(before[-1 - i], after[-1 - i])), remaining
    )
    old_rows, new_rows = before[head : len(before) - tail], after[head : len(after) - tail]
    if len(old_rows) != len(new_rows):
        return [Splice(list(path), head, len(old_rows), new_rows)]
    edits: list[Edit] = []
    for i, (old_row, new_row) in enumerate(zip(old_rows, new_rows, strict=True)):
        edits += diff_values(old_row, new_row, (*path, head + i))
    return edits


class ComputedChange(msgspec.Struct, frozen=True):
    """A change's bytes, and the document after it, which shares with the one before what is not edited."""

    data: bytes
    document: Document


def compute_change(before: Document, data: bytes, after: Document) -> ComputedChange | None:
    """Return the change that makes a content, given as bytes and as a document, out of a document.

    None where there is none: the result would be written otherwise than the content is.
    """
    own_before = {key: value for key, value in before.items() if key not in DERIVED_KEYS}
    own_after = {key: value for key, value in after.items() if key not in DERIVED_KEYS}
    encoded = ENCODER.encode(Change(digest(data), diff_values(own_before, own_after)))
    try:
        result = apply_change(before, after.get("before", ""), CHANGE.decode(encoded))
        is_exact = encode_document(result) == data
    except (DeltaError, msgspec.MsgspecError, RecursionError):
        return None
    return ComputedChange(encoded, result) if is_exact else None


# Applying one.


def set_key(holder: dict[str, Any], key: str, value: object) -> dict[str, Any]:
    """Return an object with a key set; a new one is inserted in key order."""
    found = holder | {key: value}
    return found if key in holder else dict(sorted(found.items()))


def apply_edit(value: object, path: list[Step], depth: int, edit: Edit) -> object:
    """Return a value with an edit below it made; `depth` steps of the path are taken already.

    Raises DeltaError where the path leads nowhere.
    """
    if depth == len(path):
        return replace_value(value, edit)
    step = path[depth]
    if isinstance(value, dict) and isinstance(step, str):
        return edit_object(value, step, path, depth, edit)
    if isinstance(value, list) and type(step) is int and 0 <= step < len(value):
        return [*value[:step], apply_edit(value[step], path, depth + 1, edit), *value[step + 1 :]]
    raise DeltaError("a path that leads nowhere")


def replace_value(value: object, edit: Edit) -> object:
    """Return the value at the end of an edit's path as the edit makes it; raises DeltaError."""
    if isinstance(edit, Put):
        return edit.value
    if isinstance(edit, Splice) and isinstance(value, list):
        if not (0 <= edit.at <= len(value) and 0 <= edit.count <= len(value) - edit.at):
            raise DeltaError("a splice out of its list")
        return [*value[: edit.at], *edit.values, *value[edit.at + edit.count :]]
    raise DeltaError("an edit of another kind of value")


def edit_object(value: dict[str, Any], key: str, path: list[Step], depth: int, edit: Edit) -> dict[str, Any]:
    """Return an object with an edit at or below a key made; raises DeltaError."""
    is_last = depth == len(path) - 1
    if is_last and isinstance(edit, Drop):
        if key not in value:
            raise DeltaError("a key that is not there")
        return {other: inner for other, inner in value.items() if other != key}
    if not is_last and key not in value:
        raise DeltaError("a path that leads nowhere")
    return set_key(value, key, apply_edit(value.get(key), path, depth + 1, edit))


def apply_change(before: Document, before_id: str, change: Change) -> Document:
    """Return the document after a change to the one with an id; raises DeltaError."""
    result: Any = before
    for edit in change.edits:
        if not 0 < len(edit.path) <= MAX_PATH_STEPS or edit.path[0] in DERIVED_KEYS:
            raise DeltaError("an edit at a path that is none")
        result = apply_edit(result, edit.path, 0, edit)
    number = before.get("number")
    if type(number) is not int:
        raise DeltaError("a document without a number")
    # Both are there: the keys stay in their order.
    document: Document = result | {"number": number + 1, "before": before_id}
    return document


class DeltaLink(msgspec.Struct, frozen=True):
    """A change as it is sent: the id of the version before, and the change's bytes."""

    before: str
    data: bytes


def encode_chain(links: list[DeltaLink]) -> bytes:
    """Return some changes, the earliest first, as they are sent."""
    return b"[" + b",".join(link.data for link in links) + b"]"


class AppliedChain(msgspec.Struct, frozen=True):
    """What a chain led to: the content, its document, each link by the id it leads to, the count of edits."""

    data: bytes
    document: Document
    links: dict[str, DeltaLink]
    edits: int


def apply_chain(base: Document, base_id: str, data: bytes, content_id: str) -> AppliedChain:
    """Return what a chain from one content leads to; raises DeltaError where that has another id."""
    try:
        changes = CHAIN.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DeltaError(f"no chain: {error}") from None
    document, current_id = base, base_id
    links: dict[str, DeltaLink] = {}
    edit_count = 0
    for change in changes:
        if len(change.id) != DIGEST_CHARACTERS:
            raise DeltaError("a change without an id")
        document = apply_change(document, current_id, change)
        links[change.id] = DeltaLink(current_id, ENCODER.encode(change))
        current_id = change.id
        edit_count += len(change.edits)
    if current_id != content_id:
        raise DeltaError("it leads to another content")
    result = encode_document(document)
    if digest(result) != content_id:
        raise DeltaError("it leads to something else than its id says")
    return AppliedChain(result, document, links, edit_count)
