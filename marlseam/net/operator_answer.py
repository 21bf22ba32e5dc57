"""What an operator's call is answered with."""

from typing import NamedTuple


class OperatorAnswer(NamedTuple):
    """An answer: its HTTP status, and its text, "" for none."""

    status: int
    text: str
