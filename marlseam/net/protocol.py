"""The protocol's names, and the codec of its messages; no I/O.

The parts of the node outside this package do not use the protocol's names.
"""

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
CORRELATION_ID_HEADER, SERVICE_CLASS_HEADER, TIME_LEFT_HEADER, IDEMPOTENCY_KEY_HEADER = (
    "X-Correlation-Id",
    "X-Service-Class",
    "X-Time-Left",
    "Idempotency-Key",
)
ACTING_HEADER = "X-Marlseam-Acting"  # with a fleet: the configuration version under which an attempt is sent
FACTS_HEADER, LOAD_HEADER, UNPROCESSED_HEADER, REPEAT_HEADER = (
    "X-Facts",
    "X-Backend-Load",
    "X-Unprocessed",
    "X-Repeat",
)
KEY = "user"  # the query parameter that names the resource that a request needs
MAX_BODY_BYTES = 65536  # maximum size of a request's body, and of a server's answer
MAX_LINE_BYTES = 2 * MAX_BODY_BYTES  # maximum size of a line, which holds a body in JSON
MAX_LIST_BYTES = 1 << 22  # maximum size of a whole endpoint list
SINGLE_HEADERS = (
    CORRELATION_ID_HEADER,
    SERVICE_CLASS_HEADER,
    TIME_LEFT_HEADER,
    IDEMPOTENCY_KEY_HEADER,
    FACTS_HEADER,
    "Host",
    "Content-Length",
    "Transfer-Encoding",
)
MAX_ID_LENGTH = 256
MAX_TIME_LEFT_IN_DEADLINES = 100.0  # longest plausible time left, in deadlines of the request class
OUTCOME_BY_STATE = {
    "done": Outcome.COMPLETED,
    "failed": Outcome.ERROR,
    "returned": Outcome.AT_CAPACITY,
    "lost": Outcome.BROKEN,
}


@dataclass(frozen=True, slots=True)
class ClientRequest:
    """A client's request: the parts that are forwarded to servers unchanged, and the decoded values.

    Attributes:
        id: the client's correlation id.
        target: path and query.
        idempotency_key: None if the client sent none.
        body: the body as received.
        class_index: index of its request class, in the settings' order.
        type_name: name of its request class.
        time_left_ms: how long the client waits, at most the class's deadline.
        slots: number of server slots that it uses.
        is_unsafe: whether its class was unsafe when the request was received.
        must_run_once: whether it must not run twice: its class was keyed or unsafe when it was received.
        resource_key: the resource that it needs; None for none.
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
    """A message's headers, by case-insensitive name."""

    def __init__(self, headers: Iterable[tuple[bytes, bytes]]) -> None:
        self.values_by_name = {key.decode("latin-1"): value.decode("latin-1") for key, value in headers}

    def __getitem__(self, name: str) -> str:
        return self.values_by_name[name.lower()]

    def __iter__(self) -> Iterator[str]:
        return iter(self.values_by_name)

    def __len__(self) -> int:
        return len(self.values_by_name)


def parse_number(text: str, what: str) -> float:
    """Parse a finite number that is not negative; errors name `what`."""
    try:
        value = float(text)
    except ValueError:
        raise MalformedMessageError(f"{what} is not a number") from None
    if not isfinite(value) or value < 0.0 or "_" in text:  # float() would read 1_0 as 10
        raise MalformedMessageError(f"{what} is not a finite number of 0 or more")
    return value


def parse_pairs(text: str) -> dict[str, str]:
    """Parse `name=value,name=value`; parts without `=` are ignored."""
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
    """Return a client's headers; raises MalformedMessageError for a head that parsers read differently.

    Guards against request smuggling, a request hidden in the body of another one. h11 prefers chunks to a
    given length, accepts several equal lengths, and joins folded lines; `raw` is the head as received.
    """
    headers = list(headers)
    head, header_names = Head(headers), [name for name, _ in headers]
    for name in SINGLE_HEADERS:
        if header_names.count(name.lower().encode()) > 1:
            raise MalformedMessageError(f"{name} is given more than once")
    if "Transfer-Encoding" in head and ("Content-Length" in head or version != b"1.1"):
        raise MalformedMessageError(
            "Transfer-Encoding is given together with Content-Length, or not in HTTP/1.1"
        )
    end = HEAD_END.search(raw)
    raw = raw[: end.start()] if end else raw
    lengths = LENGTHS.findall(raw)
    if FOLDED.search(raw) or len(lengths) > 1 or not all(length.strip().isdigit() for length in lengths):
        raise MalformedMessageError(
            "a header line is folded, Content-Length is given more than once, or its value has other "
            "characters than digits"
        )
    return head


def is_header_safe(text: str) -> bool:
    """Return whether a string can be forwarded in a header: not empty, short, only visible ASCII."""
    return 0 < len(text) <= MAX_ID_LENGTH and text.isascii() and text.isprintable() and " " not in text


def class_name_of(target: str) -> str:
    """Return the first segment of the path, which is the name of the request class."""
    return path_of(target).strip("/").partition("/")[0]


def path_of(target: str) -> str:
    """Return the path of a request target, without its query."""
    return target.partition("?")[0]


def check_route(method: str, target: str, types: Mapping[str, int]) -> str:
    """Return the requested path; raises MalformedMessageError (404, 405) for an unknown path or method."""
    path = path_of(target)
    if path == READY_PATH:
        allowed = "GET"
    elif class_name_of(target) in types:
        allowed = "POST"
    else:
        raise MalformedMessageError("unknown path", 404)
    check_method(allowed, method)
    return path


def check_method(allowed: str, method: str) -> None:
    """Raise MalformedMessageError (405) for any other method than `allowed`."""
    if method != allowed:
        raise MalformedMessageError(f"method must be {allowed} for this path", 405, allowed)


def time_left_ms(head: Head) -> float:
    """Return how long a client waits, in ms; raises MalformedMessageError without a valid header."""
    return 1000.0 * parse_number(head.get(TIME_LEFT_HEADER, ""), TIME_LEFT_HEADER)


def client_request_from(target: str, head: Head, body: bytes, deployment: Deployment) -> ClientRequest:
    """Decode a client's request; raises MalformedMessageError if a header is missing or invalid."""
    id = head.get(CORRELATION_ID_HEADER, "")
    if not is_header_safe(id):
        raise MalformedMessageError(f"{CORRELATION_ID_HEADER} is missing or invalid")
    name = head.get(SERVICE_CLASS_HEADER, "")
    if name not in deployment.types or class_name_of(target) != name:
        raise MalformedMessageError(
            f"{SERVICE_CLASS_HEADER} is missing, names no known request class, or differs from the path's "
            "first segment"
        )
    left_ms = time_left_ms(head)
    class_index = deployment.types[name]
    request_class = deployment.settings.request_classes[class_index]
    deadline_ms = request_class.deadline_ms or inf
    if left_ms > MAX_TIME_LEFT_IN_DEADLINES * deadline_ms:
        raise MalformedMessageError(f"{TIME_LEFT_HEADER} is too long for the deadline of the request class")
    idempotency_key = head.get(IDEMPOTENCY_KEY_HEADER)
    if not is_header_safe(idempotency_key or "") and (
        idempotency_key is not None or request_class.idempotency is Idempotency.KEYED
    ):
        raise MalformedMessageError(f"{IDEMPOTENCY_KEY_HEADER} is missing or invalid")
    facts = parse_pairs(head.get(FACTS_HEADER, ""))
    if head.get(FACTS_HEADER) and len(facts) < head[FACTS_HEADER].count(",") + 1:
        raise MalformedMessageError(f"{FACTS_HEADER} is not a list of distinct name=value pairs")
    return ClientRequest(
        id=id,
        target=target,
        idempotency_key=idempotency_key,
        body=body,
        class_index=class_index,
        type_name=name,
        time_left_ms=min(left_ms, deadline_ms),
        slots=parse_number(facts.get("slots", "1"), FACTS_HEADER) or 1.0,
        is_unsafe=request_class.idempotency is Idempotency.UNSAFE,
        must_run_once=request_class.idempotency is not Idempotency.SAFE,
        may_be_retry=head.get(REPEAT_HEADER) == "1" or not deployment.marks_retry,
        resource_key=dict(parse_qsl(target.partition("?")[2])).get(KEY),
    )


def retry_after_headers(retry_after_ms: float) -> list[tuple[str, str]]:
    """Return the Retry-After header, in s; no header without a delay."""
    return [("Retry-After", f"{retry_after_ms / 1000.0:.3f}")] if retry_after_ms > 0.0 else []


# Servers.


def attempt_headers(
    client_request: ClientRequest, host: str, left_ms: float, acting: str = ""
) -> list[tuple[str, str]]:
    """Return the headers of an attempt; `acting` is the configuration version under which it is sent."""
    headers = [
        ("Host", host),
        (CORRELATION_ID_HEADER, client_request.id),
        (SERVICE_CLASS_HEADER, client_request.type_name),
        (TIME_LEFT_HEADER, f"{max(0.0, left_ms) / 1000.0:.3f}"),
        ("Content-Length", str(len(client_request.body))),
    ]
    if client_request.idempotency_key is not None:
        headers.append((IDEMPOTENCY_KEY_HEADER, client_request.idempotency_key))
    if acting:
        headers.append((ACTING_HEADER, acting))
    return headers


def outcome_of_refusal(status: int, head: Head) -> Outcome:
    """Return the outcome that the status and headers of a refusal mean."""
    if 400 <= status < 500:
        return Outcome.INVALID_REQUEST
    return (
        Outcome.AT_CAPACITY if status in (503, 504) and head.get(UNPROCESSED_HEADER) == "1" else Outcome.ERROR
    )


@dataclass(frozen=True, slots=True)
class AnswerLine:
    """One line of a server's answer.

    Attributes:
        has_started: whether the line reports that the server has started the request.
        progress: the completed share; None if the line reports none.
        outcome: how the attempt ended; None before the last line.
        result: the result of a completed attempt.
        report: the server's load report; None if the line has none.

    """

    has_started: bool = False
    progress: float | None = None
    outcome: Outcome | None = None
    result: bytes = b""
    report: LoadReport | None = None


def parse_line(raw: bytes, correlation_id: str, server: str, report_names: Mapping[str, str]) -> AnswerLine:
    """Decode one line of a server's answer; raises MalformedMessageError if a field is invalid."""
    try:
        row = json.loads(raw)
    except (ValueError, RecursionError):
        raise MalformedMessageError("answer line is not valid JSON") from None
    if not isinstance(row, dict) or row.get("id") != correlation_id or row.get("from") != server:
        raise MalformedMessageError(
            "answer line is not an object with the request's id as `id` and the server's name as `from`"
        )
    state, share, result = row.get("state"), row.get("share"), row.get("result")
    report = report_from(row.get("load"), report_names)
    if state == "started":
        return AnswerLine(has_started=True)
    if state == "running" and finite(share) is not None:
        return AnswerLine(progress=finite(share))
    outcome = OUTCOME_BY_STATE.get(state) if isinstance(state, str) else None
    if outcome is None or (state == "done" and not isinstance(result, str)):
        raise MalformedMessageError(
            "answer line has an unknown `state`, or state done without a string as `result`"
        )
    text = str(result) if state == "done" else ""
    try:
        return AnswerLine(outcome=outcome, result=text.encode(), report=report)
    except UnicodeEncodeError:
        raise MalformedMessageError("result of an answer line is not valid Unicode text") from None


class Lines:
    """Splits a received stream, a server's answer or a handover, into its lines."""

    def __init__(self) -> None:
        self.remainder = b""

    def feed(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the lines that they complete, without blank lines."""
        *lines, self.remainder = (self.remainder + data).split(b"\n")
        if len(self.remainder) > MAX_LINE_BYTES or any(len(line) > MAX_LINE_BYTES for line in lines):
            raise MalformedMessageError("line is too long: more than 128 KiB")
        return [line for line in lines if line.strip()]


def report_from(value: object, report_names: Mapping[str, str]) -> LoadReport | None:
    """Decode a load report from an object or a header's text; invalid and unknown values are ignored."""
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
    """Decode the load report in the body or the header of a probe's answer; None if there is none."""
    text = body.decode("latin-1").strip()
    if text.startswith("{"):
        try:
            return report_from(json.loads(text), report_names)
        except (ValueError, RecursionError):
            return None
    return report_from(text or head.get(LOAD_HEADER), report_names)


# Discovery.


def watch_target(version: int, wait_ms: float) -> str:
    """Return the target of a call that waits up to `wait_ms` for changes after a version."""
    return f"{LIST_PATH}?since={version}&timeout_ms={wait_ms:.0f}"
