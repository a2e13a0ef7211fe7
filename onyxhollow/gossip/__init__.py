"""Gossip of load reports, connection counts and failures between the members of a fleet: a pure core."""
