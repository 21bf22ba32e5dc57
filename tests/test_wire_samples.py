"""Messages and stored records keep their encoding, whatever the names of types and fields in the code."""

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
def test_each_message_and_record_is_encoded_to_the_kept_bytes(name):
    assert WRITTEN[name] == KEPT[name]


@pytest.mark.parametrize("data", kept("letter"))
def test_a_membership_datagram_is_decoded_and_encoded_to_the_same_bytes(data):
    assert membership_codec.write(membership_codec.read(data, "f", NAMES)) == data


@pytest.mark.parametrize("data", kept("note"))
def test_a_replication_datagram_is_decoded_and_encoded_to_the_same_bytes(data):
    assert messages.write(messages.read(data, "f", NAMES)) == data


def test_replication_messages_keep_the_numbers_of_their_kinds():
    kinds = [int(messages.kind_of(datagram.message)) for datagram in wire_samples.replication_datagrams()]
    assert kinds == [11, 12, 18, 19, 13, 14, 15, 16, 17]


def test_kept_state_records_are_decoded_to_the_samples():
    for record, data in zip(wire_samples.state_records(), kept("state"), strict=True):
        assert files.DECODER.decode(data[files.FRAME_HEADER.size :]) == record


def test_kept_ledger_records_are_decoded_to_the_samples():
    for record, data in zip(wire_samples.ledger_records(), kept("ledger"), strict=True):
        assert audit_log.DECODER.decode(data) == record


def test_kept_handover_lines_are_decoded_to_the_samples():
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
