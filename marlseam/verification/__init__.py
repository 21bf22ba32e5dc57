"""The rules and the service figures of a run, computed from its records alone.

No code of a dispatcher node is imported: a fault of the dispatcher cannot hide itself in its own check.
"""
