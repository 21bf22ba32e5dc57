"""State-space searches and seeded fault schedules that test the state machines of `marlseam.cluster`."""
