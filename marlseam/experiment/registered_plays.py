"""Imports all plays, which registers them; `register` registers their tables for experiment files."""

from marlseam.experiment import (
    capacity,
    cluster_plays,
    day_plays,
    generator_plays,
    idempotency_kills,
    policy_comparison,
    ready,
    scale,
    size_changes,
    size_cold,
    size_endpoint_list,
    size_members,
    soak,
    stale_list_start,
    store_cost,
)

__all__ = ["day_plays", "register"]  # `day_plays` has no table to register; it is imported for its plays

MODULES_WITH_TABLES = (
    generator_plays,
    capacity,
    scale,
    policy_comparison,
    idempotency_kills,
    stale_list_start,
    store_cost,
    cluster_plays,
    size_endpoint_list,
    size_members,
    size_changes,
    ready,
    soak,
    size_cold,
)


def register() -> None:
    """Register the tables of all plays for experiment files."""
    for module in MODULES_WITH_TABLES:
        module.register()
