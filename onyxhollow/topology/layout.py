"""Positions in the picture, stable across snapshots of the same fleet. Pure.

Zones are boxes in the order of their names. A box has a grid whose number of cells is a power of two and at
least twice the number of names. The hash of a name selects its cell. On a collision the name takes the next
free cell; names are assigned in sorted order. One more name therefore moves only a few others, and moves all
names of a box only when its grid doubles.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import NamedTuple

# Lengths are in pixels of the picture.
BOX_WIDTH = 300.0
BOX_GAP = 20.0  # between boxes
BOX_HEADER = 40.0  # above the cells of a box
CELL_HEIGHT = 30.0
MIN_CELLS = 8
MIN_COLUMNS = 4
MAX_COLUMNS = 16
MOVED_DIVISOR = 20  # a name counts as moved if it is farther away than the width divided by this


class Position(NamedTuple):
    """Centre of a symbol, relative to the upper left corner of the picture."""

    x: float
    y: float


Positions = dict[str, Position]


def grid_size(count: int) -> int:
    """Return the number of cells for `count` names: a power of two, at least twice `count`."""
    return max(MIN_CELLS, 1 << math.ceil(math.log2(max(1, 2 * count))))


def assign_cells(names: Iterable[str], cell_count: int) -> dict[str, int]:
    """Assign a cell to each name; `cell_count` must be larger than the number of names."""
    occupied: dict[int, str] = {}
    for name in sorted(names):
        digest = blake2b(name.encode("utf-8", "surrogatepass"), digest_size=4).digest()
        cell = int.from_bytes(digest, "big") % cell_count
        while cell in occupied:
            cell = (cell + 1) % cell_count
        occupied[cell] = name
    return {name: cell for cell, name in occupied.items()}


def place(names: Iterable[str], left: float, top: float, width: float) -> tuple[Positions, float]:
    """Return the positions of names in a grid at (left, top), and the height of the grid."""
    rows = list(names)
    cell_count = grid_size(len(rows))
    columns = max(MIN_COLUMNS, min(int(width // CELL_HEIGHT), MAX_COLUMNS))
    step = width / columns
    positions = {
        name: Position(
            left + step * (cell % columns) + step / 2, top + CELL_HEIGHT * (cell // columns) + CELL_HEIGHT / 2
        )
        for name, cell in assign_cells(rows, cell_count).items()
    }
    return positions, CELL_HEIGHT * math.ceil(cell_count / columns)


def moved_share(before: Mapping[str, Position], after: Mapping[str, Position], width: float) -> float:
    """Return the fraction of common names that moved by more than a twentieth of the width, 0 to 1."""
    common = before.keys() & after.keys()
    moved = sum(math.dist(before[name], after[name]) > width / MOVED_DIVISOR for name in common)
    return moved / max(1, len(common))
