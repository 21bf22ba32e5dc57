"""The world on loopback sockets, one module a system.

Executors, roster, network, a node that answers at once.
"""
