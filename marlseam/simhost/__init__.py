"""The adapter between the decision module and the simulator's wire."""
