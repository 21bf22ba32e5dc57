"""The cost of membership for a node, by the number of members in the cluster (`size_members` experiments).

- `settings`: the table of the experiment file.
- `full_member`: a member that runs the real state machine.
- `scripted_members`: members that are only imitated.
- `sample`: a few full members among many scripted ones, in virtual time.
- `measurement`: the figures.
"""
