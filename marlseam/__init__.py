"""marlseam: a dispatcher that pushes jobs to workers by forward probing."""
