"""The codecs: clients' requests, servers' lines and reports, discovery's lists."""

import json
from dataclasses import replace

import pytest

from marlseam.decisions.types import EndpointState, Idempotency, ListUpdateKind, LoadReport, Outcome
from marlseam.net import list_codec, protocol
from marlseam.net.errors import MalformedMessageError
from marlseam.net.protocol import Head, Lines

NAMES = {"backlog": "queued", "x0": "free_slots"}
HEADERS = {"x-correlation-id": "9b", "x-service-class": "statement", "x-time-left": "0.480"}


def head(**changes):
    found = HEADERS | {name.replace("_", "-"): value for name, value in changes.items()}
    return Head([(name.encode(), value.encode()) for name, value in found.items() if value is not None])


def line(**changes):
    row = {"id": "9b", "from": "e1", "state": "done", "result": "r"} | changes
    return protocol.parse_line(json.dumps(row).encode(), "9b", "e1", NAMES)


# Clients.


def test_a_request_is_read(deployment):
    job = protocol.client_request_from(
        "/statement?user=7", head(x_facts="slots=4,odd=1"), b"body", deployment
    )
    assert (job.id, job.class_index, job.time_left_ms, job.slots, job.body) == ("9b", 0, 480.0, 4.0, b"body")


def test_time_left_is_capped_by_the_types_hard_limit(deployment):
    assert (
        protocol.client_request_from("/statement", head(x_time_left="400"), b"", deployment).time_left_ms
        == 5000.0
    )


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
def test_a_bad_request_is_told_400(deployment, changes):
    with pytest.raises(MalformedMessageError) as raised:
        protocol.client_request_from("/statement", head(**changes), b"", deployment)
    assert raised.value.status == 400


def test_a_keyed_request_needs_its_receipt(deployment):
    receipted = replace(deployment.settings.request_classes[0], idempotency=Idempotency.KEYED)
    deployment = replace(deployment, settings=replace(deployment.settings, request_classes=(receipted,)))
    with pytest.raises(MalformedMessageError, match="Idempotency-Key is missing"):
        protocol.client_request_from("/statement", head(), b"", deployment)
    assert (
        protocol.client_request_from("/statement", head(idempotency_key="k"), b"", deployment).idempotency_key
        == "k"
    )


@pytest.mark.parametrize(
    ("method", "target", "status"),
    [
        ("GET", "/statement", 405),
        ("POST", "/-/ready", 405),
        ("GET", "/", 404),
        ("POST", "/odd/statement", 404),
    ],
)
def test_what_cannot_be_asked_for_has_its_status(deployment, method, target, status):
    with pytest.raises(MalformedMessageError) as raised:
        protocol.check_route(method, target, deployment.types)
    assert raised.value.status == status


def test_no_advice_leaves_no_header():
    assert (protocol.retry_after_headers(0.0), protocol.retry_after_headers(250.0)) == (
        [],
        [("Retry-After", "0.250")],
    )


def test_what_clients_sent_goes_on_unchanged(deployment):
    job = protocol.client_request_from("/statement?user=7", head(idempotency_key="k"), b"abc", deployment)
    headers = dict(protocol.attempt_headers(job, "h:1", 1234.5))
    assert (headers["X-Correlation-Id"], headers["Idempotency-Key"]) == ("9b", "k")
    assert (headers["X-Time-Left"], headers["Content-Length"]) == ("1.234", "3")


# Servers.


@pytest.mark.parametrize(
    ("state", "outcome"),
    [
        ("done", Outcome.COMPLETED),
        ("failed", Outcome.ERROR),
        ("returned", Outcome.AT_CAPACITY),
        ("lost", Outcome.BROKEN),
    ],
)
def test_a_last_line_tells_the_outcome(state, outcome):
    assert line(state=state).outcome is outcome


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
def test_only_an_unprocessed_refusal_never_ran(status, headers, outcome):
    assert protocol.outcome_of_refusal(status, head(**headers)) is outcome


def test_starts_and_progress_are_read():
    assert line(state="started").has_started
    assert line(state="running", share=0.4).progress == 0.4


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
def test_an_odd_line_is_malformed(changes):
    with pytest.raises(MalformedMessageError, match="."):
        line(**changes)


@pytest.mark.parametrize("raw", [b"{", b"[]", b"\xff", b"[" * 100000])
def test_a_broken_line_is_malformed(raw):
    with pytest.raises(MalformedMessageError, match="."):
        protocol.parse_line(raw, "9b", "e1", NAMES)


@pytest.mark.parametrize("at", range(9))
def test_lines_are_whole_wherever_they_are_cut(at):
    lines, text = Lines(), b"ab\ncd\n\nef"
    assert lines.feed(text[:at]) + lines.feed(text[at:]) == [b"ab", b"cd"]


def test_a_line_without_end_is_malformed():
    lines = Lines()
    with pytest.raises(MalformedMessageError, match="too long"):
        lines.feed(b"x" * (protocol.MAX_LINE_BYTES + 1))


@pytest.mark.parametrize(
    "value", ["TEXT backlog=2, x0=0.5, odd=1, broken", {"backlog": 2, "x0": 0.5, "odd": [], "held": "x"}]
)
def test_a_report_is_read_as_text_and_as_object(value):
    assert protocol.report_from(value, NAMES) == LoadReport(queued=2.0, free_slots=0.5)


def test_an_odd_figure_in_a_report_is_passed_by():
    assert protocol.report_from({"backlog": "nan", "x0": None}, NAMES) == LoadReport()


@pytest.mark.parametrize("body", [b"TEXT backlog=2", b'{"backlog":2}'])
def test_a_probes_report_is_its_body(body):
    assert protocol.report_from_answer(body, head(), NAMES) == LoadReport(queued=2.0)


@pytest.mark.parametrize(("body", "found"), [(b"", None), (b"{", None)])
def test_a_probe_without_a_report_has_none(body, found):
    assert protocol.report_from_answer(body, head(), NAMES) is found


# Discovery.

HOST = {
    "host": "e1",
    "dial": "127.0.0.1:9",
    "site": "there",
    "class": "plain",
    "block": 3,
    "health": "active",
    "born_ms": 5000,
}


def news(*hosts, **changes):
    return {"seq": 4, "whole": True, "hosts": list(hosts)} | changes


def test_an_entry_is_read(deployment):
    found = list_codec.list_answer_from(news(HOST), deployment)
    assert found.entries == [("e1", EndpointState.READY, 0, 1, 3, 5000.0, None)]
    assert found.addresses == {"e1": ("127.0.0.1", 9)}


def test_one_that_has_left_needs_no_address(deployment):
    found = list_codec.list_answer_from(news({"host": "e1", "health": "left"}, whole=False), deployment)
    assert (found.kind, found.entries[0].state, found.addresses) == (
        ListUpdateKind.DELTA,
        EndpointState.GONE,
        {},
    )


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
def test_an_odd_entry_is_left_out(deployment, change):
    found = list_codec.list_answer_from(news(HOST | {"host": "e0"}, HOST | change), deployment)
    assert [entry.server for entry in found.entries] == ["e0"]
    assert len(found.invalid) == 1


@pytest.mark.parametrize("value", [None, [], {}, news(seq="x"), news(hosts={})])
def test_an_answer_without_a_list_is_malformed(deployment, value):
    with pytest.raises(MalformedMessageError, match="."):
        list_codec.list_answer_from(value, deployment)
