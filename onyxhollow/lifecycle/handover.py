"""Two processes of one proxy: who serves, who follows, and what the one tells the other, by files in $TMPDIR.

The old process writes down what it knows when a successor says that it starts: JSON lines under a header.

`serving` and `successor` are locked by the process that plays that part; the system lets go of a lock when
its holder dies, however it does. What a process says stands in the file that it holds the lock of.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import socket
import stat
import time
from typing import Any

import orjson

from onyxhollow.wire.listening import ListenError

VERSION = 2  # of what stands in the files; another's is not read
STARTING, TAKING, STOPPING = "starting", "taking", "stopping"  # what a successor says
LARGEST = 4 * 1024 * 1024  # bytes of what is handed over
BEGIN_WITHIN = 1.0  # seconds in which the part of the successor comes free, if one has just moved up
STALE = 10.0  # seconds after which what was written down says too little


def given_socket(text: str) -> socket.socket:
    """The clients' listening socket that the platform holds. Two processes share it, and its settings."""
    try:
        number = int(text)
        if not stat.S_ISSOCK(os.fstat(number).st_mode):
            raise ValueError("no socket")
        sock = socket.socket(fileno=number)
        if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
            sock.detach()
            raise ValueError("not listening")
    except (ValueError, OSError) as error:
        why = error.strerror if isinstance(error, OSError) else str(error)
        raise ListenError(f"$LB_LISTEN_FD: expected a listening socket, got {text[:40]!r}: {why}") from None
    sock.setblocking(False)
    return sock


def hold(path: str) -> int | None:
    """The file with its lock, or None while another holds it."""
    fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(fd)
        return None
    return fd


class StateError(Exception):
    """What was handed over can't be used; the text says why."""


def encode_state(token: str, at: float, common: dict[str, Any], records: list[dict[str, Any]]) -> bytes:
    """at: on the machine's monotonic clock, which both processes read; the wall clock may be stepped."""
    header = {"version": VERSION, "token": token, "at": at, "records": len(records), "common": common}
    return b"".join(orjson.dumps(row, option=orjson.OPT_APPEND_NEWLINE) for row in (header, *records))


def decode_state(text: bytes, token: str, now: float) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    if len(text) > LARGEST:
        raise StateError(f"over {LARGEST} bytes")
    *lines, rest = text.split(b"\n")
    try:
        header, *records = [orjson.loads(line) for line in lines]
        if header["version"] != VERSION:
            raise StateError(f"version {header['version']!r:.20}, expected {VERSION}")
        if header["token"] != token:
            raise StateError("written for another process")
        if not -1.0 <= now - header["at"] <= STALE:
            raise StateError(f"{now - header['at']:.0f} s old")
        if rest or header["records"] != len(records):
            raise StateError(f"{len(records)} records, expected {header['records']!r:.20}")
        return header["common"], records
    except (ValueError, KeyError, TypeError) as error:
        raise StateError(f"cut off or not ours: {error!r:.80}") from None


class Handover:
    """One process's part. OSError from __init__: the files can't be used, and there is no hand-over."""

    def __init__(self, folder: str) -> None:
        self.serving_path, self.successor_path = (
            os.path.join(folder, f"onyxhollow-{part}") for part in ("serving", "successor")
        )
        self.token = f"{os.getpid()}-{time.monotonic_ns()}"
        self.handoff_path = os.path.join(folder, f"onyxhollow-{self.token}")
        self.state_path, self.written_for = os.path.join(folder, "onyxhollow-state"), ""
        self.serving: int | None = None
        self.successor: int | None = None
        until = time.monotonic() + BEGIN_WITHIN
        # The successor's part first: nobody then moves up between the two looks.
        while (held := hold(self.successor_path)) is None and time.monotonic() < until:
            time.sleep(0.01)
        self.successor = held
        self.has_no_role = self.successor is None  # two others are there: this one follows nobody
        if self.take_over():
            return
        self.announce(STARTING)

    def take_over(self) -> bool:
        """Whether this process is the one that serves, now that the one before it may have ended."""
        if self.serving is None and self.successor is not None:
            if (held := hold(self.serving_path)) is not None:
                self.serving = held
                os.ftruncate(self.successor, 0)
                os.close(self.successor)
                self.successor = None
        return self.serving is not None

    @property
    def follows(self) -> bool:
        return self.successor is not None

    def announce(self, state: str, path: str = "") -> None:
        """path: where open connections may be passed on to."""
        if self.successor is not None:
            word = orjson.dumps({"version": VERSION, "token": self.token, "state": state, "path": path})
            os.ftruncate(self.successor, 0)
            os.pwrite(self.successor, word, 0)

    def write_state(self, token: str, common: dict[str, Any], records: list[dict[str, Any]]) -> None:
        """Once for each successor; OSError if it can't be written."""
        self.written_for = token
        beside = f"{self.state_path}-{os.getpid()}"
        try:
            with open(beside, "wb") as file:
                file.write(encode_state(token, time.monotonic(), common, records))
            os.replace(beside, self.state_path)
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(beside)
            raise

    def read_state(self) -> tuple[dict[str, Any], list[dict[str, Any]]]:
        try:
            with open(self.state_path, "rb") as file:
                text = file.read(LARGEST + 1)
        except OSError as error:
            raise StateError(str(error.strerror)) from None
        return decode_state(text, self.token, time.monotonic())

    def successor_announcement(self) -> dict[str, Any]:
        """What a living successor says; nothing if there is none."""
        if self.serving is None:
            return {}
        with contextlib.suppress(OSError, ValueError):
            fd = os.open(self.successor_path, os.O_RDONLY | os.O_CLOEXEC)
            try:
                fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)  # nobody holds it
            except BlockingIOError:
                told = orjson.loads(os.pread(fd, 1024, 0))
                return told if isinstance(told, dict) and told.get("version") == VERSION else {}
            finally:
                os.close(fd)
        return {}
