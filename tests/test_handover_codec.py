"""The codec of the handover's lines."""

from hypothesis import given
from hypothesis import strategies as st

from marlseam.recovery import handover_codec
from marlseam.recovery.handover_codec import AttemptSent


@given(
    st.lists(
        st.builds(
            AttemptSent,
            st.text(min_size=1, max_size=9),
            st.text(min_size=1, max_size=9),
            st.text(max_size=9),
            st.integers(-5, 9),
            st.floats(0, 1e13),
            st.floats(0, 1e13),
        ),
        max_size=450,
    )
)
def test_attempts_are_parsed_as_they_were_encoded(attempts):
    lines = list(handover_codec.encode_snapshot(1, [], attempts))
    assert [item for line in lines for item in handover_codec.parse_line(line)] == [
        *attempts,
        handover_codec.SnapshotEnd(),
    ]


@given(st.binary(max_size=300))
def test_any_line_is_parsed_or_rejected_with_a_code(line):
    rejection = None
    try:
        items = handover_codec.parse_line(line)
    except handover_codec.InvalidLineError as error:
        rejection = error
    if rejection is None:
        assert isinstance(items, list)
    else:
        assert rejection.code in ("odd", "version")
