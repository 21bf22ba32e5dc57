"""A pure model of what marlseam serves.

Executors, roster, network, clients and troubles, in anybody's time.
"""
