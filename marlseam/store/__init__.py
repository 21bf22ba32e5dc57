"""Durable state.

Snapshots and a journal in a folder, written so that a crash at any byte leaves the old or the new.
"""
