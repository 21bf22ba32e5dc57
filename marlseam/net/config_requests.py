"""What operators ask of a node's configuration versions: publish one, shut the node out, tell its status.

The keys of the JSON objects are part of the operators' interface, and named here alone.
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
MAX_VOTER_CHANGES, MAX_MEMBER_CHANGES = 2, 1  # that come or go with one version
MAX_PROOF_AGE_MS = 1e12  # above which there never was a proof


class Response(NamedTuple):
    """An HTTP status and a line of text."""

    status: int
    text: str


class RejectedRequestError(Exception):
    """An operator's request that is not carried out; `status` is HTTP's, `reason` for the operator."""

    def __init__(self, status: int, reason: str) -> None:
        """Make one."""
        super().__init__(reason)
        self.status, self.reason = status, reason

    def response(self) -> Response:
        """Return it as a response."""
        return Response(self.status, f"{self.reason}\n")


@dataclass
class PublishRequest:
    """A version that an operator wants; voters and members None where they are to stay as they are."""

    settings: dict[str, Any]
    why: str
    voters: list[str] | None
    members: dict[str, str] | None


def is_reason(why: object) -> bool:
    """Return whether a value is a reason: a text that is neither empty nor too long."""
    return isinstance(why, str) and 0 < len(why) <= messages.MAX_REASON_CHARACTERS


def parse_publish_request(body: bytes) -> PublishRequest:
    """Return what the body of a request says; raises RejectedRequestError."""
    try:
        given = json.loads(body)
        settings, why = given["settings"], given["why"]
        voters, members = given.get("voters"), given.get("members")
    except (ValueError, KeyError, TypeError, AttributeError, RecursionError) as error:
        raise RejectedRequestError(BAD_REQUEST, f"settings and why were expected ({error!r})") from None
    if not isinstance(settings, dict) or not is_reason(why):
        limit = messages.MAX_REASON_CHARACTERS
        raise RejectedRequestError(
            BAD_REQUEST, f"settings, and why in up to {limit} characters, were expected"
        )
    are_names = isinstance(voters, list) and all(isinstance(name, str) for name in voters)
    if voters is not None and not are_names:
        raise RejectedRequestError(BAD_REQUEST, "voters: a list of members' names was expected")
    if members is not None and not (isinstance(members, dict) and members):
        raise RejectedRequestError(BAD_REQUEST, "members: an object of names and addresses was expected")
    return PublishRequest(settings, why, voters, members)


class ConfigRequests:
    """Carries out operators' requests of one service."""

    def __init__(self, service: "ConfigVersionService") -> None:
        """Make one."""
        self.service = service

    def replica(self) -> ConfigReplica:
        """Return the service's replica; raises RejectedRequestError while there is none."""
        if self.service.replica is None:
            raise RejectedRequestError(UNAVAILABLE, "another process has the ledger")
        return self.service.replica

    # Publishing.

    def publish(self, body: bytes) -> Response:
        """Have settings agreed on as the next version; the response says what is wrong, or that it began."""
        try:
            return self.begin_publication(body)
        except RejectedRequestError as error:
            return error.response()

    def begin_publication(self, body: bytes) -> Response:
        """Do so; raises RejectedRequestError."""
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
        """Return the content that a request asks for; raises RejectedRequestError."""
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
            raise RejectedRequestError(CONFLICT, f"version {replica.number} says the same")
        return content

    def checked_data(self, replica: ConfigReplica, content: Content) -> bytes:
        """Return a content's bytes; raises RejectedRequestError where it cannot be used here."""
        try:
            data = write(content)
            fault = self.service.content_fault(read(data, replica.members))
        except InvalidContentError as error:
            raise RejectedRequestError(BAD_REQUEST, str(error)) from None
        if fault:
            raise RejectedRequestError(BAD_REQUEST, fault)
        return data

    def members(self) -> dict[str, str]:
        """Return the members that the version held names, if it names any."""
        service = self.service
        try:
            return dict(service.held_content().members) if service.replica and service.replica.number else {}
        except InvalidContentError:
            return {}

    def step_fault(self, replica: ConfigReplica, voters: frozenset[str], members: frozenset[str]) -> str:
        """Return what is wrong with voters and members after the present ones, or nothing."""
        if not is_single_step(replica.voters, voters, MAX_VOTER_CHANGES):
            return f"voters {sorted(voters)}: two more or less, or one in another's place, were expected"
        if not is_single_step(replica.members, members, MAX_MEMBER_CHANGES):
            return f"members {sorted(members)}: one more, less, or in another's place was expected"
        return voters_fault(sorted(voters), members)

    def is_in_force(self, content: Content) -> bool:
        """Return whether the version held says the same already."""
        try:
            held = self.service.held_content()
        except InvalidContentError:
            return False
        has_same_settings = settings_digest(held.settings) == settings_digest(content.settings)
        return (
            has_same_settings and held.members == content.members and set(held.voters) == set(content.voters)
        )

    # Shutting a node out.

    def override(self, why: str | None) -> Response:
        """Shut this node out for a reason, or with None bring it back; that holds across restarts."""
        try:
            return self.begin_override(why)
        except RejectedRequestError as error:
            return error.response()

    def begin_override(self, why: str | None) -> Response:
        """Do so; raises RejectedRequestError."""
        service, replica = self.service, self.replica()
        if why is not None and not is_reason(why):
            limit = messages.MAX_REASON_CHARACTERS
            raise RejectedRequestError(BAD_REQUEST, f"why in up to {limit} characters was expected")
        if not service.ledger.is_available():
            raise RejectedRequestError(UNAVAILABLE, f"the ledger cannot be written: {service.ledger.code}")
        service.carry_out([replica.override_by_operator(why, service.ledger.wall_ms())])
        return Response(ACCEPTED, f"{service.name} is to be {'out' if why is not None else 'in'}\n")

    # Status.

    def status(self) -> dict[str, Any]:
        """Return what this node acts on, and what others last said that they do; ages in ms."""
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
        """Return which version is held and acted on, and how far that is proven."""
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
        """Return who belongs and votes, and what is wrong."""
        return {
            "members": self.members(),
            "voters": sorted(replica.voters),
            "votes": replica.voter.may_vote(replica.number + 1),
            "unfit": replica.unusable_reason,
            "hand": replica.operator_override,
            "disk": replica.disk_fault,
        }

    def node_status(self, replica: ConfigReplica, interval: IntervalBegun) -> dict[str, Any]:
        """Return what this node does: transfers, ledger, publication, counts of actions."""
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
    """Return what another member last said of itself, as operators read it."""
    return {
        "version": peer.number,
        "acting": peer.acting,
        "serving": peer.serving,
        "code": peer.code,
        "votes": peer.votes,
        "told_ms": round(now - peer.at_ms),
    }
