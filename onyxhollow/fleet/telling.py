"""The duty of the list: one proxy of a zone follows the list service and tells the others. A pure core.

Who holds the duty tells each change as it comes, and its version each `every` seconds. The others stop asking
while they hear a version that is theirs, under a term that is not older than one heard before. They ask for
themselves again when the teller is silent, has lost the list itself, or tells what can't be read; each
after a wait of its own, drawn by chance. Now and then one of them asks for itself all the same, and doubts
a teller that is behind.
"""

from __future__ import annotations

import math
import zlib
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec
import orjson

CHUNK = 880  # bytes of rows in one datagram
LARGEST = 4 * 1024 * 1024  # bytes of one list
MOST_PARTS = 64
# a second, by all members of a zone together: one asks for itself, to hold what is told against it
AUDITS = 0.2
BEHIND = 2.0  # seconds after which a teller that does not tell what the list service tells is doubted
SILENT = 3  # words of the teller that may be missed


class Said(msgspec.Struct, array_like=True, frozen=True):
    duty: str
    term: int
    source: str  # the list service that is spoken of


class Beat(Said, frozen=True, tag=1):
    version: int
    lost: bool  # the teller can't follow the list itself at present


class Rows(Said, frozen=True, tag=2):
    version: int
    base: int  # these rows make `version` of that one; -1: they are all there are
    part: int
    parts: int
    body: bytes


class Want(Said, frozen=True, tag=3):
    have: int


class Doubt(Said, frozen=True, tag=4):
    """The list service has told me more than you, for a while."""

    version: int


Messages = Beat | Rows | Want | Doubt
ENCODER = msgspec.msgpack.Encoder()
MESSAGES = msgspec.msgpack.Decoder(Messages)
encode = ENCODER.encode


class BadRowsError(Exception):
    """What was told is no list."""


def pack(rows: list[Any]) -> list[bytes]:
    text = zlib.compress(orjson.dumps(rows), 6)
    return [text[at : at + CHUNK] for at in range(0, len(text), CHUNK)]


def unpack(parts: list[bytes]) -> list[Any]:
    try:
        reader = zlib.decompressobj()
        rows = orjson.loads(reader.decompress(b"".join(parts), LARGEST))
    except (zlib.error, ValueError) as error:
        raise BadRowsError(str(error)) from None
    if not isinstance(rows, list) or not all(isinstance(row, dict) and "host" in row for row in rows):
        raise BadRowsError("not a list of rows")
    return rows


def drains(rows: list[Any]) -> list[Any]:
    """Those that nothing new may go to: they count whoever tells of them."""
    return [row for row in rows if row.get("health") in ("leaving", "left")]


@dataclass(frozen=True, slots=True)
class Take:
    """To be taken over as what the list service has said. version None: some rows of a newer list."""

    rows: list[Any]
    version: int | None
    whole: bool


class Teller:
    """The side that holds the duty."""

    def __init__(self, duty: str, term: int, source: str, every: float) -> None:
        self.duty, self.term, self.source, self.every = duty, term, source, every
        self.rows: dict[str, Any] = {}
        self.version, self.lost = -1, False
        self.next_beat = -math.inf
        self.doubted = -1  # a version that another has heard of

    def beat(self) -> Beat:
        return Beat(self.duty, self.term, self.source, self.version, self.lost)

    def parts(self, rows: list[Any], base: int) -> list[Rows]:
        packed = pack(rows)[:MOST_PARTS]
        return [
            Rows(self.duty, self.term, self.source, self.version, base, place, len(packed), body)
            for place, body in enumerate(packed)
        ]

    def told(self, rows: dict[str, Any], version: int) -> list[Rows]:
        """By the list service: what all have to hear now."""
        before, self.lost = self.version, False
        changed = [row for name, row in rows.items() if self.rows.get(name) != row]
        gone = self.rows.keys() - rows.keys()
        self.rows, self.version = dict(rows), version
        if version == before and not changed and not gone:
            return []
        fresh = before < 0 or gone or version <= before
        return self.parts(list(rows.values()) if fresh else changed, -1 if fresh else before)

    def wanted(self) -> list[Rows]:
        """By one who has missed something."""
        return self.parts(list(self.rows.values()), -1) if self.version >= 0 else []


class Listener:
    """The side that hears. `resting`: it does not ask for itself."""

    def __init__(self, duty: str, source: str, every: float, spread: float, rng: Random, now: float) -> None:
        self.duty, self.source, self.every, self.spread, self.rng = duty, source, every, spread, rng
        self.term = 0
        self.heard_at = -math.inf
        self.resting = False
        self.ask_at = math.inf  # when to ask for itself again
        self.audit_at, self.auditing = math.inf, False
        self.parts: dict[int, bytes] = {}
        self.parts_of: tuple[int, int, int] = (0, 0, 0)
        self.behind_since = math.inf
        self.distrusted = 0  # the term of a teller that told what can't be read, or was found behind
        self.why = ""

    @property
    def silence(self) -> float:
        return SILENT * self.every

    def current(self, said: Said) -> bool:
        """Not told under an older term than has been heard of, and of the list service that is followed."""
        if said.source != self.source or said.term < self.term or said.term == self.distrusted:
            return False
        if said.term > self.term:
            self.term, self.parts, self.behind_since = said.term, {}, math.inf
        return True

    def beat(self, told: Beat, now: float, version: int, members: int) -> Want | None:
        if not self.current(told):
            return None
        self.heard_at = now
        if told.lost or told.version < 0:
            self.fall_back(now, "the teller has lost the list")
            return None
        if told.version > version or version < 0:
            return Want(self.duty, self.term, self.source, version)
        if told.version < version:  # this one has heard more: it keeps its own eyes until the teller has
            self.behind_since = min(self.behind_since, now)
            if now - self.behind_since > BEHIND:
                self.distrusted = told.term
                self.fall_back(now, "the teller is behind")
            return None
        self.behind_since = math.inf
        if not self.auditing:
            self.ask_at = math.inf
            if not self.resting:
                self.resting = True
                self.audit_at = now + self.rng.uniform(0.5, 1.5) * max(1, members) / AUDITS
        return None

    def rows(self, told: Rows, now: float, version: int) -> Take | Want | None:
        if not self.current(told) or not 0 < told.parts <= MOST_PARTS or not 0 <= told.part < told.parts:
            return None
        self.heard_at = now
        if told.version <= version and version >= 0:
            return None
        if told.base >= 0 and told.base != version:
            return Want(self.duty, self.term, self.source, version)
        if self.parts_of != (told.version, told.base, told.parts):
            self.parts_of, self.parts = (told.version, told.base, told.parts), {}
        self.parts[told.part] = told.body
        if len(self.parts) < told.parts:
            return None
        bodies, self.parts = [self.parts[place] for place in range(told.parts)], {}
        try:
            return Take(unpack(bodies), told.version, told.base < 0)
        except BadRowsError as error:
            self.unreadable(now, str(error))
            return None

    def unreadable(self, now: float, why: str) -> None:
        self.distrusted = self.term
        self.fall_back(now, f"what was told can't be read: {why}"[:120])

    def fall_back(self, now: float, why: str) -> None:
        """Own eyes again, after a wait by chance: all of the zone fall back at once."""
        self.auditing = False
        if self.resting and self.ask_at == math.inf:
            self.ask_at, self.why = now + self.rng.random() * self.spread, why

    def tick(self, now: float) -> bool:
        """Whether to ask for itself from now on."""
        if self.resting and now - self.heard_at > self.silence:
            self.fall_back(now, "the teller is silent")
        if self.resting and now >= self.audit_at and self.ask_at == math.inf:
            self.auditing, self.ask_at, self.why = True, now, "audit"
        if self.resting and now >= self.ask_at:
            self.resting, self.ask_at = False, math.inf
            return True
        return False

    def asked_itself(self) -> None:
        """The list service has answered: an audit is over with the next word of the teller."""
        self.auditing = False
        self.audit_at = math.inf

    def due(self) -> float:
        if not self.resting:
            return math.inf
        return min(self.ask_at, self.audit_at, self.heard_at + self.silence + 0.001)
