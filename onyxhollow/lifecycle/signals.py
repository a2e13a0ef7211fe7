"""Signals of this process, reported one after another on a descriptor that the loop watches."""

from __future__ import annotations

import signal
import socket

HANDLED = (signal.SIGTERM, signal.SIGINT, signal.SIGUSR1, signal.SIGHUP)
MAX_READ = 64  # signals read at once; more of the same say nothing new


class SignalQueue:
    """Queues signals from its making on, before the loop runs.

    By default the first one would end a process whose machine has accepted connections for it.
    """

    def __init__(self) -> None:
        self.reader, self.writer = socket.socketpair()
        for end in (self.reader, self.writer):
            end.setblocking(False)
        signal.set_wakeup_fd(self.writer.fileno(), warn_on_full_buffer=False)
        self.previous_handlers = {number: signal.signal(number, lambda *_: None) for number in HANDLED}

    def close(self) -> None:
        """Signals do again what they did before.

        Not called at the end of a stop, which a second signal that comes late must not turn into a failure.
        """
        signal.set_wakeup_fd(-1)
        for number, handler in self.previous_handlers.items():
            signal.signal(number, handler)
        self.reader.close()
        self.writer.close()

    def fileno(self) -> int:
        """The descriptor that is readable once a signal has come."""
        return self.reader.fileno()

    def received(self) -> list[int]:
        """The kinds of signals that have come since the last call, each once."""
        return sorted(set(self.reader.recv(MAX_READ)))
