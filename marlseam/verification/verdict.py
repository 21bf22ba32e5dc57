"""What the check of a run's rules found: each violation, and how near the run came to one."""

from dataclasses import dataclass, field
from typing import NamedTuple


class Violation(NamedTuple):
    """One violation of a rule: the id of the try, or the name of the server, and what is wrong."""

    subject: str
    text: str


@dataclass
class Rule:
    """What the check of one rule found.

    Attributes:
        name: the rule's name in reports.
        means: what `margin` measures.
        violations: each violation found.
        margin: how near the run came; below 1 is kept, unless `means` says otherwise.
    """

    name: str
    means: str
    violations: list[Violation] = field(default_factory=list)
    margin: float = 0.0

    def add_violation(self, subject: str, text: str) -> None:
        """Note a violation by a try or a server."""
        self.violations.append(Violation(subject, text))

    def raise_margin(self, margin: float) -> None:
        """Note how near one case came to a violation."""
        self.margin = max(self.margin, margin)


@dataclass
class Verdict:
    """What the check of a run found: the rules, or why it cannot tell.

    Attributes:
        rules: each rule as checked; empty where there are gaps.
        gaps: what is missing from the records, a text each; nothing is checked then.
    """

    rules: list[Rule]
    gaps: list[str]

    @property
    def is_judged(self) -> bool:
        """Return whether the records were whole, so that the rules were checked."""
        return not self.gaps

    @property
    def violation_count(self) -> int:
        """Return how many violations of all rules there are."""
        return sum(len(rule.violations) for rule in self.rules)
