"""Reload of a node's configuration file."""

import copy
import json
from pathlib import Path

import pytest
from http_samples import REQUEST, endpoint_list, logged_codes
from settings_samples import OPTIONS

from marlseam.decisions.types import ListUpdateKind


@pytest.fixture
def rewrite(node):
    """Return a function that changes entries of the node's configuration file and lets the node reload it."""

    def change(**entries):
        path = Path(node.config.path)
        path.write_text(json.dumps(json.loads(path.read_text()) | entries))
        node.reload()

    return change


def test_a_new_address_of_discovery_ends_the_watch_and_keeps_the_list(
    node, follow_discovery, rewrite, capsys
):
    events = follow_discovery(endpoint_list(5, "e1"), silent=True)
    watch = node.discovery.task
    rewrite(discovery="127.0.0.1:2")
    assert watch.done
    assert events[-1].update_kind is ListUpdateKind.FAILED
    assert logged_codes(capsys) == ["forgotten"]
    assert list(node.discovery.entries) == ["e1"]
    assert node.discovery.config.discovery == ("127.0.0.1", 2)


def test_versions_of_another_discovery_are_not_compared(node, follow_discovery, rewrite):
    follow_discovery(endpoint_list(500, "e1"), silent=True)
    rewrite(discovery="127.0.0.1:2")
    events = follow_discovery(endpoint_list(3, "e2"), endpoint_list(4, "e3", whole=False))
    while len(events) < 3:
        node.loop.turn()
    assert list(node.discovery.entries) == ["e2", "e3"]


def test_the_watch_of_discovery_goes_on_after_a_reload_without_changes(node, rewrite):
    watch = node.discovery.task
    rewrite()
    assert node.discovery.task is watch
    assert not watch.done


@pytest.mark.parametrize("text", ["{", "[" * 100000, '{"listen": "127.0.0.1:0"}', None])
def test_an_invalid_or_missing_file_changes_nothing(node, capsys, text):
    path, before = Path(node.config.path), node.config
    path.unlink() if text is None else path.write_text(text)
    node.reload()
    assert node.config is before
    assert "the configuration stays as it was: " in capsys.readouterr().err


def settings_with_classes(*names, **changes):
    """Return settings with request classes of these names; the changes apply to the last one."""
    rows = [OPTIONS["requestClasses"][0] | {"name": name} for name in names]
    rows[-1] |= changes
    return OPTIONS | {"requestClasses": rows}


def without(values, *path):
    """Return a copy of nested entries without the one at a path of keys."""
    values = copy.deepcopy(values)
    *tables, last = path
    table = values
    for name in tables:
        table = table[name]
    del table[last]
    return values


@pytest.mark.parametrize(
    "settings",
    [
        settings_with_classes("new", deadlineUs=0),
        settings_with_classes("new", deadlineUs=-5),
        settings_with_classes("new", deadlineUs="soon"),
        settings_with_classes("new", deadlineUs=float("nan")),
        settings_with_classes("new", deadlineUs=10**400),
        settings_with_classes("new", deadlineUs=None),
        settings_with_classes("new", semantics="odd"),
        OPTIONS | {"ceilings": OPTIONS["ceilings"] | {"sendCap": 0}},
        OPTIONS | {"ceilings": OPTIONS["ceilings"] | {"sendCap": True}},
        without(settings_with_classes("new"), "requestClasses", 0, "deadlineUs"),
        without(settings_with_classes("old", "new"), "requestClasses", 1, "aimUs"),
        without(settings_with_classes("new"), "requestClasses", 0, "name"),
        without(OPTIONS, "requestClasses"),
        without(OPTIONS, "ceilings"),
        without(OPTIONS, "ceilings", "sendCap"),
        without(OPTIONS, "ceilings", "keepaliveUs"),
        without(OPTIONS, "familyInfo", "reportX0"),
    ],
)
def test_invalid_settings_change_nothing(node, rewrite, capsys, settings):
    before, served = node.config, node.reducer.dispatcher.request_classes
    rewrite(settings=settings, discovery="127.0.0.1:9")
    assert node.config is before
    assert node.reducer.dispatcher.request_classes == served
    assert (node.counters.reloads, node.counters.reload_errors) == (0, 1)
    (line,) = [line for line in capsys.readouterr().err.splitlines() if "stays as it was" in line]
    assert "settings." in line
    assert "expected" in line


@pytest.mark.parametrize(
    "missing_key_or_length", ["listen", "discovery", "known", "settings", "admin", *range(0, 400, 7)]
)
def test_a_truncated_file_or_one_without_a_key_changes_nothing(node, missing_key_or_length):
    path = Path(node.config.path)
    whole = path.read_text()
    if type(missing_key_or_length) is int:
        path.write_text(whole[:missing_key_or_length])
    else:
        path.write_text(json.dumps(without(json.loads(whole), missing_key_or_length)))
    node.reload()
    assert (node.counters.reloads, node.counters.reload_errors) == (0, 1)


def test_a_valid_file_after_an_invalid_one_is_applied(node, rewrite):
    rewrite(settings={})
    rewrite(settings=settings_with_classes("new"))
    rewrite(settings=settings_with_classes("new", "newer"))
    assert (node.counters.reloads, node.counters.reload_errors) == (2, 1)
    assert list(node.downstream.deployment.types) == ["new", "newer"]


def test_new_request_classes_are_served_and_removed_ones_unknown(node, rewrite, client, reply):
    rewrite(settings=settings_with_classes("new"))
    assert reply(client(REQUEST)).startswith(b"HTTP/1.1 404 ")
    client(REQUEST.replace(b"statement", b"new"))
    while not node.requests.pending:
        node.loop.turn()


def test_an_open_request_keeps_its_class_while_the_file_changes_or_drops_it(node, rewrite, client, reply):
    sock = client(REQUEST)
    while not node.requests.pending:
        node.loop.turn()
    (state,) = node.reducer.open_requests.values()
    class_before = state.request_class
    rewrite(settings=settings_with_classes("statement", semantics="unsafe", aimUs=1, deadlineUs=1000000))
    assert state.request_class is class_before
    assert node.reducer.dispatcher.request_classes[state.request.class_index] != class_before
    rewrite(settings=settings_with_classes("other"))
    node.requests.answer(next(iter(node.requests.pending)), 200, [], b"r")
    assert reply(sock).startswith(b"HTTP/1.1 200 ")
    assert node.counters.answers["statement"]["completed"] == 1


def test_all_changes_in_a_new_configuration_are_applied(node, rewrite, client, reply):
    ceilings = OPTIONS["ceilings"] | {"keepaliveUs": 2000000}
    settings = OPTIONS | {"ceilings": ceilings, "requestClasses": OPTIONS["requestClasses"][1:]}
    rewrite(settings=settings, seed="9")
    assert node.upstream.timeouts.idle_ms == 1400.0
    assert len(node.reducer.dispatcher.request_classes) == 2
    assert reply(client(REQUEST)).startswith(b"HTTP/1.1 404 ")


def test_limits_follow_a_new_configuration(node, rewrite):
    rewrite(limits={"sockets": 96, "memory_mb": 192})
    assert (node.downstream.limits.clients, node.upstream.pool.max_connections) == (24, 24)


def test_keys_that_cannot_change_are_logged_and_keep_their_values(node, rewrite, capsys):
    rewrite(listen="127.0.0.1:7", name="other", seed="9")
    logged = capsys.readouterr().err
    assert node.config.listen == ("127.0.0.1", 0)
    assert node.config.name == "node"
    assert all(f"{key}: cannot change" in logged for key in ("listen", "name", "seed"))


def test_an_older_list_in_the_file_is_ignored(node, rewrite):
    hosts = json.loads(endpoint_list(0, "e9"))["hosts"]
    rewrite(known={"seq": 0, "whole": True, "hosts": hosts})
    assert list(node.discovery.entries) == ["e1"]
    rewrite(known={"seq": 2, "whole": True, "hosts": hosts})
    assert list(node.discovery.entries) == ["e9"]


def test_a_list_in_the_file_does_not_replace_one_from_discovery(node, follow_discovery, rewrite):
    follow_discovery(endpoint_list(1, "e2"))
    rewrite(known=json.loads(endpoint_list(9, "e9")))
    assert list(node.discovery.entries) == ["e2"]


def test_a_file_short_of_a_key_that_one_class_alone_has_is_refused(node, rewrite, capsys):
    # Guards the order of a key's requests: without `oneAtATime` they would be sent at the same time.
    ordered = settings_with_classes("statement", "edit", oneAtATime=True)
    rewrite(settings=ordered)
    in_force = node.config
    rewrite(settings=settings_with_classes("statement", "edit"))
    assert node.config is in_force
    assert "requestClasses[1].oneAtATime" in capsys.readouterr().err
    rewrite(settings=settings_with_classes("statement", "other"))
    assert [each.ordered_by_key for each in node.config.deployment.settings.request_classes][-1] is False
    assert node.counters.reloads == 2
