"""Whether the machine may be asked for what a run needs."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from marlseam.experiment.file import FileError

MAX_MEMORY_MB = 12.0 * 1024.0
MAX_PROCESSES = 300


class ResourceNeed(NamedTuple):
    """What a run needs at once.

    Attributes:
        memory_mb: of all its processes.
        processes: how many there are.
    """

    memory_mb: float
    processes: int

    @property
    def is_allowed(self) -> bool:
        """Whether a run may have that much."""
        return self.memory_mb <= MAX_MEMORY_MB and self.processes <= MAX_PROCESSES


class ResourceLimitError(FileError):
    """An experiment file asks for more than is allowed.

    Attributes:
        key: the key of the file that asks for it.
        size: the greatest size under that key.
        need: what that size needs.
        largest_allowed: the greatest size that would be allowed; 0 for none.
    """

    def __init__(self, key: str, size: int, need: ResourceNeed, largest_allowed: int) -> None:
        self.key, self.size, self.need, self.largest_allowed = key, size, need, largest_allowed
        advice = "no size would fit, ask for fewer real nodes"
        if largest_allowed:
            advice = f"{largest_allowed} would fit"
        super().__init__(
            f"{key}: {size} needs {need.memory_mb:.0f} MB and {need.processes} processes, "
            f"{MAX_MEMORY_MB:.0f} MB and {MAX_PROCESSES} at most are allowed; {advice}"
        )


def check_resource_need(
    key: str, sizes: Sequence[int], need_of: Callable[[int], ResourceNeed]
) -> ResourceNeed:
    """Return what the greatest of some sizes needs; `need_of` grows with the size.

    Raises ResourceLimitError if that is more than is allowed.
    """
    size = max(sizes)
    need = need_of(size)
    if not need.is_allowed:
        raise ResourceLimitError(key, size, need, largest_allowed_size(size, need_of))
    return need


def largest_allowed_size(refused: int, need_of: Callable[[int], ResourceNeed]) -> int:
    """Return the greatest size below a refused one that is allowed, 0 if none is."""
    allowed = 0
    while refused - allowed > 1:
        middle = (allowed + refused) // 2
        if need_of(middle).is_allowed:
            allowed = middle
        else:
            refused = middle
    return allowed
