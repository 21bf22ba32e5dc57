"""One sample of each message and stored record, with every field named and a distinct value in each field.

Their encoding by commit 53bfa1a is kept in tests/data/wire.json, which is never regenerated: a change of the
order of fields, of a tag or of a number gives other bytes.
"""

from marlseam.cluster import audit_log, membership_codec
from marlseam.cluster.replication import content, delta, messages
from marlseam.recovery import handover_codec
from marlseam.store import file_format as files

DIGEST = "ab" * 32
OTHER_DIGEST = "cd" * 32


def membership_datagrams():
    """Yield a membership datagram of each kind, with gossip about other members."""
    state = membership_codec.MemberState(
        incarnation=3, generation=1234567, status=membership_codec.MemberStatus.SUSPECT
    )
    entries = [
        membership_codec.GossipEntry(name="n2", state=state, suspected_by="n3"),
        membership_codec.GossipEntry(
            name="n4",
            state=membership_codec.MemberState(
                incarnation=5, generation=6, status=membership_codec.MemberStatus.LEFT
            ),
        ),
        membership_codec.GossipEntry(
            name="n5",
            state=membership_codec.MemberState(
                incarnation=7, generation=8, status=membership_codec.MemberStatus.DEAD
            ),
        ),
    ]
    own = membership_codec.MemberState(
        incarnation=1, generation=99, status=membership_codec.MemberStatus.ALIVE
    )
    for kind in (
        membership_codec.DatagramKind.PING,
        membership_codec.DatagramKind.ACK,
        membership_codec.DatagramKind.ASK,
        membership_codec.DatagramKind.NACK,
    ):
        yield membership_codec.Datagram(
            version=membership_codec.VERSION,
            cluster="f",
            sender="n1",
            sender_state=own,
            kind=kind,
            sequence=41,
            subject="n2",
            entries=entries,
        )


def replication_datagrams():
    """Yield a replication datagram of each kind of message."""
    all_messages = [
        messages.StatusRequest(seq=11, number=12),
        messages.StatusResponse(
            seq=21,
            number=22,
            id=DIGEST,
            acting=23,
            serving=True,
            code="held",
            accepted=24,
            top=25,
            votes=True,
            age_ms=26.5,
        ),
        messages.FetchRequest(id=DIGEST, at=31, have=OTHER_DIGEST),
        messages.Chunk(id=DIGEST, size=400, at=41, data=b"piece", have=OTHER_DIGEST),
        *(
            messages.VoteMessage(
                kind=kind,
                number=51,
                round=52,
                place="n1/53",
                other_round=54,
                other_place="n2/55",
                value=DIGEST,
                why="a reason",
            )
            for kind in messages.KINDS_BY_VOTE
        ),
    ]
    for message in all_messages:
        yield messages.ReplicationDatagram(version=messages.VERSION, fleet="f", sender="n1", message=message)


def handover_lines():
    """Yield each kind of line that one process of a node writes to another during a handover."""
    row = handover_codec.AttemptSent(
        key="k", server="e1", zone="here", cell=5, sent_ms=1000.5, until_ms=2000.5
    )
    hosts = [{"host": "e1", "dial": "127.0.0.1:1"}, {"host": "e2", "dial": "127.0.0.1:2"}]
    yield handover_codec.encode_hello("n1", 17)
    yield handover_codec.encode_hello("n1", 17, is_in_cluster=True, epoch_ms=1.5)
    yield handover_codec.encode_proof(handover_codec.VersionProof(number=41, id=DIGEST, mono_ms=42.5))
    yield handover_codec.encode_sent([row])
    yield handover_codec.encode_never(handover_codec.AttemptNeverRan(key="k", server="e1", sent_ms=1000.5))
    yield b"".join(handover_codec.encode_snapshot(43, hosts, [row, row]))
    yield handover_codec.GOODBYE_LINE


def state_records():
    """Yield each kind of record in the files of a state directory."""
    sent = files.AttemptSent(key="k", server="e1", zone="here", cell=5, sent_ms=11.5, until_ms=12.5)
    yield files.FileHeader(
        kind="journal",
        version=files.FORMAT_VERSION,
        node="n1",
        number=7,
        created_ms=13.5,
        boot="b",
        zero_ms=14.5,
    )
    yield files.ListStored(version=21, rows=[{"host": "e1"}], confirmed_ms=22.5)
    yield files.ListConfirmed(confirmed_ms=31.5)
    yield sent
    yield files.AttemptBatch(rows=[sent, sent])
    yield files.AttemptNeverRan(key="k", server="e1", sent_ms=41.5)
    yield files.DepartureRateStored(departures=51.5, lived_ms=52.5)
    yield files.HistoryLost(since_ms=61.5)
    yield files.SnapshotEnd(records=71)


def ledger_records():
    """Yield each kind of record of a ledger."""
    yield audit_log.LedgerBegun(wall_ms=1.5)
    yield audit_log.FileOpened(inode=2)
    yield audit_log.BatchWritten(wall_ms=3.5)
    yield audit_log.ProcessStarted(
        generation=4,
        program="p",
        boot="b",
        wall_ms=5.5,
        mono_ms=6.5,
        lease_ms=7.5,
        beside=True,
        zero_ms=8.5,
    )
    yield audit_log.IntervalBegun(
        generation=11,
        interval=12,
        program="p",
        number=13,
        id=DIGEST,
        settings_digest=OTHER_DIGEST,
        endpoint_list_version=14,
        proved=True,
        serving=False,
        code="c",
        wall_ms=15.5,
        mono_ms=16.5,
    )
    yield audit_log.ActionCounts(generation=21, rows=[(22, 23, 24, 25, 26)], wall_ms=27.5, mono_ms=28.5)
    yield audit_log.ProcessEnded(generation=31, wall_ms=32.5, mono_ms=33.5)
    yield audit_log.AcceptorPromise(
        number=41, round=42, place="n1/43", accepted_round=44, accepted_place="n2/45", value=DIGEST
    )
    yield audit_log.ContentStored(id=DIGEST, data=b"content")
    yield audit_log.VersionHeld(number=51, id=DIGEST, wall_ms=52.5)
    yield audit_log.VotesExcluded(number=61)
    yield audit_log.OperatorOverride(out=True, why="a reason", wall_ms=71.5)


def contents():
    """Yield the content of a configuration version, and a change to the next one, both encoded."""
    settings = {"b": [1, 2.0, True], "a": {"y": 1, "x": "text"}, "zone": "own"}
    yield content.write(
        content.Content(
            format=content.FORMAT,
            number=4,
            before=DIGEST,
            voters=["n1", "n2", "n3"],
            why="a reason",
            by="n1",
            settings=settings,
            members={"n2": "127.0.0.1:2", "n1": "127.0.0.1:1"},
        )
    )
    yield delta.ENCODER.encode(
        delta.Change(
            id=DIGEST,
            edits=[
                delta.Put(path=["a", 1], value={"k": 1}),
                delta.Drop(path=["a", "b"]),
                delta.Splice(path=["c"], at=2, count=3, values=[4, 5]),
            ],
        )
    )


def samples():
    """Return the encoding of each sample by its name in tests/data/wire.json."""
    found = {
        f"letter {i}": membership_codec.write(datagram) for i, datagram in enumerate(membership_datagrams())
    }
    found |= {f"note {i}": messages.write(datagram) for i, datagram in enumerate(replication_datagrams())}
    found |= {f"handover {i}": line for i, line in enumerate(handover_lines())}
    found |= {f"state {i}": files.encode_record(record) for i, record in enumerate(state_records())}
    found |= {f"ledger {i}": audit_log.encode(record) for i, record in enumerate(ledger_records())}
    found |= {f"content {i}": data for i, data in enumerate(contents())}
    return found
