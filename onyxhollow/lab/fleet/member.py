"""A member process of a process cluster: `serve` unchanged, with faults injected into its disk and clocks.

    python -m onyxhollow.lab.fleet.member serve --config .. --fleet ..

$ONYX_TRIAL names a JSON file that the cluster writes: {"fsync": "fails"|"", "write": "full"|"", "wall":
offset of the wall clock in seconds, "rate": rate of the lease clock, "broken": a name of injected_bugs.py,
"version": the version that the process reports, "stop_after_check": a number; after each change of it, the
process suspends itself between its next check of a held lease and the action}. The file is checked for
changes at each fsync, write, reading of the wall clock and check of a lease before an action. The keys rate,
broken and version are read once, at the start.

The process logs a "slow write" for each action for which the check of the lease and the write took long.
"""

from __future__ import annotations

import errno
import os
import signal
import sys
import time
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

import orjson

from onyxhollow.fleet import clock
from onyxhollow.wire.discovery_connection import DiscoveryConnection

SLOW_WRITE_SECONDS = (
    0.1  # from the beginning of the check to the end of the write; below the checker's tolerance
)

PWRITE, FSYNC, TIME, TIME_NS = os.pwrite, os.fsync, time.time, time.time_ns


class FaultShim:
    """Replaces os.pwrite, os.fsync and the clocks by versions that apply the faults of a file."""

    def __init__(self, path: str) -> None:
        self.path, self.stamp = path, (0, 0)
        self.faults: dict[str, Any] = {}
        self.read_faults()

    def read_faults(self) -> dict[str, Any]:
        """Return the faults of the file, and those read last if it is missing or incomplete."""
        try:
            status = os.stat(self.path)
            if (stamp := (status.st_mtime_ns, status.st_ino)) != self.stamp:
                with open(self.path, "rb") as file:
                    self.faults = orjson.loads(file.read())
                self.stamp = stamp
        except (OSError, ValueError):
            pass
        return self.faults

    def pwrite(self, fd: int, data: bytes, offset: int) -> int:
        """Write like os.pwrite, or raise ENOSPC while "write" is "full"."""
        if self.read_faults().get("write") == "full":
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))
        return PWRITE(fd, data, offset)

    def fsync(self, fd: int) -> None:
        """Flush like os.fsync, or raise EIO while "fsync" is "fails"."""
        if self.read_faults().get("fsync") == "fails":
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        FSYNC(fd)

    def install(self) -> None:
        """Replace the functions of this process, and apply the faults that are read once."""
        os.pwrite = self.pwrite  # type: ignore[assignment]
        os.fsync = self.fsync  # type: ignore[assignment]
        time.time = lambda: TIME() + float(self.read_faults().get("wall", 0.0))
        time.time_ns = lambda: TIME_NS() + int(1e9 * float(self.read_faults().get("wall", 0.0)))
        if (rate := float(self.faults.get("rate", 1.0))) != 1.0:
            real_now, start = clock.now, clock.now()
            clock.now = lambda: start + (real_now() - start) * rate
        if name := self.faults.get("broken"):
            from onyxhollow.lab.fleet.injected_bugs import inject

            inject(name)


class ActionObserver:
    """Observes the check of the lease before each action, and suspends the process after it on request."""

    def __init__(self, shim: FaultShim) -> None:
        self.shim = shim
        self.last_stop = shim.faults.get("stop_after_check")

    def install(self) -> None:
        """Wrap the method that checks the lease and writes the request, in the same turn of the loop."""
        send_request = DiscoveryConnection.send_request

        def observed_send_request(
            connection: DiscoveryConnection, target: str, method: str, may_send: Callable[[], bool] | None
        ) -> None:
            if may_send is None:
                send_request(connection, target, method, None)
                return
            checked_at = 0.0

            def observed_check() -> bool:
                nonlocal checked_at
                stop = self.shim.read_faults().get("stop_after_check")
                checked_at = time.monotonic()
                is_permitted = may_send()
                if is_permitted and stop != self.last_stop:
                    self.last_stop = stop
                    os.kill(os.getpid(), signal.SIGSTOP)
                return is_permitted

            send_request(connection, target, method, observed_check)
            if checked_at and time.monotonic() - checked_at > SLOW_WRITE_SECONDS:
                self.log_slow_write(target, checked_at)

        DiscoveryConnection.send_request = observed_send_request  # type: ignore[method-assign, assignment]

    def log_slow_write(self, target: str, checked_at: float) -> None:
        """Log the times of the check and of the write of an action on the ledger."""
        query = {name: values[0] for name, values in parse_qs(urlsplit(target).query).items()}
        if "duty" not in query:  # an action on a route guard, which the ledger does not receive
            return
        row = {
            "event": "slow write",
            "at": time.monotonic(),
            "checked": checked_at,
            "duty": query["duty"],
            "member": query["member"],
            "term": int(query["term"]),
            "number": int(query["number"]),
        }
        os.write(sys.stdout.fileno(), orjson.dumps(row) + b"\n")


def main() -> int:
    """Inject the faults and run the program with the arguments; return its exit status."""
    if path := os.environ.get("ONYX_TRIAL"):
        shim = FaultShim(path)
        shim.install()
        ActionObserver(shim).install()
        if version := shim.faults.get("version"):
            import onyxhollow

            onyxhollow.__version__ = str(version)
    from onyxhollow.__main__ import main as run_program

    return run_program(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
