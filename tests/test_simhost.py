"""The simulator's adapter: lines of the wire become events, and effects become actions on the wire."""

import pytest
from settings_samples import OPTIONS

from marlseam.simhost import wire
from marlseam.simhost.instance import Instance

ENTRY = "m 0 here 1 plain - 1 10.0.0.1:80"


@pytest.fixture
def instance():
    """Return an instance with one server that has just reported."""
    instance = Instance("node_3", 7, OPTIONS, 1000.0, [])
    handle_line(instance, "directory_update node_3 1 1 1", ENTRY)
    handle_line(instance, "sampled node_3 900 10.0.0.1:80 success backlog:0,x0:4")
    return instance


def handle_line(instance, line, *entries):
    """Process one line with its list entries, and return the actions."""
    instance.out.clear()
    name, values = wire.parse(line)
    instance.handle_event(name, values, [wire.parse(entry)[1] for entry in entries])
    return list(instance.out)


def handle_arrival(instance, class_name="statement"):
    """Process the arrival of a request, and return the actions."""
    return handle_line(instance, f"arrival node_3 c:1 {class_name} - - 6000000 - 1 - 0 0 0")


def test_a_new_instance_watches_the_endpoint_list():
    assert "watch node_3 1" in Instance("node_3", 7, OPTIONS, 1000.0, []).out


def test_an_arrival_is_forwarded_with_the_time_left(instance):
    assert handle_arrival(instance)[-1] == "forward node_3 c:1 10.0.0.1:80 5000000"


def test_a_successful_attempt_causes_no_action(instance):
    handle_arrival(instance)
    assert handle_line(instance, "settled node_3 c:1 0 10.0.0.1:80 success 9000 1 - -") == []


def test_an_unsafe_request_that_may_have_run_is_finished_with_an_error(instance):
    handle_arrival(instance, "posting")
    assert handle_line(instance, "settled node_3 c:1 0 10.0.0.1:80 broken 9000 - - -") == [
        "finish_error node_3 c:1"
    ]


def test_a_client_that_disconnects_has_its_attempt_stopped(instance):
    handle_arrival(instance)
    assert handle_line(instance, "left node_3 c:1") == ["stop_attempt node_3 c:1 0"]


@pytest.mark.parametrize(
    ("line", "started_ms", "progress"),
    [
        ("change node_3 c:1 0 10.0.0.1:80 1 0", 1000.0, 0.0),
        ("change node_3 c:1 0 10.0.0.1:80 2 0.4", None, 0.4),
    ],
)
def test_the_start_and_progress_of_an_attempt_are_recorded(instance, line, started_ms, progress):
    handle_arrival(instance)
    handle_line(instance, line)
    (attempt,) = instance.reducer.open_requests["c:1"].attempts
    assert (attempt.started_ms, attempt.progress) == (started_ms, progress)


@pytest.mark.parametrize(
    "line",
    ["arrival node_3 c:1 odd - - 6000000", "due node_3 odd", "settled node_3 c:1 0 e odd 1 1", "odd x"],
)
def test_a_line_that_the_wire_does_not_allow_is_malformed(instance, line):
    with pytest.raises(wire.MalformedLineError, match="."):
        handle_line(instance, line)


def test_batches_are_read_with_their_clock():
    lines = iter(["begin_batch 8412250\n", "due node_3 1\n", "eof_batch\n", "\n"])
    assert list(wire.batches(lines)) == [(8412.25, ["due node_3 1"])]


def test_another_nodes_message_reaches_the_reducer(instance):
    handle_line(instance, "mail node_3 1 AAAAAQ==")
    assert instance.reducer.dispatcher.peer_slots == {1: {0: 1}}


def test_a_message_that_is_not_base64_is_malformed(instance):
    with pytest.raises(wire.MalformedLineError, match="msg"):
        handle_line(instance, "mail node_3 1 a*b")


def test_an_entrys_weight_and_an_arrivals_key_are_read(instance):
    _, entry_values = wire.parse("m 0 here 1.5 plain - 1 10.0.0.1:80")
    assert instance.entry(entry_values).weight == 1.5
    _, request_values = wire.parse("arrival node_3 c:1 statement - fn:k 6000000")
    assert instance.request(request_values).resource_key == "fn:k"
