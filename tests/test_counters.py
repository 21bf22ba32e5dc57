"""A node's counters, as operators read them by a call."""

import json
from functools import partial
from pathlib import Path

import pytest
from http_samples import CHUNKED_REQUEST, CLIENT_REQUEST, REQUEST
from operator_calls import send_request
from settings_samples import OPTIONS

from marlseam.counters import Counters
from marlseam.decisions.types import Endpoint, EndpointState
from marlseam.net.invariants import Invariant
from marlseam.net.upstream import AttemptOrder


@pytest.fixture
def read_counters(call_operator):
    """Return a function that reads the counters by an operator's call, as numbers by name."""

    def fetch():
        answer = call_operator("GET", "/control/counters")
        assert answer.status == 200
        pairs = (line.split("=") for line in answer.body.splitlines())
        return {name: int(value) for name, value in pairs}

    return fetch


def test_all_counters_exist_from_the_start(read_counters):
    assert read_counters() == {
        f"downstream_requests.{class_name}.{answer}": 0
        for class_name in ("statement", "posting")
        for answer in ("completed", "rejected", "failed")
    } | {
        "upstream_requests": 0,
        "pending": 0,
        "members": 1,
        "members_unavailable": 0,
        "config_reloads": 0,
        "config_reload_errors": 0,
        "requests_given_up_on_faults": 0,
    } | {f"invariant_violations_total.{invariant.value}": 0 for invariant in Invariant}


def take_without_answer(node, pending):
    """Accept a request without an attempt, so that the test answers it; return its id."""
    node.requests.last_request_id += 1
    request_id = str(node.requests.last_request_id)
    node.requests.pending[request_id] = pending
    return request_id


def write_class(node, name):
    """Rewrite the node's configuration file with one request class, of the given name."""
    path = Path(node.config.path)
    values = json.loads(path.read_text())
    request_class = values["settings"]["requestClasses"][0] | {"name": name}
    path.write_text(json.dumps(values | {"settings": OPTIONS | {"requestClasses": [request_class]}}))


def test_counters_equal_the_answers_of_clients_and_the_requests_of_servers(
    node, start_server, client, reply, read_counters, call_operator
):
    methods, seen = start_server(), {"completed": 0, "rejected": 0, "failed": 0}

    def count_answer(sock):
        status = int(reply(sock).split()[1])
        seen[{200: "completed", 503: "rejected"}.get(status, "failed")] += 1

    def answer_request(request, status, body=b""):
        sock, request_id = send_request(node, client, request)
        node.requests.answer(request_id, status, [], body)
        count_answer(sock)

    for _ in range(3):
        count_answer(client(REQUEST))
    node.downstream.take_request = partial(take_without_answer, node)  # the test answers from here on
    for i, status in enumerate((503, 500, 400, 503)):
        answer_request(REQUEST.replace(b"9b", b"w%d" % i), status)
    disconnected, _ = send_request(node, client, CHUNKED_REQUEST)
    disconnected.close()
    while node.requests.pending:
        node.loop.turn()
    invalid = client(b"POST /statement HTTP/1.1\r\nHost: h\r\nX-Time-Left: x\r\n\r\n")
    assert reply(invalid).split()[1] == b"400"
    valid_file = Path(node.config.path).read_text()
    Path(node.config.path).write_text("{")
    node.reload()
    Path(node.config.path).write_text(valid_file)
    write_class(node, "extra")
    node.reload()
    call_operator("POST", "/control/out-of-service")
    answer_request(REQUEST.replace(b"9b", b"wd").replace(b"statement", b"extra"), 200, b"r")
    counters = read_counters()
    answers = {answer: counters[f"downstream_requests.statement.{answer}"] for answer in seen}
    answers["completed"] += counters["downstream_requests.extra.completed"]
    assert answers == seen
    assert seen == {"completed": 4, "rejected": 2, "failed": 2}
    assert counters["upstream_requests"] == methods.count(b"POST") == 3
    assert (counters["pending"], counters["config_reloads"], counters["config_reload_errors"]) == (0, 1, 1)


def test_an_attempt_counts_once_its_last_byte_is_written(make_upstream):
    upstream = make_upstream(silent=True)
    now = upstream.loop.now()
    upstream.attempts.send(AttemptOrder("1", 0, "e1", CLIENT_REQUEST, now + 1000.0, now + 1000.0))
    assert upstream.attempts.counters.attempts == 1
    unwritten = make_upstream(takes=10)
    unwritten.attempts.send(AttemptOrder("1", 0, "e1", CLIENT_REQUEST, now + 1000.0, now + 1000.0))
    assert unwritten.attempts.counters.attempts == 0


def test_a_removed_request_class_keeps_its_counts():
    counters = Counters()
    counters.declare_classes(["a", "b"])
    counters.count_answer("a", 200)
    counters.declare_classes(["b"])
    assert "downstream_requests.a.completed=1\n" in counters.text()


def test_draining_and_ejected_servers_count_as_unavailable(node, read_counters):
    dispatcher = node.reducer.dispatcher
    dispatcher.set_endpoint(Endpoint(0, EndpointState.DRAINING, 0, 0, 0, None))
    assert read_counters()["members_unavailable"] == 1
    dispatcher.set_endpoint(Endpoint(0, EndpointState.READY, 0, 0, 0, None))
    dispatcher.eject(0, "outcomes")
    assert read_counters()["members_unavailable"] == 1
    dispatcher.readmit(0)
    assert read_counters()["members_unavailable"] == 0


def test_reading_the_counters_does_not_change_the_budget_of_a_server_in_slow_start(node, read_counters):
    dispatcher = node.reducer.dispatcher
    dispatcher.process_started_ms[0], dispatcher.slow_start_tokens[0] = node.loop.now(), -1.0
    before = dispatcher.slow_start_tokens[0], dispatcher.slow_start_refilled_ms[0]
    assert read_counters()["members_unavailable"] == 0
    assert (dispatcher.slow_start_tokens[0], dispatcher.slow_start_refilled_ms[0]) == before


def test_the_counters_keep_their_names_and_order(node):
    names = (Path(__file__).parent / "data" / "figures.txt").read_text().splitlines()
    assert [row.split("=")[0] for row in node.figures().splitlines()] == names
