"""Random streams of a run, one a purpose, and numbers drawn ahead. They depend on the seed alone."""

from __future__ import annotations

import math

import numpy as np

TABLE = 1 << 16
PURPOSES = ("arrivals", "lives", "traits", "standing", "tables", "servers", "network", "faults")


def stream(seed: int, purpose: str) -> np.random.Generator:
    return np.random.Generator(np.random.PCG64(np.random.SeedSequence([seed, PURPOSES.index(purpose)])))


class Tables:
    """Numbers drawn ahead that a client or server reads by its own number: the k-th draw of number i is the
    same whatever happened to others meanwhile."""

    def __init__(self, seed: int) -> None:
        rng = stream(seed, "tables")
        self.uniforms: list[float] = rng.random(TABLE).tolist()
        self.normals: list[float] = rng.standard_normal(TABLE).tolist()

    def uniform(self, who: int, draw: int) -> float:
        return self.uniforms[(who * 40503 + draw * 977) & (TABLE - 1)]

    def normal(self, who: int, draw: int) -> float:
        return self.normals[(who * 30011 + draw * 1471) & (TABLE - 1)]

    def exponential(self, who: int, draw: int) -> float:
        return -math.log(1.0 - self.uniforms[(who * 52361 + draw * 613 + 17) & (TABLE - 1)])
