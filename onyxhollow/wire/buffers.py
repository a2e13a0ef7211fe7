"""Read buffers: lines are handed out as slices of the buffer that they were read into."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

MAX_LINE_SIZE = 4096  # bytes, with the line end: the wire's limit
BUFFER_SIZE = 2 * MAX_LINE_SIZE
MAX_SPARE_BUFFERS = 64  # cached for reuse
DEFAULT_HIGH_WATER_MARK = 32 * 1024  # bytes, until the configuration's limits are applied


class LineTooLongError(Exception):
    """A line over the 4 KiB that the wire allows."""


class ClosingConnection(NamedTuple):
    """A connection that only ends in order: nothing more is taken from it."""

    since: float  # seconds of the loop's clock
    close: Callable[[], None]
    has_unsent: Callable[[], bool]  # whether last bytes, a final answer perhaps, are still to be written


class BufferPool:
    """What all connections share: spare buffers, and the count of connections.

    Buffers are in use only while bytes are in them: an idle connection costs none of the memory limit. How
    many connections are open, and which of them only end in order, is noted here too: each holds a
    descriptor, watched or not.
    """

    def __init__(self) -> None:
        self.spare: list[bytearray] = []
        self.open_connections = 0
        self.high_water_mark = DEFAULT_HIGH_WATER_MARK  # unsent bytes of one side past which the other waits
        self.closing: dict[
            int, ClosingConnection
        ] = {}  # by descriptor, in the order in which they began to end

    def borrow(self) -> bytearray:
        """A buffer, until it is given back."""
        return self.spare.pop() if self.spare else bytearray(BUFFER_SIZE)

    def give_back(self, buffer: bytearray) -> None:
        """Takes a buffer back for reuse; past 64 spare ones it is dropped."""
        if len(self.spare) < MAX_SPARE_BUFFERS:
            self.spare.append(buffer)


class LineBuffer:
    """Bytes received and not yet used. Slices that it hands out are valid until the next read into it."""

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.data: bytearray | None = None  # borrowed while bytes are in it
        self.start = 0  # of the unused bytes
        self.end = 0  # of the unused bytes
        self.scanned = 0  # up to here no line end was found

    def free_space(self) -> memoryview:
        """Where the next read goes: never empty unless whole lines wait to be used."""
        if self.data is None:
            self.data = self.pool.borrow()
        if self.start:
            unused = self.end - self.start
            self.data[:unused] = self.data[self.start : self.end]
            self.scanned -= self.start
            self.start = 0
            self.end = unused
        return memoryview(self.data)[self.end :]

    def commit(self, count: int) -> None:
        """Adds bytes that were read into the free space."""
        self.end += count

    def append(self, data: bytes) -> None:
        """Adds bytes that were read elsewhere; ValueError if they don't fit."""
        if data:
            self.free_space()[: len(data)] = data
            self.commit(len(data))

    def unread(self) -> bytes:
        """A copy of the unused bytes, which stay."""
        if self.data is None:
            return b""
        return bytes(memoryview(self.data)[self.start : self.end])

    def __len__(self) -> int:
        return self.end - self.start

    def line(self) -> memoryview | None:
        """The next whole line with its line end, or None. A bare LF does not end a line.

        Raises:
            LineTooLongError: It is longer than the wire allows, or will be.
        """
        if self.data is None:
            return None
        place = self.data.find(b"\r\n", max(self.start, self.scanned - 1), self.end)
        if place < 0:
            self.scanned = self.end
            if len(self) > MAX_LINE_SIZE:
                raise LineTooLongError
            return None
        if place + 2 - self.start > MAX_LINE_SIZE:
            raise LineTooLongError
        line = memoryview(self.data)[self.start : place + 2]
        self.start = self.scanned = place + 2
        return line

    def take_rest(self) -> bytes:
        """Takes all unused bytes: at the end of a connection, a line without its end."""
        unused = self.unread()
        self.start = self.end
        return unused

    def release(self) -> None:
        """Gives the buffer back while nothing is in it."""
        if self.data is not None and self.start == self.end:
            self.pool.give_back(self.data)
            self.data = None
            self.start = 0
            self.end = 0
            self.scanned = 0

    def discard(self) -> None:
        """Throws the unused bytes away."""
        self.start = self.end
        self.release()
