"""What a node takes up again after a restart, and how far it trusts that. Pure: no clock, no disk."""
