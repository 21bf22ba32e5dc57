"""A list and a dict that count how often each of their entries is read."""

from collections import Counter
from collections.abc import Iterator
from typing import Any, NamedTuple, TypeVar

Value = TypeVar("Value")


class ReadCounts(NamedTuple):
    """Counts of reads of table entries.

    Attributes:
        entries: the number of different entries read.
        reads: the number of reads of all entries together.
    """

    entries: int
    reads: int


class CountingList(list[Value]):
    """A list that counts the reads of each index, in a counter that lists with the same indices may share."""

    def __init__(self, values: list[Value], reads: Counter[int]) -> None:
        super().__init__(values)
        self._reads = reads

    def __getitem__(self, index: Any) -> Any:  # noqa: ANN401 - an index gives a value, a slice a list
        self._reads[index] += 1
        return super().__getitem__(index)

    def __iter__(self) -> Iterator[Value]:
        for i, value in enumerate(super().__iter__()):
            self._reads[i] += 1
            yield value

    def uncounted(self) -> list[Value]:
        """Return a plain list of the values."""
        return list(super().__iter__())


class CountingDict(dict[str, Value]):
    """A dict that counts the reads of each key, except those by `get`, which reads only one entry."""

    def __init__(self, values: dict[str, Value], reads: Counter[str]) -> None:
        super().__init__(values)
        self._reads = reads

    # Iterators replace the views: the code that reads this dict only iterates over them.
    def values(self) -> Iterator[Value]:  # type: ignore[override]
        """Yield the values."""
        for key, value in super().items():
            self._reads[key] += 1
            yield value

    def items(self) -> Iterator[tuple[str, Value]]:  # type: ignore[override]
        """Yield the pairs of key and value."""
        for key, value in super().items():
            self._reads[key] += 1
            yield key, value

    def __iter__(self) -> Iterator[str]:
        for key in super().__iter__():
            self._reads[key] += 1
            yield key

    def __getitem__(self, key: str) -> Value:
        self._reads[key] += 1
        return super().__getitem__(key)

    def uncounted(self) -> dict[str, Value]:
        """Return a plain dict of the same entries."""
        return dict(super().items())
