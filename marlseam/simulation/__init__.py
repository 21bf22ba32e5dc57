"""A model of what marlseam serves, without input or output.

Servers, endpoint list, network, clients and faults, in real or virtual time: whoever drives the model hands
each time in.
"""
