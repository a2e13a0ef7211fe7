"""Read buffers: lines are handed out as slices of the buffer that they were read into."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

LONGEST_LINE = 4096
SIZE = 2 * LONGEST_LINE
KEPT = 64  # spare buffers kept for reuse


class LineTooLongError(Exception):
    """A line over the 4 KiB that the wire allows."""


@dataclass(frozen=True, slots=True)
class ClosingConnection:
    """A connection that only ends in order: nothing more is taken from it."""

    since: float
    close: Callable[[], None]
    has_unsent: Callable[[], bool]  # whether last bytes, a final answer perhaps, are still to go out on it


class BufferPool:
    """What all connections share. Buffers are in use only while bytes are in them: an idle connection costs
    none of the memory limit. How many connections are open, and which of them are only waited out, is kept
    here too: each holds a descriptor, watched or not."""

    def __init__(self) -> None:
        self.spare: list[bytearray] = []
        self.open_connections = 0
        self.high_water_mark = (
            32 * 1024
        )  # bytes waiting to be written to one side past which the other is not read on
        self.closing: dict[
            int, ClosingConnection
        ] = {}  # by descriptor, in the order in which they began to end

    def borrow(self) -> bytearray:
        return self.spare.pop() if self.spare else bytearray(SIZE)

    def give_back(self, buffer: bytearray) -> None:
        if len(self.spare) < KEPT:
            self.spare.append(buffer)


class LineBuffer:
    """Bytes read and not yet used. Slices it hands out hold until the next read into it."""

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.data: bytearray | None = None
        self.start = self.end = self.scanned = 0

    def free_space(self) -> memoryview:
        """Where the next read goes: never empty unless whole lines wait to be used."""
        if self.data is None:
            self.data = self.pool.borrow()
        if self.start:
            rest = self.end - self.start
            self.data[:rest] = self.data[self.start : self.end]
            self.scanned -= self.start
            self.start, self.end = 0, rest
        return memoryview(self.data)[self.end :]

    def commit(self, count: int) -> None:
        self.end += count

    def append(self, data: bytes) -> None:
        """Bytes that were read elsewhere."""
        if data:
            self.free_space()[: len(data)] = data
            self.commit(len(data))

    def unread(self) -> bytes:
        return bytes(memoryview(self.data)[self.start : self.end]) if self.data is not None else b""

    def __len__(self) -> int:
        return self.end - self.start

    def line(self) -> memoryview | None:
        """The next whole line with its line end, or None. A bare LF does not end a line."""
        if self.data is None:
            return None
        place = self.data.find(b"\r\n", max(self.start, self.scanned - 1), self.end)
        if place < 0:
            self.scanned = self.end
            if len(self) > LONGEST_LINE:
                raise LineTooLongError
            return None
        if place + 2 - self.start > LONGEST_LINE:
            raise LineTooLongError
        line = memoryview(self.data)[self.start : place + 2]
        self.start = self.scanned = place + 2
        return line

    def take_rest(self) -> bytes:
        """What is left at the end of a connection: a line without its end."""
        left = self.unread()
        self.start = self.end
        return left

    def release(self) -> None:
        """Gives the buffer back while nothing is in it."""
        if self.data is not None and self.start == self.end:
            self.pool.give_back(self.data)
            self.data, self.start, self.end, self.scanned = None, 0, 0, 0

    def discard(self) -> None:
        self.start = self.end
        self.release()
