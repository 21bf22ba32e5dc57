"""A correlation id that comes again: an unsafe request that may have run is not sent a second time under it.

See docs/incidents/2026-12-05-id-again-after-leaving.md.
"""

import pytest
from loopback_servers import (
    NEVER_RAN_RESPONSE,
    NO_PROBES,
    NO_PROBES_NO_CANCEL,
    SAFE_REQUEST,
    UNSAFE_REQUEST,
    response_of_states,
    run_until,
)


@pytest.mark.parametrize("ceilings", [NO_PROBES, NO_PROBES_NO_CANCEL])
def test_an_unsafe_request_is_not_sent_again_under_its_id_after_its_client_has_left(
    node, client, reply, list_test_servers, ceilings
):
    # Guards against an unsafe request that runs twice where its client leaves and its id comes again.
    (server,) = list_test_servers("e1", ceilings=ceilings)
    first = client(UNSAFE_REQUEST)
    run_until(node, lambda: b"abc" in server.read())
    first.close()
    run_until(node, lambda: not node.requests.pending)
    assert reply(client(UNSAFE_REQUEST)).startswith(b"HTTP/1.1 500 ")
    assert b"abc" not in server.read()


def test_an_unsafe_request_is_not_sent_again_under_its_id_after_its_answer(
    node, client, reply, list_test_servers
):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    first = client(UNSAFE_REQUEST)
    run_until(node, lambda: b"abc" in server.read())
    server.held[0].sendall(response_of_states(b"started", b"done"))
    assert reply(first).startswith(b"HTTP/1.1 200 ")
    assert reply(client(UNSAFE_REQUEST)).startswith(b"HTTP/1.1 500 ")
    assert b"abc" not in server.read()


def test_an_unsafe_request_that_never_ran_may_come_again_under_its_id(node, client, reply, list_test_servers):
    servers = list_test_servers("e1", "e2", ceilings=NO_PROBES | {"sendCap": 1})
    first = client(UNSAFE_REQUEST)
    run_until(node, lambda: any(b"abc" in server.read() for server in servers))
    (refusing,) = [server for server in servers if server.held]
    refusing.held[0].sendall(NEVER_RAN_RESPONSE)
    assert reply(first).startswith(b"HTTP/1.1 503 ")
    client(UNSAFE_REQUEST)
    run_until(node, lambda: any(b"abc" in server.read() for server in servers))


def test_a_safe_request_may_come_again_under_its_id(node, client, list_test_servers):
    (server,) = list_test_servers("e1", ceilings=NO_PROBES)
    first = client(SAFE_REQUEST)
    run_until(node, lambda: b"abc" in server.read())
    first.close()
    run_until(node, lambda: not node.requests.pending)
    client(SAFE_REQUEST)
    run_until(node, lambda: b"abc" in server.read())
