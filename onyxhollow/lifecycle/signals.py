"""Signals of this process, delivered through a descriptor that the event loop watches."""

from __future__ import annotations

import signal
import socket

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
MAX_SIGNALS_PER_READ = 64  # repeated signals of one kind count once anyway


class SignalQueue:
    """Queues signals from its creation on, also before the loop runs.

    With the default handlers, a signal during startup would end the process and reset connections that the
    kernel has already accepted for it.
    """

    def __init__(self) -> None:
        self.reader, self.writer = socket.socketpair()
        for end in (self.reader, self.writer):
            end.setblocking(False)
        signal.set_wakeup_fd(self.writer.fileno(), warn_on_full_buffer=False)
        self.previous_handlers = {number: signal.signal(number, lambda *_: None) for number in HANDLED}

    def close(self) -> None:
        """Restore the previous signal handlers.

        Not called after a graceful shutdown: a late second signal must not turn it into a failure.
        """
        signal.set_wakeup_fd(-1)
        for number, handler in self.previous_handlers.items():
            signal.signal(number, handler)
        self.reader.close()
        self.writer.close()

    def fileno(self) -> int:
        """Return the descriptor that is readable while signals are queued."""
        return self.reader.fileno()

    def read_pending(self) -> list[int]:
        """Return the numbers of the signals received since the last call, each once."""
        return sorted(set(self.reader.recv(MAX_SIGNALS_PER_READ)))
