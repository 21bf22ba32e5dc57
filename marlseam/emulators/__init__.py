"""Emulators: simulated servers, discovery and network behind loopback sockets, and nodes with faults.

`python -m marlseam standin` starts `servers`, `discovery`, `network` and `echo`. `disk`, `faulty`, `clocks`
and `older` each run a real node with faults, by `python -m marlseam.emulators.NAME`.
"""
