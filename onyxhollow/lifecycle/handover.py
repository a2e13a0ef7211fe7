"""Two processes of one proxy: who serves, who follows, and what the one tells the other, by files in $TMPDIR.

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

from onyxhollow.wire.channel import ListenError

VERSION = 1  # of what stands in the files; another's is not read
STARTING, TAKING = "starting", "taking"  # what a successor says
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


class Handover:
    """One process's part. OSError from __init__: the files can't be used, and there is no hand-over."""

    def __init__(self, folder: str) -> None:
        self.serving_path, self.successor_path = (
            os.path.join(folder, f"onyxhollow-{part}") for part in ("serving", "successor")
        )
        self.token = f"{os.getpid()}-{time.monotonic_ns()}"
        self.passing_path = os.path.join(folder, f"onyxhollow-{self.token}")
        self.serving: int | None = None
        self.successor: int | None = None
        until = time.monotonic() + BEGIN_WITHIN
        # The successor's part first: nobody then moves up between the two looks.
        while (held := hold(self.successor_path)) is None and time.monotonic() < until:
            time.sleep(0.01)
        self.successor = held
        self.alone = self.successor is None  # two others are there: this one follows nobody
        if self.move_up():
            return
        self.say(STARTING)

    def move_up(self) -> bool:
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

    def say(self, state: str, path: str = "") -> None:
        """path: where open connections may be passed on to."""
        if self.successor is not None:
            word = orjson.dumps({"version": VERSION, "token": self.token, "state": state, "path": path})
            os.ftruncate(self.successor, 0)
            os.pwrite(self.successor, word, 0)

    def heard(self) -> dict[str, Any]:
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
