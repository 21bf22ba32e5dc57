"""The answer to an operator's call."""

from typing import NamedTuple


class OperatorAnswer(NamedTuple):
    """An answer: its HTTP status and its body as text, "" for an empty body."""

    status: int
    text: str
