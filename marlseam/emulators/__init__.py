"""Emulators: the simulated servers, discovery and network behind loopback sockets, and nodes with faults.

`servers`, `discovery`, `network` and `echo` are started by `python -m marlseam standin`; `disk`, `faulty`,
`clocks` and `older` run a real node in an impaired environment, as `python -m marlseam.emulators.NAME`.
"""
