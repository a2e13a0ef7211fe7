"""Durable append log of checksummed records, kept in one file and written by one process.

The file starts with an 8-byte file header (`OXREC001`), followed by records. Each record is a 12-byte header
and a body. The record header is big-endian: the length of the body (4 bytes) and the XXH3-64 checksum of
number and body (8 bytes). The number is the index of the record, starting at 0, encoded in 8 bytes.

A record is committed when `append` returns: its bytes and the file's length are on the disk then. A crash may
leave an incomplete record at the end, which was never committed. Opening the log truncates such a record and
describes it in `torn_tail`.
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
RECORD_HEADER = struct.Struct(">IQ")  # length of the body, checksum
MAX_RECORD_BYTES = 64 * 1024  # of one body
MAX_RECORDS = 4096  # per file; the log rewrites the file instead of appending more
FILE_MODE = 0o600


class AppendLogError(Exception):
    """The log cannot be opened; the message names the file, the expected state and the actual one."""


class AppendLogLockedError(AppendLogError):
    """Another process has the log open."""

    def __init__(self, path: str) -> None:
        super().__init__(f"{path}: expected an unlocked log, got one that another process has open")


class AppendLogFormatError(AppendLogError):
    """The file is not an append log."""

    def __init__(self, path: str, contents: bytes) -> None:
        expected = f"expected records that begin with {MAGIC.decode()}"
        super().__init__(f"{path}: {expected}, got {contents[:8]!r}")


class AppendLogUnavailableError(AppendLogError):
    """The operating system reports an error on creating, opening, reading or writing the file."""

    def __init__(self, path: str, error: OSError) -> None:
        super().__init__(f"{path}: {error.strerror}")


@dataclass(frozen=True, slots=True)
class LogContents:
    """Decoded contents of a file.

    Attributes:
        bodies: Bodies of the committed records.
        size: Bytes of the file header and these records; 0 if the file header is incomplete.
        torn_tail: Description of the invalid bytes after the records; "" if there are none.
    """

    bodies: list[bytes]
    size: int
    torn_tail: str


def record_checksum(number: int, body: bytes) -> int:
    """Return the XXH3-64 checksum of a record's number and body.

    The number makes the checksum fail for a record at a wrong position in the file.
    """
    return xxhash.xxh3_64_intdigest(number.to_bytes(8, "big") + body)


def pack_records(bodies: Iterable[bytes], first: int = 0) -> bytes:
    """Return the encoded records, numbered from `first`."""
    return b"".join(
        RECORD_HEADER.pack(len(body), record_checksum(number, body)) + body
        for number, body in enumerate(bodies, first)
    )


def read_contents(path: str, data: bytes) -> LogContents:
    """Decode the bytes of a file.

    Raises:
        AppendLogFormatError: The bytes do not start with the file header of an append log.
    """
    if not data:
        return LogContents([], 0, "")
    if data[: len(MAGIC)] != MAGIC[: len(data)]:
        raise AppendLogFormatError(path, data)
    if len(data) < len(MAGIC):
        return LogContents([], 0, f"{len(data)} bytes of an incomplete file header")
    bodies: list[bytes] = []
    offset = len(MAGIC)
    while offset < len(data):
        body, fault = _read_record(data, offset, len(bodies))
        if fault:
            return LogContents(bodies, offset, f"{len(data) - offset} bytes at {offset}: {fault}")
        bodies.append(body)
        offset += RECORD_HEADER.size + len(body)
    return LogContents(bodies, offset, "")


def _read_record(data: bytes, offset: int, number: int) -> tuple[bytes, str]:
    """Return the body of the record at `offset` and the fault found in the record ("" for none)."""
    if len(data) - offset < RECORD_HEADER.size:
        return b"", "incomplete record header"
    length, expected = RECORD_HEADER.unpack_from(data, offset)
    body = data[offset + RECORD_HEADER.size : offset + RECORD_HEADER.size + length]
    if length > MAX_RECORD_BYTES or len(body) < length:
        return b"", "incomplete record body"
    if record_checksum(number, body) != expected:
        return b"", "wrong checksum"
    return body, ""


def _write_all(descriptor: int, data: bytes, offset: int) -> None:
    """Write all the data and sync the file; raise OSError if only a part could be written."""
    written = os.pwrite(descriptor, data, offset)
    if written != len(data):
        raise OSError(errno.ENOSPC, f"expected to write {len(data)} bytes, got {written} written")
    os.fsync(descriptor)


class AppendLog:
    """Log of records in one file, which stays locked while this process has it open.

    The log owns two descriptors, for the file and for the lock file next to it; `close` closes both. If
    `append` or `rewrite` raises OSError, none of its records is committed. The file is then rewritten before
    the next record, because the contents of the disk are undefined after a failed fsync.

    Attributes:
        path: Path of the file.
        bodies: Bodies of the committed records, in order.
        torn_tail: Description of the invalid bytes found at the end when the log was opened; "" for none.
        is_new: Whether the file had no records when the log was opened.
    """

    def __init__(self, folder: str, name: str) -> None:
        """Open the log `name` in `folder`; create the folder and the file if they do not exist.

        Raises:
            AppendLogLockedError: Another process has the log open.
            AppendLogFormatError: The file is not an append log.
            AppendLogUnavailableError: The operating system reports an error.
        """
        self.folder = folder
        self.path = os.path.join(folder, name)
        self.bodies: list[bytes] = []
        self._must_rewrite = False
        try:
            os.makedirs(folder, exist_ok=True)
            with contextlib.ExitStack() as on_failure:
                self._lock_descriptor = self._acquire_lock()
                on_failure.callback(os.close, self._lock_descriptor)
                self._descriptor = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
                on_failure.callback(os.close, self._descriptor)
                self._load()
                on_failure.pop_all()  # keeps both descriptors open
        except OSError as error:
            raise AppendLogUnavailableError(self.path, error) from None

    def append(self, *bodies: bytes) -> None:
        """Append records; they are on the disk when the call returns.

        Raises:
            OSError: None of the records is committed.
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
        """Replace all records.

        Writes and syncs a new file, renames it over the old one and syncs the folder.

        Raises:
            OSError: The records are unchanged.
        """
        new_path = f"{self.path}.new"
        data = MAGIC + pack_records(bodies)
        descriptor = os.open(new_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, FILE_MODE)
        try:
            _write_all(descriptor, data, 0)
            self._must_rewrite = True  # until the folder is synced, a crash may leave either file
            os.rename(new_path, self.path)
            self.sync_folder()
        except OSError:
            os.close(descriptor)
            with contextlib.suppress(OSError):
                os.unlink(new_path)
            raise
        os.close(self._descriptor)
        self._descriptor = descriptor
        self.bodies = list(bodies)
        self._size = len(data)
        self._must_rewrite = False

    def sync_folder(self) -> None:
        """Sync the entries of the folder to the disk; raise OSError on failure."""
        descriptor = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)

    def close(self) -> None:
        """Close the file and release the lock."""
        for descriptor in (self._descriptor, self._lock_descriptor):
            with contextlib.suppress(OSError):
                os.close(descriptor)

    def _acquire_lock(self) -> int:
        descriptor = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            raise AppendLogLockedError(self.path) from None
        return descriptor

    def _load(self) -> None:
        """Read the file and truncate an incomplete record at its end."""
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
