"""Experiments: a file becomes a day in virtual time or on loopback sockets, a verdict and a report."""
