"""The narrow port by which the service of configuration versions sees its node."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any


@dataclass
class ConfigServicePort:
    """What the node offers to the service.

    Attributes:
        wrong: says what is wrong with settings on this node, or nothing.
        apply: acts on settings from now on.
        serve: puts the node in service or takes it out.
        listed: returns the number of the endpoint list in force.
        settings: returns the settings in force; the same object while they stay the same.
        prove: tells other processes of this node a version, its id, and as of when it was in force (ms of
            the machine's monotonic clock).
        beside: whether another process of this node may be there, as in an upgrade.

    """

    settings_fault: Callable[[Mapping[str, Any]], str]
    apply: Callable[[Mapping[str, Any]], None]
    serve: Callable[[bool], None]
    endpoint_list_number: Callable[[], int]
    settings: Callable[[], Mapping[str, Any]]
    share_proof: Callable[[int, str, float], None] = lambda *_: None
    may_write_beside: bool = False
