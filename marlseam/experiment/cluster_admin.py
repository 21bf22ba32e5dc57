"""HTTP calls to a node's admin address."""

import http.client
import json
from typing import Any

PUBLISH_PATH = "/control/fleet/publish"
STATUS_PATH = "/control/fleet"
POST_TIMEOUT_S = 2.0
STATUS_TIMEOUT_S = 1.0


def publish(address: str, body: dict[str, Any]) -> str:
    """Ask the node at `address` (`HOST:PORT`) to publish the configuration change in `body`.

    Returns the text of the node's response, or a text that names the error where the call fails.
    """
    host, _, port = address.rpartition(":")
    try:
        connection = http.client.HTTPConnection(host, int(port), timeout=POST_TIMEOUT_S)
        connection.request("POST", PUBLISH_PATH, json.dumps(body).encode())
        return connection.getresponse().read().decode()
    except (OSError, http.client.HTTPException) as error:
        return f"no answer: {error}"


def cluster_status(address: str) -> dict[str, Any] | None:
    """Return the cluster status of the node at `address`, or None where it gives no valid answer in time."""
    host, _, port = address.rpartition(":")
    try:
        connection = http.client.HTTPConnection(host, int(port), timeout=STATUS_TIMEOUT_S)
        connection.request("GET", STATUS_PATH)
        status: dict[str, Any] = json.loads(connection.getresponse().read())
    except (OSError, ValueError, http.client.HTTPException):
        return None
    return status
