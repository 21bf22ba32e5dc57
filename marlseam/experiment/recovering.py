"""The plays of durable state: kills under keyed requests, a start from an old list, the store's cost."""

from marlseam.experiment import idempotency_kills, stale_list_start, store_cost


def register() -> None:
    """Make the tables of these plays known to experiment files."""
    for module in (idempotency_kills, stale_list_start, store_cost):
        module.register()
