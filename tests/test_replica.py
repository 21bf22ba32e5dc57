"""One replica: contents, the quorum lease, service and the operator's override."""

from math import inf

import pytest
from replicas import LEASE_MS, NAMES, hold_content, make_content, make_replica, status_response

from marlseam.cluster.audit_log import OperatorOverride, RecoveredLog, VersionHeld
from marlseam.cluster.replication.content import FORMAT, digest, write
from marlseam.cluster.replication.effects import ApplyContent, Persist
from marlseam.cluster.replication.messages import Chunk


def test_a_content_whose_digest_is_not_its_id_is_discarded():
    replica = make_replica("d")
    good = write(make_content())
    replica.receive_status(0.0, "b", status_response(0, number=1, id=digest(good)))
    effects = replica.receive_chunk(0.0, "b", Chunk(digest(good), len(good), 0, b"x" * len(good)))
    assert "code=digest" in effects[0].text
    assert replica.number == 0
    effects = replica.receive_chunk(0.0, "b", Chunk(digest(good), len(good), 0, good))
    assert type(effects[0]) is Persist
    assert replica.number == 0
    assert type(replica.persisted(1.0, effects[0].token)[0]) is ApplyContent
    assert replica.applied_number == 1


@pytest.mark.parametrize("strict", [True, False])
def test_without_a_proof_a_strict_node_leaves_service_and_another_serves_unproven_for_a_time(strict):
    replica = make_replica("d", strict=strict)
    replica.tick(0.0)
    replica.receive_status(5.0, "b", status_response(1, age_ms=0.0))
    assert replica.serving.evaluate(10.0) == (True, True, "")
    late = replica.serving.evaluate(LEASE_MS + 1.0)
    assert late == ((False, False, "unproved") if strict else (True, False, "unproved"))
    assert not replica.serving.evaluate(10.0 * LEASE_MS + 1.0).is_serving


def test_leases_of_members_end_one_after_another():
    ends_ms = sorted(make_replica(name).lease.staggered_lease_ms() for name in NAMES)
    assert ends_ms[0] >= 0.49 * LEASE_MS
    assert ends_ms[-1] < LEASE_MS
    assert min(later - earlier for earlier, later in zip(ends_ms, ends_ms[1:], strict=False)) > 0.0


@pytest.mark.parametrize(("members_in_service", "is_serving"), [(3, False), (0, True)])
def test_a_node_that_cannot_use_a_version_leaves_service_unless_a_majority_cannot(
    members_in_service, is_serving
):
    replica = make_replica("d", strict=False, check=lambda _content: "key: what was expected")
    replica.tick(0.0)
    replica.receive_status(0.0, "b", status_response(1, age_ms=0.0))
    assert replica.serving.evaluate(1.0).is_serving
    hold_content(replica, make_content(), 2.0)
    for index, name in enumerate("abcef"):
        acting = int(index < members_in_service)
        status = status_response(0, number=1, id=replica.content_id, acting=acting, serving=True)
        replica.receive_status(3.0, name, status)
    status = replica.serving.evaluate(4.0)
    assert (status.is_serving, status.is_proven, status.code) == (is_serving, False, "unfit")
    assert replica.applied_number == 0


def test_a_node_serves_again_only_after_the_recovery_time_without_a_fault():
    replica = make_replica("d")
    replica.tick(0.0)
    replica.receive_status(0.0, "b", status_response(1, age_ms=0.0))
    replica.serving.evaluate(1.0)
    replica.disk_fault = "full"
    assert replica.serving.evaluate(2.0).code == "disk"
    replica.disk_fault = ""
    assert not replica.serving.evaluate(3.0).is_serving
    assert replica.serving.evaluate(2100.0).is_serving


def test_an_operators_override_applies_once_durable_and_after_restarts():
    replica = make_replica("d")
    persist = replica.override_by_operator("sick", 5.0)
    assert replica.operator_override is None
    replica.persisted(0.0, persist.token)
    assert replica.serving.evaluate(1.0).code == "hand"
    recovered = RecoveredLog()
    for record in (*persist.records, OperatorOverride(True, "sick", 5.0)):
        recovered.apply(record)
    assert make_replica("d", recovered).serving.evaluate(0.0).code == "hand"


def test_a_replica_that_cannot_read_a_version_adopts_no_proof_from_earlier_voters():
    # Earlier voters may no longer be voters: other members may have accepted a version that they did not.
    replica = make_replica("a")
    data = write(make_content(format=FORMAT + 1))
    replica.store.contents[digest(data)] = data
    persist = replica.persist_and_hold(1, digest(data))[-1]
    replica.persisted(0.0, persist.token)
    assert replica.number == 1
    assert replica.unusable_reason
    assert not replica.voter.may_vote(2)
    replica.tick(replica.next_ms)
    sequence = replica.lease.last_sequence
    for name in "bc":
        status = status_response(sequence, number=1, id=replica.content_id, accepted=1)
        replica.receive_status(replica.next_ms, name, status)
    assert replica.lease.proven_at_ms == -inf


def test_a_strict_node_that_starts_with_an_unusable_version_never_serves():
    data = write(make_content())
    recovered = RecoveredLog(begun=True, held=VersionHeld(1, digest(data)), contents={digest(data): data})
    replica = make_replica("d", recovered, check=lambda _content: "key: what was expected")
    assert replica.serving.evaluate(0.0) == (False, False, "unfit")


def test_a_late_response_to_an_earlier_process_proves_nothing_for_this_one():
    # Guards against a strict node that, restarted, acts on a version that was replaced before its own reads.
    earlier, restarted = make_replica("a"), make_replica("a", last_sequence=1 << 39)
    for replica in (earlier, restarted):
        replica.tick(replica.next_ms)
    for name in "bc":
        restarted.receive_status(100.0, name, status_response(earlier.lease.last_sequence, age_ms=0.0))
    assert restarted.lease.proven_at_ms == -inf
    restarted.receive_status(100.0, "b", status_response(restarted.lease.last_sequence, age_ms=0.0))
    assert restarted.lease.proven_at_ms > -inf
