"""What the members of a fleet tell one another of servers: loads, connections in sum, evidence of failure."""
