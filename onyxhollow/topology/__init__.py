"""The picture of a fleet: gathered from its members, kept, compared, drawn."""
