"""Snapshot files: the 8 bytes `OXTOPO01` and a zstandard frame of MessagePack (docs/topology.md)."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec
import zstandard

from onyxhollow.topology.model import MAJOR_VERSION, Snapshot

MAGIC = b"OXTOPO01"
MAX_UNPACKED_BYTES = 256 << 20  # protects the memory against a decompression bomb
COMPRESSION_LEVEL = 6
SUFFIX = ".oxt"


class SnapshotError(Exception):
    """A snapshot file cannot be read or written; the message is one line."""


def pack(snapshot: Snapshot) -> bytes:
    """Encode and compress a snapshot; return the content of a snapshot file."""
    body = msgspec.msgpack.encode(snapshot)
    return MAGIC + zstandard.ZstdCompressor(level=COMPRESSION_LEVEL).compress(body)


def unpack(content: bytes, place: str) -> Snapshot:
    """Decode the content of a snapshot file; `place` is its name in errors.

    Raises:
        SnapshotError: the content is not a complete snapshot, too large or of another major version.
    """
    if content[: len(MAGIC)] != MAGIC:
        raise SnapshotError(
            f"{place}: expected a file that begins with {MAGIC.decode()}, got {content[:8]!r}"
        )
    try:
        body = zstandard.ZstdDecompressor().decompress(
            content[len(MAGIC) :], max_output_size=MAX_UNPACKED_BYTES
        )
        snapshot = msgspec.msgpack.decode(body, type=Snapshot)
    except (zstandard.ZstdError, msgspec.DecodeError, MemoryError) as error:
        raise SnapshotError(f"{place}: expected a complete snapshot, got {str(error)[:120]}") from None
    if snapshot.major != MAJOR_VERSION:
        raise SnapshotError(f"{place}: expected version {MAJOR_VERSION}, got {snapshot.major}")
    return snapshot


def read(path: Path) -> Snapshot:
    """Read and decode a snapshot file.

    Raises:
        SnapshotError: the file cannot be opened, or `unpack` rejects its content.
    """
    try:
        return unpack(path.read_bytes(), str(path))
    except OSError as error:
        raise SnapshotError(f"{path}: {error.strerror}") from None


def save(path: Path, snapshot: Snapshot) -> None:
    """Write a snapshot file atomically: readers never see a partial file.

    Raises:
        SnapshotError: the file cannot be written.
    """
    partial = path.with_name(f"{path.name}.{os.getpid()}.part")
    try:
        partial.write_bytes(pack(snapshot))
        partial.replace(path)
    except OSError as error:
        raise SnapshotError(f"{path}: {error.strerror}") from None


def save_to_ring(folder: Path, snapshot: Snapshot, capacity: int) -> Path:
    """Write a file named after the snapshot's time; delete the oldest files beyond `capacity`.

    Raises:
        SnapshotError: the folder or the file cannot be written.
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
    """Read all snapshots of a folder, oldest first.

    Raises:
        SnapshotError: a snapshot cannot be read.
    """
    return [read(path) for path in sorted(folder.glob(f"*{SUFFIX}"))]
