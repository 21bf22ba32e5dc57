"""Searches and seeded schedules that try to break the machines of this package's parent."""
