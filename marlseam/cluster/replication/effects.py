"""Effects that a replica returns to its adapter, which carries them out in the order given."""

from typing import NamedTuple

from marlseam.cluster.audit_log import LogRecord
from marlseam.cluster.replication.content import Content
from marlseam.cluster.replication.messages import ReplicationMessage


class SendMessage(NamedTuple):
    """Send a message to a member; the network may lose, duplicate or delay the message."""

    recipient: str
    message: ReplicationMessage


class Persist(NamedTuple):
    """Make records durable, then call `ConfigReplica.persisted` or `persist_failed` with the token."""

    token: int
    records: tuple[LogRecord, ...]


class ApplyContent(NamedTuple):
    """Apply the settings and members of a version's content to this node."""

    number: int
    content_id: str
    content: Content


class LogLine(NamedTuple):
    """Write a line to the node's log."""

    text: str


Effect = SendMessage | Persist | ApplyContent | LogLine
