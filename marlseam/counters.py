"""What a node counts for its operators from its process's start; pure, and told where a thing happens."""

from collections.abc import Iterable
from dataclasses import dataclass, field

ENDS = ("completed", "rejected", "failed")  # final answers by the names that operators see, in their order


@dataclass
class Counters:
    """Counts that only grow: final answers by request class, attempts, and files taken or turned down."""

    answers: dict[str, dict[str, int]] = field(default_factory=dict)
    attempts: int = 0  # whose last byte was handed to the system, however they ended
    reloads: int = 0
    reload_errors: int = 0
    faults: int = 0  # requests that met an error of this program, and were answered for it

    def declare_classes(self, names: Iterable[str]) -> None:
        """Show these request classes from now on, 0 at first; one that has gone keeps its counts."""
        for name in names:
            self.answers.setdefault(name, dict.fromkeys(ENDS, 0))

    def count_answer(self, class_name: str, status: int) -> None:
        """Count a request's final answer by the status that its client is told."""
        how = "completed" if status == 200 else "rejected" if status in (429, 503) else "failed"
        self.answers[class_name][how] += 1

    def text(self, **now: int) -> str:
        """Return all figures, one `name=value` a line; `now` holds those that are read at this moment."""
        rows = {
            f"downstream_requests.{class_name}.{how}": count
            for class_name, counts in self.answers.items()
            for how, count in counts.items()
        }
        rows |= {"upstream_requests": self.attempts, **now}
        rows |= {"config_reloads": self.reloads, "config_reload_errors": self.reload_errors}
        rows |= {"requests_given_up_on_faults": self.faults}
        return "".join(f"{name}={count}\n" for name, count in rows.items())
