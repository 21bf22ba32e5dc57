"""Calls to a node's operators' door."""

import http.client
import json

import click


def call(address: str, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    """Return what a node answers at its operators' door."""
    host, _, port = address.rpartition(":")
    try:
        door = http.client.HTTPConnection(host.strip("[]"), int(port), timeout=3.0)
        door.request(method, path, body)
        answer = door.getresponse()
        return answer.status, answer.read()
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise click.ClickException(f"{address}: {error}") from None


def ask(address: str) -> dict:
    """Return what a node says of its fleet."""
    status, body = call(address, "GET", "/control/fleet")
    if status != 200:
        raise click.ClickException(f"{address}: {status}, a node with a door and a fleet was expected")
    return json.loads(body)
