"""A durable log of checksummed records: one file, appended to by one process.

The file is a header of 8 bytes (`OXREC001`) and then records, each of them a head of 12 bytes, big-endian
(4: length of the body; 8: XXH3-64 of number and body, the number being the record's place from 0, 8 bytes),
and its body. A record counts once `append` has returned: its bytes and the file's length are on the disk by
then. What a crash has left half-written at the end is described (`torn_tail`) and written over; it never
counted.
"""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import struct
from collections.abc import Iterable
from dataclasses import dataclass

import xxhash

MAGIC = b"OXREC001"
RECORD_HEAD = struct.Struct(">IQ")
MAX_RECORD_SIZE = 64 * 1024  # bytes of one body
MAX_RECORDS = 4096  # records in a file; the log rewrites itself rather than append more
FILE_MODE = 0o600


class AppendLogError(Exception):
    """The log can't be opened; the text says which file, what was expected and what was found."""


class AppendLogLockedError(AppendLogError):
    """Another process has the log open."""

    def __init__(self, path: str) -> None:
        super().__init__(f"{path}: held by another process")


class AppendLogFormatError(AppendLogError):
    """The file is not an append log."""

    def __init__(self, path: str, found: bytes) -> None:
        expected = f"expected records that begin with {MAGIC.decode()}"
        super().__init__(f"{path}: {expected}, got {found[:8]!r}")


class AppendLogUnavailableError(AppendLogError):
    """The system refuses to create, open, read or write the file."""

    def __init__(self, path: str, error: OSError) -> None:
        super().__init__(f"{path}: {error.strerror}")


@dataclass(frozen=True, slots=True)
class LogContents:
    """What the bytes of a file hold.

    Attributes:
        bodies: The records that count.
        size: Bytes of header and records; 0 without a whole header.
        torn_tail: What follows them and does not count; "" if nothing does.
    """

    bodies: list[bytes]
    size: int
    torn_tail: str


def record_checksum(number: int, body: bytes) -> int:
    """XXH3-64 of a record's number and body, so that a record at a wrong place does not count."""
    return xxhash.xxh3_64_intdigest(number.to_bytes(8, "big") + body)


def pack_records(bodies: Iterable[bytes], first: int = 0) -> bytes:
    """The records' bytes, the first of them at place `first`."""
    return b"".join(
        RECORD_HEAD.pack(len(body), record_checksum(number, body)) + body
        for number, body in enumerate(bodies, first)
    )


def read_contents(path: str, data: bytes) -> LogContents:
    """Reads the bytes of a file.

    Raises:
        AppendLogFormatError: They do not begin as an append log does.
    """
    if not data:
        return LogContents([], 0, "")
    if data[: len(MAGIC)] != MAGIC[: len(data)]:
        raise AppendLogFormatError(path, data)
    if len(data) < len(MAGIC):
        return LogContents([], 0, f"{len(data)} bytes of a header")
    bodies: list[bytes] = []
    at = len(MAGIC)
    while at < len(data):
        body, fault = _read_record(data, at, len(bodies))
        if fault:
            return LogContents(bodies, at, f"{len(data) - at} bytes at {at}: {fault}")
        bodies.append(body)
        at += RECORD_HEAD.size + len(body)
    return LogContents(bodies, at, "")


def _read_record(data: bytes, at: int, number: int) -> tuple[bytes, str]:
    """The body of the record at byte `at`, and what is wrong with it ("": nothing)."""
    if len(data) - at < RECORD_HEAD.size:
        return b"", "half a head"
    length, expected = RECORD_HEAD.unpack_from(data, at)
    body = data[at + RECORD_HEAD.size : at + RECORD_HEAD.size + length]
    if length > MAX_RECORD_SIZE or len(body) < length:
        return b"", "half a record"
    if record_checksum(number, body) != expected:
        return b"", "wrong checksum"
    return body, ""


def _write_all(descriptor: int, data: bytes, offset: int) -> None:
    """Writes and syncs; OSError if the system takes less than all."""
    written = os.pwrite(descriptor, data, offset)
    if written != len(data):
        raise OSError(errno.ENOSPC, f"{written} of {len(data)} bytes written")
    os.fsync(descriptor)


class AppendLog:
    """One file of records, locked for as long as this process has it open.

    The log owns two descriptors, of the file and of the lock beside it; `close` closes both. `append` and
    `rewrite` raise OSError: then nothing of their records counts, and the file is rewritten before the next
    record, since after a failed fsync nobody knows what the disk holds.

    Attributes:
        path: Of the file.
        bodies: The records that count, in order.
        torn_tail: What a crash had left at the end when the log was opened; "" if nothing.
        is_new: No record was found when the log was opened.
    """

    def __init__(self, folder: str, name: str) -> None:
        """Opens `folder`/`name`, creating both as needed.

        Raises:
            AppendLogLockedError: Another process has it open.
            AppendLogFormatError: The file is something else.
            AppendLogUnavailableError: The system refuses.
        """
        self.folder = folder
        self.path = os.path.join(folder, name)
        self.bodies: list[bytes] = []
        self._must_rewrite = False
        try:
            os.makedirs(folder, exist_ok=True)
            self._lock_descriptor = self._take_lock()
            self._descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
            self._load()
        except OSError as error:
            raise AppendLogUnavailableError(self.path, error) from None

    def append(self, *bodies: bytes) -> None:
        """Adds records; they are on the disk when it returns.

        Raises:
            OSError: They are not, and none of them counts.
        """
        if self._must_rewrite or len(self.bodies) + len(bodies) > MAX_RECORDS:
            self.rewrite([*self.bodies, *bodies])
            return
        data = pack_records(bodies, len(self.bodies))
        try:
            _write_all(self._descriptor, data, self._size)
        except OSError:
            self._must_rewrite = True
            raise
        self.bodies += bodies
        self._size += len(data)

    def rewrite(self, bodies: list[bytes]) -> None:
        """Replaces all records: a file beside is written, synced and renamed, and the folder synced.

        Raises:
            OSError: The records are as they were.
        """
        beside = f"{self.path}.new"
        data = MAGIC + pack_records(bodies)
        descriptor = os.open(beside, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, FILE_MODE)
        try:
            _write_all(descriptor, data, 0)
            self._must_rewrite = True  # from here on either file may be the one that is found
            os.rename(beside, self.path)
            self.sync_folder()
        except OSError:
            os.close(descriptor)
            with contextlib.suppress(OSError):
                os.unlink(beside)
            raise
        os.close(self._descriptor)
        self._descriptor = descriptor
        self.bodies = list(bodies)
        self._size = len(data)
        self._must_rewrite = False

    def sync_folder(self) -> None:
        """Puts the folder's entries on the disk; OSError if that fails."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Closes the file and returns the lock."""
        for descriptor in (self._descriptor, self._lock_descriptor):
            with contextlib.suppress(OSError):
                os.close(descriptor)

    def _take_lock(self) -> int:
        descriptor = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise AppendLogLockedError(self.path) from None
        return descriptor

    def _load(self) -> None:
        """Reads the file, and cuts off what a crash has left half-written."""
        with open(self.path, "rb") as file:
            data = file.read()
        contents = read_contents(self.path, data)
        self.bodies = contents.bodies
        self.torn_tail = contents.torn_tail
        self.is_new = not self.bodies
        self._size = contents.size
        if not contents.torn_tail and data:
            return
        os.ftruncate(self._descriptor, contents.size)
        if not contents.size:
            self._size = len(MAGIC)
            os.pwrite(self._descriptor, MAGIC, 0)
        os.fsync(self._descriptor)
        self.sync_folder()
