"""The node's decision rules, one per module. None of them does I/O or reads a clock."""
