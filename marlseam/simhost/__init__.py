"""The adapter between the reducer and the simulator's wire protocol."""
