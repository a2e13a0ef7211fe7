"""Positions in the picture: stable, so that a fleet looks the same tomorrow. Pure.

Zones are boxes in the order of their names. In a box a hash of the name gives each member or endpoint a cell,
out of at least twice as many as there are names, a power of two; if it is occupied, the next free one, names
in order. So one more name moves a few at most, and all of a box only when its grid doubles.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from hashlib import blake2b
from typing import NamedTuple

BOX_WIDTH = 300.0  # of a zone; all lengths are in pixels of the picture
BOX_GAP = 20.0  # between boxes
BOX_HEADER = 40.0  # above the cells of a box
CELL_HEIGHT = 30.0
MIN_CELLS = 8
MIN_COLUMNS = 4
MAX_COLUMNS = 16
MOVED_DIVISOR = 20  # a name counts as moved past this part of the picture's width


class Position(NamedTuple):
    """Centre of a symbol, from the upper left corner."""

    x: float
    y: float


Positions = dict[str, Position]


def grid_size(count: int) -> int:
    """Number of cells for `count` names: a power of two, at least twice as many."""
    return max(MIN_CELLS, 1 << math.ceil(math.log2(max(1, 2 * count))))


def assign_cells(names: Iterable[str], cell_count: int) -> dict[str, int]:
    """The cell of each name; `cell_count` must be larger than the number of names."""
    occupied: dict[int, str] = {}
    for name in sorted(names):
        digest = blake2b(name.encode("utf-8", "surrogatepass"), digest_size=4).digest()
        cell = int.from_bytes(digest, "big") % cell_count
        while cell in occupied:
            cell = (cell + 1) % cell_count
        occupied[cell] = name
    return {name: cell for cell, name in occupied.items()}


def place(names: Iterable[str], left: float, top: float, width: float) -> tuple[Positions, float]:
    """Positions of names in a box whose cells begin at (left, top), and the height of its grid."""
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
    """Share of the names in both pictures that moved by more than a twentieth of the width, 0 to 1."""
    common = before.keys() & after.keys()
    moved = sum(math.dist(before[name], after[name]) > width / MOVED_DIVISOR for name in common)
    return moved / max(1, len(common))
