"""Typed access to the entries of configuration objects; an invalid entry raises ConfigError with its key."""

from collections.abc import Iterable, Mapping
from enum import Enum
from math import isfinite
from typing import Any

from marlseam.configuration.errors import REQUIRED, ConfigError


class ConfigTable:
    """One object of a configuration.

    Attributes:
        values: the object's entries, unchecked.
        key: the object's full key; "" for the outermost object.
    """

    def __init__(self, values: object, key: str) -> None:
        if not isinstance(values, Mapping):
            raise ConfigError(key or "configuration", values, "an object")
        self.values, self.key = values, key

    def path(self, name: str) -> str:
        """Return an entry's full key."""
        return f"{self.key}.{name}" if self.key else name

    def get(self, name: str, default: object) -> Any:  # noqa: ANN401
        """Return an entry, or its default where it is absent or null."""
        value = self.values.get(name)
        return default if value is None else value

    def table(self, name: str, default: object = REQUIRED) -> "ConfigTable":
        """Return an entry that must be an object."""
        return ConfigTable(self.get(name, default), self.path(name))

    def tables(self, name: str) -> list["ConfigTable"]:
        """Return an entry that must be a list of objects; an absent one counts as empty."""
        rows = self.get(name, [])
        if not isinstance(rows, list):
            raise ConfigError(self.path(name), rows, "a list")
        return [ConfigTable(row, f"{self.path(name)}[{i}]") for i, row in enumerate(rows)]

    def number(self, name: str, default: object = REQUIRED, minimum: float = 0.0) -> float:
        """Return an entry that must be a finite number not below a minimum."""
        value = self.get(name, default)
        number = finite(value)
        if number is None or number < minimum:
            raise ConfigError(self.path(name), value, f"a number of at least {minimum:g}")
        return number

    def milliseconds(self, name: str, default_ms: object = REQUIRED, minimum_us: float = 0.0) -> float:
        """Return an entry in microseconds, converted to milliseconds."""
        default = default_ms * 1000.0 if isinstance(default_ms, float) else default_ms
        return self.number(name, default, minimum_us) / 1000.0

    def flag(self, name: str) -> bool:
        """Return an entry that must be true or false; an absent one counts as false."""
        value = self.get(name, False)
        if not isinstance(value, bool):
            raise ConfigError(self.path(name), value, "true or false")
        return value

    def text(self, name: str, default: object = REQUIRED) -> str:
        """Return an entry that must be a non-empty string."""
        value = self.get(name, default)
        if not isinstance(value, str) or not value:
            raise ConfigError(self.path(name), value, "a non-empty string")
        return value

    def choice(self, name: str, meanings: Mapping[str, Any] | type[Enum], default: object) -> Any:  # noqa: ANN401
        """Return the meaning of an entry that must be one of some words; those of an enum are its values."""
        table = meanings if isinstance(meanings, Mapping) else {str(row.value): row for row in meanings}
        value = self.get(name, default) or default
        if not isinstance(value, str) or value not in table:
            raise ConfigError(self.path(name), value, "one of " + ", ".join(table))
        return table[value]

    def indexed_names(self, name: str, before: Mapping[str, int]) -> dict[str, int]:
        """Return dense indices by name of an entry that must be a list of names; see `indexed`."""
        rows = self.get(name, [])
        if not isinstance(rows, list) or not all(isinstance(row, str) for row in rows):
            raise ConfigError(self.path(name), rows, "a list of names")
        return indexed(rows, before)

    def numbers(self, name: str) -> list[float]:
        """Return an entry that must be a list of finite numbers; an absent one counts as empty."""
        rows = self.get(name, [])
        parsed = [finite(row) for row in rows] if isinstance(rows, list) else [None]
        numbers = [number for number in parsed if number is not None]
        if len(numbers) < len(parsed):
            raise ConfigError(self.path(name), rows, "a list of numbers")
        return numbers


def finite(value: object) -> float | None:
    """Return a finite number as a float, else None. Guards against integers beyond the range of a float."""
    if isinstance(value, bool) or not isinstance(value, int | float):
        return None
    try:
        return float(value) if isfinite(value) else None
    except OverflowError:
        return None


def indexed(names: Iterable[str], before: Mapping[str, int]) -> dict[str, int]:
    """Return dense indices by name; a name keeps an index `before`, so that figures under it stay valid."""
    indices = dict(before)
    for name in names:
        indices.setdefault(name, len(indices))
    return indices
