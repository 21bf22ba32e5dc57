"""What the parts of a node may use of it, so that none of them imports marlseam/net/node.py."""

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
    # Not loaded by a node that has no such part, and these modules import this one.
    from marlseam.net.config_service import ConfigVersionService
    from marlseam.net.durable_state import DurableState
    from marlseam.net.graceful_shutdown import GracefulShutdown
    from marlseam.net.membership_service import MembershipService
    from marlseam.net.open_requests import OpenRequests
    from marlseam.net.process_handover import ProcessHandover
    from marlseam.net.service_state import ServiceState
    from marlseam.shadow_policy import ShadowPolicy


class StateHost(Protocol):
    """What a part that keeps or passes on state uses: the reducer, discovery, and the ways to tell both."""

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
        """The reducer, which holds what is known of requests."""

    @property
    def discovery(self) -> Discovery:
        """The endpoint list."""

    def post(self, event: Event) -> None:
        """Hand an event to the reducer, after those before it."""


class VersionProofs(Protocol):
    """What the handover uses of the service of configuration versions."""

    def share_proof(self) -> None:
        """Tell other processes of this node when the version held was in force."""

    def receive_proof(self, number: int, content_id: str, mono_ms: float) -> None:
        """Take over such a proof; `mono_ms` is by the machine's monotonic clock."""


class HandoverHost(StateHost, Protocol):
    """What the handover between processes of one node uses."""

    @property
    def config_service(self) -> VersionProofs | None:
        """The service of configuration versions; None in a node of no cluster, or without a ledger."""

    def apply_process_count(self) -> None:
        """Keep to this process's part of the node's limits, as processes come and go."""


class NodeInterface(StateHost, Protocol):
    """What the modules that carry out a node's duties use; parts that are None are not configured."""

    @property
    def counters(self) -> Counters:
        """The figures that grow."""

    @property
    def guard(self) -> SendGuard:
        """Checks each attempt against the invariants."""

    @property
    def upstream(self) -> Upstream:
        """The side towards servers."""

    @property
    def downstream(self) -> DownstreamServer:
        """The side towards clients."""

    @property
    def requests(self) -> "OpenRequests":
        """The requests that have no answer yet."""

    @property
    def service(self) -> "ServiceState":
        """Whether the node serves clients."""

    @property
    def shutdown(self) -> "GracefulShutdown":
        """The end of the process."""

    @property
    def shadow_policy(self) -> "ShadowPolicy | None":
        """The settings that are watched without effect."""

    @property
    def membership(self) -> "MembershipService | None":
        """The cluster's members."""

    @property
    def config_service(self) -> "ConfigVersionService | None":
        """The service of configuration versions."""

    @property
    def durable_state(self) -> "DurableState | None":
        """What outlasts the process."""

    @property
    def handover(self) -> "ProcessHandover | None":
        """The other processes of this node."""

    def is_ready(self) -> bool:
        """Return whether clients should come."""

    def figures(self) -> str:
        """Return the figures for operators, one a line."""

    def adopt(self, config: Config) -> None:
        """Go on under a new configuration."""
