"""A cluster in which some nodes run an earlier program that does not support deltas."""

import msgspec
import pytest

from marlseam.cluster.checking import replication_schedules
from marlseam.cluster.replication import messages
from marlseam.cluster.replication.effects import SendMessage
from marlseam.cluster.replication.messages import FetchRequest, StatusResponse, VoteMessage
from marlseam.cluster.replication.replica import ConfigReplica


class EarlierFetchRequest(msgspec.Struct, array_like=True, frozen=True, tag="want"):
    """A fetch request in the format before deltas."""

    id: str
    at: int


class EarlierChunk(msgspec.Struct, array_like=True, frozen=True, tag="piece"):
    """A chunk in the format before deltas."""

    id: str
    size: int
    at: int
    data: bytes


EARLIER_MESSAGES = msgspec.msgpack.Decoder(
    messages.StatusRequest | StatusResponse | VoteMessage | EarlierFetchRequest | EarlierChunk
)


class EarlierReplica(ConfigReplica):
    """A replica of a program without deltas, which receives and sends messages in the earlier format."""

    def receive(self, now, sender, message):
        earlier = EARLIER_MESSAGES.decode(msgspec.msgpack.encode(message))  # as decoded by its codec
        message = msgspec.msgpack.decode(msgspec.msgpack.encode(earlier), type=messages.ReplicationMessage)
        assert getattr(message, "have", "") == ""
        return [self.in_earlier_form(effect) for effect in super().receive(now, sender, message)]

    def tick(self, now):
        return [self.in_earlier_form(effect) for effect in super().tick(now)]

    def in_earlier_form(self, effect):
        if type(effect) is not SendMessage or type(effect.message) is not FetchRequest:
            return effect
        message = msgspec.msgpack.decode(
            msgspec.msgpack.encode(EarlierFetchRequest(effect.message.id, effect.message.at)),
            type=messages.ReplicationMessage,
        )
        return SendMessage(effect.recipient, message)


def make_mixed_replica(name: str, *arguments: object) -> ConfigReplica:
    """Return a replica of the earlier program on three nodes, of the current one on the others."""
    replica_type = EarlierReplica if name in ("n0", "n3", "n5") else ConfigReplica
    return replica_type(name, *arguments)


@pytest.mark.parametrize("seed", [0, 3, 17, 42, 81])
def test_a_mixed_cluster_sends_whole_contents_to_earlier_programs_and_violates_no_bound(seed):
    faults = replication_schedules.schedule(7, seed) if seed else []
    assert replication_schedules.play(7, seed, faults, make_mixed_replica).violations == []


def test_in_a_mixed_cluster_only_programs_that_support_deltas_receive_them():
    simulation = replication_schedules.ReplicationSimulation(7, 1, [], machine=make_mixed_replica)
    simulation.run(5000.0)
    for mark in range(1, 9):
        simulation.publish("n1", mark)
        simulation.run(simulation.now + 6000.0)
    assert simulation.stale_replicas() == []
    assert simulation.checker.findings == []
    assert len(simulation.checker.chosen) == 8
    counts = {name: process.machine.store.transfer_counts for name, process in simulation.processes.items()}
    assert all(counts[name]["whole"] == 8 and not counts[name]["chains"] for name in ("n0", "n3", "n5"))
    # An earlier program sends them whole contents; the others send deltas after the first version.
    assert all(counts[name]["chains"] >= 3 for name in ("n2", "n4", "n6"))
