"""Limits that hold for a whole cluster, leased between its members."""
