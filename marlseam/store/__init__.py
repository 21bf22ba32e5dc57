"""Durable state: snapshots and a journal in a directory.

A crash at any byte written leaves either the state before the write or the state after it.
"""
