"""Bounds that a cluster's configuration and a node's own settings share."""

MAX_MEMBERS = 1000  # names that a cluster may have
