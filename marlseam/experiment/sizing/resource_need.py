"""Limits on the memory and the number of processes that a run may use."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from marlseam.experiment.file import FileError

MAX_MEMORY_MB = 12.0 * 1024.0
MAX_PROCESSES = 300


class ResourceNeed(NamedTuple):
    """The resources that a run needs at one time.

    Attributes:
        memory_mb: memory of all its processes together.
        processes: the number of its processes.
    """

    memory_mb: float
    processes: int

    @property
    def is_allowed(self) -> bool:
        """Whether the need is within `MAX_MEMORY_MB` and `MAX_PROCESSES`."""
        return self.memory_mb <= MAX_MEMORY_MB and self.processes <= MAX_PROCESSES


class ResourceLimitError(FileError):
    """An experiment file asks for a size that needs more resources than are allowed.

    Attributes:
        key: the key of the experiment file that gives the sizes.
        size: the largest size under that key.
        need: the resources that this size needs.
        largest_allowed: the largest size that would be allowed; 0 if none is.
    """

    def __init__(self, key: str, size: int, need: ResourceNeed, largest_allowed: int) -> None:
        self.key, self.size, self.need, self.largest_allowed = key, size, need, largest_allowed
        advice = "no size would fit, ask for fewer real nodes"
        if largest_allowed:
            advice = f"{largest_allowed} would fit"
        super().__init__(
            f"{key}: {size} needs {need.memory_mb:.0f} MB and {need.processes} processes, "
            f"at most {MAX_MEMORY_MB:.0f} MB and {MAX_PROCESSES} processes are allowed; {advice}"
        )


def check_resource_need(
    key: str, sizes: Sequence[int], need_of: Callable[[int], ResourceNeed]
) -> ResourceNeed:
    """Return the resources that the largest of `sizes` needs; `need_of` must not decrease with the size.

    Raises ResourceLimitError, which names `key`, if that need is not allowed.
    """
    size = max(sizes)
    need = need_of(size)
    if not need.is_allowed:
        raise ResourceLimitError(key, size, need, largest_allowed_size(size, need_of))
    return need


def largest_allowed_size(refused: int, need_of: Callable[[int], ResourceNeed]) -> int:
    """Return the largest allowed size below a refused one, found by bisection; 0 if none is allowed."""
    allowed = 0
    while refused - allowed > 1:
        middle = (allowed + refused) // 2
        if need_of(middle).is_allowed:
            allowed = middle
        else:
            refused = middle
    return allowed
