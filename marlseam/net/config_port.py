"""The port through which the service of configuration versions uses its node."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any


@dataclass
class ConfigServicePort:
    """Functions of the node that the service calls.

    Attributes:
        settings_fault: returns why settings are invalid on this node; "" where they are valid.
        apply: applies settings to the node.
        serve: puts the node in service (True) or out of service (False).
        endpoint_list_number: returns the version of the endpoint list in force.
        settings: returns the settings in force; the same object while they stay the same.
        share_proof: sends other processes of this node a version's number, its id, and the time at which it
            was in force, in ms of the machine's monotonic clock.
        may_write_beside: whether another process of this node may hold the ledger, as in an upgrade; then
            this one writes to a ledger beside it.

    """

    settings_fault: Callable[[Mapping[str, Any]], str]
    apply: Callable[[Mapping[str, Any]], None]
    serve: Callable[[bool], None]
    endpoint_list_number: Callable[[], int]
    settings: Callable[[], Mapping[str, Any]]
    share_proof: Callable[[int, str, float], None] = lambda *_: None
    may_write_beside: bool = False
