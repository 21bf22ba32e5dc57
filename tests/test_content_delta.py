"""Deltas between contents: their results, and the errors of invalid ones."""

import json
from typing import NamedTuple

import pytest
from contents import make_content, write_content
from hypothesis import given
from hypothesis import strategies as st

from marlseam.cluster.replication import delta, messages
from marlseam.cluster.replication.content import SettingsDigester, digest, settings_digest
from marlseam.experiment.config_change_workload import change_one_team, team_quotas

TEXTS = st.text('abz_é"\\', max_size=4)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-3, 3) | st.sampled_from([0.5, -0.0, 1e-9, 3e300]) | TEXTS,
    lambda inner: st.lists(inner, max_size=4) | st.dictionaries(TEXTS, inner, max_size=4),
    max_leaves=12,
)
SETTINGS = st.dictionaries(TEXTS, VALUES, max_size=5)


@given(SETTINGS, SETTINGS, st.dictionaries(TEXTS.filter(bool), TEXTS, max_size=3))
def test_a_delta_turns_one_content_into_exactly_the_other(one, two, members):
    before, base = write_content(make_content(settings=one))
    after, document = write_content(make_content(2, digest(before), settings=two, members=members, why="x"))
    computed = delta.compute_change(base, after, document)
    found, shared = computed.data, computed.document
    assert shared == document
    link = delta.DeltaLink(digest(before), found)
    chained = delta.apply_chain(base, digest(before), delta.encode_chain([link]), digest(after))
    assert chained.data == after
    assert chained.document == document
    assert base == delta.decode_document(before)  # not changed in place


class ContentsAndLinks(NamedTuple):
    """Successive contents, and the delta links between them."""

    datas: list[bytes]
    links: list[delta.DeltaLink]


def contents_and_links(settings: list[dict[str, object]]) -> ContentsAndLinks:
    """Return successive contents with these settings, and the delta links between them."""
    datas, links = [], []
    for number, version_settings in enumerate(settings, 1):
        before = digest(datas[-1]) if datas else ""
        data, document = write_content(make_content(number, before, settings=version_settings))
        if datas:
            links.append(
                delta.DeltaLink(
                    before, delta.compute_change(delta.decode_document(datas[-1]), data, document).data
                )
            )
        datas.append(data)
    return ContentsAndLinks(datas, links)


@given(st.lists(SETTINGS, min_size=2, max_size=5), st.data())
def test_a_tampered_chain_raises_or_gives_the_requested_content(settings, data):
    datas, links = contents_and_links(settings)
    start, newest_id = digest(datas[0]), digest(datas[-1])
    raw = bytearray(delta.encode_chain(links))
    kind = data.draw(st.sampled_from(["flip", "cut", "drop", "swap", "twice", "other base", "other goal"]))
    base = delta.decode_document(datas[0])
    if kind == "flip":
        raw[data.draw(st.integers(0, len(raw) - 1))] ^= data.draw(st.integers(1, 255))
    elif kind == "cut":
        del raw[data.draw(st.integers(0, len(raw) - 1)) :]
    elif kind in ("drop", "swap", "twice"):
        at = data.draw(st.integers(0, len(links) - 1))
        tampered = {
            "drop": [*links[:at], *links[at + 1 :]],
            "twice": [*links[: at + 1], *links[at:]],
            "swap": links[::-1],
        }[kind]
        raw = bytearray(delta.encode_chain(tampered))
    elif kind == "other base":
        base = delta.decode_document(datas[-1])
    else:
        newest_id = digest(b"another")
    try:
        found = delta.apply_chain(base, start, bytes(raw), newest_id)
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
def test_an_edit_at_an_invalid_path_raises_and_changes_nothing(edit):
    _, base = write_content(make_content(settings={"a": {"b": 1}, "list": [1, 2, 3]}))
    before = json.dumps(base)
    with pytest.raises(delta.DeltaError):
        delta.apply_change(base, "i", delta.Change("i", [edit]))
    assert json.dumps(base) == before


def test_a_chain_that_grows_beyond_the_maximum_content_size_raises():
    data, base = write_content(make_content())
    edit = delta.Put(["settings", "y"], "y" * messages.MAX_CONTENT_BYTES)
    raw = delta.ENCODER.encode([delta.Change("0" * 64, [edit])])
    with pytest.raises(delta.DeltaError, match="too large"):
        delta.apply_chain(base, digest(data), raw, "0" * 64)


def test_unedited_values_stay_the_same_objects_and_the_change_of_one_quota_is_small():
    before, base = write_content(make_content(settings={"teams": team_quotas(300), "kinds": ["a", "b"]}))
    changed_settings = change_one_team({"teams": team_quotas(300), "kinds": ["a", "b"]}, 1, 1)
    after, document = write_content(make_content(2, digest(before), settings=changed_settings, why="x"))
    computed = delta.compute_change(base, after, document)
    raw, found = computed.data, computed.document
    assert len(raw) < 200 < len(after) / 50
    assert found == delta.apply_change(base, digest(before), delta.CHANGE_DECODER.decode(raw))
    unchanged = [
        name for name, row in found["settings"]["teams"].items() if row is base["settings"]["teams"][name]
    ]
    assert len(unchanged) == 299
    assert found["settings"]["kinds"] is base["settings"]["kinds"]


@given(SETTINGS, SETTINGS)
def test_the_incremental_settings_digest_equals_the_full_one(one, two):
    digester = SettingsDigester()
    assert digester.digest(one) == settings_digest(one)
    assert digester.digest(one | two) == settings_digest(one | two)
    assert digester.digest(two) == settings_digest(two)
