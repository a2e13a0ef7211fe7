"""Who holds what: leases with a term, granted by a majority of voters. Pure cores; docs/duties.md says why
safe."""
