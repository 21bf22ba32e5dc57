"""Calls to a node's control address."""

import http.client
import json
from contextlib import closing
from typing import Any, NamedTuple

import click

TIMEOUT_S = 3.0


class ControlAnswer(NamedTuple):
    """What a node answered: HTTP status and body."""

    status: int
    body: bytes


def call(address: str, method: str, path: str, body: bytes = b"") -> ControlAnswer:
    """Return what a node answers at its control address; raise ClickException where it cannot be reached."""
    host, _, port = address.rpartition(":")
    try:
        connection = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=TIMEOUT_S)
        with closing(connection):
            connection.request(method, path, body)
            answer = connection.getresponse()
            return ControlAnswer(answer.status, answer.read())
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise click.ClickException(f"{address}: {error}") from None


def fleet_status(address: str) -> dict[str, Any]:
    """Return what a node says of its cluster; raise ClickException where it is in none."""
    status, body = call(address, "GET", "/control/fleet")
    if status != 200:
        raise click.ClickException(f"{address}: {status}, a node with a door and a fleet was expected")
    found: dict[str, Any] = json.loads(body)
    return found
