"""The discovery client: lists, changes, invalid answers and the wait of a watch."""

from dataclasses import replace

import pytest
from http_samples import endpoint_list, logged_codes

from marlseam import core
from marlseam.decisions.types import ListUpdateKind
from marlseam.net.errors import MalformedMessageError


def test_a_full_list_is_followed_by_its_changes(node, follow_discovery):
    events = follow_discovery(endpoint_list(5, "e1"), endpoint_list(6, "e2", whole=False))
    while len(events) < 3:
        node.loop.turn()
    assert [event.update_kind for event in events] == [
        ListUpdateKind.FULL,
        ListUpdateKind.DELTA,
        ListUpdateKind.FAILED,
    ]


def test_a_change_of_an_older_version_leads_to_the_full_list(follow_discovery):
    events = follow_discovery(
        endpoint_list(5, "e1"), endpoint_list(3, "e2", whole=False), endpoint_list(3, "e2")
    )
    assert [event.entries[0].server for event in events[:2]] == ["e1", "e2"]


@pytest.mark.parametrize("answer", [b"nonsense", b"[]", b'{"seq":9,"hosts":7}'])
def test_an_invalid_answer_is_posted_as_failed_and_keeps_the_last_valid_list(node, follow_discovery, answer):
    events = follow_discovery(endpoint_list(5, "e1"), answer)
    assert events[-1].update_kind is ListUpdateKind.FAILED
    assert list(node.discovery.entries) == ["e1"]


def test_an_invalid_entry_keeps_the_last_valid_entry(node, follow_discovery):
    follow_discovery(endpoint_list(5, "e1", "e2"), endpoint_list(6, "e1", dial="odd"))
    assert list(node.discovery.entries) == ["e1"]


def test_unreachable_discovery_is_posted_as_failed(node):
    events = []
    node.discovery.post = events.append
    while not events:
        node.loop.turn()
    assert events == [core.EndpointListUpdate(ListUpdateKind.FAILED, [])]


def test_a_configured_list_that_is_invalid_is_rejected(node):
    with pytest.raises(MalformedMessageError, match="list"):
        node.discovery.apply_list({}, cached=True)


def test_a_watch_that_is_answered_at_once_is_not_called_again_at_once(follow_discovery, capsys):
    empty = endpoint_list(5, whole=False)
    assert len(follow_discovery(endpoint_list(5, "e1"), *[empty] * 20)) == 2
    assert not logged_codes(capsys)


@pytest.mark.parametrize(("node_count", "wait_ms"), [(1, 3000.0), (4, 4000.0), (300, 5000.0)])
def test_the_duration_of_a_watch_follows_the_node_count(node, node_count, wait_ms):
    settings = replace(node.config.deployment.settings, node_count=node_count)
    node.discovery.set_config(
        replace(node.config, deployment=replace(node.config.deployment, settings=settings))
    )
    assert node.discovery.wait_ms == wait_ms


def test_an_error_of_discovery_is_logged(follow_discovery, capsys):
    events = follow_discovery(b"", status=503)
    assert [event.update_kind for event in events] == [ListUpdateKind.FAILED]
    assert logged_codes(capsys) == ["declined"]
