"""What a replica asks its adapter to do, in the order in which it is to be done."""

from typing import NamedTuple

from marlseam.cluster.audit_log import LogRecord
from marlseam.cluster.replication.content import Content
from marlseam.cluster.replication.messages import ReplicationMessage


class SendMessage(NamedTuple):
    """Send a message to a member; it may be lost, repeated or late."""

    recipient: str
    message: ReplicationMessage


class Persist(NamedTuple):
    """Make records durable, then call `ConfigReplica.persisted` with the token, or `persist_failed`."""

    token: int
    records: tuple[LogRecord, ...]


class ApplyContent(NamedTuple):
    """Act on the settings and members of a content from now on."""

    number: int
    content_id: str
    content: Content


class LogLine(NamedTuple):
    """Write a line to the node's log."""

    text: str


Effect = SendMessage | Persist | ApplyContent | LogLine
