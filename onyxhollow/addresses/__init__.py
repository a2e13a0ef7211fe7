"""Shared service addresses: decides which sites announce each address, by health, capacity and overrides.

The classes here do no I/O: time and messages are passed in, and outgoing messages are queued for the caller.
`onyxhollow.fleet` runs them.
"""
