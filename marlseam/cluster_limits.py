"""Bounds that a cluster's configuration and the settings of a node share, which may be of no cluster."""

MAX_MEMBERS = 1000  # names that a cluster may have
