"""The cost of an endpoint list for a node, by the length of the list (`size_roster` experiments).

- `settings`: the table of the experiment file.
- `source`: the list, its changes, and discovery's answers as bytes.
- `discovery_server`: sends these answers to real nodes, and detects when all have applied one.
- `backend_server`: answers probes and attempts for all servers of the list.
- `threaded_server`: the base class of both servers.
- `in_process_node`: a node without sockets.
- `read_counters`: counts the table entries that a node reads for a change.
- `in_process_measurement`, `loopback_measurement`: the figures of both kinds of node.
"""
