"""Models of servers, endpoint list, network, clients and faults, for the emulators and the virtual driver.

The models do no input or output and read no clock: the caller passes each time in, real or virtual.
"""
