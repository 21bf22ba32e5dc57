"""marlseam: a dispatcher that pushes jobs to workers by forward probing."""

__version__ = "0.1.0"
