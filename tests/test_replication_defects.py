"""Replicas with planted defects in fetching contents, which simulated fault schedules must detect."""

import msgspec
import pytest

from marlseam.cluster.checking import replication_schedules
from marlseam.cluster.replication import delta
from marlseam.cluster.replication.content_store import ContentStore
from marlseam.cluster.replication.fetch import ContentFetcher, FetchProgress
from marlseam.cluster.replication.replica import ConfigReplica


@pytest.mark.parametrize("seed", [2, 9, 33, 145])
def test_corrupted_chunks_violate_no_bound(seed):
    found = replication_schedules.play(7, seed, replication_schedules.schedule(7, seed), corrupted_share=0.1)
    assert found.violations == []


class UnverifiedStore(ContentStore):
    """Does not compare the result of deltas with the requested id."""

    def apply_delta_chain(self, base_id, chain, content_id):  # noqa: ARG002 - as it is called
        document, before = self.document(base_id), base_id
        try:
            for change in delta.CHAIN_DECODER.decode(chain):
                document, before = delta.apply_change(document, before, change), change.id
        except msgspec.MsgspecError as error:
            raise delta.DeltaError(str(error)) from None
        return delta.encode_document(document)


class UnverifiedReplica(ConfigReplica):
    """Planted defect: the result of deltas is not verified against the id."""

    store_type = UnverifiedStore


class LastDeltaStore(ContentStore):
    """Returns only the last delta, for any base."""

    def delta_chain(self, base_id, content_id):  # noqa: ARG002 - as it is called
        link = self.delta_links.get(content_id)
        return delta.encode_chain([link]) if link is not None else None


class LastDeltaReplica(ConfigReplica):
    """Planted defect: only the last delta is sent, whatever version the reader holds."""

    store_type = LastDeltaStore


class DeltasOnlyFetcher(ContentFetcher):
    """Discards a whole content if it requested deltas."""

    def receive_chunk(self, sender, chunk):
        fetch = self.fetches.get(chunk.id)
        if fetch and fetch.base_id and not chunk.have:
            return FetchProgress([])
        return super().receive_chunk(sender, chunk)


class DeltasOnlyReplica(ConfigReplica):
    """Planted defect: a replica that requested deltas accepts no whole content."""

    fetcher_type = DeltasOnlyFetcher


class UntrimmedStore(ContentStore):
    """Never drops deltas."""

    def trim_delta_links(self):
        pass


class UntrimmedReplica(ConfigReplica):
    """Planted defect: deltas are never dropped."""

    store_type = UntrimmedStore


class UnorderedFetcher(ContentFetcher):
    """Treats each chunk as the next one."""

    def receive_chunk(self, sender, chunk):
        fetch = self.fetches.get(chunk.id)
        at = len(fetch.received) if fetch else 0
        misplaced = msgspec.structs.replace(chunk, at=min(at, chunk.size - len(chunk.data)))
        return super().receive_chunk(sender, misplaced)


class UnorderedReplica(ConfigReplica):
    """Planted defect: chunks are joined in the order of arrival."""

    fetcher_type = UnorderedFetcher


DEFECTS = [
    (UnverifiedReplica, 2, 0.1, replication_schedules.CONTENT_ROWS),
    (LastDeltaReplica, 2, 0.0, replication_schedules.CONTENT_ROWS),
    (DeltasOnlyReplica, 128, 0.0, replication_schedules.CONTENT_ROWS),
    (UntrimmedReplica, 1, 0.0, replication_schedules.CONTENT_ROWS),
    (UnorderedReplica, 1, 0.0, 150),
]


@pytest.mark.parametrize(("replica_type", "seed", "corrupted_share", "rows"), DEFECTS)
def test_a_planted_defect_is_detected(replica_type, seed, corrupted_share, rows):
    faults = replication_schedules.schedule(7, seed)
    assert replication_schedules.play(
        7, seed, faults, replica_type, corrupted_share=corrupted_share, rows=rows
    ).violations
    assert (
        replication_schedules.play(7, seed, faults, corrupted_share=corrupted_share, rows=rows).violations
        == []
    )
