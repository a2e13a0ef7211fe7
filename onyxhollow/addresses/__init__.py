"""Shared service addresses: decides from which sites each is announced, by health, capacity and overrides.

Pure cores: they take the time and the message, and leave what is to be sent. `onyxhollow.fleet` runs them.
"""
