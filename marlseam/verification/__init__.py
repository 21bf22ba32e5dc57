"""The checks of the rules and the service figures of a run, computed from its records alone.

No code of a dispatcher node is imported, so that a fault in that code cannot mask itself in the check.
"""
