"""Shared parts of the `size-*` experiments, which measure the cost of a part of a node by cluster size.

The size is the number of servers on the endpoint list, or the number of members. In-process nodes run the
pure state machines and the real codecs without sockets, on a virtual clock that advances by the processor
time used. Large sizes therefore fit in one process, and counts are the same on every run. Real nodes on
loopback do the same work for comparison, to check the figures of the in-process nodes.

Before anything starts, the memory and the number of processes that a run needs are estimated; an experiment
file that exceeds the limits is refused with the largest size that would fit. A run ends by itself, and leaves
no processes or files behind when it is interrupted or killed.

- `plan`: the planned size of a cluster, and the resources that one node may spend on control traffic.
- `resource_need`: limits for memory and processes.
- `isolation`: time limit, child processes, working directory.
- `cpu_clock`, `process_usage`: processor time and memory.
- `loopback_nodes`: real nodes on loopback.
- `comparison`: comparison of the figures of in-process and real nodes.
- `endpoint_list`, `membership`: the measurements.
"""
