"""The codecs of clients' requests, servers' lines and reports, and discovery's lists."""

import json
from dataclasses import replace

import pytest

from marlseam.decisions.types import EndpointState, Idempotency, ListUpdateKind, LoadReport, Outcome
from marlseam.net import list_codec, protocol
from marlseam.net.errors import MalformedMessageError
from marlseam.net.protocol import Head, Lines

REPORT_NAMES = {"backlog": "queued", "x0": "free_slots"}
HEADERS = {"x-correlation-id": "9b", "x-service-class": "statement", "x-time-left": "0.480"}


def make_head(**changes):
    """Return a request's headers with changes; a header whose value is None is left out."""
    headers = HEADERS | {name.replace("_", "-"): value for name, value in changes.items()}
    return Head([(name.encode(), value.encode()) for name, value in headers.items() if value is not None])


def parse_line(**changes):
    """Decode a server's last line with some values changed."""
    values = {"id": "9b", "from": "e1", "state": "done", "result": "r"} | changes
    return protocol.parse_line(json.dumps(values).encode(), "9b", "e1", REPORT_NAMES)


def read_request(deployment, target="/statement", body=b"", **changes):
    """Decode a client's request with some headers changed."""
    return protocol.client_request_from(target, make_head(**changes), body, deployment)


def test_a_request_is_decoded(deployment):
    request = read_request(deployment, "/statement?user=7", b"body", x_facts="slots=4,odd=1")
    assert (request.id, request.class_index, request.time_left_ms) == ("9b", 0, 480.0)
    assert (request.slots, request.body) == (4.0, b"body")


def test_time_left_is_capped_by_the_deadline_of_the_class(deployment):
    assert read_request(deployment, x_time_left="400").time_left_ms == 5000.0


@pytest.mark.parametrize(
    "changes",
    [
        {"x_correlation_id": None},
        {"x_correlation_id": ""},
        {"x_correlation_id": "a b"},
        {"x_correlation_id": "a" * 300},
        {"x_service_class": None},
        {"x_service_class": "posting"},
        {"x_service_class": "odd"},
        {"x_time_left": None},
        {"x_time_left": "soon"},
        {"x_time_left": "nan"},
        {"x_time_left": "-1"},
        {"x_time_left": "inf"},
        {"x_time_left": "1_0"},
        {"x_facts": "slots=wide"},
        {"x_time_left": "1e9"},
        {"x_facts": "slots"},
        {"x_facts": "slots=2,slots=3"},
        {"idempotency_key": ""},
        {"idempotency_key": "a\x01"},
        {"idempotency_key": "\xe9"},
    ],
)
def test_an_invalid_header_is_answered_400(deployment, changes):
    with pytest.raises(MalformedMessageError) as raised:
        read_request(deployment, **changes)
    assert raised.value.status == 400


def test_a_keyed_request_needs_its_idempotency_key(deployment):
    keyed = replace(deployment.settings.request_classes[0], idempotency=Idempotency.KEYED)
    deployment = replace(deployment, settings=replace(deployment.settings, request_classes=(keyed,)))
    with pytest.raises(MalformedMessageError, match="Idempotency-Key is missing"):
        read_request(deployment)
    assert read_request(deployment, idempotency_key="k").idempotency_key == "k"


@pytest.mark.parametrize(
    ("method", "target", "status"),
    [
        ("GET", "/statement", 405),
        ("POST", "/-/ready", 405),
        ("GET", "/", 404),
        ("POST", "/odd/statement", 404),
    ],
)
def test_an_unknown_path_or_method_has_its_status(deployment, method, target, status):
    with pytest.raises(MalformedMessageError) as raised:
        protocol.check_route(method, target, deployment.types)
    assert raised.value.status == status


def test_the_retry_after_header_is_present_only_with_a_delay():
    assert protocol.retry_after_headers(0.0) == []
    assert protocol.retry_after_headers(250.0) == [("Retry-After", "0.250")]


def test_an_attempt_carries_the_clients_headers(deployment):
    request = read_request(deployment, "/statement?user=7", b"abc", idempotency_key="k")
    headers = dict(protocol.attempt_headers(request, "h:1", 1234.5))
    assert (headers["X-Correlation-Id"], headers["Idempotency-Key"]) == ("9b", "k")
    assert (headers["X-Time-Left"], headers["Content-Length"]) == ("1.234", "3")


@pytest.mark.parametrize(
    ("state", "outcome"),
    [
        ("done", Outcome.COMPLETED),
        ("failed", Outcome.ERROR),
        ("returned", Outcome.AT_CAPACITY),
        ("lost", Outcome.BROKEN),
    ],
)
def test_a_last_line_has_the_outcome_of_its_state(state, outcome):
    assert parse_line(state=state).outcome is outcome


@pytest.mark.parametrize(
    ("status", "headers", "outcome"),
    [
        (503, {"x_unprocessed": "1"}, Outcome.AT_CAPACITY),
        (504, {"x_unprocessed": "1"}, Outcome.AT_CAPACITY),
        (500, {"x_unprocessed": "1"}, Outcome.ERROR),
        (503, {}, Outcome.ERROR),
        (500, {}, Outcome.ERROR),
    ],
)
def test_only_a_refusal_marked_unprocessed_counts_as_never_run(status, headers, outcome):
    assert protocol.outcome_of_refusal(status, make_head(**headers)) is outcome


def test_starts_and_progress_are_decoded():
    assert parse_line(state="started").has_started
    assert parse_line(state="running", share=0.4).progress == 0.4


@pytest.mark.parametrize(
    "changes",
    [
        {"id": "other"},
        {"from": "e2"},
        {"state": "odd"},
        {"state": []},
        {"result": None},
        {"state": "running", "share": "x"},
        {"result": "\ud800"},
    ],
)
def test_a_line_with_an_invalid_value_is_malformed(changes):
    with pytest.raises(MalformedMessageError, match="."):
        parse_line(**changes)


@pytest.mark.parametrize("raw", [b"{", b"[]", b"\xff", b"[" * 100000])
def test_a_line_that_is_no_object_is_malformed(raw):
    with pytest.raises(MalformedMessageError, match="."):
        protocol.parse_line(raw, "9b", "e1", REPORT_NAMES)


@pytest.mark.parametrize("first_read_bytes", range(9))
def test_lines_are_whole_wherever_reads_end(first_read_bytes):
    lines, text = Lines(), b"ab\ncd\n\nef"
    assert lines.feed(text[:first_read_bytes]) + lines.feed(text[first_read_bytes:]) == [b"ab", b"cd"]


def test_a_line_without_end_is_malformed():
    lines = Lines()
    with pytest.raises(MalformedMessageError, match="too long"):
        lines.feed(b"x" * (protocol.MAX_LINE_BYTES + 1))


@pytest.mark.parametrize(
    "value", ["TEXT backlog=2, x0=0.5, odd=1, broken", {"backlog": 2, "x0": 0.5, "odd": [], "held": "x"}]
)
def test_a_report_is_decoded_from_text_and_from_an_object(value):
    assert protocol.report_from(value, REPORT_NAMES) == LoadReport(queued=2.0, free_slots=0.5)


def test_an_invalid_value_in_a_report_is_ignored():
    assert protocol.report_from({"backlog": "nan", "x0": None}, REPORT_NAMES) == LoadReport()


@pytest.mark.parametrize("body", [b"TEXT backlog=2", b'{"backlog":2}'])
def test_the_report_in_the_body_of_a_health_checks_answer_is_decoded(body):
    assert protocol.report_from_answer(body, make_head(), REPORT_NAMES) == LoadReport(queued=2.0)


@pytest.mark.parametrize(("body", "report"), [(b"", None), (b"{", None)])
def test_a_health_checks_answer_without_a_valid_report_has_none(body, report):
    assert protocol.report_from_answer(body, make_head(), REPORT_NAMES) is report


ENTRY = {
    "host": "e1",
    "dial": "127.0.0.1:9",
    "site": "there",
    "class": "plain",
    "block": 3,
    "health": "active",
    "born_ms": 5000,
}


def make_answer(*entries, **changes):
    """Return an answer of discovery with these entries and some values changed."""
    return {"seq": 4, "whole": True, "hosts": list(entries)} | changes


def test_an_entry_is_decoded(deployment):
    answer = list_codec.list_answer_from(make_answer(ENTRY), deployment)
    assert answer.entries == [("e1", EndpointState.READY, 0, 1, 3, 5000.0, None)]
    assert answer.addresses == {"e1": ("127.0.0.1", 9)}


def test_an_entry_of_a_server_that_left_needs_no_address(deployment):
    answer = list_codec.list_answer_from(
        make_answer({"host": "e1", "health": "left"}, whole=False), deployment
    )
    assert answer.kind is ListUpdateKind.DELTA
    assert answer.entries[0].state is EndpointState.GONE
    assert answer.addresses == {}


@pytest.mark.parametrize(
    "change",
    [
        {"host": ""},
        {"host": 7},
        {"health": "odd"},
        {"health": []},
        {"dial": "name"},
        {"dial": ":1"},
        {"dial": None},
        {"born_ms": "x"},
    ],
)
def test_an_invalid_entry_is_left_out(deployment, change):
    answer = list_codec.list_answer_from(make_answer(ENTRY | {"host": "e0"}, ENTRY | change), deployment)
    assert [entry.server for entry in answer.entries] == ["e0"]
    assert len(answer.invalid) == 1


@pytest.mark.parametrize("value", [None, [], {}, make_answer(seq="x"), make_answer(hosts={})])
def test_an_answer_without_a_list_is_malformed(deployment, value):
    with pytest.raises(MalformedMessageError, match="."):
        list_codec.list_answer_from(value, deployment)
