"""What a node starts from after a restart or a handover, and how far it trusts it. Pure: no clock, no I/O."""
