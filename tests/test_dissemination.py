"""Dissemination: the order in which changes are sent, and how often."""

import pytest

from marlseam.cluster.dissemination import GossipQueue


@pytest.fixture
def queue():
    """Return the queue of a member in a group with two others, which sends each change eight times."""
    queue = GossipQueue()
    queue.resize(2)
    return queue


def test_a_change_is_sent_a_number_of_times_that_grows_with_the_logarithm_of_the_group(queue):
    queue.publish("b")
    batches = [queue.next_batch(10) for _ in range(10)]
    assert batches == [["b"]] * 8 + [[]] * 2
    queue.resize(1022)
    assert queue.max_sends == 40


def test_changes_that_were_sent_least_often_are_sent_first(queue):
    queue.publish("b")
    queue.next_batch(1)
    queue.publish("c")
    assert [queue.next_batch(1) for _ in range(3)] == [["c"], ["b"], ["c"]]


def test_a_new_change_of_a_queued_member_is_sent_first_and_queued_once(queue):
    queue.publish("b")
    queue.next_batch(1)
    queue.publish("c")
    queue.publish("b")
    assert list(queue.order) == ["b", "c"]
    assert queue.send_counts == {"b": 0, "c": 0}


def test_a_member_that_was_found_alive_is_sent_once_and_last(queue):
    queue.publish_once("b")
    queue.publish("c")
    assert queue.next_batch(10) == ["c", "b"]
    assert queue.next_batch(10) == ["c"]


def test_a_member_that_was_removed_is_not_sent(queue):
    queue.publish("b")
    queue.publish("c")
    queue.discard("b")
    queue.discard("never queued")
    assert queue.next_batch(10) == ["c"]
