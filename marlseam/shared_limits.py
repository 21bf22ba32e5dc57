"""Limits shared by several packages, in a module of its own as not every node loads all of these packages."""

MAX_MEMBERS = 1000  # member names of a cluster
