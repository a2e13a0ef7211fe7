"""Gossip of loads, connection counts and failures between fleet members, without I/O."""
