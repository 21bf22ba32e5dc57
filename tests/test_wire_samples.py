"""What is sent and stored keeps its bytes, whatever the types and fields are called in the code."""

import json
from pathlib import Path

import pytest
import wire_samples

from marlseam.cluster import audit_log, membership_codec
from marlseam.cluster.replication import messages
from marlseam.recovery import handover_codec
from marlseam.store import file_format as files

KEPT = {
    name: bytes.fromhex(data)
    for name, data in json.loads((Path(__file__).parent / "data" / "wire.json").read_text()).items()
}
WRITTEN = wire_samples.samples()
NAMES = frozenset({"n1", "n2", "n3", "n4", "n5"})


def kept(prefix):
    return [data for name, data in KEPT.items() if name.startswith(prefix + " ")]


def test_no_message_or_record_is_missing():
    assert set(WRITTEN) == set(KEPT)


@pytest.mark.parametrize("name", KEPT)
def test_each_message_and_record_is_written_as_before(name):
    assert WRITTEN[name] == KEPT[name]


@pytest.mark.parametrize("data", kept("letter"))
def test_a_letter_is_read_and_written_to_the_same_bytes(data):
    assert membership_codec.write(membership_codec.read(data, "f", NAMES)) == data


@pytest.mark.parametrize("data", kept("note"))
def test_a_note_is_read_and_written_to_the_same_bytes(data):
    assert messages.write(messages.read(data, "f", NAMES)) == data


def test_notes_are_counted_under_the_same_numbers():
    kinds = [int(messages.kind_of(note.message)) for note in wire_samples.notes()]
    assert kinds == [11, 12, 18, 19, 13, 14, 15, 16, 17]


def test_records_of_the_state_are_read_as_what_was_written():
    for record, data in zip(wire_samples.state_records(), kept("state"), strict=True):
        assert files.DECODER.decode(data[files.FRAME_HEADER.size :]) == record


def test_records_of_the_ledger_are_read_as_what_was_written():
    for record, data in zip(wire_samples.ledger_records(), kept("ledger"), strict=True):
        assert audit_log.DECODER.decode(data) == record


def test_lines_of_the_handover_are_read_as_what_was_written():
    row = handover_codec.AttemptSent("k", "e1", "here", 5, 1000.5, 2000.5)
    hosts = [{"host": "e1", "dial": "127.0.0.1:1"}, {"host": "e2", "dial": "127.0.0.1:2"}]
    read = [
        item
        for data in kept("handover")
        for line in data.splitlines()
        for item in handover_codec.parse_line(line)
    ]
    assert read == [
        handover_codec.Hello("n1", 17, False, None),
        handover_codec.Hello("n1", 17, True, 1.5),
        handover_codec.VersionProof(41, wire_samples.DIGEST, 42.5),
        row,
        handover_codec.AttemptNeverRan("k", "e1", 1000.5),
        handover_codec.ListPart(43, hosts),
        row,
        row,
        handover_codec.SnapshotEnd(),
        handover_codec.Goodbye(),
    ]
