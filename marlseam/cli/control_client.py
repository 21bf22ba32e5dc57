"""HTTP calls to a node's admin address."""

import http.client
import json
from contextlib import closing
from typing import Any, NamedTuple

import click

TIMEOUT_S = 3.0


class ControlAnswer(NamedTuple):
    """A node's HTTP status and response body."""

    status: int
    body: bytes


def call(address: str, method: str, path: str, body: bytes = b"") -> ControlAnswer:
    """Send a request to a node's admin address and return the answer.

    Raises ClickException on a socket error, a wait over TIMEOUT_S, or a response that is not valid HTTP.
    """
    host, _, port = address.rpartition(":")
    try:
        connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=TIMEOUT_S)
        with closing(connection):
            connection.request(method, path, body)
            answer = connection.getresponse()
            return ControlAnswer(answer.status, answer.read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise click.ClickException(f"{address}: the request to the admin address failed: {error}") from None


def fleet_status(address: str) -> dict[str, Any]:
    """Return a node's status of its cluster; raise ClickException where its response is not 200."""
    status, body = call(address, "GET", "/control/fleet")
    if status != 200:
        raise click.ClickException(
            f"{address}: HTTP status {status}, expected 200 from the admin address of a node in a fleet"
        )
    found: dict[str, Any] = json.loads(body)
    return found
