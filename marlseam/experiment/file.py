"""Reads experiment files: converts TOML to strict structs and suggests a known key for each unknown one."""

import difflib
import tomllib
from pathlib import Path
from types import UnionType
from typing import Any, Union, get_args, get_origin, get_type_hints

import msgspec

from marlseam.simulation.model import Day, Strict, placed_nodes, placed_servers

MAX_HINTS, MIN_SIMILARITY = 1, 0.5  # suggested keys per unknown key; least difflib similarity ratio


class FileError(Exception):
    """An experiment file that is unreadable or invalid.

    Attributes:
        problems: one line per fault; the text of the error joins all lines.
    """

    def __init__(self, *problems: str) -> None:
        super().__init__("\n".join(problems))
        self.problems = problems


class Bound(Strict, frozen=True):
    """The inclusive range within which a figure must lie; None leaves that side unbounded."""

    least: float | None = None
    most: float | None = None

    def holds(self, value: float) -> bool:
        """Return whether a value lies within the bounds."""
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
    """The top-level keys that every experiment file may have.

    Attributes:
        name: the experiment's name.
        about: what the experiment demonstrates.
        play: the name of the registered play.
        seed: the seed of all random draws.
        driver: the driver that runs the play: virtual or sockets.
        expect: bounds by figure name.
    """

    name: str
    about: str = ""
    play: str = "day"
    seed: int = 1
    driver: str = "sockets"
    expect: dict[str, Bound] = {}


# The struct of each table by its name in experiment files; a play adds its own with `register`.
TABLES: dict[str, type[Strict]] = {"day": Day}


def register(name: str, table: type[Strict]) -> None:
    """Register the struct that the table `name` of an experiment file is converted to."""
    TABLES[name] = table


class Experiment(msgspec.Struct):
    """A parsed experiment file.

    Attributes:
        head: the keys common to all experiments.
        tables: the tables of the file by name, each an instance of the struct registered for that name.
    """

    head: Head
    tables: dict[str, Any]

    @property
    def day(self) -> Day:
        """The day to play; raises FileError if the file has no table `day`."""
        if "day" not in self.tables:
            raise FileError("day: missing, expected a table that describes the day")
        day: Day = self.tables["day"]
        return day


def nearest_name_hint(name: str, known: list[str]) -> str:
    """Return the end of an error line: the most similar known name, or all known names if none is similar."""
    close = difflib.get_close_matches(name, known, MAX_HINTS, MIN_SIMILARITY)
    return f", the nearest is {close[0]}" if close else f", known are {', '.join(sorted(known))}"


def struct_in(hint: object) -> type[msgspec.Struct] | None:
    """Return the struct type that a type hint is or contains, None if the hint contains no struct."""
    if isinstance(hint, type) and issubclass(hint, msgspec.Struct):
        return hint
    if get_origin(hint) in (list, tuple, dict, Union, UnionType) or hasattr(hint, "__metadata__"):
        structs = (struct_in(argument) for argument in get_args(hint))
        return next((struct for struct in structs if struct is not None), None)
    return None


def unknown_key_problems(values: object, table: type[msgspec.Struct], path: str) -> list[str]:
    """Return an error line per unknown key of a table, at any depth; `path` is the table's dotted key."""
    if not isinstance(values, dict):
        return []
    hints = get_type_hints(table, include_extras=True)
    known = list(table.__struct_fields__)
    problem_lines: list[str] = []
    for key, value in values.items():
        key_path = f"{path}.{key}" if path else key
        if key in known:
            problem_lines += unknown_key_problems_in_value(value, hints[key], key_path)
        else:
            problem_lines.append(f"{key_path}: no such key{nearest_name_hint(key, known)}")
    return problem_lines


def unknown_key_problems_in_value(value: object, hint: object, path: str) -> list[str]:
    """Return an error line per unknown key in the structs of a value; `hint` is the value's type hint."""
    struct = struct_in(hint)
    if struct is None:
        return []
    if isinstance(value, list):
        rows = [(f"{path}[{index}]", row) for index, row in enumerate(value)]
    elif get_origin(hint) is dict and isinstance(value, dict):
        rows = [(f"{path}.{name}", row) for name, row in value.items()]
    else:
        rows = [(path, value)]
    problem_lines: list[str] = []
    for row_path, row in rows:
        problem_lines += unknown_key_problems(row, struct, row_path)
    return problem_lines


def convert(values: object, table: type, path: str) -> Any:  # noqa: ANN401 - of the type `table`
    """Convert a parsed table to its struct; raise FileError that names the invalid key."""
    try:
        return msgspec.convert(values, table)
    except msgspec.ValidationError as error:
        text, _, location = str(error).partition(" - at `$")
        key = (path + location.rstrip("`")).strip(".")
        raise FileError(f"{key or path}: {text[0].lower()}{text[1:]}") from None


def read(data: dict[str, Any]) -> Experiment:
    """Return the experiment of a parsed file.

    Raises FileError with all unknown keys; if there are none, with the first invalid value.
    """
    head_keys = list(Head.__struct_fields__)
    problems: list[str] = []
    for key, value in data.items():
        if key in TABLES:
            problems += unknown_key_problems(value, TABLES[key], key)
        elif key not in head_keys:
            problems.append(f"{key}: no such key{nearest_name_hint(key, head_keys + list(TABLES))}")
    problems += unknown_key_problems({"expect": data.get("expect", {})}, Head, "")
    if problems:
        raise FileError(*problems)
    head = convert({key: value for key, value in data.items() if key in head_keys}, Head, "")
    tables = {key: convert(value, TABLES[key], key) for key, value in data.items() if key in TABLES}
    if "day" in tables:
        check_day(tables["day"])
    return Experiment(head, tables)


def check_day(day: Day) -> None:
    """Raise FileError if parts of a day contradict each other."""
    check_unique([request_class.name for request_class in day.types], "day.types")
    check_unique([kind.name for kind in day.fleet.kinds], "day.fleet.kinds")
    check_faults(day)
    if day.load.shape == "trace" and not day.load.trace:
        raise FileError(
            "day.load.trace: missing, expected the path of a trace because day.load.shape is trace"
        )
    max_slots = max(kind.slots for kind in day.fleet.kinds)
    for index, request_class in enumerate(day.types):
        slot_count = len(request_class.slots)
        if slot_count > max_slots:
            raise FileError(
                f"day.types[{index}].slots: {slot_count} entries, expected at most {max_slots},"
                " the slots of the largest server kind"
            )


def check_unique(names: list[str], key: str) -> None:
    """Raise FileError if the list at `key` contains a duplicate name."""
    if len(set(names)) < len(names):
        raise FileError(f"{key}: duplicate name, expected unique names")


def check_faults(day: Day) -> None:
    """Raise FileError if a fault names an unknown target or request class, or begins after the day's end."""
    class_names = [request_class.name for request_class in day.types]
    target_names = {server.name for server in placed_servers(day)}
    target_names |= {node.name for node in placed_nodes(day)} | set(day.fleet.zones)
    for index, fault in enumerate(day.troubles):
        key = f"day.troubles[{index}]"
        for name in fault.targets:
            if name not in target_names:
                hint = nearest_name_hint(name, list(target_names))
                raise FileError(f"{key}.targets: no server, node or zone is named {name!r}{hint}")
        if fault.type and fault.type not in class_names:
            raise FileError(
                f"{key}.type: no such request class of the day{nearest_name_hint(fault.type, class_names)}"
            )
        if fault.at_s >= day.seconds:
            raise FileError(f"{key}.at_s: {fault.at_s:g}, expected less than day.seconds")


def load(path: Path) -> Experiment:
    """Read an experiment file; raise FileError with the path of the file at the start of each line."""
    try:
        data = tomllib.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        raise FileError(f"{path}: {error}") from None
    try:
        return read(data)
    except FileError as error:
        raise FileError(*(f"{path}: {line}" for line in str(error).split("\n"))) from None
