"""What membership costs a node, by how many members a cluster has: what `size_members` experiments measure.

- `settings`: the table of the experiment's file.
- `sample`: a few members in full among scripted ones, in virtual time.
- `measurement`: the figures.
"""
