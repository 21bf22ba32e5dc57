"""Counters of a node for its operators, from the start of its process. No I/O; callers report each event."""

from collections.abc import Iterable
from dataclasses import dataclass, field

ENDS = ("completed", "rejected", "failed")  # kinds of final answers, as named and ordered for operators


@dataclass
class Counters:
    """Monotonic counters of final answers by request class, attempts, reloads and internal errors."""

    answers: dict[str, dict[str, int]] = field(default_factory=dict)
    attempts: int = 0  # attempts whose last byte was passed to the operating system, however they ended
    reloads: int = 0
    reload_errors: int = 0
    faults: int = 0  # requests that were answered because of an error of this program

    def declare_classes(self, names: Iterable[str]) -> None:
        """Add counters at 0 for request classes that have none; removed classes keep their counters."""
        for name in names:
            self.answers.setdefault(name, dict.fromkeys(ENDS, 0))

    def count_answer(self, class_name: str, status: int) -> None:
        """Count a request's final answer by the HTTP status that is sent to its client."""
        end = "completed" if status == 200 else "rejected" if status in (429, 503) else "failed"
        self.answers[class_name][end] += 1

    def text(self, **now: int) -> str:
        """Return all figures, one `name=value` per line; `now` holds those that are read at this moment."""
        rows = {
            f"downstream_requests.{class_name}.{end}": count
            for class_name, counts in self.answers.items()
            for end, count in counts.items()
        }
        rows |= {"upstream_requests": self.attempts, **now}
        rows |= {"config_reloads": self.reloads, "config_reload_errors": self.reload_errors}
        rows |= {"requests_given_up_on_faults": self.faults}
        return "".join(f"{name}={count}\n" for name, count in rows.items())
