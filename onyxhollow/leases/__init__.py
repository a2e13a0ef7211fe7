"""Leases with a fencing term for named roles, granted by a majority of voters.

These modules do no I/O: callers pass in the time, received messages and a random number generator, and get
back the messages to send and the records to store. docs/leases.md explains why at most one process holds a
role, and under which assumptions.
"""
