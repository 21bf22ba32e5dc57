"""Fetching a content from another replica: as deltas or as a whole, in chunks that may be lost."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec
import pytest
from contents import chained_contents, make_content
from hypothesis import given
from hypothesis import strategies as st

from marlseam.cluster.audit_log import ContentStored, RecoveredLog
from marlseam.cluster.replication import delta, messages
from marlseam.cluster.replication.content import digest, read, write
from marlseam.cluster.replication.effects import Effect, Persist, SendMessage
from marlseam.cluster.replication.fetch import MAX_STALLED_PERIODS, WINDOW_CHUNKS
from marlseam.cluster.replication.messages import Chunk, FetchRequest, StatusResponse, VoteMessage
from marlseam.cluster.replication.replica import ConfigReplica
from marlseam.cluster.replication.settings import ReplicationSettings
from marlseam.experiment.config_change_workload import change_one_team, team_quotas
from marlseam.random_source import RandomSource

NAMES = frozenset("abcdefg")
LEASE_MS = 15000.0


def make_replica(name: str = "a") -> ConfigReplica:
    settings = ReplicationSettings(frozenset("abc"), 1000.0, LEASE_MS, True, 10.0 * LEASE_MS)
    recovered = RecoveredLog(begun=True)
    return ConfigReplica(name, NAMES, settings, f"{name}/1", 7, 0.0, recovered)


def persist_all(replica: ConfigReplica, effects: list[Effect], now_ms: float = 0.0) -> list[Effect]:
    """Carry out all Persist effects, including those that follow, and return the other effects."""
    others = []
    for effect in effects:
        if type(effect) is Persist:
            others += persist_all(replica, replica.persisted(now_ms, effect.token), now_ms)
        else:
            others.append(effect)
    return others


def hold(replica: ConfigReplica, data: bytes, number: int) -> None:
    """Make a replica hold a content as if received as a whole."""
    content_id = digest(data)
    replica.store.contents[content_id] = data
    replica.store.add_delta_from_predecessor(content_id)
    persist_all(replica, replica.persist_and_hold(number, content_id))


def status_response(number: int, content_id: str) -> StatusResponse:
    return StatusResponse(0, number, content_id, number, True, "", number, number, True, -1.0)


class SourceAndReader(NamedTuple):
    """A replica that holds the last of some contents, another that holds an earlier one, and the contents."""

    source: ConfigReplica
    reader: ConfigReplica
    datas: list[bytes]


def source_and_reader(count: int = 6, place: int = 1, rows: int = 60) -> SourceAndReader:
    """Return a source that holds `count` versions with `rows` teams each, and a reader at version `place`."""
    datas = chained_contents(count, rows)
    source, reader = make_replica("b"), make_replica("d")
    for number, data in enumerate(datas, 1):
        hold(source, data, number)
        if number <= place:
            hold(reader, data, number)
    return SourceAndReader(source, reader, datas)


def fetch_effects(effects: list[Effect]) -> list[SendMessage]:
    """Return the effects that send fetch requests."""
    sent = [effect for effect in effects if type(effect) is SendMessage]
    return [effect for effect in sent if type(effect.message) is FetchRequest]


def fetch_requests(effects: list[Effect]) -> list[FetchRequest]:
    """Return the fetch requests among effects."""
    return [effect.message for effect in fetch_effects(effects)]


def answer(source: ConfigReplica, requests: list[FetchRequest]) -> list[Chunk]:
    """Return the chunks with which a source answers fetch requests of the reader."""
    return [effect.message for request in requests for effect in source.fetcher.send_chunks("d", request)]


def deliver_unchanged(chunk: Chunk) -> list[Chunk]:
    return [chunk]


class Exchanged(NamedTuple):
    """The number of chunks sent, and their total size in bytes."""

    chunks: int
    data_bytes: int


def exchange(
    source: ConfigReplica,
    reader: ConfigReplica,
    effects: list[Effect],
    deliver: Callable[[Chunk], list[Chunk]] = deliver_unchanged,
) -> Exchanged:
    """Let a source answer a reader until it sends no more requests.

    `deliver` returns the chunks that the reader receives for one that was sent.
    """
    count = size = 0
    requests = fetch_requests(effects)
    while requests:
        chunks = answer(source, requests)
        requests = []
        for chunk in chunks:
            count, size = count + 1, size + len(chunk.data)
            for received in deliver(chunk):
                requests += fetch_requests(persist_all(reader, reader.receive_chunk(0.0, "b", received)))
    return Exchanged(count, size)


def test_a_reader_that_lags_receives_the_deltas_from_its_version():
    source, reader, datas = source_and_reader()
    count, size = exchange(
        source, reader, reader.receive_status(0.0, "b", status_response(6, digest(datas[-1])))
    )
    assert reader.number == 6
    assert reader.store.contents[reader.content_id] == datas[-1]
    assert (count, reader.store.transfer_counts["chains"], reader.store.transfer_counts["whole"]) == (
        1,
        1,
        0,
    )
    assert size < 1024 < len(datas[-1])
    assert reader.content.settings == read(datas[-1], NAMES).settings
    # The reader can forward the deltas that it received.
    assert reader.store.delta_chain(digest(datas[0]), digest(datas[-1])) == source.store.delta_chain(
        digest(datas[0]), digest(datas[-1])
    )


def test_the_smaller_of_the_deltas_and_the_whole_content_is_sent():
    source, reader, datas = source_and_reader(count=60, rows=20)
    count, size = exchange(
        source, reader, reader.receive_status(0.0, "b", status_response(60, digest(datas[-1])))
    )
    assert reader.number == 60
    assert reader.store.transfer_counts["whole"] == 1
    assert size == len(datas[-1])
    assert source.store.delta_links_bytes <= len(datas[-1])
    assert len(source.store.delta_links) < 59
    late = make_replica("e")
    exchange(source, late, late.receive_status(0.0, "b", status_response(60, digest(datas[-1]))))
    assert late.number == 60
    assert late.store.transfer_counts["whole"] == 1


def test_a_replica_that_received_the_whole_content_can_send_the_delta():
    source, reader, datas = source_and_reader(count=3, place=2)
    source.store.delta_links.clear()
    exchange(source, reader, reader.receive_status(0.0, "b", status_response(3, digest(datas[-1]))))
    assert reader.store.transfer_counts["whole"] == 1
    assert reader.store.delta_chain(digest(datas[1]), digest(datas[2])) is not None


def test_wrong_deltas_are_detected_and_the_whole_content_is_requested():
    source, reader, datas = source_and_reader()
    links = source.store.delta_links
    last = links[digest(datas[-1])]
    links[digest(datas[-1])] = delta.DeltaLink(last.before, last.data.replace(b"1005", b"1006"))
    effects = reader.receive_status(0.0, "b", status_response(6, digest(datas[-1])))
    (chunk,) = answer(source, [effects[0].message])
    log, again = reader.receive_chunk(0.0, "b", chunk)
    assert "code=changes" in log.text
    assert again.message == FetchRequest(digest(datas[-1]), 0, "")
    assert reader.number == 1
    assert reader.store.transfer_counts["changes"] == 1
    assert reader.store.transfer_counts["edits"] == 0
    exchange(source, reader, [again])
    assert reader.number == 6
    assert reader.store.contents[reader.content_id] == datas[-1]


def test_after_the_base_content_was_dropped_deltas_from_the_held_one_are_requested():
    source, reader, datas = source_and_reader(count=6, place=1)
    effects = reader.receive_status(0.0, "b", status_response(6, digest(datas[-1])))
    chunks = answer(source, [effects[0].message])
    hold(reader, datas[1], 2)
    (again,) = reader.receive_chunk(0.0, "b", chunks[0])
    assert again.message.have == digest(datas[1])
    assert reader.store.transfer_counts["gone"] == 1
    exchange(source, reader, [again])
    assert reader.number == 6
    assert reader.store.transfer_counts["chains"] == 1


def test_a_voter_receives_a_proposed_content_as_deltas_and_accepts_it_once_the_whole_is_durable():
    source, voter, datas = source_and_reader(count=3, place=3)
    data = write(
        make_content(4, digest(datas[-1]), settings=change_one_team({"teams": team_quotas(60)}, 9, 9))
    )
    source.publish(0.0, data)
    voter.voters |= {"d"}
    effects = voter.receive(0.0, "b", VoteMessage("accept", 4, 1, "b/1", value=digest(data)))
    assert effects[0].message == FetchRequest(digest(data), 0, digest(datas[-1]))
    (chunk,) = answer(source, [effects[0].message])
    (persist,) = voter.receive_chunk(0.0, "b", chunk)
    stored = [e for e in persist.records if type(e) is ContentStored]
    assert stored == [ContentStored(digest(data), data)]
    assert voter.store.transfer_counts["chains"] == 1
    assert [e.message.kind for e in voter.persisted(0.0, persist.token)] == ["accepted"]


DELIVERIES = st.lists(
    st.sampled_from(["as is", "lost", "twice", "late", "bent", "short", "elsewhere"]), max_size=60
)


@given(DELIVERIES, st.integers(1, 5), st.booleans())
def test_a_fetch_completes_with_the_right_content_despite_lost_late_or_corrupted_chunks(
    deliveries, place, chained
):
    source, reader, datas = source_and_reader(count=6, place=place, rows=150)
    if not chained:
        source.store.delta_links.clear()
    newest_id, late, deliveries = digest(datas[-1]), [], list(deliveries)

    def deliver(chunk):
        delivery = deliveries.pop() if deliveries else "as is"
        after = [late.pop()] if late and delivery != "late" else []
        if delivery == "late":
            late.append(chunk)
            return []
        corrupted = {
            "bent": msgspec.structs.replace(chunk, data=bytes([chunk.data[0] ^ 1]) + chunk.data[1:]),
            "short": msgspec.structs.replace(chunk, data=chunk.data[:7]),
            "elsewhere": msgspec.structs.replace(chunk, at=min(chunk.at + 1, chunk.size - len(chunk.data))),
        }
        return {"as is": [chunk], "lost": [], "twice": [chunk, chunk]}.get(
            delivery, [corrupted.get(delivery, chunk)]
        ) + after

    effects, now = reader.receive_status(0.0, "b", status_response(6, newest_id)), 0.0
    for _ in range(100):
        exchange(source, reader, effects, deliver)
        assert reader.number in (place, 6)
        for fetch in reader.fetcher.fetches.values():
            assert len(fetch.out_of_order) <= WINDOW_CHUNKS
            assert len(fetch.received) <= max(map(len, datas))
        if reader.number == 6:
            break
        now += 2000.0
        effects = fetch_effects(reader.tick(now))
    assert reader.number == 6
    assert reader.store.contents[reader.content_id] == datas[-1]


@pytest.mark.parametrize("chained", [True, False])
def test_a_long_fetch_completes_although_a_fifth_of_the_chunks_is_lost(chained):
    source, reader, datas = source_and_reader(count=101 if chained else 6, rows=600)
    if not chained:
        source.store.delta_links.clear()
    newest_id, lost, now = digest(datas[-1]), RandomSource("lost"), 0.0
    effects = reader.receive_status(0.0, "b", status_response(len(datas), newest_id))
    periods = 0
    while reader.number < len(datas) and periods < 60:
        periods += 1
        if lost() >= 0.2:
            exchange(source, reader, effects, lambda chunk: [] if lost() < 0.2 else [chunk])
        now += 2000.0
        effects = fetch_effects(reader.tick(now))
    assert reader.store.contents[reader.content_id] == datas[-1]
    assert (reader.store.transfer_counts["chains"], reader.store.transfer_counts["whole"]) == (
        (1, 0) if chained else (0, 1)
    )


def test_chunks_received_out_of_order_are_reordered_without_further_requests():
    source, reader, datas = source_and_reader(place=1, rows=100)
    source.store.delta_links.clear()
    effects = reader.receive_status(0.0, "b", status_response(6, digest(datas[-1])))
    requests = fetch_requests(effects)
    rounds = 0
    while requests:
        rounds += 1
        chunks = answer(source, requests)[::-1]
        effects = [e for c in chunks for e in persist_all(reader, reader.receive_chunk(0.0, "b", c))]
        requests = fetch_requests(effects)
    assert reader.number == 6
    assert rounds == -(-len(datas[-1]) // (WINDOW_CHUNKS * messages.CHUNK_BYTES))


@pytest.mark.parametrize(
    ("make_chunk", "code"),
    [
        (lambda _content_id, _base_id: Chunk(digest(b"x"), 5, 0, b"12345"), "unasked"),
        (lambda content_id, _base_id: Chunk(content_id, 5000, 0, b"x" * 1024, digest(b"x")), "other-form"),
        (lambda content_id, _base_id: Chunk(content_id, 50000, 20480, b"x" * 1024), "out-of-turn"),
        (lambda content_id, _base_id: Chunk(content_id, 5000, 3, b"x" * 1024), "out-of-turn"),
        (lambda content_id, _base_id: Chunk(content_id, 5000, 1024, b"x" * 10), "out-of-turn"),
    ],
)
def test_a_discarded_chunk_is_counted_and_changes_nothing(make_chunk, code):
    _, reader, datas = source_and_reader()
    reader.receive_status(0.0, "b", status_response(6, digest(datas[-1])))
    fetches = reader.fetcher.fetches
    before = dict(reader.store.contents), {id: fetch.next_request() for id, fetch in fetches.items()}
    assert reader.receive_chunk(0.0, "e", make_chunk(digest(datas[-1]), reader.content_id)) == []
    after = dict(reader.store.contents), {id: fetch.next_request() for id, fetch in fetches.items()}
    assert after == before
    assert reader.store.transfer_counts[code] == 1
    assert not any(f.out_of_order for f in reader.fetcher.fetches.values())


def test_a_wrong_announced_size_delays_a_fetch_by_at_most_the_stalled_periods():
    source, reader, datas = source_and_reader(rows=100)
    source.store.delta_links.clear()
    reader.receive_status(0.0, "b", status_response(6, digest(datas[-1])))
    reader.receive_chunk(0.0, "e", Chunk(digest(datas[-1]), 99999, 0, b"x" * 1024))
    now = 0.0
    for _ in range(MAX_STALLED_PERIODS + 1):
        now += 2000.0
        effects = fetch_effects(reader.tick(now))
        exchange(source, reader, effects)
    assert reader.number == 6
