"""Replicas of the configuration, contents and messages for tests."""

from marlseam.cluster.audit_log import RecoveredLog
from marlseam.cluster.replication.content import FORMAT, Content, digest, write
from marlseam.cluster.replication.messages import StatusResponse
from marlseam.cluster.replication.replica import ConfigReplica
from marlseam.cluster.replication.settings import ReplicationSettings

NAMES = frozenset("abcdefg")
PERIOD_MS = 1000.0
LEASE_MS = 15000.0
SERVE_MS = 10.0 * LEASE_MS


def make_content(number=1, before="", voters="abc", **fields):
    values = {"format": FORMAT, "why": "w", "by": "a", "settings": {"x": number}} | fields
    return Content(number=number, before=before, voters=list(voters), **values)


def make_replica(name="a", recovered=None, strict=True, voters="abc", **options):
    """Return a replica at time 0, by default recovered from an empty, complete ledger."""
    settings = ReplicationSettings(frozenset(voters), PERIOD_MS, LEASE_MS, strict, SERVE_MS)
    recovered = recovered or RecoveredLog(begun=True)
    return ConfigReplica(name, NAMES, settings, f"{name}/1", 7, 0.0, recovered, **options)


def status_response(sequence, **fields):
    """Return the response of a member that holds no version, with some fields replaced."""
    values = {
        "number": 0,
        "id": "",
        "acting": 0,
        "serving": True,
        "code": "",
        "accepted": 0,
        "top": 0,
        "votes": True,
        "age_ms": -1.0,
    } | fields
    return StatusResponse(sequence, **values)


def hold_content(replica, content, now_ms=0.0):
    """Make a replica hold a content durably; return the effects after the write."""
    data = write(content)
    replica.store.contents[digest(data)] = data
    persist = replica.persist_and_hold(content.number, digest(data))[-1]
    return replica.persisted(now_ms, persist.token)
