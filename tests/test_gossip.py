"""Gossip between nodes about the slots that their requests take."""

import pytest
from dispatchers import update_weights

FIRST_SERVER = (100).to_bytes(3, "big")  # the gossip id of the first server, as on the wire


def test_a_node_publishes_its_slots(make_dispatcher, make_request):
    dispatcher = make_dispatcher(0.0, 0.0, may_gossip=True, subscribes_to_endpoints=False)
    update_weights(dispatcher, None, None)
    dispatcher.port.publish = lambda message: dispatcher.port.operations.append(("publish", message))
    make_request(dispatcher).send(1)
    dispatcher.publish_gossip()
    assert dispatcher.port.operations_named("publish") == [("publish", (101).to_bytes(3, "big") + b"\x01")]


@pytest.mark.parametrize(
    ("messages", "count"),
    [
        ([FIRST_SERVER + b"\x03", FIRST_SERVER + b"\x02"], 2.0),  # the last count replaces the first
        ([FIRST_SERVER + b"\x03", FIRST_SERVER], 3.0),  # a truncated entry
        ([b"\xff\xff\xff\x05\x01"], 0.0),  # an entry of a server that is not listed
    ],
)
def test_slots_published_by_a_peer_count_until_the_peer_is_silent_too_long(make_dispatcher, messages, count):
    dispatcher = make_dispatcher(0.0, may_gossip=True)
    update_weights(dispatcher, None)
    for message in messages:
        dispatcher.merge_gossip(4, dispatcher.port.now(), message)
    assert dispatcher.count(0) == count
    dispatcher.port.clock += 2.0 * dispatcher.peer_silence_limit_ms
    update_weights(dispatcher, None)
    assert dispatcher.count(0) == 0.0
    assert not dispatcher.peer_slots


def test_gossip_about_a_forgotten_server_is_ignored(make_dispatcher):
    dispatcher = make_dispatcher(0.0, may_gossip=True)
    update_weights(dispatcher, None)
    dispatcher.reset(0)
    dispatcher.merge_gossip(4, 0.0, FIRST_SERVER + b"\x03")
    assert dispatcher.others_slots[0] is None
