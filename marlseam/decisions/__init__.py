"""What the node decides, a rule a module: pure of I/O and clocks."""
