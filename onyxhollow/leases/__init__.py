"""Leases with a fencing term for named roles, granted by a majority of voters.

Pure cores: they are given the time, messages and a generator, and return what to send and what to store.
docs/leases.md says why at most one process holds a role, and on which assumptions that rests.
"""
