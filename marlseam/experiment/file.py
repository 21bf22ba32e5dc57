"""Experiment files: TOML into strict types; each unknown key is named with the nearest known one."""

import difflib
import tomllib
from pathlib import Path
from types import UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

import msgspec

from marlseam.simulation.model import Day, Strict, placed_nodes, placed_servers

MAX_HINTS, MIN_SIMILARITY = 1, 0.5  # of a key that is hinted at, similarity as difflib counts it


class FileError(Exception):
    """A file that cannot be used.

    Attributes:
        problems: what is wrong, a line each; the error's text has them all.
    """

    def __init__(self, *problems: str) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class Bound(Strict, frozen=True):
    """Within which bounds a figure must lie, both included; None for no bound."""

    least: float | None = None
    most: float | None = None

    def holds(self, value: float) -> bool:
        """Return whether a figure lies within."""
        is_low_enough = self.most is None or value <= self.most
        is_high_enough = self.least is None or value >= self.least
        return is_low_enough and is_high_enough

    def __str__(self) -> str:
        parts = []
        if self.least is not None:
            parts.append(f"at least {self.least:g}")
        if self.most is not None:
            parts.append(f"at most {self.most:g}")
        return " and ".join(parts) or "anything"


class Head(Strict, frozen=True):
    """The keys that every experiment's file may have.

    Attributes:
        name: the experiment's name.
        about: what it shows.
        play: the name of its play.
        seed: the seed of all draws.
        driver: what the play runs on: virtual or sockets.
        expect: bounds by the name of a figure.
    """

    name: str
    about: str = ""
    play: str = "day"
    seed: int = 1
    driver: str = "sockets"
    expect: dict[str, Bound] = {}


# The types of tables by their name in files; a play adds its own with `register`.
TABLES: dict[str, type[Strict]] = {"day": Day}


def register(name: str, table: type[Strict]) -> None:
    """Make a table known to experiment files under a name."""
    TABLES[name] = table


class Experiment(msgspec.Struct):
    """An experiment as its file describes it.

    Attributes:
        head: what every experiment has.
        tables: the tables of the file by name, each of the type that is registered for it.
    """

    head: Head
    tables: dict[str, Any]

    @property
    def day(self) -> Day:
        """The day that is played; raises FileError where the file has none."""
        if "day" not in self.tables:
            raise FileError("day: missing, expected a table")
        day: Day = self.tables["day"]
        return day


def nearest(key: str, known: list[str]) -> str:
    """Return a hint at the nearest known key, or at all where none is near."""
    close = difflib.get_close_matches(key, known, MAX_HINTS, MIN_SIMILARITY)
    return f", the nearest is {close[0]}" if close else f", known are {', '.join(sorted(known))}"


def struct_in(hint: object) -> type[msgspec.Struct] | None:
    """Return the struct that a type hint is or contains, None if there is none."""
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        return hint
    if get_origin(hint) in (list, tuple, dict, Union, UnionType) or hasattr(hint, "__metadata__"):
        structs = (struct_in(argument) for argument in get_args(hint))
        return next((struct for struct in structs if struct is not None), None)
    return None


def wrong_keys(values: object, table: type[msgspec.Struct], path: str) -> list[str]:
    """Return a line for each key that a table does not know, at any depth; `path` is the table's own key."""
    if not isinstance(values, dict):
        return []
    hints = get_type_hints(table, include_extras=True)
    known = list(table.__struct_fields__)
    found: list[str] = []
    for key, value in values.items():
        key_path = f"{path}.{key}" if path else key
        if key in known:
            found += wrong_keys_in_value(value, hints[key], key_path)
        else:
            found.append(f"{key_path}: no such key{nearest(key, known)}")
    return found


def wrong_keys_in_value(value: object, hint: object, path: str) -> list[str]:
    """Return a line for each unknown key in the structs of a value, whose type hint is `hint`."""
    struct = struct_in(hint)
    if struct is None:
        return []
    if isinstance(value, list):
        rows = [(f"{path}[{index}]", row) for index, row in enumerate(value)]
    elif get_origin(hint) is dict and isinstance(value, dict):
        rows = [(f"{path}.{name}", row) for name, row in value.items()]
    else:
        rows = [(path, value)]
    found: list[str] = []
    for row_path, row in rows:
        found += wrong_keys(row, struct, row_path)
    return found


def convert(values: object, table: type, path: str) -> Any:  # noqa: ANN401 - of the type `table`
    """Turn a table into its struct; raise FileError that names the key at fault."""
    try:
        return msgspec.convert(values, table)
    except msgspec.ValidationError as error:
        text, _, place = str(error).partition(" - at `$")
        key = (path + place.rstrip("`")).strip(".")
        raise FileError(f"{key or path}: {text[0].lower()}{text[1:]}") from None


def read(data: dict[str, Any]) -> Experiment:
    """Return the experiment of a parsed file; raise FileError for all keys that are unknown, or one fault."""
    head_keys = list(Head.__struct_fields__)
    problems: list[str] = []
    for key, value in data.items():
        if key in TABLES:
            problems += wrong_keys(value, TABLES[key], key)
        elif key not in head_keys:
            problems.append(f"{key}: no such key{nearest(key, head_keys + list(TABLES))}")
    problems += wrong_keys({"expect": data.get("expect", {})}, Head, "")
    if problems:
        raise FileError(*problems)
    head = convert({key: value for key, value in data.items() if key in head_keys}, Head, "")
    tables = {key: convert(value, TABLES[key], key) for key, value in data.items() if key in TABLES}
    if "day" in tables:
        check_day(tables["day"])
    return Experiment(head, tables)


def check_day(day: Day) -> None:
    """Raise FileError where parts of a day do not fit each other."""
    check_unique([request_class.name for request_class in day.types], "day.types")
    check_unique([kind.name for kind in day.fleet.kinds], "day.fleet.kinds")
    check_faults(day)
    if day.load.shape == "trace" and not day.load.trace:
        raise FileError("day.load.trace: missing, expected a trace's path as the shape is trace")
    most_slots = max(kind.slots for kind in day.fleet.kinds)
    for index, request_class in enumerate(day.types):
        slot_count = len(request_class.slots)
        if slot_count > most_slots:
            raise FileError(f"day.types[{index}].slots: {slot_count}, but no kind has over {most_slots}")


def check_unique(names: list[str], key: str) -> None:
    """Raise FileError where a name comes twice."""
    if len(set(names)) < len(names):
        raise FileError(f"{key}: a name comes twice")


def check_faults(day: Day) -> None:
    """Raise FileError where a fault names what the day does not have, or begins after its end."""
    class_names = [request_class.name for request_class in day.types]
    target_names = {server.name for server in placed_servers(day)}
    target_names |= {node.name for node in placed_nodes(day)} | set(day.fleet.zones)
    for index, fault in enumerate(day.troubles):
        key = f"day.troubles[{index}]"
        for name in fault.targets:
            if name not in target_names:
                hint = nearest(name, list(target_names))
                raise FileError(f"{key}.targets: nobody is called {name!r}{hint}")
        if fault.type and fault.type not in class_names:
            raise FileError(f"{key}.type: no such project type{nearest(fault.type, class_names)}")
        if fault.at_s >= day.seconds:
            raise FileError(f"{key}.at_s: {fault.at_s:g}, expected less than day.seconds")


def load(path: Path) -> Experiment:
    """Read an experiment file; raise FileError, each line of which names the file."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise FileError(f"{path}: {error}") from None
    try:
        return read(data)
    except FileError as error:
        raise FileError(*(f"{path}: {line}" for line in str(error).split("\n"))) from None
