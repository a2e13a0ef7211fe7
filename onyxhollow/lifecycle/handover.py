"""Two processes of one proxy: who serves, who follows, and what they say to each other, by files in $TMPDIR.

The process that serves writes down what it knows when a successor says that it starts: JSON lines under a
header.

`serving` and `successor` are locked by the process that has that role; the system releases a lock when its
holder dies, however it does. What a process says stands in the file that it has locked.
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

VERSION = 2  # of what stands in the files; that of another version is not read
STARTING = "starting"  # what a successor says
TAKING = "taking"
STOPPING = "stopping"
MAX_STATE_SIZE = 4 * 1024 * 1024  # bytes of what one process writes for another
MAX_ANNOUNCEMENT_SIZE = 1024  # bytes
LOCK_TIMEOUT = 1.0  # seconds in which the successor's lock comes free, if its holder has just begun to serve
LOCK_RETRY_INTERVAL = 0.01  # seconds
MAX_STATE_AGE = 10.0  # seconds after which what was written is too old
CLOCK_TOLERANCE = 1.0  # seconds by which what was written may seem to be of the future


def open_inherited_socket(text: str) -> socket.socket:
    """The clients' listening socket that the platform keeps open; ListenError if the descriptor is none.

    Two processes share it, and its settings.
    """
    try:
        sock = listening_socket(int(text))
    except (ValueError, OSError) as error:
        why = error.strerror if isinstance(error, OSError) else str(error)
        raise ListenError(f"$LB_LISTEN_FD: expected a listening socket, got {text[:40]!r}: {why}") from None
    sock.setblocking(False)
    return sock


def listening_socket(descriptor: int) -> socket.socket:
    """The socket of a descriptor; ValueError or OSError if it is not one that listens."""
    if not stat.S_ISSOCK(os.fstat(descriptor).st_mode):
        raise ValueError("no socket")
    sock = socket.socket(fileno=descriptor)
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()
        raise ValueError("not listening")
    return sock


def try_lock(path: str) -> int | None:
    """The descriptor of the file with its lock, or None while another process has that."""
    fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(fd)
        return None
    return fd


class StateError(Exception):
    """What another process wrote down can't be used; the text says why."""


def encode_state(token: str, at: float, common: dict[str, Any], records: list[dict[str, Any]]) -> bytes:
    """The lines of a state file.

    Args:
        token: Of the process that it is written for.
        at: On the machine's monotonic clock, which both processes read; the wall clock may be stepped.
        common: What is known once.
        records: What is known of each endpoint.
    """
    header = {"version": VERSION, "token": token, "at": at, "records": len(records), "common": common}
    return b"".join(orjson.dumps(row, option=orjson.OPT_APPEND_NEWLINE) for row in (header, *records))


def decode_state(text: bytes, token: str, now: float) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    """What is known once and of each endpoint; StateError if any of the file can't be used."""
    if len(text) > MAX_STATE_SIZE:
        raise StateError(f"over {MAX_STATE_SIZE} bytes")
    *lines, rest = text.split(b"\n")
    try:
        header, *records = [orjson.loads(line) for line in lines]
        check_header(header, token, now)
        if rest or header["records"] != len(records):
            raise StateError(f"{len(records)} records, expected {header['records']!r:.20}")
        return header["common"], records
    except (ValueError, KeyError, TypeError) as error:
        raise StateError(f"cut off or not ours: {error!r:.80}") from None


def check_header(header: Any, token: str, now: float) -> None:
    """StateError if the file is of another version, for another process, or too old."""
    if header["version"] != VERSION:
        raise StateError(f"version {header['version']!r:.20}, expected {VERSION}")
    if header["token"] != token:
        raise StateError("written for another process")
    age = now - header["at"]
    if not -CLOCK_TOLERANCE <= age <= MAX_STATE_AGE:
        raise StateError(f"{age:.0f} s old")


class Handover:
    """The role of one process. OSError from the constructor: the files can't be used, and none has a role."""

    def __init__(self, folder: str) -> None:
        self.serving_path = os.path.join(folder, "onyxhollow-serving")
        self.successor_path = os.path.join(folder, "onyxhollow-successor")
        self.state_path = os.path.join(folder, "onyxhollow-state")
        self.token = f"{os.getpid()}-{time.monotonic_ns()}"
        self.handoff_path = os.path.join(
            folder, f"onyxhollow-{self.token}"
        )  # of the socket for open connections
        self.written_for = ""  # the token of the successor that the state was written for
        self.serving: int | None = None  # descriptors of the locked files
        self.successor: int | None = None
        until = time.monotonic() + LOCK_TIMEOUT
        # The successor's lock first: nobody then begins to serve between the two attempts.
        while (descriptor := try_lock(self.successor_path)) is None and time.monotonic() < until:
            time.sleep(LOCK_RETRY_INTERVAL)
        self.successor = descriptor
        self.has_no_role = self.successor is None  # two others are there: this one follows nobody
        if not self.take_over():
            self.announce(STARTING)

    def take_over(self) -> bool:
        """Whether this process is the one that serves, now that the one before it may have ended."""
        if self.serving is None and self.successor is not None:
            descriptor = try_lock(self.serving_path)
            if descriptor is not None:
                self.serving = descriptor
                os.ftruncate(self.successor, 0)
                os.close(self.successor)
                self.successor = None
        return self.serving is not None

    @property
    def follows(self) -> bool:
        """Whether this process is the successor of one that serves."""
        return self.successor is not None

    def announce(self, state: str, path: str = "") -> None:
        """Says as the successor what it does; `path` is where open connections may be handed off to."""
        if self.successor is None:
            return
        text = orjson.dumps({"version": VERSION, "token": self.token, "state": state, "path": path})
        os.ftruncate(self.successor, 0)
        os.pwrite(self.successor, text, 0)

    def successor_announcement(self) -> dict[str, Any]:
        """What a living successor says; nothing if there is none, or if this process does not serve."""
        if self.serving is None:
            return {}
        with contextlib.suppress(OSError, ValueError):
            fd = os.open(self.successor_path, os.O_RDONLY | os.O_CLOEXEC)
            try:
                fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)  # it has no holder if that succeeds
            except BlockingIOError:
                announcement = orjson.loads(os.pread(fd, MAX_ANNOUNCEMENT_SIZE, 0))
                is_ours = isinstance(announcement, dict) and announcement.get("version") == VERSION
                return announcement if is_ours else {}
            finally:
                os.close(fd)
        return {}

    def write_state(self, token: str, common: dict[str, Any], records: list[dict[str, Any]]) -> None:
        """Writes the state file, once for each successor; OSError if it can't be written."""
        self.written_for = token
        temporary_path = f"{self.state_path}-{os.getpid()}"
        try:
            with open(temporary_path, "wb") as file:
                file.write(encode_state(token, time.monotonic(), common, records))
            os.replace(temporary_path, self.state_path)
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(temporary_path)
            raise

    def read_state(self) -> tuple[dict[str, Any], list[dict[str, Any]]]:
        """What the process before this one has written for it; StateError if it can't be used."""
        try:
            with open(self.state_path, "rb") as file:
                text = file.read(MAX_STATE_SIZE + 1)
        except OSError as error:
            raise StateError(str(error.strerror)) from None
        return decode_state(text, self.token, time.monotonic())
