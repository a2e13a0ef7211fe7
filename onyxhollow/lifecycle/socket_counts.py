"""Numbers of sockets in use by the serving process and its successor, in a file that both map into memory."""

from __future__ import annotations

import mmap
import os

FILE_BYTES = 8  # one unsigned integer of 4 bytes for each role


class SocketCountFile:
    """Two counters; the constructor raises OSError or ValueError if the file can't be created or mapped.

    The caller holds a lock during the construction, so that no two processes create the file at once.
    """

    def __init__(self, path: str) -> None:
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            if os.fstat(descriptor).st_size < FILE_BYTES:
                # Allocates the page. Without free space this fails here, not by a signal at the first store.
                os.pwrite(descriptor, bytes(FILE_BYTES), 0)
            mapped = mmap.mmap(descriptor, FILE_BYTES)
        finally:
            os.close(descriptor)
        self.counts = memoryview(mapped).cast("I")

    def read(self, role: int) -> int:
        """Return the counter of a role."""
        return self.counts[role]

    def write(self, role: int, count: int) -> None:
        """Set the counter of a role."""
        self.counts[role] = count
