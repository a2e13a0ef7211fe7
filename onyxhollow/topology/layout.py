"""Where things stand in the picture: steady, so that a fleet looks the same tomorrow. Pure.

Zones are boxes in the order of their names. In a box each name has a cell that a hash gives it, out of at
least twice as many as there are names, a power of two; the next free one if it is taken, names in order. So
one more name moves a few at most, and all of a box only when its grid doubles.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from hashlib import blake2b

BOX, GAP, TOP = 300.0, 20.0, 40.0  # width of a zone's box, between boxes, above its cells
CELL = 30.0
Spots = dict[str, tuple[float, float]]


def grid(count: int) -> int:
    """Cells for so many names."""
    return max(8, 1 << math.ceil(math.log2(max(1, 2 * count))))


def cells(names: Iterable[str], cells: int) -> dict[str, int]:
    taken: dict[int, str] = {}
    for name in sorted(names):
        told = blake2b(name.encode("utf-8", "surrogatepass"), digest_size=4).digest()
        at = int.from_bytes(told, "big") % cells
        while at in taken:
            at = (at + 1) % cells
        taken[at] = name
    return {name: at for at, name in taken.items()}


def place(names: Iterable[str], left: float, top: float, width: float) -> tuple[Spots, float]:
    """Centres of the names in a box, and the height that its grid takes."""
    rows = list(names)
    count = grid(len(rows))
    across = max(4, min(int(width // CELL), 16))
    step = width / across
    found = {
        name: (left + step * (at % across) + step / 2, top + CELL * (at // across) + CELL / 2)
        for name, at in cells(rows, count).items()
    }
    return found, CELL * math.ceil(count / across)


def shift(before: Spots, after: Spots, width: float) -> float:
    """Share of the names in both that moved by over a twentieth of the width."""
    both = before.keys() & after.keys()
    far = sum(math.dist(before[name], after[name]) > width / 20 for name in both)
    return far / max(1, len(both))
