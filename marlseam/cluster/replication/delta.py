"""A version as the difference to the one before it: found, passed on in a chain, applied, checked; pure.

A content is a document of objects (by key, in order) and lists (by place). A difference is a list of edits at
paths into it; number and id of the version before are not in it, as they follow from what it is applied to.
What comes out of a chain of differences must have the id that was asked for (SHA-256 of the whole content):
a chain that is wrong, of another document or in another order is found out, and nothing is guessed.

Applying costs by the edits and by the width of the objects on their paths; what is not edited is the same
object as before. By the whole remain the encoding and the digest of the result.
"""

from typing import Any

import msgspec

from marlseam.cluster.replication.content import digest
from marlseam.cluster.replication.messages import DIGEST_CHARACTERS, MAX_CONTENT_BYTES

DEPTH_MOST = 16  # of a path; what lies deeper is replaced as a whole
FOLLOWS = ("number", "before")  # of a content: what a difference leaves out
Document = dict[str, Any]
Step = str | int


class Put(msgspec.Struct, array_like=True, frozen=True, tag="put"):
    """Set the value at a path; a new key comes in its order."""

    path: list[Step]
    value: Any


class Drop(msgspec.Struct, array_like=True, frozen=True, tag="drop"):
    """Take a key out of an object."""

    path: list[Step]


class Splice(msgspec.Struct, array_like=True, frozen=True, tag="splice"):
    """Put values in the place of `count` of a list's, from some place on."""

    path: list[Step]
    at: int
    count: int
    values: list[Any]


Edit = Put | Drop | Splice


class Change(msgspec.Struct, array_like=True, frozen=True):
    """What makes one version out of the one before it: its id, and the edits."""

    id: str
    edits: list[Edit]


class DeltaError(Exception):
    """A chain that does not lead to what was asked for; its text says why."""


ENCODER = msgspec.json.Encoder()
CHANGE, CHAIN = msgspec.json.Decoder(Change), msgspec.json.Decoder(list[Change])


def document(data: bytes) -> Document:
    """Return a content as a document; raises Wrong."""
    try:
        found = msgspec.json.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DeltaError(f"no document: {error}") from None
    if not isinstance(found, dict):
        raise DeltaError("no document: an object was expected")
    return found


# Finding a difference.


def edits(before: object, after: object, path: tuple[Step, ...] = ()) -> list[Edit]:
    """Return what makes one value out of another."""
    if same(before, after):
        return []
    if isinstance(before, dict) and isinstance(after, dict) and len(path) < DEPTH_MOST:
        found: list[Edit] = [Drop([*path, key]) for key in before if key not in after]
        for key, value in after.items():
            if key not in before:
                found.append(Put([*path, key], value))
            else:
                found += edits(before[key], value, (*path, key))
        return found
    if isinstance(before, list) and isinstance(after, list) and len(path) < DEPTH_MOST:
        return in_list(before, after, path)
    return [Put(list(path), after)]


def same(before: object, after: object) -> bool:
    """Return whether two values are written alike: 1, 1.0 and true are equal, and are not."""
    if before is after:
        return True
    if type(before) is not type(after) or before != after:
        return False
    if isinstance(before, dict):
        return list(before) == list(after) and all(same(before[key], after[key]) for key in before)
    if isinstance(before, list):
        return all(map(same, before, after))
    # Zeros of either sign are equal, and are written in two ways.
    return not isinstance(before, float) or repr(before) == repr(after)


def in_list(before: list[Any], after: list[Any], path: tuple[Step, ...]) -> list[Edit]:
    """Return what makes one list out of another: edits where as many rows changed, else one splice."""
    shorter = min(len(before), len(after))
    head = next((i for i in range(shorter) if not same(before[i], after[i])), shorter)
    left = shorter - head
    tail = next((i for i in range(left) if not same(before[-1 - i], after[-1 - i])), left)
    rows, others = before[head : len(before) - tail], after[head : len(after) - tail]
    if len(rows) == len(others):
        found: list[Edit] = []
        for i, (row, other) in enumerate(zip(rows, others, strict=True)):
            found += edits(row, other, (*path, head + i))
        return found
    return [Splice(list(path), head, len(rows), others)]


def change(before: Document, data: bytes, after: Document) -> tuple[bytes, Document] | None:
    """Return the change that makes a content, given as bytes and document, out of a document.

    And the content as a document again, which shares with the one before what is not edited. None where there
    is none: the result would be written otherwise than it is.
    """
    one = {key: value for key, value in before.items() if key not in FOLLOWS}
    two = {key: value for key, value in after.items() if key not in FOLLOWS}
    found = ENCODER.encode(Change(digest(data), edits(one, two)))
    try:
        result = applied(before, after.get("before", ""), CHANGE.decode(found))
        return (found, result) if whole(result) == data else None
    except (DeltaError, msgspec.MsgspecError, RecursionError):
        return None


# Applying one.


def with_key(holder: dict[str, Any], key: str, value: object) -> dict[str, Any]:
    """Return an object with a key set, a new one in its order."""
    found = holder | {key: value}
    return found if key in holder else dict(sorted(found.items()))


def edited(value: object, path: list[Step], at: int, edit: Edit) -> object:
    """Return a value with an edit below it made; raises Wrong where its path leads nowhere."""
    if at == len(path):
        if type(edit) is Put:
            return edit.value
        if type(edit) is Splice and isinstance(value, list):
            if not (0 <= edit.at <= len(value) and 0 <= edit.count <= len(value) - edit.at):
                raise DeltaError("a splice out of its list")
            return [*value[: edit.at], *edit.values, *value[edit.at + edit.count :]]
        raise DeltaError("an edit of another kind of value")
    step = path[at]
    if isinstance(value, dict) and isinstance(step, str):
        if at == len(path) - 1 and type(edit) is Drop:
            if step not in value:
                raise DeltaError("a key that is not there")
            return {key: kept for key, kept in value.items() if key != step}
        if at < len(path) - 1 and step not in value:
            raise DeltaError("a path that leads nowhere")
        return with_key(value, step, edited(value.get(step), path, at + 1, edit))
    if isinstance(value, list) and type(step) is int and 0 <= step < len(value):
        return [*value[:step], edited(value[step], path, at + 1, edit), *value[step + 1 :]]
    raise DeltaError("a path that leads nowhere")


def applied(before: Document, id: str, change: Change) -> Document:
    """Return the document after a change to the one with an id; raises Wrong."""
    found = before
    for edit in change.edits:
        if not 0 < len(edit.path) <= DEPTH_MOST or edit.path[0] in FOLLOWS:
            raise DeltaError("an edit at a path that is none")
        found = edited(found, edit.path, 0, edit)
    number = before.get("number")
    if type(number) is not int:
        raise DeltaError("a document without a number")
    # Both are there: the keys stay in their order.
    return found | {"number": number + 1, "before": id}


def whole(document: Document) -> bytes:
    """Return a document's bytes; raises Wrong."""
    try:
        data = ENCODER.encode(document)
    except (msgspec.MsgspecError, TypeError, ValueError, OverflowError, RecursionError) as error:
        raise DeltaError(f"cannot be written: {error}") from None
    if len(data) > MAX_CONTENT_BYTES:
        raise DeltaError("too large")
    return data


class DeltaLink(msgspec.Struct, frozen=True):
    """A change as it is passed on: the id of the version before, and the change's bytes."""

    before: str
    data: bytes


def chain(links: list[DeltaLink]) -> bytes:
    """Return some changes, the earliest first, as they are passed on."""
    return b"[" + b",".join(link.data for link in links) + b"]"


class AppliedChain(msgspec.Struct, frozen=True):
    """What a chain led to: the content, its document, each link by the id that it leads to, and the edits."""

    data: bytes
    document: Document
    links: dict[str, DeltaLink]
    edits: int


def follow(base: Document, before: str, data: bytes, id: str) -> AppliedChain:
    """Return what a chain from one content leads to; raises Wrong where that has not the id asked for."""
    try:
        found = CHAIN.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise DeltaError(f"no chain: {error}") from None
    links: dict[str, DeltaLink] = {}
    count = 0
    for one in found:
        if len(one.id) != DIGEST_CHARACTERS:
            raise DeltaError("a change without an id")
        base = applied(base, before, one)
        links[one.id] = DeltaLink(before, ENCODER.encode(one))
        before, count = one.id, count + len(one.edits)
    if before != id:
        raise DeltaError("it leads to another content")
    result = whole(base)
    if digest(result) != id:
        raise DeltaError("it leads to something else than its id says")
    return AppliedChain(result, base, links, count)
