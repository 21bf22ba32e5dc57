"""Limits that hold for a whole cluster: each member owns a share, and leases are lent between members."""
