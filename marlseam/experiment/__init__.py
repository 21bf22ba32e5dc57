"""Experiments: plays of a day in virtual time or on loopback sockets, with a verdict and a report."""
