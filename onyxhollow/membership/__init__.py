"""Who is there: SWIM's membership, a pure core, its datagrams and their seal."""
