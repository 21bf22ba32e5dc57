"""Command groups, a module each; a group's subsystem is imported only when one of its commands runs."""
