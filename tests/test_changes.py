"""Changes of a fleet's configuration: what they cost hollow nodes, and how they are passed on."""

import json
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from marlseam.__main__ import main
from marlseam.cluster.audit_log import ContentStored, RecoveredLog
from marlseam.cluster.checking import replication_schedules
from marlseam.cluster.replication import delta, messages
from marlseam.cluster.replication.content import (
    FORMAT,
    Content,
    SettingsDigester,
    digest,
    read,
    settings_digest,
    write,
)
from marlseam.cluster.replication.content_store import ContentStore
from marlseam.cluster.replication.effects import Persist, SendMessage
from marlseam.cluster.replication.fetch import (
    MAX_STALLED_PERIODS,
    WINDOW_CHUNKS,
    ContentFetcher,
    FetchProgress,
)
from marlseam.cluster.replication.messages import Chunk, FetchRequest, StatusResponse, VoteMessage
from marlseam.cluster.replication.replica import ConfigReplica
from marlseam.cluster.replication.settings import ReplicationSettings
from marlseam.experiment import file, measures, plays
from marlseam.experiment.config_change_measurement import SimulatedCase, measure_case
from marlseam.experiment.config_change_workload import change_one_team, team_quotas
from marlseam.experiment.size_changes_report import is_count
from marlseam.random_source import RandomSource

SHORT = Path(__file__).parent.parent / "experiments" / "size-changes-short.toml"


def test_the_short_experiment_holds_and_gives_the_same_counts_twice(tmp_path):
    measures.register()
    experiment = file.load(SHORT)
    code, missed = plays.run(experiment, tmp_path / "one", lambda text: None)
    assert code == 0, missed
    runs = [plays.PLAYS["size_changes"](experiment, tmp_path / name, lambda text: None) for name in "ab"]
    counts = [{key: value for key, value in run.figures.items() if is_count(key)} for run in runs]
    assert counts[0] == counts[1]
    assert len(counts[0]) > 30


def test_an_experiment_that_needs_too_much_is_refused_with_what_would_fit(tmp_path):
    path = tmp_path / "big.toml"
    path.write_text(SHORT.read_text().replace("nodes = 12", "nodes = 60000"))
    result = CliRunner().invoke(main, ["experiment", "run", str(path), "--out", str(tmp_path / "out")])
    assert result.exit_code == 2
    assert "would fit" in result.output
    assert not (tmp_path / "out" / "band").exists()


@pytest.mark.parametrize("mark", [0, 1, 1000])
def test_a_change_is_of_one_team(mark):
    before = {"teams": team_quotas(10)}
    after = change_one_team(before, 7, mark)
    assert sum(before["teams"][name] != after["teams"][name] for name in before["teams"]) == 1


# Deltas of documents.

TEXTS = st.text('abz_é"\\', max_size=4)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-3, 3) | st.sampled_from([0.5, -0.0, 1e-9, 3e300]) | TEXTS,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(TEXTS, inner, max_size=4),
    max_leaves=12,
)
SETTINGS = st.dictionaries(TEXTS, VALUES, max_size=5)


def content(number=1, before="", **more):
    values = {"voters": list("abc"), "why": "w", "by": "a", "settings": {"x": number}} | more
    return Content(FORMAT, number, before, **values)


def written(some):
    data = write(some)
    return data, delta.decode_document(data)


@given(SETTINGS, SETTINGS, st.dictionaries(TEXTS.filter(bool), TEXTS, max_size=3))
def test_a_delta_makes_exactly_one_content_out_of_the_other(one, two, members):
    before, base = written(content(settings=one))
    after, document = written(content(2, digest(before), settings=two, members=members, why="x"))
    computed = delta.compute_change(base, after, document)
    found, shared = computed.data, computed.document
    assert shared == document
    link = delta.DeltaLink(digest(before), found)
    chained = delta.apply_chain(base, digest(before), delta.encode_chain([link]), digest(after))
    assert chained.data == after
    assert chained.document == document
    assert base == delta.decode_document(before)  # not changed in place


def versions_of(settings):
    """Return contents that follow each other, and the links between them."""
    datas, links = [], []
    for number, some in enumerate(settings, 1):
        before = digest(datas[-1]) if datas else ""
        data, document = written(content(number, before, settings=some))
        if datas:
            links.append(
                delta.DeltaLink(
                    before, delta.compute_change(delta.decode_document(datas[-1]), data, document).data
                )
            )
        datas.append(data)
    return datas, links


@given(st.lists(SETTINGS, min_size=2, max_size=5), st.data())
def test_a_tampered_chain_raises_or_leads_to_the_content_asked_for(settings, data):
    datas, links = versions_of(settings)
    start, goal = digest(datas[0]), digest(datas[-1])
    raw = bytearray(delta.encode_chain(links))
    kind = data.draw(st.sampled_from(["flip", "cut", "drop", "swap", "twice", "other base", "other goal"]))
    base = delta.decode_document(datas[0])
    if kind == "flip":
        raw[data.draw(st.integers(0, len(raw) - 1))] ^= data.draw(st.integers(1, 255))
    elif kind == "cut":
        del raw[data.draw(st.integers(0, len(raw) - 1)) :]
    elif kind in ("drop", "swap", "twice"):
        at = data.draw(st.integers(0, len(links) - 1))
        some = {
            "drop": [*links[:at], *links[at + 1 :]],
            "twice": [*links[: at + 1], *links[at:]],
            "swap": links[::-1],
        }[kind]
        raw = bytearray(delta.encode_chain(some))
    elif kind == "other base":
        base = delta.decode_document(datas[-1])
    else:
        goal = digest(b"another")
    try:
        found = delta.apply_chain(base, start, bytes(raw), goal)
    except delta.DeltaError:
        return
    assert found.data == datas[-1]


@pytest.mark.parametrize(
    "edit",
    [
        delta.Put([], 1),
        delta.Put(["number"], 9),
        delta.Put(["before"], "x"),
        delta.Drop(["nothing"]),
        delta.Put(["settings", "a", "b", "c"], 1),
        delta.Put(["settings", "list", 7], 1),
        delta.Put(["settings", "list", -1], 1),
        delta.Put(["settings", "list", True], 1),
        delta.Splice(["settings", "list"], 2, 2, []),
        delta.Splice(["settings"], 0, 0, []),
        delta.Splice(["settings", "list"], -1, 0, []),
        delta.Drop(["settings", "list", 0]),
        delta.Put(["x"] * 99, 1),
        delta.Drop([]),
        delta.Put(["settings", 0], 1),
    ],
)
def test_an_edit_without_a_place_raises_and_changes_nothing(edit):
    _, base = written(content(settings={"a": {"b": 1}, "list": [1, 2, 3]}))
    kept = json.dumps(base)
    with pytest.raises(delta.DeltaError):
        delta.apply_change(base, "i", delta.Change("i", [edit]))
    assert json.dumps(base) == kept


def test_a_chain_that_grows_beyond_the_maximum_content_size_raises():
    data, base = written(content())
    edit = delta.Put(["settings", "y"], "y" * messages.MAX_CONTENT_BYTES)
    raw = delta.ENCODER.encode([delta.Change("0" * 64, [edit])])
    with pytest.raises(delta.DeltaError, match="too large"):
        delta.apply_chain(base, digest(data), raw, "0" * 64)


def test_what_is_not_edited_is_the_same_object_and_one_quota_is_two_edits():
    before, base = written(content(settings={"teams": team_quotas(300), "kinds": ["a", "b"]}))
    changed_settings = change_one_team({"teams": team_quotas(300), "kinds": ["a", "b"]}, 1, 1)
    after, document = written(content(2, digest(before), settings=changed_settings, why="x"))
    computed = delta.compute_change(base, after, document)
    raw, found = computed.data, computed.document
    assert len(raw) < 200 < len(after) / 50
    assert found == delta.apply_change(base, digest(before), delta.CHANGE.decode(raw))
    kept = [
        name for name, row in found["settings"]["teams"].items() if row is base["settings"]["teams"][name]
    ]
    assert len(kept) == 299
    assert found["settings"]["kinds"] is base["settings"]["kinds"]


@given(SETTINGS, SETTINGS)
def test_the_incremental_settings_digest_equals_the_full_one(one, two):
    following = SettingsDigester()
    assert following.digest(one) == settings_digest(one)
    assert following.digest(one | two) == settings_digest(one | two)
    assert following.digest(two) == settings_digest(two)


# One replica.

NAMES = frozenset("abcdefg")
LEASE = 15000.0


def make_replica(name="a", **more):
    terms = ReplicationSettings(frozenset("abc"), 1000.0, LEASE, True, 10.0 * LEASE)
    return ConfigReplica(name, NAMES, terms, f"{name}/1", 7, 0.0, RecoveredLog(begun=True), **more)


def settle(replica, effects, now=0.0):
    """Make all durable that is to be persisted, and return the other effects."""
    said = []
    for effect in effects:
        if type(effect) is Persist:
            said += settle(replica, replica.persisted(now, effect.token), now)
        else:
            said.append(effect)
    return said


def hold(replica, data, number):
    """Have a replica take a content in as a whole."""
    id = digest(data)
    replica.store.contents[id] = data
    replica.store.add_delta_from_predecessor(id)
    settle(replica, replica.persist_and_hold(number, id))


def status_response(number, id):
    return StatusResponse(0, number, id, number, True, "", number, number, True, -1.0)


def some_contents(count, rows=60):
    settings, found = {"teams": team_quotas(rows)}, []
    for number in range(1, count + 1):
        before = digest(found[-1]) if found else ""
        found.append(write(content(number, before, settings=settings)))
        settings = change_one_team(settings, 5, number)
    return found


def source_and_reader(count=6, place=1, rows=60):
    """Return a replica that holds some contents' last, one that holds an earlier one, and the contents."""
    datas = some_contents(count, rows)
    source, reader = make_replica("b"), make_replica("d")
    for number, data in enumerate(datas, 1):
        hold(source, data, number)
        if number <= place:
            hold(reader, data, number)
    return source, reader, datas


def exchange(source, reader, effects, meddle=lambda say: [say]):
    """Have a source answer a reader's requests until there are none; return the count and bytes of chunks."""
    count = size = 0
    wants = [e.message for e in effects if type(e) is SendMessage and type(e.message) is FetchRequest]
    while wants:
        pieces = [e.message for want in wants for e in source.fetcher.send_chunks("d", want)]
        wants = []
        for piece in pieces:
            count, size = count + 1, size + len(piece.data)
            for heard in meddle(piece):
                said = settle(reader, reader.receive_chunk(0.0, "b", heard))
                wants += [
                    e.message for e in said if type(e) is SendMessage and type(e.message) is FetchRequest
                ]
    return count, size


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
    # And it can pass on what it was sent.
    assert reader.store.delta_chain(digest(datas[0]), digest(datas[-1])) == source.store.delta_chain(
        digest(datas[0]), digest(datas[-1])
    )


def test_the_smaller_of_deltas_and_whole_is_sent():
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


def test_a_replica_that_received_the_whole_can_send_the_delta():
    source, reader, datas = source_and_reader(count=3, place=2)
    source.store.delta_links.clear()
    exchange(source, reader, reader.receive_status(0.0, "b", status_response(3, digest(datas[-1]))))
    assert reader.store.transfer_counts["whole"] == 1
    assert reader.store.delta_chain(digest(datas[1]), digest(datas[2])) is not None


def test_wrong_deltas_are_detected_and_the_whole_is_requested():
    source, reader, datas = source_and_reader()
    links = source.store.delta_links
    last = links[digest(datas[-1])]
    links[digest(datas[-1])] = delta.DeltaLink(last.before, last.data.replace(b"1005", b"1006"))
    effects = reader.receive_status(0.0, "b", status_response(6, digest(datas[-1])))
    (piece,) = [e.message for e in source.fetcher.send_chunks("d", effects[0].message)]
    log, again = reader.receive_chunk(0.0, "b", piece)
    assert "code=changes" in log.text
    assert again.message == FetchRequest(digest(datas[-1]), 0, "")
    assert reader.number == 1
    assert reader.store.transfer_counts["changes"] == 1
    assert reader.store.transfer_counts["edits"] == 0
    exchange(source, reader, [again])
    assert reader.number == 6
    assert reader.store.contents[reader.content_id] == datas[-1]


def test_deltas_to_a_content_that_was_dropped_are_requested_anew():
    source, reader, datas = source_and_reader(count=6, place=1)
    effects = reader.receive_status(0.0, "b", status_response(6, digest(datas[-1])))
    pieces = [e.message for e in source.fetcher.send_chunks("d", effects[0].message)]
    hold(reader, datas[1], 2)
    (again,) = reader.receive_chunk(0.0, "b", pieces[0])
    assert again.message.have == digest(datas[1])
    assert reader.store.transfer_counts["gone"] == 1
    exchange(source, reader, [again])
    assert reader.number == 6
    assert reader.store.transfer_counts["chains"] == 1


def test_a_voter_receives_a_candidate_as_deltas_and_accepts_it_once_the_whole_is_durable():
    source, voter, datas = source_and_reader(count=3, place=3)
    data = write(content(4, digest(datas[-1]), settings=change_one_team({"teams": team_quotas(60)}, 9, 9)))
    source.publish(0.0, data)
    voter.voters |= {"d"}
    effects = voter.receive(0.0, "b", VoteMessage("accept", 4, 1, "b/1", value=digest(data)))
    assert effects[0].message == FetchRequest(digest(data), 0, digest(datas[-1]))
    (piece,) = [e.message for e in source.fetcher.send_chunks("d", effects[0].message)]
    (persist,) = voter.receive_chunk(0.0, "b", piece)
    stored = [e for e in persist.records if type(e) is ContentStored]
    assert stored == [ContentStored(digest(data), data)]
    assert voter.store.transfer_counts["chains"] == 1
    assert [e.message.kind for e in voter.persisted(0.0, persist.token)] == ["accepted"]


MEDDLING = st.lists(
    st.sampled_from(["as is", "lost", "twice", "late", "bent", "short", "elsewhere"]), max_size=60
)


@given(MEDDLING, st.integers(1, 5), st.booleans())
def test_whatever_becomes_of_chunks_the_fetch_completes_with_the_right_content(fates, place, chained):
    source, reader, datas = source_and_reader(count=6, place=place, rows=150)
    if not chained:
        source.store.delta_links.clear()
    goal, late, fates = digest(datas[-1]), [], list(fates)

    def meddle(piece):
        fate = fates.pop() if fates else "as is"
        after = [late.pop()] if late and fate != "late" else []
        if fate == "late":
            late.append(piece)
            return []
        bent = {
            "bent": msgspec.structs.replace(piece, data=bytes([piece.data[0] ^ 1]) + piece.data[1:]),
            "short": msgspec.structs.replace(piece, data=piece.data[:7]),
            "elsewhere": msgspec.structs.replace(piece, at=min(piece.at + 1, piece.size - len(piece.data))),
        }
        return {"as is": [piece], "lost": [], "twice": [piece, piece]}.get(
            fate, [bent.get(fate, piece)]
        ) + after

    effects, now = reader.receive_status(0.0, "b", status_response(6, goal)), 0.0
    for _ in range(100):
        exchange(source, reader, effects, meddle)
        assert reader.number in (place, 6)
        for fetch in reader.fetcher.fetches.values():
            assert len(fetch.ahead) <= WINDOW_CHUNKS
            assert len(fetch.received) <= max(map(len, datas))
        if reader.number == 6:
            break
        now += 2000.0
        effects = [e for e in reader.tick(now) if type(getattr(e, "message", None)) is FetchRequest]
    assert reader.number == 6
    assert reader.store.contents[reader.content_id] == datas[-1]


@pytest.mark.parametrize("chained", [True, False])
def test_a_long_fetch_completes_though_a_fifth_of_the_chunks_is_lost(chained):
    source, reader, datas = source_and_reader(count=101 if chained else 6, rows=600)
    if not chained:
        source.store.delta_links.clear()
    goal, lost, now = digest(datas[-1]), RandomSource("lost"), 0.0
    effects = reader.receive_status(0.0, "b", status_response(len(datas), goal))
    periods = 0
    while reader.number < len(datas) and periods < 60:
        periods += 1
        if lost() >= 0.2:
            exchange(source, reader, effects, lambda piece: [] if lost() < 0.2 else [piece])
        now += 2000.0
        effects = [e for e in reader.tick(now) if type(getattr(e, "message", None)) is FetchRequest]
    assert reader.store.contents[reader.content_id] == datas[-1]
    assert (reader.store.transfer_counts["chains"], reader.store.transfer_counts["whole"]) == (
        (1, 0) if chained else (0, 1)
    )


def test_chunks_that_overtake_each_other_are_put_in_order():
    source, reader, datas = source_and_reader(place=1, rows=100)
    source.store.delta_links.clear()
    effects = reader.receive_status(0.0, "b", status_response(6, digest(datas[-1])))
    wants = [e.message for e in effects if type(e) is SendMessage and type(e.message) is FetchRequest]
    rounds = 0
    while wants:
        rounds += 1
        pieces = [e.message for want in wants for e in source.fetcher.send_chunks("d", want)][::-1]
        said = [e for piece in pieces for e in settle(reader, reader.receive_chunk(0.0, "b", piece))]
        wants = [e.message for e in said if type(e) is SendMessage and type(e.message) is FetchRequest]
    assert reader.number == 6
    assert rounds == -(-len(datas[-1]) // (WINDOW_CHUNKS * messages.CHUNK_BYTES))


@pytest.mark.parametrize(
    ("piece", "code"),
    [
        (lambda id, have: Chunk(digest(b"x"), 5, 0, b"12345"), "unasked"),
        (lambda id, have: Chunk(id, 5000, 0, b"x" * 1024, digest(b"x")), "other-form"),
        (lambda id, have: Chunk(id, 50000, 20480, b"x" * 1024), "out-of-turn"),
        (lambda id, have: Chunk(id, 5000, 3, b"x" * 1024), "out-of-turn"),
        (lambda id, have: Chunk(id, 5000, 1024, b"x" * 10), "out-of-turn"),
    ],
)
def test_a_discarded_chunk_is_counted_and_changes_nothing(piece, code):
    _, reader, datas = source_and_reader()
    reader.receive_status(0.0, "b", status_response(6, digest(datas[-1])))
    fetches = reader.fetcher.fetches
    before = dict(reader.store.contents), {id: fetch.next_request() for id, fetch in fetches.items()}
    assert reader.receive_chunk(0.0, "e", piece(digest(datas[-1]), reader.content_id)) == []
    after = dict(reader.store.contents), {id: fetch.next_request() for id, fetch in fetches.items()}
    assert after == before
    assert reader.store.transfer_counts[code] == 1
    assert not any(f.ahead for f in reader.fetcher.fetches.values())


def test_a_wrong_size_delays_a_fetch_by_at_most_the_stalled_periods():
    source, reader, datas = source_and_reader(rows=100)
    source.store.delta_links.clear()
    reader.receive_status(0.0, "b", status_response(6, digest(datas[-1])))
    reader.receive_chunk(0.0, "e", Chunk(digest(datas[-1]), 99999, 0, b"x" * 1024))
    now = 0.0
    for _ in range(MAX_STALLED_PERIODS + 1):
        now += 2000.0
        effects = [e for e in reader.tick(now) if type(getattr(e, "message", None)) is FetchRequest]
        exchange(source, reader, effects)
    assert reader.number == 6


# A cluster in which some run a program that knows no deltas.


class OldWant(msgspec.Struct, array_like=True, frozen=True, tag="want"):
    """As it was before deltas."""

    id: str
    at: int


class OldPiece(msgspec.Struct, array_like=True, frozen=True, tag="piece"):
    """As it was before deltas."""

    id: str
    size: int
    at: int
    data: bytes


OLD = msgspec.msgpack.Decoder(messages.StatusRequest | StatusResponse | VoteMessage | OldWant | OldPiece)


class Older(ConfigReplica):
    """A program that knows no deltas: it reads and sends what that did."""

    def receive(self, now, sender, say):
        old = OLD.decode(msgspec.msgpack.encode(say))  # as its codec reads it
        say = msgspec.msgpack.decode(msgspec.msgpack.encode(old), type=messages.ReplicationMessage)
        assert getattr(say, "have", "") == ""
        return [self.in_old_form(effect) for effect in super().receive(now, sender, say)]

    def tick(self, now):
        return [self.in_old_form(effect) for effect in super().tick(now)]

    def in_old_form(self, effect):
        if type(effect) is not SendMessage or type(effect.message) is not FetchRequest:
            return effect
        say = msgspec.msgpack.decode(
            msgspec.msgpack.encode(OldWant(effect.message.id, effect.message.at)),
            type=messages.ReplicationMessage,
        )
        return SendMessage(effect.recipient, say)


def mixed(name, *words):
    return (Older if name in ("n0", "n3", "n5") else ConfigReplica)(name, *words)


@pytest.mark.parametrize("seed", [0, 3, 17, 42, 81])
def test_a_mixed_cluster_sends_whole_contents_to_programs_that_know_no_deltas(seed):
    strikes = replication_schedules.schedule(7, seed) if seed else []
    assert replication_schedules.play(7, seed, strikes, mixed).violations == []


def test_in_a_mixed_cluster_programs_that_know_deltas_receive_them():
    world = replication_schedules.ReplicationSimulation(7, 1, [], machine=mixed)
    world.run(5000.0)
    for mark in range(1, 9):
        world.publish("n1", mark)
        world.run(world.now + 6000.0)
    assert world.stale_replicas() == []
    assert world.checker.findings == []
    assert len(world.checker.chosen) == 8
    came = {name: seat.machine.store.transfer_counts for name, seat in world.processes.items()}
    assert all(came[name]["whole"] == 8 and not came[name]["chains"] for name in ("n0", "n3", "n5"))
    # An older program sends them the whole; others, past the first version, deltas.
    assert all(came[name]["chains"] >= 3 for name in ("n2", "n4", "n6"))


# The search in virtual time, and defects that it finds.


@pytest.mark.parametrize("seed", [2, 9, 33, 145])
def test_corrupted_chunks_break_no_bound(seed):
    found = replication_schedules.play(7, seed, replication_schedules.schedule(7, seed), twists=0.1)
    assert found.violations == []


class UncheckedStore(ContentStore):
    """Does not compare what deltas lead to with the id asked for."""

    def apply_delta_chain(self, base_id, chain, content_id):
        document, before = self.document(base_id), base_id
        try:
            for change in delta.CHAIN.decode(chain):
                document, before = delta.apply_change(document, before, change), change.id
        except msgspec.MsgspecError as error:
            raise delta.DeltaError(str(error)) from None
        return delta.encode_document(document)


class Unchecked(ConfigReplica):
    """Planted: what deltas lead to is not held against the id."""

    store_type = UncheckedStore


class LastDeltaStore(ContentStore):
    """Gives the last delta alone, whatever the base."""

    def delta_chain(self, base_id, content_id):
        link = self.delta_links.get(content_id)
        return delta.encode_chain([link]) if link is not None else None


class LastAlone(ConfigReplica):
    """Planted: the last delta alone is sent, wherever the reader is."""

    store_type = LastDeltaStore


class DeltasOnlyFetcher(ContentFetcher):
    """Discards a whole content where it asked for deltas."""

    def receive_chunk(self, sender, chunk):
        fetch = self.fetches.get(chunk.id)
        if fetch and fetch.base_id and not chunk.have:
            return FetchProgress([])
        return super().receive_chunk(sender, chunk)


class Stubborn(ConfigReplica):
    """Planted: one that asked for deltas takes no whole."""

    fetcher_type = DeltasOnlyFetcher


class UntrimmedStore(ContentStore):
    """Keeps all deltas."""

    def trim_delta_links(self):
        pass


class Hoards(ConfigReplica):
    """Planted: deltas are kept for ever."""

    store_type = UntrimmedStore


class UnorderedFetcher(ContentFetcher):
    """Takes each chunk for the next one."""

    def receive_chunk(self, sender, chunk):
        fetch = self.fetches.get(chunk.id)
        at = len(fetch.received) if fetch else 0
        misplaced = msgspec.structs.replace(chunk, at=min(at, chunk.size - len(chunk.data)))
        return super().receive_chunk(sender, misplaced)


class AsTheyCome(ConfigReplica):
    """Planted: chunks are put together as they come."""

    fetcher_type = UnorderedFetcher


PLANTED = [
    (Unchecked, 2, 0.1, replication_schedules.CONTENT_ROWS),
    (LastAlone, 2, 0.0, replication_schedules.CONTENT_ROWS),
    (Stubborn, 128, 0.0, replication_schedules.CONTENT_ROWS),
    (Hoards, 1, 0.0, replication_schedules.CONTENT_ROWS),
    (AsTheyCome, 1, 0.0, 150),
]


@pytest.mark.parametrize(("replica_type", "seed", "twists", "rows"), PLANTED)
def test_a_planted_defect_is_found(replica_type, seed, twists, rows):
    strikes = replication_schedules.schedule(7, seed)
    assert replication_schedules.play(7, seed, strikes, replica_type, twists=twists, rows=rows).violations
    assert replication_schedules.play(7, seed, strikes, twists=twists, rows=rows).violations == []


class WithoutOwnDeltas(ContentStore):
    """Computes no delta."""

    def add_delta_from_predecessor(self, content_id):
        pass


class ForgetsIts(ConfigReplica):
    """Planted: no delta is computed for what is published, so all are sent the whole."""

    store_type = WithoutOwnDeltas


def test_the_counts_show_that_nobody_sends_deltas():
    experiment = file.load(SHORT)
    settings = msgspec.structs.replace(experiment.tables["size_changes"], burst=0)
    bytes_change = [
        measure_case(SimulatedCase(1, settings, teams=160, nodes=12, replica_type=replica))["bytes_change"]
        for replica in (ConfigReplica, ForgetsIts)
    ]
    assert bytes_change[0] < 3000 < 10000 < bytes_change[1]
