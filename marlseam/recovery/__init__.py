"""Recovery of a node after a restart or a handover, and the validity of old data. Pure: no clock, no I/O."""
