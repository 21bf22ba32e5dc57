"""Idempotency records, also compared with a simple model."""

from hypothesis import given
from hypothesis import strategies as st

from marlseam.core.idempotency import AttemptRecord, IdempotencyRecords


@given(
    st.lists(
        st.tuples(
            st.sampled_from(["add", "never_ran", "look_up"]),
            st.sampled_from("ab"),
            st.sampled_from("xy"),
            st.integers(0, 9),
        ),
        max_size=40,
    )
)
def test_idempotency_records_agree_with_a_simple_model(steps):
    records, model, now_ms = IdempotencyRecords(10), {}, 0.0
    for step, key, server, gap_ms in steps:
        now_ms += gap_ms
        rows = list(model.get(key, []))
        if rows and rows[0].until_ms <= now_ms:
            rows = []
        if step == "add":
            record = AttemptRecord(server, 0, 0, now_ms, now_ms + 20.0)
            if records.attempts(key, now_ms) == rows:
                records.add(key, record)
                rows.append(record)
        elif step == "never_ran" and rows:
            records.attempts(key, now_ms)
            assert records.never_ran(key, rows[0].server, rows[0].sent_ms)
            identity = (rows[0].server, rows[0].sent_ms)
            rows.remove(next(row for row in rows if (row.server, row.sent_ms) == identity))
        model[key] = rows
        assert records.attempts(key, now_ms) == rows


def test_restored_records_expire_and_precede_new_ones():
    records = IdempotencyRecords(10)
    first, second = AttemptRecord("e", 0, 0, 0.0, 50.0), AttemptRecord("f", 0, 0, 5.0, 55.0)
    records.restore({"a": [first, second], "b": [AttemptRecord("e", 0, 0, 0.0, 20.0)]})
    records.add("a", AttemptRecord("g", 0, 0, 10.0, 60.0))
    assert [record.server for record in records.attempts("a", 15.0)] == [
        "e",
        "f",
        "g",
    ]
    assert records.attempts("b", 15.0)
    assert not records.attempts("b", 20.0)
    assert records.attempts("a", 49.0)
    assert not records.attempts("a", 50.0)


def test_at_the_maximum_a_key_can_be_added_only_once_another_expires():
    records = IdempotencyRecords(1)
    records.add("a", AttemptRecord("e", 0, 0, 0.0, 100.0))
    assert records.wait_for_key_ms(40.0) == 60.0
    assert records.attempts("a", 40.0)
    assert records.wait_for_key_ms(100.0) == 0.0
    assert not records.attempts("a", 100.0)


def test_records_restored_late_precede_those_added_meanwhile():
    records = IdempotencyRecords(10)
    records.add("a", AttemptRecord("g", 0, 0, 10.0, 60.0))
    records.add("b", AttemptRecord("h", 0, 0, 10.0, 70.0))
    records.restore({"a": [AttemptRecord("e", 0, 0, 0.0, 50.0)], "c": [AttemptRecord("f", 0, 0, 1.0, 40.0)]})
    assert [record.server for record in records.attempts("a", 20.0)] == ["e", "g"]
    assert records.expire(45.0) == ["c"]
    assert records.expire(65.0) == ["a"]
    assert records.attempts("b", 65.0)
