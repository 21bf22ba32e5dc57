"""Decodes discovery's answers into an endpoint list, and encodes list entries; no I/O."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any, NamedTuple

from marlseam.configuration import Deployment, address_from, finite
from marlseam.core import EndpointEntry
from marlseam.decisions.types import EndpointState, ListUpdateKind
from marlseam.net.errors import MalformedMessageError

STATE_BY_HEALTH = {
    "active": EndpointState.READY,
    "leaving": EndpointState.DRAINING,
    "left": EndpointState.GONE,
}


class InvalidEntry(NamedTuple):
    """An entry that was left out: its host ("" if unknown) and the error."""

    host: str
    problem: str


class AddressedEntry(NamedTuple):
    """An entry of the list and the server's address; None if the entry has no address."""

    entry: EndpointEntry
    address: tuple[str, int] | None


@dataclass(frozen=True, slots=True)
class ListAnswer:
    """One answer of discovery.

    Attributes:
        version: version of the list.
        kind: whether the answer holds the whole list or only changes.
        entries: the valid entries.
        addresses: host and port by server, for entries that have an address.
        invalid: the entries that were left out.

    """

    version: int
    kind: ListUpdateKind
    entries: list[EndpointEntry]
    addresses: dict[str, tuple[str, int]]
    invalid: list[InvalidEntry]


def list_answer_from(value: object, deployment: Deployment) -> ListAnswer:
    """Decode an answer of discovery, with process starts in Unix ms; collects invalid entries in `invalid`.

    Raises MalformedMessageError if the answer itself has no list or no version.
    """
    if not isinstance(value, dict) or not isinstance(value.get("hosts"), list):
        raise MalformedMessageError("the answer is not an object with a list as `hosts`")
    version = value.get("seq")
    if not isinstance(version, int) or isinstance(version, bool):
        raise MalformedMessageError("the answer has no integer as `seq`, the list's version")
    answer = ListAnswer(
        version, ListUpdateKind.FULL if value.get("whole") else ListUpdateKind.DELTA, [], {}, []
    )
    for row in value["hosts"]:
        try:
            entry, address = entry_from(row, deployment)
        except MalformedMessageError as error:
            host = str(row.get("host")) if isinstance(row, dict) else ""
            answer.invalid.append(InvalidEntry(host, str(error)))
            continue
        answer.entries.append(entry)
        if address is not None:
            answer.addresses[entry.server] = address
    return answer


def entry_from(row: object, deployment: Deployment) -> AddressedEntry:
    """Decode one entry of the list; an entry of a draining or gone server needs only host and health.

    Guards a drain that is reported in an entry whose other fields are malformed.
    """
    if not isinstance(row, dict):
        raise MalformedMessageError("the entry is not an object")
    name, state, block, started_unix_ms = (
        row.get("host"),
        row.get("health"),
        row.get("block"),
        row.get("born_ms"),
    )
    share, at = finite(row.get("share")), finite(started_unix_ms)
    if not isinstance(name, str) or not name:
        raise MalformedMessageError("`host` is not a non-empty string")
    if not isinstance(state, str) or state not in STATE_BY_HEALTH:
        raise MalformedMessageError("`health` is not one of active, leaving, left")
    if started_unix_ms is not None and at is None and STATE_BY_HEALTH[state] is EndpointState.READY:
        raise MalformedMessageError("`born_ms` is not a finite number")
    entry = EndpointEntry(
        server=name,
        state=STATE_BY_HEALTH[state],
        kind=index_of(row.get("class"), deployment.kinds),
        zone=index_of(row.get("site"), deployment.zones),
        cell=block if isinstance(block, int) else -1,
        process_started_ms=at or None,
        weight=share if share is not None and share > 0 else None,
    )
    if entry.state is EndpointState.GONE:
        return AddressedEntry(entry, None)
    address = address_from(row.get("dial"))
    if address is None and entry.state is EndpointState.READY:
        raise MalformedMessageError("`dial` is not an IP address and port")
    return AddressedEntry(entry, address)


def encode_entry(entry: EndpointEntry, address: tuple[str, int], deployment: Deployment) -> dict[str, Any]:
    """Encode an entry, whose process start is in Unix ms, in discovery's format."""
    zones, kinds = list(deployment.zones), list(deployment.kinds)
    host = f"[{address[0]}]" if ":" in address[0] else address[0]
    return {
        "host": entry.server,
        "dial": f"{host}:{address[1]}",
        "site": zones[entry.zone] if 0 <= entry.zone < len(zones) else "",
        "class": kinds[entry.kind] if 0 <= entry.kind < len(kinds) else "",
        "block": entry.cell,
        "health": "leaving" if entry.state is EndpointState.DRAINING else "active",
        "share": 1.0,
        "born_ms": round(entry.process_started_ms) if entry.process_started_ms is not None else 0,
    }


def index_of(value: Any, names: Mapping[str, int]) -> int:  # noqa: ANN401
    """Return the index of a name; -1 if the value is not one of the names."""
    return names.get(value, -1) if isinstance(value, str) else -1
