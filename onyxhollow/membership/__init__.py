"""Fleet membership: the SWIM protocol without I/O, its messages and their authentication."""
