"""The network side of a node: sockets, event loop and timers around the pure reducer (`marlseam.core`)."""
