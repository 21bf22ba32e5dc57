"""What a run leaves in `summary.json`, as typed values.

The keys of the file are those that operators and tools know; where a field has another name here, the key
stands beside it.
"""

from collections.abc import Sequence

import msgspec
from msgspec import field

from marlseam.experiment.slope import Slope

Table = tuple[str, list[list[str]]]  # its title, and its rows with the head first


class ExpectationOutcome(msgspec.Struct):
    """One figure that the experiment's file bounds.

    Attributes:
        figure: its name.
        bound: what it must be, as text.
        value: what it was.
        holds: whether it lies within.
    """

    figure: str
    bound: str = field(name="expected")
    value: float = field(name="seen")
    holds: bool


class ViolationExample(msgspec.Struct):
    """A violation of a rule.

    Attributes:
        subject: the id of the try, or the name of the server.
        text: what is wrong.
        timeline: all that happened to the request, a line each.
    """

    subject: str = field(name="who")
    text: str = field(name="what")
    timeline: list[str] = field(name="story")


class RuleOutcome(msgspec.Struct):
    """What the check of one rule found; `margin` and `means` as in `verification.verdict.Rule`.

    Attributes:
        name: the rule's name.
        violation_count: how often it was violated.
        margin: how near the run came to a violation.
        means: what `margin` measures.
        examples: the first violations.
    """

    name: str
    violation_count: int = field(name="broken")
    margin: float
    means: str
    examples: list[ViolationExample]


class RunSummary(msgspec.Struct):
    """A run of an experiment.

    Attributes:
        name: the experiment's name.
        about: what it shows.
        play: the play that was run.
        driver: what it ran on.
        seed: the seed of all draws.
        duration_s: how long the play took, in seconds.
        exit_code: 0 if all that is expected holds and no rule is violated, else 1.
        missed: what does not hold, a line each.
        expectations: the figures that the file bounds.
        figures: all figures by name.
        rules: what the check of each rule found; empty where the play has no verdict.
        tables: the tables of the report.
        slopes: figures by size.
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
