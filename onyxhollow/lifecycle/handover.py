"""Coordination between the serving process of a proxy and its successor, by files in $TMPDIR.

Each role has a file, `onyxhollow-serving` and `onyxhollow-successor`, locked by the process in that role. The
system releases the lock when the process ends, however it ends. The successor announces its state in the file
that it has locked. When it announces that it starts, the serving process writes its own state for it to
`onyxhollow-state`: a header and one record per endpoint, as JSON lines. In `onyxhollow-serving` both publish
how many sockets they use.
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

from onyxhollow.lifecycle.socket_counts import SocketCountFile
from onyxhollow.wire.listening import ListenError

FORMAT_VERSION = 2  # of the files; files of another version are ignored
# The states that a successor announces.
STARTING = "starting"
TAKING = "taking"
STOPPING = "stopping"
MAX_STATE_BYTES = 4 * 1024 * 1024
MAX_ANNOUNCEMENT_BYTES = 1024
# A successor that has just become the serving process releases the successor lock within this time.
LOCK_TIMEOUT_SECONDS = 1.0
LOCK_RETRY_INTERVAL_SECONDS = 0.01
MAX_STATE_AGE_SECONDS = 10.0
CLOCK_TOLERANCE_SECONDS = 1.0  # by which the time of a state file may lie in the future
# The counters of the file with the numbers of sockets.
SERVING_COUNT = 0
SUCCESSOR_COUNT = 1


def open_inherited_socket(text: str) -> socket.socket:
    """Return the client listening socket that the platform passes by descriptor number.

    The processes of a proxy share this socket and its options.

    Raises:
        ListenError: The text is not the descriptor of a listening socket.
    """
    try:
        sock = open_listening_socket(int(text))
    except (ValueError, OSError) as error:
        reason = error.strerror if isinstance(error, OSError) else str(error)
        raise ListenError(
            f"$LB_LISTEN_FD: expected a listening socket, got {text[:40]!r}: {reason}"
        ) from None
    sock.setblocking(False)
    return sock


def open_listening_socket(descriptor: int) -> socket.socket:
    """Return the socket of a descriptor.

    Raises:
        ValueError: The descriptor is not a listening socket.
        OSError: The descriptor is not open.
    """
    if not stat.S_ISSOCK(os.fstat(descriptor).st_mode):
        raise ValueError("not a socket")
    sock = socket.socket(fileno=descriptor)
    if not sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        sock.detach()
        raise ValueError("not a listening socket")
    return sock


def try_lock(path: str) -> int | None:
    """Lock a file; return its descriptor, or None if another process holds the lock."""
    fd = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
    try:
        fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError:
        os.close(fd)
        return None
    return fd


class StateError(Exception):
    """A state file that cannot be used; the message says why."""


def encode_state(
    token: str, written_at: float, common: dict[str, Any], records: list[dict[str, Any]]
) -> bytes:
    """Return the content of a state file.

    Args:
        token: Of the successor that the file is written for.
        written_at: On the machine's monotonic clock, which both processes share; the wall clock may be
            stepped.
        common: State that does not belong to a single endpoint.
        records: State of each endpoint.
    """
    header = {
        "version": FORMAT_VERSION,
        "token": token,
        "at": written_at,
        "records": len(records),
        "common": common,
    }
    return b"".join(orjson.dumps(row, option=orjson.OPT_APPEND_NEWLINE) for row in (header, *records))


def decode_state(text: bytes, token: str, now: float) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    """Return the common state and the endpoint records of a state file.

    Raises:
        StateError: Any part of the file is invalid, or the file is not meant for this process.
    """
    if len(text) > MAX_STATE_BYTES:
        raise StateError(f"state file: expected at most {MAX_STATE_BYTES} bytes, got more")
    *lines, trailing_text = text.split(b"\n")
    try:
        header, *records = [orjson.loads(line) for line in lines]
        check_header(header, token, now)
        if trailing_text or header["records"] != len(records):
            raise StateError(
                f"state file: expected {header['records']!r:.20} complete records, got {len(records)}"
            )
        return header["common"], records
    except (ValueError, KeyError, TypeError) as error:
        raise StateError(f"state file: expected complete JSON lines, got {error!r:.80}") from None


def check_header(header: Any, token: str, now: float) -> None:
    """Check version, recipient and age of a state file.

    Raises:
        StateError: One of them does not fit.
    """
    if header["version"] != FORMAT_VERSION:
        raise StateError(f"state file: version: expected {FORMAT_VERSION}, got {header['version']!r:.20}")
    if header["token"] != token:
        raise StateError(f"state file: token: expected {token!r}, got {header['token']!r:.60}")
    age = now - header["at"]
    if not -CLOCK_TOLERANCE_SECONDS <= age <= MAX_STATE_AGE_SECONDS:
        raise StateError(
            f"state file: age: expected {-CLOCK_TOLERANCE_SECONDS:g} to {MAX_STATE_AGE_SECONDS:g} s, "
            f"got {age:.0f} s"
        )


class Handover:
    """The role of one process: serving, successor or none.

    The constructor raises OSError if the files cannot be opened or locked.
    """

    def __init__(self, folder: str) -> None:
        self.serving_path = os.path.join(folder, "onyxhollow-serving")
        self.successor_path = os.path.join(folder, "onyxhollow-successor")
        self.state_path = os.path.join(folder, "onyxhollow-state")
        self.token = f"{os.getpid()}-{time.monotonic_ns()}"
        # Of the socket that receives open connections.
        self.handoff_path = os.path.join(folder, f"onyxhollow-{self.token}")
        self.state_recipient = ""  # token of the successor that the last state file was written for
        self.serving_lock: int | None = None  # descriptors of the locked files
        self.successor_lock: int | None = None
        deadline = time.monotonic() + LOCK_TIMEOUT_SECONDS
        # The successor lock comes first, so that no other process can start serving between the two attempts.
        while (descriptor := try_lock(self.successor_path)) is None and time.monotonic() < deadline:
            time.sleep(LOCK_RETRY_INTERVAL_SECONDS)
        self.successor_lock = descriptor
        self.has_no_role = self.successor_lock is None  # two other processes have the roles
        self.published_sockets = 0
        self.socket_counts = None if self.has_no_role else self.open_socket_counts()
        if not self.take_over():
            self.announce(STARTING)

    def take_over(self) -> bool:
        """Try to become the serving process; return whether this process is the serving one."""
        if self.serving_lock is None and self.successor_lock is not None:
            descriptor = try_lock(self.serving_path)
            if descriptor is not None:
                self.serving_lock = descriptor
                self.write_socket_count(SERVING_COUNT, self.published_sockets)
                self.write_socket_count(SUCCESSOR_COUNT, 0)
                os.ftruncate(self.successor_lock, 0)
                os.close(self.successor_lock)
                self.successor_lock = None
        return self.serving_lock is not None

    @property
    def is_successor(self) -> bool:
        """Whether this process is the successor of a serving process."""
        return self.successor_lock is not None

    def announce(self, state: str, path: str = "") -> None:
        """Announce the state of this process if it is the successor.

        Args:
            state: `STARTING`, `TAKING` or `STOPPING`.
            path: Of the socket that receives open connections, if there is one.
        """
        if self.successor_lock is None:
            return
        text = orjson.dumps({"version": FORMAT_VERSION, "token": self.token, "state": state, "path": path})
        os.ftruncate(self.successor_lock, 0)
        os.pwrite(self.successor_lock, text, 0)

    def read_successor_announcement(self) -> dict[str, Any]:
        """Return the successor's announcement; empty if there is none or this process does not serve."""
        if self.serving_lock is None:
            return {}
        with contextlib.suppress(OSError, ValueError):
            fd = os.open(self.successor_path, os.O_RDONLY | os.O_CLOEXEC)
            try:
                fcntl.flock(fd, fcntl.LOCK_SH | fcntl.LOCK_NB)  # succeeds only if there is no successor
                self.write_socket_count(SUCCESSOR_COUNT, 0)  # of a successor that has died
            except BlockingIOError:
                announcement = orjson.loads(os.pread(fd, MAX_ANNOUNCEMENT_BYTES, 0))
                is_valid = isinstance(announcement, dict) and announcement.get("version") == FORMAT_VERSION
                return announcement if is_valid else {}
            finally:
                os.close(fd)
        return {}

    # Numbers of sockets: the methods of SocketCounts.

    def open_socket_counts(self) -> SocketCountFile | None:
        """Return the numbers of sockets, or None without space for them; the successor lock is held."""
        with contextlib.suppress(OSError, ValueError):
            counts = SocketCountFile(self.serving_path)
            counts.write(SUCCESSOR_COUNT, 0)
            return counts
        return None

    def write_socket_count(self, role: int, count: int) -> None:
        """Set the number of sockets of a role."""
        if self.socket_counts is not None:
            self.socket_counts.write(role, count)

    @property
    def other_publishes(self) -> bool:
        """Whether the other process publishes the number of its sockets, as far as this one knows.

        A serving process that publishes never uses 0 sockets. One of an earlier version leaves it at 0.
        """
        return not self.is_successor or self.count_other_sockets() > 0

    def publish_sockets(self, count: int) -> None:
        """Publish the number of sockets that this process uses."""
        self.published_sockets = count
        if not self.has_no_role:
            self.write_socket_count(SUCCESSOR_COUNT if self.is_successor else SERVING_COUNT, count)

    def count_other_sockets(self) -> int:
        """Return the number of sockets that the other process has published; 0 without one."""
        if self.socket_counts is None:
            return 0
        return self.socket_counts.read(SERVING_COUNT if self.is_successor else SUCCESSOR_COUNT)

    def write_state(self, token: str, common: dict[str, Any], records: list[dict[str, Any]]) -> None:
        """Write the state file for the successor with this token.

        Raises:
            OSError: The file cannot be written.
        """
        self.state_recipient = token
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
        """Return the common state and the endpoint records that the predecessor has written.

        Raises:
            StateError: The state file is missing or cannot be used.
        """
        try:
            with open(self.state_path, "rb") as file:
                text = file.read(MAX_STATE_BYTES + 1)
        except OSError as error:
            raise StateError(f"{self.state_path}: {error.strerror}") from None
        return decode_state(text, self.token, time.monotonic())
