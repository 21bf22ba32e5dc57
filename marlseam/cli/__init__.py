"""Command groups, one module each; a group imports its subsystem only when one of its commands runs."""
