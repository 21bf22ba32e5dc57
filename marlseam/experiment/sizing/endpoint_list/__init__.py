"""What an endpoint list costs a node, by its length: what the `size_roster` experiments measure.

- `settings`: the table of the experiment's file.
- `source`: the list, its changes, and discovery's answers as bytes.
- `discovery_server`: gives these answers to real nodes, and tells when all have taken one in.
- `backend_server`: answers for all servers of the list.
- `threaded_server`: what both share.
- `in_process_node`: a node without sockets.
- `read_counters`: how many entries a change makes a node read.
- `in_process_measurement`, `loopback_measurement`: the figures of both kinds of node.
"""
