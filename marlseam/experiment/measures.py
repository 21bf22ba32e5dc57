"""Former place of `registered_plays`."""

from marlseam.experiment.registered_plays import register

__all__ = ["register"]
