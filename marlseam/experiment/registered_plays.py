"""All plays: their import registers them, `register` makes their tables known to experiment files."""

from marlseam.experiment import (
    capacity,
    day_plays,
    fleet,
    generator_plays,
    policy_comparison,
    ready,
    recovering,
    scale,
    size_changes,
    size_cold,
    size_members,
    size_roster,
    soak,
    versions,
)

__all__ = ["day_plays", "register"]  # the plays of one day have no table of their own

MODULES_WITH_TABLES = (
    generator_plays,
    capacity,
    scale,
    policy_comparison,
    recovering,
    fleet,
    versions,
    size_roster,
    size_members,
    size_changes,
    ready,
    soak,
    size_cold,
)


def register() -> None:
    """Make the tables of all plays known to experiment files."""
    for module in MODULES_WITH_TABLES:
        module.register()
