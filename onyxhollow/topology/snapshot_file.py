"""Snapshots on disk: 8 bytes `OXTOPO01` and a zstandard frame of MessagePack (docs/topology.md)."""

from __future__ import annotations

import os
from pathlib import Path

import msgspec
import zstandard

from onyxhollow.topology.model import MAJOR, Snapshot

MAGIC = b"OXTOPO01"
LARGEST = 256 << 20  # bytes, unpacked
SUFFIX = ".oxt"


class SnapshotError(Exception):
    """A file that can't be used; one line."""


def pack(snapshot: Snapshot) -> bytes:
    return MAGIC + zstandard.ZstdCompressor(level=6).compress(msgspec.msgpack.encode(snapshot))


def unpack(body: bytes, where: str) -> Snapshot:
    if body[: len(MAGIC)] != MAGIC:
        raise SnapshotError(f"{where}: expected a file that begins with {MAGIC.decode()}, got {body[:8]!r}")
    try:
        told = zstandard.ZstdDecompressor().decompress(body[len(MAGIC) :], max_output_size=LARGEST)
        snapshot = msgspec.msgpack.decode(told, type=Snapshot)
    except (zstandard.ZstdError, msgspec.DecodeError, MemoryError) as error:
        raise SnapshotError(f"{where}: expected a whole snapshot, got {str(error)[:120]}") from None
    if snapshot.major != MAJOR:
        raise SnapshotError(f"{where}: expected version {MAJOR}, got {snapshot.major}")
    return snapshot


def read(path: Path) -> Snapshot:
    try:
        return unpack(path.read_bytes(), str(path))
    except OSError as error:
        raise SnapshotError(f"{path}: {error.strerror}") from None


def save(path: Path, snapshot: Snapshot) -> None:
    """Whole or not at all."""
    beside = path.with_name(f"{path.name}.{os.getpid()}.part")
    try:
        beside.write_bytes(pack(snapshot))
        beside.replace(path)
    except OSError as error:
        raise SnapshotError(f"{path}: {error.strerror}") from None


def record(folder: Path, snapshot: Snapshot, most: int) -> Path:
    """Into a ring: past `most` the oldest go."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise SnapshotError(f"{folder}: {error.strerror}") from None
    path = folder / f"{snapshot.at:017.3f}{SUFFIX}"
    save(path, snapshot)
    for old in sorted(folder.glob(f"*{SUFFIX}"))[:-most]:
        old.unlink(missing_ok=True)
    return path


def ring(folder: Path) -> list[Snapshot]:
    return [read(path) for path in sorted(folder.glob(f"*{SUFFIX}"))]
