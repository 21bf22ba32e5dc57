"""Bounds that several packages share of which not every node loads all."""

MAX_MEMBERS = 1000  # names that a cluster may have
