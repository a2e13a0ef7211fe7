"""Membership of the fleet: the SWIM protocol as a pure core, its messages and their authentication."""
