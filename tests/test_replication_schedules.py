"""Replication under fault schedules in virtual time, and the detection of planted defects."""

from zlib import crc32

import msgspec
import pytest
from effects_digest import canonical_text

from marlseam import random_source
from marlseam.cluster.checking import replication_schedules
from marlseam.cluster.checking.simulation import InjectedFault
from marlseam.cluster.replication.effects import Persist
from marlseam.cluster.replication.messages import FetchRequest, MessageKind
from marlseam.cluster.replication.publication import Publisher
from marlseam.cluster.replication.quorum_lease import QuorumLease
from marlseam.cluster.replication.replica import ConfigReplica
from marlseam.cluster.replication.voting import Voter

NODES = 7


@pytest.mark.parametrize("rows", [0, replication_schedules.CONTENT_ROWS])
@pytest.mark.parametrize("seed", [1, 81, 1287, 2130, 8759])
def test_no_schedule_violates_a_bound(seed, rows):
    # With an earlier random source, 1287 and 2130 gave other schedules; those are run by another test below.
    faults = replication_schedules.schedule(NODES, seed)
    assert replication_schedules.play(NODES, seed, faults, rows=rows).violations == []


@pytest.fixture
def linear_random_source(monkeypatch):
    """Draw by CRC-32 alone, as the random source did when the schedules of 1287 and 2130 violated bounds."""

    class Draws:
        def __init__(self, prefix, seed):
            self.text, self.count = f"{prefix}:{seed}", 0

        def __call__(self, below):
            self.count += 1
            return crc32(f"{self.text}:{self.count}".encode()) % below

    monkeypatch.setattr(random_source, "number", crc32)
    monkeypatch.setattr(replication_schedules, "number", crc32)
    monkeypatch.setattr(replication_schedules, "ScheduleDraws", Draws)


# Guards against two contents of one number, and against a cluster in which no member has a proof: these
# schedules once caused both.
@pytest.mark.parametrize(("seed", "checksum"), [(1287, 1045893244), (2130, 938371654)])
@pytest.mark.usefixtures("linear_random_source")
def test_schedules_found_by_earlier_searches_violate_no_bound(seed, checksum):
    faults = replication_schedules.schedule(NODES, seed)
    assert crc32(canonical_text(faults).encode()) == checksum
    assert replication_schedules.play(NODES, seed, faults, rows=0).violations == []


def test_without_faults_all_publications_are_chosen_and_applied():
    verdict = replication_schedules.play(NODES, 0, [])
    assert verdict.violations == []
    assert verdict.chosen == 6


def test_with_message_loss_all_members_apply_the_newest_version():
    simulation = replication_schedules.ReplicationSimulation(30, 5, [], loss=0.2)
    simulation.run(5000.0)
    simulation.publish("n7", 1)
    simulation.run(20000.0)
    assert simulation.stale_replicas() == []
    assert simulation.checker.findings == []
    assert len(simulation.checker.chosen) == 1


class NonDurableVoter(Voter):
    """Answers before its promise is durable."""

    def receive_request(self, now, sender, vote):
        effects = super().receive_request(now, sender, vote)
        if effects and type(effects[-1]) is Persist:
            effects += self.replica.continuations[effects[-1].token](now)
        return effects


class AnswersBeforeDurable(ConfigReplica):
    """Planted defect: a voter answers before its promise is durable."""

    voter_type = NonDurableVoter


class ProofFromResponse(ConfigReplica):
    """Planted defect: a proof counts from when the response arrived, not from when it was requested."""

    def receive_status(self, now, sender, status):
        read = self.lease.reads.get(status.seq)
        if read is not None:
            read.at_ms = now
        return super().receive_status(now, sender, status)


class IgnoresProofAge(ConfigReplica):
    """Planted defect: another member's proof is treated as if its age were 0."""

    def receive_status(self, now, sender, status):
        ageless = msgspec.structs.replace(status, age_ms=min(status.age_ms, 0.0))
        return super().receive_status(now, sender, ageless)


class OneVoterLease(QuorumLease):
    """Treats one voter as a quorum."""

    def renew(self, read):
        if read.voters_without_later:
            self.extend(read.at_ms)


class OneVoterProves(ConfigReplica):
    """Planted defect: the response of one voter is a proof."""

    lease_type = OneVoterLease


class IgnoresAccepted(ConfigReplica):
    """Planted defect: a voter that has accepted a later version counts as one that has not."""

    def receive_status(self, now, sender, status):
        return super().receive_status(now, sender, msgspec.structs.replace(status, accepted=0))


class KeepsFirstVoters(ConfigReplica):
    """Planted defect: the voters of the settings stay in use, whatever voters a version names."""

    def hold(self, number, content_id):
        effects = super().hold(number, content_id)
        self.voters = self.settings.voters
        return effects


class EndlessLease(QuorumLease):
    """Never expires."""

    def is_proven(self, now):  # noqa: ARG002 - as it is called
        return self.replica.applied_number == self.replica.number


class EndlessProof(ConfigReplica):
    """Planted defect: a version that was proven once counts as proven forever."""

    lease_type = EndlessLease


class OwnOnlyPublisher(Publisher):
    """Does not propose a content that another member's publication left accepted."""

    def progress(self, now):
        return super().progress(now) if self.publication is not None else []


class IgnoresOthersAccepted(ConfigReplica):
    """Planted defect: an abandoned publication of another member is not completed."""

    publisher_type = OwnOnlyPublisher


class FetchesOnce(ConfigReplica):
    """Planted defect: a content that did not arrive is not requested again."""

    def tick(self, now):
        return [
            effect
            for effect in super().tick(now)
            if type(getattr(effect, "message", None)) is not FetchRequest
        ]


LATE_RESPONSES = [
    InjectedFault(f"n{i}", True, MessageKind.TELL, ordinal, "hold", "", 14000.0)
    for i in range(NODES)
    for ordinal in range(8, 30)
]
LATE_RESPONSES.append(InjectedFault("n5", True, MessageKind.ASK, 24, "cut", "", 40000.0))


@pytest.mark.parametrize(
    ("replica_type", "seed", "faults"),
    [
        (AnswersBeforeDurable, 1, None),
        (IgnoresProofAge, 22, None),
        (OneVoterProves, 18, None),
        (IgnoresAccepted, 22, None),
        (KeepsFirstVoters, 1, None),
        (EndlessProof, 18, None),
        (IgnoresOthersAccepted, 57, None),
        (FetchesOnce, 3, None),
        (ProofFromResponse, 9, LATE_RESPONSES),
    ],
)
def test_a_planted_defect_is_detected(replica_type, seed, faults):
    if faults is None:
        faults = replication_schedules.schedule(NODES, seed)
    assert replication_schedules.play(NODES, seed, faults, replica_type, rows=0).violations
    assert replication_schedules.play(NODES, seed, faults, rows=0).violations == []


@pytest.mark.parametrize(
    ("replica_type", "seed"), [(EndlessProof, 18), (IgnoresOthersAccepted, 57), (KeepsFirstVoters, 3)]
)
def test_a_planted_defect_is_detected_if_deltas_are_sent_too(replica_type, seed):
    faults = replication_schedules.schedule(NODES, seed)
    assert replication_schedules.play(NODES, seed, faults, replica_type).violations
    assert replication_schedules.play(NODES, seed, faults).violations == []
