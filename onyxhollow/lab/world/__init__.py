"""The world model: pure, told the time, drawing from seeded generators, used by both engines."""
