"""Operators' requests on configuration versions: publish one, take the node out of service, get its status.

The keys of the JSON objects are part of the operators' interface, and defined only here.
"""

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

from marlseam.cluster.audit_log import IntervalBegun
from marlseam.cluster.replication import messages
from marlseam.cluster.replication.content import (
    FORMAT,
    Content,
    InvalidContentError,
    is_single_step,
    read,
    settings_digest,
    voters_fault,
    write,
)
from marlseam.cluster.replication.replica import ConfigReplica, PeerStatus

if TYPE_CHECKING:
    from marlseam.net.config_service import ConfigVersionService

ACCEPTED, BAD_REQUEST, CONFLICT, UNAVAILABLE = 202, 400, 409, 503  # HTTP statuses
MAX_VOTER_CHANGES, MAX_MEMBER_CHANGES = 2, 1  # most voters, and members, that one version adds or removes
MAX_PROOF_AGE_MS = 1e12  # a greater age of the proof means that there never was one


class Response(NamedTuple):
    """A response to an operator: its HTTP status and one line of text."""

    status: int
    text: str


class RejectedRequestError(Exception):
    """An operator's request that is not carried out: the response's HTTP status, and why as a string."""

    def __init__(self, status: int, reason: str) -> None:
        """Create the error of an HTTP status, for a reason that the operator reads."""
        super().__init__(reason)
        self.status, self.reason = status, reason

    def response(self) -> Response:
        """Return the response to the operator."""
        return Response(self.status, f"{self.reason}\n")


@dataclass
class PublishRequest:
    """The settings that an operator publishes as a version; voters or members are None where unchanged."""

    settings: dict[str, Any]
    why: str
    voters: list[str] | None
    members: dict[str, str] | None


def is_reason(why: object) -> bool:
    """Return whether a value is a valid reason: a string of 1 to MAX_REASON_CHARACTERS characters."""
    return isinstance(why, str) and 0 < len(why) <= messages.MAX_REASON_CHARACTERS


def parse_publish_request(body: bytes) -> PublishRequest:
    """Parse the JSON body of a request to publish; raises RejectedRequestError."""
    try:
        given = json.loads(body)
        settings, why = given["settings"], given["why"]
        voters, members = given.get("voters"), given.get("members")
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise RejectedRequestError(
            BAD_REQUEST, f"expected a JSON object with `settings` and `why` ({error!r})"
        ) from None
    if not isinstance(settings, dict) or not is_reason(why):
        limit = messages.MAX_REASON_CHARACTERS
        raise RejectedRequestError(
            BAD_REQUEST, f"expected `settings` as an object, and `why` as a string of 1 to {limit} characters"
        )
    are_names = isinstance(voters, list) and all(isinstance(name, str) for name in voters)
    if voters is not None and not are_names:
        raise RejectedRequestError(BAD_REQUEST, "`voters`: expected a list of members' names")
    if members is not None and not (isinstance(members, dict) and members):
        raise RejectedRequestError(
            BAD_REQUEST, "`members`: expected an object of addresses by name, with one at least"
        )
    return PublishRequest(settings, why, voters, members)


class ConfigRequests:
    """Carries out operators' requests to one service of configuration versions."""

    def __init__(self, service: "ConfigVersionService") -> None:
        """Serve requests to a service, which may have no replica yet."""
        self.service = service

    def replica(self) -> ConfigReplica:
        """Return the service's replica; raises RejectedRequestError while there is none."""
        if self.service.replica is None:
            raise RejectedRequestError(
                UNAVAILABLE,
                "this process has not read the ledger yet: another one has its lock, or reading failed",
            )
        return self.service.replica

    # Publishing.

    def publish(self, body: bytes) -> Response:
        """Start the publication of settings as the next version; respond 202 or why it is rejected."""
        try:
            return self.begin_publication(body)
        except RejectedRequestError as error:
            return error.response()

    def begin_publication(self, body: bytes) -> Response:
        """Start the publication in a request's body; raises RejectedRequestError."""
        replica = self.replica()
        content = self.content_of(replica, parse_publish_request(body))
        data = self.checked_data(replica, content)
        busy_reason = replica.publisher.busy_reason()
        if busy_reason:
            raise RejectedRequestError(CONFLICT, f"version {content.number}: {busy_reason}")
        service = self.service
        service.carry_out(replica.publish(service.loop.now(), data))
        return Response(ACCEPTED, f"version {content.number}: {replica.publisher.result}\n")

    def content_of(self, replica: ConfigReplica, request: PublishRequest) -> Content:
        """Return the content of the next version by a request; raises RejectedRequestError."""
        voters = frozenset(request.voters or replica.voters)
        fault = self.step_fault(replica, voters, frozenset(request.members or replica.members))
        if fault:
            raise RejectedRequestError(BAD_REQUEST, fault)
        content = Content(
            FORMAT,
            replica.number + 1,
            replica.content_id,
            sorted(request.voters or replica.voters),
            request.why,
            self.service.name,
            request.settings,
            request.members or self.members(),
        )
        if replica.number and self.is_in_force(content):
            raise RejectedRequestError(CONFLICT, f"version {replica.number} has the same content already")
        return content

    def checked_data(self, replica: ConfigReplica, content: Content) -> bytes:
        """Return a content encoded; raises RejectedRequestError where it is invalid on this node."""
        try:
            data = write(content)
            fault = self.service.content_fault(read(data, replica.members))
        except InvalidContentError as error:
            raise RejectedRequestError(BAD_REQUEST, str(error)) from None
        if fault:
            raise RejectedRequestError(BAD_REQUEST, fault)
        return data

    def members(self) -> dict[str, str]:
        """Return the members that the held version names, by name and address; {} if it names none."""
        service = self.service
        try:
            return dict(service.held_content().members) if service.replica and service.replica.number else {}
        except InvalidContentError:
            return {}

    def step_fault(self, replica: ConfigReplica, voters: frozenset[str], members: frozenset[str]) -> str:
        """Return why voters and members cannot follow the present ones in one version; "" if they can."""
        if not is_single_step(replica.voters, voters, MAX_VOTER_CHANGES):
            return f"`voters` {sorted(voters)}: expected at most two added or removed, or one replaced"
        if not is_single_step(replica.members, members, MAX_MEMBER_CHANGES):
            return f"`members` {sorted(members)}: expected at most one added, removed or replaced"
        return voters_fault(sorted(voters), members)

    def is_in_force(self, content: Content) -> bool:
        """Return whether the held version has the same settings, members and voters as a content."""
        try:
            held = self.service.held_content()
        except InvalidContentError:
            return False
        has_same_settings = settings_digest(held.settings) == settings_digest(content.settings)
        return (
            has_same_settings and held.members == content.members and set(held.voters) == set(content.voters)
        )

    # Override of a node's service.

    def override(self, why: str | None) -> Response:
        """Take this node out of service for a reason, or with None end that; it holds across restarts."""
        try:
            return self.begin_override(why)
        except RejectedRequestError as error:
            return error.response()

    def begin_override(self, why: str | None) -> Response:
        """Start to persist an override, or with None its end; raises RejectedRequestError."""
        service, replica = self.service, self.replica()
        if why is not None and not is_reason(why):
            limit = messages.MAX_REASON_CHARACTERS
            raise RejectedRequestError(BAD_REQUEST, f"expected `why` as a string of 1 to {limit} characters")
        if not service.ledger.is_available():
            raise RejectedRequestError(
                UNAVAILABLE,
                f"the override cannot be stored, as the ledger is not writable: {service.ledger.code}",
            )
        service.carry_out([replica.override_by_operator(why, service.ledger.wall_ms())])
        return Response(ACCEPTED, f"{service.name} goes {'out of' if why is not None else 'in'} service\n")

    # Status.

    def status(self) -> dict[str, Any]:
        """Return this node's status and the last reported status of each other member; ages in ms."""
        service = self.service
        now, replica, interval = service.loop.now(), service.replica, service.actions.interval
        if replica is None or interval is None:
            return {"code": service.serving_status.code}
        return (
            self.version_status(now, replica, interval)
            | self.replica_status(replica)
            | self.node_status(replica, interval)
            | {"peers": {name: peer_row(now, peer) for name, peer in sorted(replica.peers.items())}}
        )

    def version_status(self, now: float, replica: ConfigReplica, interval: IntervalBegun) -> dict[str, Any]:
        """Return the held and the applied version, the serving status, and the age of the proof."""
        status = self.service.refresh()
        age_ms = now - replica.lease.proven_at_ms
        return {
            "version": replica.number,
            "id": replica.content_id,
            "acting": replica.applied_number,
            "meaning": interval.settings_digest,
            "listed": interval.endpoint_list_version,
            "interval": interval.interval,
            "since_ms": round(now - interval.mono_ms),
            "serving": status.is_serving,
            "proved": status.is_proven,
            "code": status.code,
            "proof_age_ms": round(age_ms) if age_ms < now + MAX_PROOF_AGE_MS else None,
            "lease_ms": round(replica.lease.staggered_lease_ms()),
        }

    def replica_status(self, replica: ConfigReplica) -> dict[str, Any]:
        """Return members and voters, whether this node votes, and the faults that keep it out of service."""
        return {
            "members": self.members(),
            "voters": sorted(replica.voters),
            "votes": replica.voter.may_vote(replica.number + 1),
            "unfit": replica.unusable_reason,
            "hand": replica.operator_override,
            "disk": replica.disk_fault,
        }

    def node_status(self, replica: ConfigReplica, interval: IntervalBegun) -> dict[str, Any]:
        """Return this node's transfers of contents, ledger, publication and counts of actions."""
        service = self.service
        publication = replica.publisher.publication
        return {
            "local": bool(replica.applied_number)
            and interval.settings_digest != service.held_settings_digest(),
            "contents": dict(replica.store.transfer_counts),
            "ledger": str(service.ledger.path),
            "publication": replica.publisher.result,
            "agreeing": publication.content_id if publication is not None else "",
            "acts": service.actions.totals(),
        }


def peer_row(now: float, peer: PeerStatus) -> dict[str, Any]:
    """Return another member's last reported status; `told_ms` is the age of the report in ms."""
    return {
        "version": peer.number,
        "acting": peer.acting,
        "serving": peer.serving,
        "code": peer.code,
        "votes": peer.votes,
        "told_ms": round(now - peer.at_ms),
    }
