"""Experiment files: TOML into strict types, with every wrong key named beside its nearest neighbour."""

import difflib
import tomllib
from pathlib import Path
from types import UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

import msgspec

from marlseam.simulation.model import Day, Strict, placed_nodes, placed_servers


class FileError(Exception):
    """A file that cannot be used; one line for each thing that is wrong."""


class Bound(Strict):
    """What a figure must be."""

    least: float | None = None
    most: float | None = None

    def holds(self, value: float) -> bool:
        """Return whether a figure lies within."""
        return (self.least is None or value >= self.least) and (self.most is None or value <= self.most)

    def __str__(self) -> str:
        parts = ([f"at least {self.least:g}"] if self.least is not None else []) + (
            [f"at most {self.most:g}"] if self.most is not None else []
        )
        return " and ".join(parts) or "anything"


class Head(Strict):
    """What every experiment says."""

    name: str
    about: str = ""
    play: str = "day"
    seed: int = 1
    driver: str = "sockets"
    expect: dict[str, Bound] = {}


# Tables by name: a subsystem adds its own with `register`.
TABLES: dict[str, type[Strict]] = {"day": Day}


def register(name: str, table: type[Strict]) -> None:
    """Make a table known to experiment files under a name."""
    TABLES[name] = table


class Experiment(msgspec.Struct):
    """A file that was read: its head and its tables by name."""

    head: Head
    tables: dict[str, Any]

    @property
    def day(self) -> Day:
        """The day, where the experiment plays one."""
        if "day" not in self.tables:
            raise FileError("day: missing, expected a table")
        return self.tables["day"]


def nearest(key: str, known: list[str]) -> str:
    """Return a hint at the nearest known word."""
    found = difflib.get_close_matches(key, known, 1, 0.5)
    return f", the nearest is {found[0]}" if found else f", known are {', '.join(sorted(known))}"


def struct_in(hint: object) -> type[msgspec.Struct] | None:
    """Return the struct that a type hint is, holds or lists, if there is one."""
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        return hint
    if get_origin(hint) in (list, tuple, dict, Union, UnionType) or hasattr(hint, "__metadata__"):
        return next((s for part in get_args(hint) if (s := struct_in(part)) is not None), None)
    return None


def wrong_keys(values: object, table: type[msgspec.Struct], path: str) -> list[str]:
    """Return a line for each key that a table does not know, at any depth."""
    if not isinstance(values, dict):
        return []
    hints = get_type_hints(table, include_extras=True)
    known, found = list(table.__struct_fields__), []
    for key, value in values.items():
        where = f"{path}.{key}" if path else key
        if key not in known:
            found.append(f"{where}: no such key{nearest(key, known)}")
            continue
        inner = struct_in(hints[key])
        if inner is None:
            continue
        if isinstance(value, list):
            for i, row in enumerate(value):
                found += wrong_keys(row, inner, f"{where}[{i}]")
        elif get_origin(hints[key]) is dict and isinstance(value, dict):
            for name, row in value.items():
                found += wrong_keys(row, inner, f"{where}.{name}")
        else:
            found += wrong_keys(value, inner, where)
    return found


def convert(values: object, table: type, path: str) -> Any:  # noqa: ANN401
    """Turn a table into its struct; what is wrong in it is named by its key."""
    try:
        return msgspec.convert(values, table)
    except msgspec.ValidationError as error:
        text, _, where = str(error).partition(" - at `$")
        key = (path + where.rstrip("`")).strip(".")
        raise FileError(f"{key or path}: {text[0].lower()}{text[1:]}") from None


def read(data: dict) -> Experiment:
    """Read an experiment out of a parsed file."""
    heads = list(Head.__struct_fields__)
    wrong = []
    for key, value in data.items():
        if key not in heads and key not in TABLES:
            wrong.append(f"{key}: no such key{nearest(key, heads + list(TABLES))}")
        elif key in TABLES:
            wrong += wrong_keys(value, TABLES[key], key)
    wrong += wrong_keys({"expect": data.get("expect", {})}, Head, "")
    if wrong:
        raise FileError("\n".join(wrong))
    head = convert({key: value for key, value in data.items() if key in heads}, Head, "")
    tables = {key: convert(value, TABLES[key], key) for key, value in data.items() if key in TABLES}
    if "day" in tables:
        check(tables["day"])
    return Experiment(head, tables)


def check(day: Day) -> None:
    """Refuse a day whose parts do not fit each other."""
    types = [type.name for type in day.types]
    for names, key in ((types, "day.types"), ([k.name for k in day.fleet.kinds], "day.fleet.kinds")):
        if len(set(names)) < len(names):
            raise FileError(f"{key}: a name comes twice")
    known = {name for name, *_ in (*placed_servers(day), *placed_nodes(day))} | set(day.fleet.zones)
    for i, trouble in enumerate(day.troubles):
        for name in trouble.targets:
            if name not in known:
                raise FileError(
                    f"day.troubles[{i}].targets: nobody is called {name!r}{nearest(name, list(known))}"
                )
        if trouble.type and trouble.type not in types:
            raise FileError(f"day.troubles[{i}].type: no such project type{nearest(trouble.type, types)}")
        if trouble.at_s >= day.seconds:
            raise FileError(f"day.troubles[{i}].at_s: {trouble.at_s:g}, expected less than day.seconds")
    if day.load.shape == "trace" and not day.load.trace:
        raise FileError("day.load.trace: missing, expected a trace's path as the shape is trace")
    most = max(kind.slots for kind in day.fleet.kinds)
    for i, type in enumerate(day.types):
        if len(type.slots) > most:
            raise FileError(f"day.types[{i}].slots: {len(type.slots)}, but no kind has over {most}")


def load(path: Path) -> Experiment:
    """Read an experiment file."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise FileError(f"{path}: {error}") from None
    try:
        return read(data)
    except FileError as error:
        raise FileError("\n".join(f"{path}: {line}" for line in str(error).split("\n"))) from None
