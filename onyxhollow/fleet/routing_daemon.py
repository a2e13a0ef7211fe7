"""The routing daemon's client: brings a route table into the daemon, one command at a time.

The daemon takes published line commands, those of ExaBGP's text API: `announce route PREFIX next-hop ...`
and `withdraw route PREFIX ...`. It answers each with `done` or `error`. After a lost connection nobody can
say what it still knows, so that all routes are sent again.
"""

from __future__ import annotations

import contextlib
from collections.abc import Generator
from typing import Any, Protocol

from onyxhollow.addresses.route_table import RouteTable
from onyxhollow.addresses.routes import Preference
from onyxhollow.counters import Counters
from onyxhollow.loop import Loop
from onyxhollow.wire.buffers import MAX_LINE_SIZE, BufferPool
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.endpoint_addresses import Address

ANSWER_TIMEOUT = 3.0  # seconds for a connection to come up, and for a command's answer
RETRY_AFTER = 0.3  # seconds until a connection or a refused command is tried again
IDLE_CHECK = 1.0  # seconds between looks at an idle connection
MAX_ANSWER = 80  # characters of an answer in the log


class LogEvent(Protocol):
    """Writes one line to the log."""

    def __call__(self, event: str, **values: Any) -> None:
        """Logs the event with its values."""


class RoutingDaemonClient:
    """The connection to one routing daemon.

    Attributes:
        connected: whether the daemon's connection is up.
        installed: by address, the preference that the daemon has taken; None: not known.
    """

    def __init__(
        self, loop: Loop, address: Address, table: RouteTable, log_event: LogEvent, counters: Counters
    ) -> None:
        self.loop = loop
        self.address = address
        self.table = table
        self.log_event = log_event
        self.counters = counters
        self.pool = BufferPool()
        self.channel: Channel | None = None
        self.connected = False
        self.installed: dict[str, Preference | None] = dict.fromkeys(table.preferences)
        self.task = loop.spawn(self.run())

    def wake(self) -> None:
        """Looks at the route table, or at the connection, now."""
        self.task.wake()

    def run(self) -> Generator[float, None, None]:
        """Connects, installs routes until the connection is lost, and begins again; forever."""
        while True:
            with contextlib.suppress(OSError):  # the daemon is not there: tried again
                yield from self.connect_and_install()
            if self.channel:
                self.channel.close()
            if self.connected:
                self.log_event("routing daemon", up=False)
            self.connected = False
            self.channel = None
            self.installed = dict.fromkeys(self.table.preferences)  # what it still knows, nobody can say
            until = self.loop.now + RETRY_AFTER
            while self.loop.now < until:
                yield until

    def connect_and_install(self) -> Generator[float, None, None]:
        """One connection; OSError if it cannot be made."""
        self.channel = Channel.connect(self.loop, self.address, self.pool, self.wake)
        until = self.loop.now + ANSWER_TIMEOUT
        while self.channel.connecting and self.loop.now < until and not self.channel.ended:
            yield until
        if not self.channel.connecting and not self.channel.ended:
            self.connected = True
            self.log_event("routing daemon", up=True)
            yield from self.install_routes(self.channel)

    def install_routes(self, channel: Channel) -> Generator[float, None, None]:
        """Sends commands until the daemon has taken all routes, and again when the table changes."""
        while not channel.ended:
            name = self.next_address()
            if name is None:
                channel.inbox.take_rest()  # nothing outstanding: what comes says only that the daemon lives
                channel.set_paused(False)
                yield self.loop.now + IDLE_CHECK
                continue
            preference = self.table.preferences[name]
            command = self.table.daemon_command(name)
            channel.write(command.encode() + b"\n")
            answer = yield from self.read_answer(channel)
            self.log_event(
                "routing command", command=command, answer=answer.decode(errors="replace")[:MAX_ANSWER]
            )
            if answer == b"done":
                self.installed[name] = preference
            elif answer:
                self.counters.add("commands refused by the speaker")
                yield from self.loop.sleep(RETRY_AFTER)
            else:
                return  # no answer: a new connection, and all routes once more

    def next_address(self) -> str | None:
        """The next address to send, those to be advertised first; None if the daemon has taken all."""
        preferences = self.table.preferences
        due = [name for name, preference in preferences.items() if self.installed[name] is not preference]
        return min(due, key=lambda name: -preferences[name], default=None)

    def read_answer(self, channel: Channel) -> Generator[float, None, bytes]:
        """One line, without its end; empty if none comes in time. The API ends lines with a bare LF."""
        received = b""
        until = self.loop.now + ANSWER_TIMEOUT
        while b"\n" not in received and len(received) < MAX_LINE_SIZE:
            received += channel.inbox.take_rest()
            channel.set_paused(False)
            if b"\n" not in received:
                if self.loop.now >= until or channel.ended:
                    break
                yield until
        line, end, _ = received.partition(b"\n")
        return line.strip() if end else b""
