"""Snapshots on disk: 8 bytes `OXTOPO01` and a zstandard frame of MessagePack (docs/topology.md)."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec
import zstandard

from onyxhollow.topology.model import MAJOR, Snapshot

MAGIC = b"OXTOPO01"
MAX_UNPACKED = 256 << 20  # bytes; guards against a frame that unpacks to more than memory
COMPRESSION_LEVEL = 6
SUFFIX = ".oxt"


class SnapshotError(Exception):
    """A file that can't be read or written; one line: where, what was expected, what was found."""


def pack(snapshot: Snapshot) -> bytes:
    """The content of a snapshot file."""
    body = msgspec.msgpack.encode(snapshot)
    return MAGIC + zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(body)


def unpack(content: bytes, place: str) -> Snapshot:
    """Reads the content of a snapshot file; `place` names it in errors.

    Raises:
        SnapshotError: not a snapshot, not complete, too large or of another major version.
    """
    if content[: len(MAGIC)] != MAGIC:
        raise SnapshotError(
            f"{place}: expected a file that begins with {MAGIC.decode()}, got {content[:8]!r}"
        )
    try:
        body = zstandard.ZstdDecompressor().decompress(content[len(MAGIC) :], max_output_size=MAX_UNPACKED)
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except (zstandard.ZstdError, msgspec.DecodeError, MemoryError) as error:
        raise SnapshotError(f"{place}: expected a whole snapshot, got {str(error)[:120]}") from None
    if snapshot.major != MAJOR:
        raise SnapshotError(f"{place}: expected version {MAJOR}, got {snapshot.major}")
    return snapshot


def read(path: Path) -> Snapshot:
    """Reads a snapshot file.

    Raises:
        SnapshotError: it can't be opened, or `unpack` refuses it.
    """
    try:
        return unpack(path.read_bytes(), str(path))
    except OSError as error:
        raise SnapshotError(f"{path}: {error.strerror}") from None


def save(path: Path, snapshot: Snapshot) -> None:
    """Writes a snapshot file atomically: a reader finds it complete or not at all.

    Raises:
        SnapshotError: it can't be written.
    """
    partial = path.with_name(f"{path.name}.{os.getpid()}.part")
    try:
        partial.write_bytes(pack(snapshot))
        partial.replace(path)
    except OSError as error:
        raise SnapshotError(f"{path}: {error.strerror}") from None


def save_to_ring(folder: Path, snapshot: Snapshot, capacity: int) -> Path:
    """Adds a file named by the snapshot's time; past `capacity` files the oldest are deleted.

    Raises:
        SnapshotError: the folder or the file can't be written.
    """
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise SnapshotError(f"{folder}: {error.strerror}") from None
    path = folder / f"{snapshot.taken_at:017.3f}{SUFFIX}"
    save(path, snapshot)
    for outdated in sorted(folder.glob(f"*{SUFFIX}"))[:-capacity]:
        outdated.unlink(missing_ok=True)
    return path


def read_ring(folder: Path) -> list[Snapshot]:
    """All snapshots of a folder, oldest first.

    Raises:
        SnapshotError: one of them can't be read.
    """
    return [read(path) for path in sorted(folder.glob(f"*{SUFFIX}"))]
