"""Shared parts of the `size-*` experiments, which measure what a part of a node costs at which size.

The size is that of a cluster: servers on the endpoint list, or members. In-process nodes run the pure state
machines and the real codecs without sockets, on a virtual clock that goes on by the processor time used. That
way great sizes fit one process, and counts are the same on every run. Real nodes on loopback do the same work
beside them and show how far that holds.

Before anything starts, the need of memory and processes is estimated, and a file that asks for more than is
allowed is refused with what would fit. A run ends by itself, and leaves nothing behind when it is interrupted
or killed.

- `plan`: the planned size of a cluster, and what one node may spend on control.
- `resource_need`: whether a run fits the machine.
- `isolation`: time limit, child processes, working directory.
- `cpu_clock`, `process_usage`: processor time and memory.
- `loopback_nodes`: real nodes on loopback.
- `comparison`: figures of both kinds of node beside each other.
- `endpoint_list`, `membership`: what is measured.
"""
