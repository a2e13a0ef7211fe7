"""Random streams of a run, one per purpose, and tables of random numbers. Both depend on the seed alone."""

from __future__ import annotations

import math

import numpy as np

TABLE_SIZE = 1 << 16  # a power of two: indices are masked
PURPOSES = ("arrivals", "lives", "traits", "standing", "tables", "servers", "network", "faults")


def random_stream(seed: int, purpose: str) -> np.random.Generator:
    """Return the generator of a purpose."""
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, PURPOSES.index(purpose)])))


class RandomTables:
    """Random numbers drawn in advance, read by the number of a client or server and the index of the draw.

    A draw is therefore the same whatever happened to other clients and servers meanwhile.
    """

    def __init__(self, seed: int) -> None:
        """Draw both tables from the stream of their own purpose."""
        rng = random_stream(seed, "tables")
        self.uniforms: list[float] = rng.random(TABLE_SIZE).tolist()
        self.normals: list[float] = rng.standard_normal(TABLE_SIZE).tolist()

    def uniform(self, number: int, draw: int) -> float:
        """Return a number in [0, 1) for one draw of a client or server."""
        return self.uniforms[(number * 40503 + draw * 977) & (TABLE_SIZE - 1)]

    def normal(self, number: int, draw: int) -> float:
        """Return a standard normal number for one draw of a client or server."""
        return self.normals[(number * 30011 + draw * 1471) & (TABLE_SIZE - 1)]

    def exponential(self, number: int, draw: int) -> float:
        """Return an exponentially distributed number of mean 1 for one draw."""
        return -math.log(1.0 - self.uniforms[(number * 52361 + draw * 613 + 17) & (TABLE_SIZE - 1)])
