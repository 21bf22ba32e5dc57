"""What the processes of many nodes know of one another; pure, off unless settings name a fleet."""
