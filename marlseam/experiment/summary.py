"""The contents of `summary.json`, as typed values.

The keys of the file are an interface for operators and tools; where a field is named differently here, its
key is given by `field(name=...)`.
"""

from collections.abc import Sequence

import msgspec
from msgspec import field

from marlseam.experiment.slope import Slope

Table = tuple[str, list[list[str]]]  # title, and rows with the header row first


class ExpectationOutcome(msgspec.Struct):
    """The outcome of one expectation of the experiment file.

    Attributes:
        figure: the name of the figure.
        bound: the expected range, as text.
        value: the measured value.
        holds: whether the value lies within the expected range.
    """

    figure: str
    bound: str = field(name="expected")
    value: float = field(name="seen")
    holds: bool


class ViolationExample(msgspec.Struct):
    """A violation of a rule.

    Attributes:
        subject: the id of the violating try, or the name of the violating server.
        text: a description of the violation.
        timeline: all recorded events of the request, one line each.
    """

    subject: str = field(name="who")
    text: str = field(name="what")
    timeline: list[str] = field(name="story")


class RuleOutcome(msgspec.Struct):
    """The outcome of one rule; `margin` and `means` are defined in `verification.verdict.Rule`.

    Attributes:
        name: the rule's name.
        violation_count: the number of violations.
        margin: how close the run came to a violation.
        means: the quantity that `margin` measures.
        examples: the first violations.
    """

    name: str
    violation_count: int = field(name="broken")
    margin: float
    means: str
    examples: list[ViolationExample]


class RunSummary(msgspec.Struct):
    """The summary of a run of an experiment.

    Attributes:
        name: the experiment's name.
        about: what the experiment demonstrates.
        play: the name of the play.
        driver: the driver that the play ran on.
        seed: the seed of all random draws.
        duration_s: the duration of the play, in seconds.
        exit_code: 0 if all expectations hold, no rule is violated and no records are missing, else 1.
        missed: one line per gap in the records, rule violation or missed expectation.
        expectations: the outcome of each expectation.
        figures: all figures by name.
        rules: the outcome of each rule; empty if the play has no verdict.
        tables: the tables of the report.
        slopes: figures by size, each with its bound.
        versions: the versions of marlseam, Python and libraries, by name.
    """

    name: str
    about: str
    play: str
    driver: str
    seed: int
    duration_s: float = field(name="took_s")
    exit_code: int = field(name="code")
    missed: list[str]
    expectations: list[ExpectationOutcome] = field(name="expected")
    figures: dict[str, float]
    rules: list[RuleOutcome]
    tables: Sequence[Table]
    slopes: Sequence[Slope]
    versions: dict[str, str]
