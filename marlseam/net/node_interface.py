"""Protocols for what the parts of a node may use of it, so that none of them imports marlseam/net/node.py."""

from typing import TYPE_CHECKING, Protocol

from marlseam.configuration import Config
from marlseam.core import Event, Reducer
from marlseam.counters import Counters
from marlseam.net.discovery import Discovery
from marlseam.net.downstream import DownstreamServer
from marlseam.net.invariants import SendGuard
from marlseam.net.log import Log
from marlseam.net.loop import Loop
from marlseam.net.upstream import Upstream

if TYPE_CHECKING:
    # Optional parts, not loaded by a node without them; these modules also import this one.
    from marlseam.net.config_service import ConfigVersionService
    from marlseam.net.durable_state import DurableState
    from marlseam.net.graceful_shutdown import GracefulShutdown
    from marlseam.net.membership_service import MembershipService
    from marlseam.net.open_requests import OpenRequests
    from marlseam.net.process_handover import ProcessHandover
    from marlseam.net.service_state import ServiceState
    from marlseam.shadow_policy import ShadowPolicy


class StateHost(Protocol):
    """What parts that store or hand over state use: the reducer, discovery and the posting of events."""

    @property
    def config(self) -> Config:
        """The configuration in force."""

    @property
    def loop(self) -> Loop:
        """The event loop."""

    @property
    def log(self) -> Log:
        """The node's log."""

    @property
    def reducer(self) -> Reducer:
        """The reducer, which holds the state of requests and idempotency keys."""

    @property
    def discovery(self) -> Discovery:
        """Keeps the endpoint list."""

    def post(self, event: Event) -> None:
        """Queue an event for the reducer, after those posted before."""


class VersionProofs(Protocol):
    """What the handover uses of the service of configuration versions."""

    def share_proof(self) -> None:
        """Send other processes of this node the proof of when the held version was last in force."""

    def receive_proof(self, number: int, content_id: str, mono_ms: float) -> None:
        """Take over a proof from another process; `mono_ms` is in ms of the machine's monotonic clock."""


class HandoverHost(StateHost, Protocol):
    """What the handover between processes of one node uses."""

    @property
    def config_service(self) -> VersionProofs | None:
        """The service of configuration versions; None in a node without a cluster or without a ledger."""

    def apply_process_count(self) -> None:
        """Set this process's share of the node's limits by the present number of processes."""


class NodeInterface(StateHost, Protocol):
    """What the parts of a node use of it and of each other; a part that is None is not configured."""

    @property
    def counters(self) -> Counters:
        """The monotonically increasing counts."""

    @property
    def guard(self) -> SendGuard:
        """Checks each attempt against the invariants before it is sent."""

    @property
    def upstream(self) -> Upstream:
        """The connections to servers."""

    @property
    def downstream(self) -> DownstreamServer:
        """The connections to clients."""

    @property
    def requests(self) -> "OpenRequests":
        """The requests that have no answer yet."""

    @property
    def service(self) -> "ServiceState":
        """Whether the node serves clients."""

    @property
    def shutdown(self) -> "GracefulShutdown":
        """Ends the process gracefully."""

    @property
    def shadow_policy(self) -> "ShadowPolicy | None":
        """Evaluates changed settings without applying them."""

    @property
    def membership(self) -> "MembershipService | None":
        """The cluster's members."""

    @property
    def config_service(self) -> "ConfigVersionService | None":
        """The service of configuration versions."""

    @property
    def durable_state(self) -> "DurableState | None":
        """The state that is kept across restarts."""

    @property
    def handover(self) -> "ProcessHandover | None":
        """The connections to other processes of this node."""

    def is_ready(self) -> bool:
        """Return whether the node accepts clients."""

    def figures(self) -> str:
        """Return the figures for operators, one a line."""

    def adopt(self, config: Config) -> None:
        """Apply a new configuration to all parts of the node."""
