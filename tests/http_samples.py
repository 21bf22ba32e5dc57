"""Requests, attempts and endpoint lists shared by tests of a node's connections."""

import json

import pytest

from marlseam import core
from marlseam.decisions.types import Outcome
from marlseam.net.protocol import ClientRequest
from marlseam.net.upstream import AttemptOrder, Upstream

CLIENT_REQUEST = ClientRequest("9b", "/statement", "k", b"abc", 0, "statement", 5000.0, 1.0)
REQUEST = (
    b"POST /statement HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: 9b\r\nX-Service-Class: statement\r\n"
    b"X-Time-Left: 0.5\r\nContent-Length: 3\r\n\r\nabc"
)
CHUNKED_REQUEST = REQUEST.replace(b"Content-Length: 3", b"Transfer-Encoding: chunked").replace(
    b"abc", b"3\r\nabc\r\n0\r\n\r\n"
)


def send_attempt(upstream: Upstream, timeout_ms: float = 1000.0) -> list[Outcome]:
    """Send one attempt to server e1 and return the outcomes of all attempts that have ended so far."""
    now = upstream.loop.now()
    upstream.attempts.send(AttemptOrder("1", 0, "e1", CLIENT_REQUEST, now + timeout_ms, now + 1000.0))
    return attempt_outcomes(upstream)


def attempt_outcomes(upstream: Upstream) -> list[Outcome]:
    """Return the outcomes of all attempts that have ended, in their order."""
    return [event.outcome for event in upstream.events if type(event) is core.AttemptEnded]


def logged_codes(capsys: pytest.CaptureFixture[str]) -> list[str]:
    """Return the reason codes of the lines that were logged since the last call."""
    return [word[5:] for word in capsys.readouterr().err.split() if word.startswith("code=")]


def endpoint_list(version: int, *servers: str, whole: bool = True, **changes: object) -> bytes:
    """Return discovery's answer with an entry for each server; `changes` apply to each entry."""
    entry = {"dial": "127.0.0.1:9", "health": "active", "site": "here", "class": "plain", "block": 0}
    entries = [entry | {"host": server} | changes for server in servers]
    return json.dumps({"seq": version, "whole": whole, "hosts": entries}).encode()
