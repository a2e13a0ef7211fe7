"""Read buffers; lines are returned as slices of the buffer, without a copy."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from onyxhollow.wire.connection_budget import ConnectionBudget

MAX_LINE_SIZE = 4096  # bytes, with the line end; the protocol's limit
BUFFER_SIZE = 2 * MAX_LINE_SIZE  # bytes
MAX_SPARE_BUFFERS = 64  # cached for reuse
DEFAULT_HIGH_WATER_MARK = 32 * 1024  # bytes, until the configured limits are applied


class LineTooLongError(Exception):
    """A line exceeds the protocol's limit of 4 KiB."""


class ClosingConnection(NamedTuple):
    """A connection that is shutting down gracefully; bytes that still arrive on it are ignored."""

    since: float  # loop time in seconds
    close: Callable[[], None]
    has_unsent: Callable[[], bool]  # whether bytes, for example a final answer, are still to be sent


class BufferPool:
    """Spare buffers shared by all connections, their budget, and the connections that are shutting down.

    A connection has a buffer only while it holds received bytes, so idle connections use none of the memory
    limit. Each open connection uses a descriptor, whether the loop watches it or not.
    """

    def __init__(self) -> None:
        self.spare: list[bytearray] = []
        self.budget = ConnectionBudget()
        self.high_water_mark = DEFAULT_HIGH_WATER_MARK  # unsent bytes above which the source is not read
        # Connections that are shutting down, by descriptor, in the order in which they began to.
        self.closing: dict[int, ClosingConnection] = {}

    @property
    def open_connections(self) -> int:
        """Number of open connections of this process."""
        return self.budget.open_connections

    def acquire(self) -> bytearray:
        """Return a spare buffer, or a new one."""
        return self.spare.pop() if self.spare else bytearray(BUFFER_SIZE)

    def release(self, buffer: bytearray) -> None:
        """Cache a buffer for reuse, unless `MAX_SPARE_BUFFERS` are cached."""
        if len(self.spare) < MAX_SPARE_BUFFERS:
            self.spare.append(buffer)


class LineBuffer:
    """Received bytes that are not consumed yet; returned slices are valid until the next read."""

    def __init__(self, pool: BufferPool) -> None:
        self.pool = pool
        self.data: bytearray | None = None  # from the pool; None while no bytes are held
        self.start = 0  # index of the first unread byte
        self.end = 0  # index after the last unread byte
        self.scanned = 0  # index up to which no line end was found

    def free_space(self) -> memoryview:
        """Return the space for the next read; it is empty only if whole lines are unread."""
        if self.data is None:
            self.data = self.pool.acquire()
        if self.start:
            unread_count = self.end - self.start
            self.data[:unread_count] = self.data[self.start : self.end]
            self.scanned -= self.start
            self.start = 0
            self.end = unread_count
        return memoryview(self.data)[self.end :]

    def commit(self, count: int) -> None:
        """Add the bytes that were read into the free space."""
        self.end += count

    def append(self, data: bytes) -> None:
        """Append bytes that another process has read; raise ValueError if they don't fit."""
        if data:
            self.free_space()[: len(data)] = data
            self.commit(len(data))

    def unread(self) -> bytes:
        """Return a copy of the unread bytes without consuming them."""
        if self.data is None:
            return b""
        return bytes(memoryview(self.data)[self.start : self.end])

    def __len__(self) -> int:
        return self.end - self.start

    def line(self) -> memoryview | None:
        """Return the next whole line with its CR LF, or None; a bare LF does not end a line.

        Raises:
            LineTooLongError: The line, or its received part, exceeds the protocol's limit.
        """
        if self.data is None:
            return None
        crlf_index = self.data.find(b"\r\n", max(self.start, self.scanned - 1), self.end)
        if crlf_index < 0:
            self.scanned = self.end
            if len(self) > MAX_LINE_SIZE:
                raise LineTooLongError
            return None
        if crlf_index + 2 - self.start > MAX_LINE_SIZE:
            raise LineTooLongError
        line = memoryview(self.data)[self.start : crlf_index + 2]
        self.start = self.scanned = crlf_index + 2
        return line

    def has_line(self) -> bool:
        """Return whether a whole line is unread, without consuming it."""
        return self.data is not None and self.data.find(b"\r\n", self.start, self.end) >= 0

    def take_rest(self) -> bytes:
        """Consume and return all unread bytes, for example an incomplete line at the end of a connection."""
        unread = self.unread()
        self.start = self.end
        return unread

    def release(self) -> None:
        """Return the buffer to the pool if it is empty."""
        if self.data is not None and self.start == self.end:
            self.pool.release(self.data)
            self.data = None
            self.start = 0
            self.end = 0
            self.scanned = 0

    def discard(self) -> None:
        """Discard the unread bytes."""
        self.start = self.end
        self.release()
