"""The rules and the service figures, from records alone: no code of a node is looked at or needed."""
