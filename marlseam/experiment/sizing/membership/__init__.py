"""What membership costs a node, by how many members a cluster has: what `size_members` experiments measure.

- `settings`: the table of the experiment's file.
- `full_member`, `scripted_members`: the two kinds of members.
- `sample`: a few of the first kind among many of the second, in virtual time.
- `measurement`: the figures.
"""
