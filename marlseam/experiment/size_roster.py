"""Former name of `size_endpoint_list`, for `measures` alone."""

from marlseam.experiment.size_endpoint_list import register

__all__ = ["register"]
