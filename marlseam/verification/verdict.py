"""The result of checking a run against the rules: each violation, and how near the run came to one."""

from dataclasses import dataclass, field
from typing import NamedTuple


class Violation(NamedTuple):
    """One violation of a rule: the id of the try or the name of the server, and a description."""

    subject: str
    text: str


@dataclass
class Rule:
    """The result of checking one rule.

    Attributes:
        name: the rule's name in reports and experiment files.
        means: what `margin` measures, as reports print it.
        violations: each violation found.
        margin: how near the run came to a violation; the rule is kept below 1, unless `means` defines
            another bound.
    """

    name: str
    means: str
    violations: list[Violation] = field(default_factory=list)
    margin: float = 0.0

    def add_violation(self, subject: str, text: str) -> None:
        """Add a violation; `subject` is the id of a try, or the name of a server."""
        self.violations.append(Violation(subject, text))

    def raise_margin(self, margin: float) -> None:
        """Raise the margin to that of one case, if that is larger."""
        self.margin = max(self.margin, margin)


@dataclass
class Verdict:
    """The result of checking a run: its rules, or the gaps in its records that prevent a check.

    Attributes:
        rules: the result of each rule; empty if there are gaps.
        gaps: a text for each gap in the records; with any gap no rule is checked.
    """

    rules: list[Rule]
    gaps: list[str]

    @property
    def is_judged(self) -> bool:
        """Return whether the records were complete, so that the rules were checked."""
        return not self.gaps

    @property
    def violation_count(self) -> int:
        """Return the number of violations of all rules."""
        return sum(len(rule.violations) for rule in self.rules)
