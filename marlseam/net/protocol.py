"""The protocol's names, and its messages turned into ours and back; no I/O. Its names end in this package."""

import json
import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from math import inf, isfinite
from urllib.parse import parse_qsl

from marlseam.configuration import Deployment, finite
from marlseam.decisions.types import Idempotency, LoadReport, Outcome
from marlseam.net.errors import MalformedMessageError

READY_PATH, LOAD_PATH, LIST_PATH = "/-/ready", "/-/load", "/api/targets"
ID, TYPE, TIME_LEFT, RECEIPT = "X-Correlation-Id", "X-Service-Class", "X-Time-Left", "Idempotency-Key"
ACTING = "X-Marlseam-Acting"  # where a fleet is on: on what an attempt stands
FACTS, LOAD, NEVER_RAN, REPEAT = "X-Facts", "X-Backend-Load", "X-Unprocessed", "X-Repeat"
KEY = "user"  # the parameter that names the thing that a request needs
MAX_BODY_BYTES = 65536  # bytes of a request's body, and of a server's answer
MAX_LINE_BYTES = 2 * MAX_BODY_BYTES  # bytes of one line, which is a body in JSON
MAX_LIST_BYTES = 1 << 22  # bytes of a whole list
SINGLE_HEADERS = (ID, TYPE, TIME_LEFT, RECEIPT, FACTS, "Host", "Content-Length", "Transfer-Encoding")
MAX_ID_LENGTH = 256
MAX_TIME_LEFT_IN_DEADLINES = 100.0  # time left that can be meant, in deadlines of the request class
OUTCOME_BY_STATE = {
    "done": Outcome.COMPLETED,
    "failed": Outcome.ERROR,
    "returned": Outcome.AT_CAPACITY,
    "lost": Outcome.BROKEN,
}


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request as its client wrote it: what goes on to servers unchanged, and what we read of it.

    Attributes:
        id: the client's correlation id.
        target: path and query.
        idempotency_key: None where the client gave none.
        body: as it came.
        class_index: of its request class, in the settings' order.
        type_name: that class's name.
        time_left_ms: how long the client waits, cut to the class's deadline.
        slots: how much of a server it takes.
        is_unsafe: whether its class was unsafe when it was taken.
        must_run_once: likewise, whether it may not run twice everywhere.
        resource_key: the thing that it needs; None for nothing.
        may_be_retry: whether it may be a client's retry.

    """

    id: str
    target: str
    idempotency_key: str | None
    body: bytes
    class_index: int
    type_name: str
    time_left_ms: float
    slots: float
    is_unsafe: bool = False
    must_run_once: bool = False
    resource_key: str | None = None
    may_be_retry: bool = False


class Head(Mapping[str, str]):
    """A message's headers by name, in any case of letters."""

    def __init__(self, headers: Iterable[tuple[bytes, bytes]]) -> None:
        self.values_by_name = {key.decode("latin-1"): value.decode("latin-1") for key, value in headers}

    def __getitem__(self, name: str) -> str:
        return self.values_by_name[name.lower()]

    def __iter__(self) -> Iterator[str]:
        return iter(self.values_by_name)

    def __len__(self) -> int:
        return len(self.values_by_name)


def parse_number(text: str, what: str) -> float:
    """Read a finite number that is not below zero."""
    try:
        value = float(text)
    except ValueError:
        raise MalformedMessageError(f"{what} is no number") from None
    if not isfinite(value) or value < 0.0 or "_" in text:  # float() would read 1_0 as 10
        raise MalformedMessageError(f"{what} is out of range")
    return value


def parse_pairs(text: str) -> dict[str, str]:
    """Read `name=value,name=value`."""
    return {
        name.strip(): value.strip()
        for name, separator, value in (pair.partition("=") for pair in text.split(","))
        if separator
    }


# Clients.

HEAD_END = re.compile(rb"\n\r?\n")
FOLDED = re.compile(rb"\n[ \t]")
LENGTHS = re.compile(rb"\ncontent-length:[ \t]*([^\r\n]*)", re.IGNORECASE)


def head_from(headers: Iterable[tuple[bytes, bytes]], version: bytes, raw: bytes) -> Head:
    """Read a client's headers, and refuse a head that another reader could understand in another way.

    Guards against a request hidden in another's body. h11 goes by the chunks where a length is given too,
    takes several equal lengths for one, and joins folded lines; `raw` is the head as it came.
    """
    headers = list(headers)
    head, header_names = Head(headers), [name for name, _ in headers]
    for name in SINGLE_HEADERS:
        if header_names.count(name.lower().encode()) > 1:
            raise MalformedMessageError(f"{name} comes more than once")
    if "Transfer-Encoding" in head and ("Content-Length" in head or version != b"1.1"):
        raise MalformedMessageError("Transfer-Encoding where it may not be")
    end = HEAD_END.search(raw)
    raw = raw[: end.start()] if end else raw
    lengths = LENGTHS.findall(raw)
    if FOLDED.search(raw) or len(lengths) > 1 or not all(length.strip().isdigit() for length in lengths):
        raise MalformedMessageError("a folded line, or a length that is odd")
    return head


def is_header_safe(text: str) -> bool:
    """Return whether a text can go on in a header: short, with nothing but visible characters."""
    return 0 < len(text) <= MAX_ID_LENGTH and text.isascii() and text.isprintable() and " " not in text


def class_name_of(target: str) -> str:
    """Return the first part of a path, which is the request class's name."""
    return path_of(target).strip("/").partition("/")[0]


def path_of(target: str) -> str:
    """Return the path of a target."""
    return target.partition("?")[0]


def check_route(method: str, target: str, types: Mapping[str, int]) -> str:
    """Return the path that a client asks for, where such a request exists."""
    path = path_of(target)
    if path == READY_PATH:
        allowed = "GET"
    elif class_name_of(target) in types:
        allowed = "POST"
    else:
        raise MalformedMessageError("no such path", 404)
    check_method(allowed, method)
    return path


def check_method(allowed: str, method: str) -> None:
    """Refuse any other method."""
    if method != allowed:
        raise MalformedMessageError(f"only {allowed} is possible here", 405, allowed)


def client_request_from(target: str, head: Head, body: bytes, deployment: Deployment) -> ClientRequest:
    """Read a request out of a client's request."""
    id = head.get(ID, "")
    if not is_header_safe(id):
        raise MalformedMessageError(f"{ID} is missing or bad")
    name = head.get(TYPE, "")
    if name not in deployment.types or class_name_of(target) != name:
        raise MalformedMessageError(f"{TYPE} is missing, unknown or another than the path's")
    left_ms = 1000.0 * parse_number(head.get(TIME_LEFT, ""), TIME_LEFT)
    type = deployment.types[name]
    of_type = deployment.settings.request_classes[type]
    deadline_ms = of_type.deadline_ms or inf
    if left_ms > MAX_TIME_LEFT_IN_DEADLINES * deadline_ms:
        raise MalformedMessageError(f"{TIME_LEFT} is out of range")
    idempotency_key = head.get(RECEIPT)
    if not is_header_safe(idempotency_key or "") and (
        idempotency_key is not None or of_type.idempotency is Idempotency.KEYED
    ):
        raise MalformedMessageError(f"{RECEIPT} is missing or bad")
    facts = parse_pairs(head.get(FACTS, ""))
    if head.get(FACTS) and len(facts) < head[FACTS].count(",") + 1:
        raise MalformedMessageError(f"{FACTS} is bad")
    return ClientRequest(
        id=id,
        target=target,
        idempotency_key=idempotency_key,
        body=body,
        class_index=type,
        type_name=name,
        time_left_ms=min(left_ms, deadline_ms),
        slots=parse_number(facts.get("slots", "1"), FACTS) or 1.0,
        is_unsafe=of_type.idempotency is Idempotency.UNSAFE,
        must_run_once=of_type.idempotency is not Idempotency.SAFE,
        may_be_retry=head.get(REPEAT) == "1" or not deployment.marks_retry,
        resource_key=dict(parse_qsl(target.partition("?")[2])).get(KEY),
    )


def retry_after_headers(retry_after_ms: float) -> list[tuple[str, str]]:
    """Return the headers that tell a client when to come back."""
    return [("Retry-After", f"{retry_after_ms / 1000.0:.3f}")] if retry_after_ms > 0.0 else []


# Servers.


def attempt_headers(
    client_request: ClientRequest, host: str, left_ms: float, acting: str = ""
) -> list[tuple[str, str]]:
    """Return the headers under which a request goes to a server; `acting` tells on what that stands."""
    headers = [
        ("Host", host),
        (ID, client_request.id),
        (TYPE, client_request.type_name),
        (TIME_LEFT, f"{max(0.0, left_ms) / 1000.0:.3f}"),
        ("Content-Length", str(len(client_request.body))),
    ]
    if client_request.idempotency_key is not None:
        headers.append((RECEIPT, client_request.idempotency_key))
    if acting:
        headers.append((ACTING, acting))
    return headers


def outcome_of_refusal(status: int, head: Head) -> Outcome:
    """Return what a server's answer means that is no stream of lines."""
    if 400 <= status < 500:
        return Outcome.INVALID_REQUEST
    return Outcome.AT_CAPACITY if status in (503, 504) and head.get(NEVER_RAN) == "1" else Outcome.ERROR


@dataclass(frozen=True, slots=True)
class AnswerLine:
    """One line of a server's answer.

    Attributes:
        has_started: whether it tells that the server has started.
        progress: the share that is done; None where it tells none.
        outcome: how the attempt ended; None before the last line.
        result: what a complete attempt brought.
        report: the server's load report; None where it holds none.

    """

    has_started: bool = False
    progress: float | None = None
    outcome: Outcome | None = None
    result: bytes = b""
    report: LoadReport | None = None


def parse_line(raw: bytes, correlation_id: str, server: str, report_names: Mapping[str, str]) -> AnswerLine:
    """Read one line of a server's answer."""
    try:
        row = json.loads(raw)
    except (ValueError, RecursionError):
        raise MalformedMessageError("a line is no JSON") from None
    if not isinstance(row, dict) or row.get("id") != correlation_id or row.get("from") != server:
        raise MalformedMessageError("a line is not from this server on this request")
    state, share, result = row.get("state"), row.get("share"), row.get("result")
    report = report_from(row.get("load"), report_names)
    if state == "started":
        return AnswerLine(has_started=True)
    if state == "running" and finite(share) is not None:
        return AnswerLine(progress=finite(share))
    outcome = OUTCOME_BY_STATE.get(state) if isinstance(state, str) else None
    if outcome is None or (state == "done" and not isinstance(result, str)):
        raise MalformedMessageError("a line tells no known state")
    text = str(result) if state == "done" else ""
    try:
        return AnswerLine(outcome=outcome, result=text.encode(), report=report)
    except UnicodeEncodeError:
        raise MalformedMessageError("a result is no text") from None


class Lines:
    """Cuts a streamed answer into its lines."""

    def __init__(self) -> None:
        self.remainder = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Take in some bytes and return the lines that they end."""
        *lines, self.remainder = (self.remainder + data).split(b"\n")
        if len(self.remainder) > MAX_LINE_BYTES or any(len(line) > MAX_LINE_BYTES for line in lines):
            raise MalformedMessageError("a line is too long")
        return [line for line in lines if line.strip()]


def report_from(value: object, report_names: Mapping[str, str]) -> LoadReport | None:
    """Read a load report, as an object or as the text of a header; what is odd in it is passed by."""
    if isinstance(value, str):
        value = parse_pairs(value.strip().removeprefix("TEXT").removeprefix("JSON"))
    if not isinstance(value, dict):
        return None
    found = {}
    for name, figure in value.items():
        if name in report_names:
            try:
                figure = float(figure)
            except (TypeError, ValueError, OverflowError):
                continue
            if isfinite(figure):
                found[report_names[name]] = figure
    return LoadReport(**found)


def report_from_answer(body: bytes, head: Head, report_names: Mapping[str, str]) -> LoadReport | None:
    """Read the load report that a probe's answer holds as its body or in its header."""
    text = body.decode("latin-1").strip()
    if text.startswith("{"):
        try:
            return report_from(json.loads(text), report_names)
        except (ValueError, RecursionError):
            return None
    return report_from(text or head.get(LOAD), report_names)


# Discovery.


def watch_target(version: int, wait_ms: float) -> str:
    """Return the call that waits for what is newer than a version."""
    return f"{LIST_PATH}?since={version}&timeout_ms={wait_ms:.0f}"
