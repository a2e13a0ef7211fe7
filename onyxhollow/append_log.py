"""What outlives a process: append-only records with a length and a checksum, in one file with one owner.

The file is a header of 8 bytes (`OXREC001`) and then records, each of them a head of 12 bytes, big-endian
(4: length of the body; 8: XXH3-64 of number and body, the number being the record's place from 0, 8 bytes),
and its body. A record counts once `append` has returned: its bytes and the file's length are on the disk by
then. What a crash has left half-written at the end is named (`cut`) and written over; it never counted.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import struct
from collections.abc import Iterable

import xxhash

MAGIC = b"OXREC001"
HEAD = struct.Struct(">IQ")
LARGEST = 64 * 1024  # bytes of one record
MOST = 4096  # records in a file before its owner is to write it anew


class AppendLogError(Exception):
    """The file can't be had or is none of ours; the text says why."""


def checksum(number: int, body: bytes) -> int:
    return xxhash.xxh3_64_intdigest(number.to_bytes(8, "big") + body)


def pack(bodies: Iterable[bytes], first: int = 0) -> bytes:
    return b"".join(
        HEAD.pack(len(body), checksum(number, body)) + body for number, body in enumerate(bodies, first)
    )


def unpack(text: bytes) -> tuple[list[bytes], int, str]:
    """The records that count, how many bytes they take up, and what was cut off behind them ("": nothing)."""
    if not text:
        return [], 0, ""
    if text[: len(MAGIC)] != MAGIC[: len(text)]:
        raise AppendLogError(f"expected records that begin with {MAGIC.decode()}, got {text[:8]!r}")
    if len(text) < len(MAGIC):
        return [], 0, f"{len(text)} bytes of a header"
    found: list[bytes] = []
    at = len(MAGIC)
    while at < len(text):
        rest = len(text) - at
        if rest < HEAD.size:
            return found, at, f"{rest} bytes at {at}: half a head"
        length, told = HEAD.unpack_from(text, at)
        body = text[at + HEAD.size : at + HEAD.size + length]
        if length > LARGEST or len(body) < length:
            return found, at, f"{rest} bytes at {at}: half a record"
        if checksum(len(found), body) != told:
            return found, at, f"{rest} bytes at {at}: wrong checksum"
        found.append(body)
        at += HEAD.size + length
    return found, at, ""


class AppendLog:
    """One file of records, held by a lock for as long as this process lives.

    RecordError from __init__ if it can't be had. OSError from append and rewrite: nothing of it counts, and
    the file is written anew before the next record, since after a failed fsync nobody knows what the disk
    holds.
    """

    def __init__(self, folder: str, name: str) -> None:
        self.folder, self.path = folder, os.path.join(folder, name)
        self.doubtful = False
        self.rows: list[bytes] = []
        try:
            os.makedirs(folder, exist_ok=True)
            self.lock = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            try:
                fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except OSError:
                os.close(self.lock)
                raise AppendLogError(f"{self.path}: held by another process") from None
            self.fd = os.open(self.path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            with open(self.path, "rb") as file:
                text = file.read()
            try:
                self.rows, good, self.cut = unpack(text)
            except AppendLogError as error:
                raise AppendLogError(f"{self.path}: {error}") from None
            self.fresh = not self.rows  # nothing is remembered
            if self.cut or not text:
                os.ftruncate(self.fd, good)
                self.size = good
                if not good:
                    self.size = len(MAGIC)
                    os.pwrite(self.fd, MAGIC, 0)
                os.fsync(self.fd)
                self.sync_folder()
            else:
                self.size = good
        except OSError as error:
            raise AppendLogError(f"{self.path}: {error.strerror}") from None

    def sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(fd)
        finally:
            os.close(fd)

    def append(self, *bodies: bytes) -> None:
        """On the disk when it returns."""
        if self.doubtful or len(self.rows) + len(bodies) > MOST:
            self.rewrite([*self.rows, *bodies])
            return
        text = pack(bodies, len(self.rows))
        try:
            if (wrote := os.pwrite(self.fd, text, self.size)) != len(text):
                raise OSError(28, f"{wrote} of {len(text)} bytes written")
            os.fsync(self.fd)
        except OSError:
            self.doubtful = True
            raise
        self.rows += bodies
        self.size += len(text)

    def rewrite(self, bodies: list[bytes]) -> None:
        """All records anew: beside, on the disk, renamed, and the folder on the disk."""
        beside = f"{self.path}.new"
        text = MAGIC + pack(bodies)
        fd = os.open(beside, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            if (wrote := os.pwrite(fd, text, 0)) != len(text):
                raise OSError(28, f"{wrote} of {len(text)} bytes written")
            os.fsync(fd)
            self.doubtful = True  # from here on either file may be the one that is found
            os.rename(beside, self.path)
            self.sync_folder()
        except OSError:
            os.close(fd)
            with contextlib.suppress(OSError):
                os.unlink(beside)
            raise
        os.close(self.fd)
        self.fd, self.rows, self.size, self.doubtful = fd, list(bodies), len(text), False

    def close(self) -> None:
        for fd in (self.fd, self.lock):
            with contextlib.suppress(OSError):
                os.close(fd)
