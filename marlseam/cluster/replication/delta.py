"""Deltas between the contents of successive versions: computing, chaining, applying and verifying them; pure.

A content is a document of objects (accessed by key, with ordered keys) and lists (accessed by index). A delta
is a list of edits at paths into the document; it omits the version number and the id of the previous content,
as both follow from the document to which it is applied. The result of a delta chain must have the requested
id (SHA-256 of the whole content), so a chain that is wrong, belongs to another document or has another order
is detected.

The cost of applying a delta grows with the number of edits and the width of the objects on their paths;
values that are not edited stay the identical objects. The cost of encoding the result and of its digest grows
with the size of the whole content.
"""

from typing import Any

import msgspec

from marlseam.cluster.replication.content import ContentError, digest
from marlseam.cluster.replication.messages import DIGEST_CHARACTERS, MAX_CONTENT_BYTES

MAX_PATH_STEPS = 16  # longest path of an edit; a value below that depth is replaced as a whole
DERIVED_KEYS = ("number", "before")  # keys of a content that a delta omits
Document = dict[str, Any]
Step = str | int


class Put(msgspec.Struct, array_like=True, frozen=True, tag="put"):
    """Edit that sets the value at a path; a new key is inserted in key order."""

    path: list[Step]
    value: Any


class Drop(msgspec.Struct, array_like=True, frozen=True, tag="drop"):
    """Edit that removes the key at the end of a path from its object."""

    path: list[Step]


class Splice(msgspec.Struct, array_like=True, frozen=True, tag="splice"):
    """Edit that replaces `count` items of the list at a path, from index `at` on, by `values`."""

    path: list[Step]
    at: int
    count: int
    values: list[Any]


Edit = Put | Drop | Splice


class Change(msgspec.Struct, array_like=True, frozen=True):
    """The delta from one version to the next: the content id of the result, and the edits."""

    id: str
    edits: list[Edit]


class DeltaError(ContentError):
    """Raised for a chain or a document that does not produce the requested content; text: the reason."""


ENCODER = msgspec.json.Encoder()
CHANGE_DECODER: msgspec.json.Decoder[Change] = msgspec.json.Decoder(Change)
CHAIN_DECODER: msgspec.json.Decoder[list[Change]] = msgspec.json.Decoder(list[Change])


def decode_document(data: bytes) -> Document:
    """Parse a content into a document; raises DeltaError if it is not a JSON object."""
    try:
        found = msgspec.json.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DeltaError(f"content is not valid JSON: {error}") from None
    if not isinstance(found, dict):
        raise DeltaError("content is not a JSON object")
    return found


def encode_document(document: Document) -> bytes:
    """Encode a document; raises DeltaError if it cannot be encoded or exceeds `MAX_CONTENT_BYTES`."""
    try:
        data = ENCODER.encode(document)
    except (msgspec.MsgspecError, TypeError, ValueError, OverflowError, RecursionError) as error:
        raise DeltaError(f"document cannot be encoded: {error}") from None
    if len(data) > MAX_CONTENT_BYTES:
        raise DeltaError("encoded document is too large for a content")
    return data


# Computing deltas.


def diff_values(before: object, after: object, path: tuple[Step, ...] = ()) -> list[Edit]:
    """Return the edits that turn one value, at a path, into another."""
    if has_same_encoding(before, after):
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


def has_same_encoding(before: object, after: object) -> bool:
    """Return whether two values encode to the same bytes, which equal values like 1, 1.0 and true do not."""
    if before is after:
        return True
    if type(before) is not type(after) or before != after:
        return False
    if isinstance(before, dict) and isinstance(after, dict):
        return list(before) == list(after) and all(
            has_same_encoding(before[key], after[key]) for key in before
        )
    if isinstance(before, list) and isinstance(after, list):
        return all(map(has_same_encoding, before, after))
    # 0.0 and -0.0 are equal but encode differently.
    return not isinstance(before, float) or repr(before) == repr(after)


def diff_lists(before: list[Any], after: list[Any], path: tuple[Step, ...]) -> list[Edit]:
    """Return the edits that turn one list into another, between their common first and last items.

    If both have the same number of items there, they are compared one by one; otherwise one splice replaces
    all.
    """
    shorter = min(len(before), len(after))
    head = next((i for i in range(shorter) if not has_same_encoding(before[i], after[i])), shorter)
    remaining = shorter - head
    tail = next(
        (i for i in range(remaining) if not has_same_encoding(before[-1 - i], after[-1 - i])), remaining
    )
    old_rows, new_rows = before[head : len(before) - tail], after[head : len(after) - tail]
    if len(old_rows) != len(new_rows):
        return [Splice(list(path), head, len(old_rows), new_rows)]
    edits: list[Edit] = []
    for i, (old_row, new_row) in enumerate(zip(old_rows, new_rows, strict=True)):
        edits += diff_values(old_row, new_row, (*path, head + i))
    return edits


class ComputedChange(msgspec.Struct, frozen=True):
    """An encoded change, and the resulting document, which shares unedited values with the previous one."""

    data: bytes
    document: Document


def compute_change(before: Document, data: bytes, after: Document) -> ComputedChange | None:
    """Return the change that turns the document `before` into the content `data`, whose document is `after`.

    Returns None if no change does that exactly: the result would be encoded differently from `data`.
    """
    edited_before = {key: value for key, value in before.items() if key not in DERIVED_KEYS}
    edited_after = {key: value for key, value in after.items() if key not in DERIVED_KEYS}
    encoded = ENCODER.encode(Change(digest(data), diff_values(edited_before, edited_after)))
    try:
        result = apply_change(before, after.get("before", ""), CHANGE_DECODER.decode(encoded))
        is_exact = encode_document(result) == data
    except (DeltaError, msgspec.MsgspecError, RecursionError):
        return None
    return ComputedChange(encoded, result) if is_exact else None


# Applying deltas.


def set_key(parent: dict[str, Any], key: str, value: object) -> dict[str, Any]:
    """Return a copy of an object with a key set; a new key is inserted in key order."""
    result = parent | {key: value}
    return result if key in parent else dict(sorted(result.items()))


def apply_edit(value: object, path: list[Step], depth: int, edit: Edit) -> object:
    """Return a value with an edit applied; the value lies at the first `depth` steps of the edit's path.

    Raises DeltaError if the path does not exist in the value.
    """
    if depth == len(path):
        return replace_value(value, edit)
    step = path[depth]
    if isinstance(value, dict) and isinstance(step, str):
        return edit_object(value, step, path, depth, edit)
    if isinstance(value, list) and type(step) is int and 0 <= step < len(value):
        return [*value[:step], apply_edit(value[step], path, depth + 1, edit), *value[step + 1 :]]
    raise DeltaError("the path of an edit does not exist in the document")


def replace_value(value: object, edit: Edit) -> object:
    """Return the new value for the value at the end of an edit's path; raises DeltaError."""
    if isinstance(edit, Put):
        return edit.value
    if isinstance(edit, Splice) and isinstance(value, list):
        if not (0 <= edit.at <= len(value) and 0 <= edit.count <= len(value) - edit.at):
            raise DeltaError("the range of a splice lies outside of its list")
        return [*value[: edit.at], *edit.values, *value[edit.at + edit.count :]]
    raise DeltaError("an edit does not apply to the type of the value at its path")


def edit_object(value: dict[str, Any], key: str, path: list[Step], depth: int, edit: Edit) -> dict[str, Any]:
    """Return an object with an edit applied at or below a key; raises DeltaError."""
    is_last = depth == len(path) - 1
    if is_last and isinstance(edit, Drop):
        if key not in value:
            raise DeltaError("the key that an edit removes does not exist")
        return {other: inner for other, inner in value.items() if other != key}
    if not is_last and key not in value:
        raise DeltaError("the path of an edit does not exist in the document")
    return set_key(value, key, apply_edit(value.get(key), path, depth + 1, edit))


def apply_change(before: Document, before_id: str, change: Change) -> Document:
    """Apply a change to the document `before`, whose content id is `before_id`; raises DeltaError."""
    result: Any = before
    for edit in change.edits:
        if not 0 < len(edit.path) <= MAX_PATH_STEPS or edit.path[0] in DERIVED_KEYS:
            raise DeltaError("the path of an edit is empty, too long or leads to a derived key")
        result = apply_edit(result, edit.path, 0, edit)
    number = before.get("number")
    if type(number) is not int:
        raise DeltaError("the document has no integer `number`")
    # Both keys exist already, so the order of the keys does not change.
    document: Document = result | {"number": number + 1, "before": before_id}
    return document


class DeltaLink(msgspec.Struct, frozen=True):
    """One change of a chain: the content id of the version to which it applies, and the encoded change."""

    before: str
    data: bytes


def encode_chain(links: list[DeltaLink]) -> bytes:
    """Encode a chain of changes, the earliest first."""
    return b"[" + b",".join(link.data for link in links) + b"]"


class AppliedChain(msgspec.Struct, frozen=True):
    """The result of a chain: content, document, links by the content id of their result, number of edits."""

    data: bytes
    document: Document
    links: dict[str, DeltaLink]
    edits: int


def apply_chain(base: Document, base_id: str, data: bytes, content_id: str) -> AppliedChain:
    """Apply an encoded chain to a base content.

    Raises DeltaError if the chain is invalid or its result does not have the id `content_id`.
    """
    try:
        changes = CHAIN_DECODER.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DeltaError(f"invalid chain of changes: {error}") from None
    document, current_id = base, base_id
    links: dict[str, DeltaLink] = {}
    edit_count = 0
    for change in changes:
        if len(change.id) != DIGEST_CHARACTERS:
            raise DeltaError("the id of a change does not have the length of a content id")
        document = apply_change(document, current_id, change)
        links[change.id] = DeltaLink(current_id, ENCODER.encode(change))
        current_id = change.id
        edit_count += len(change.edits)
    if current_id != content_id:
        raise DeltaError("the chain ends at another content id than the requested one")
    result = encode_document(document)
    if digest(result) != content_id:
        raise DeltaError("the digest of the resulting content differs from its id")
    return AppliedChain(result, document, links, edit_count)
