"""Limits that apply to a whole cluster: each member owns a share, and members lend quota on lease."""
