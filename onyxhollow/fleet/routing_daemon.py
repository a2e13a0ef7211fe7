"""The routing daemon's client: installs a route table in the daemon, one command at a time.

The daemon accepts the commands of ExaBGP's text API, `announce route PREFIX next-hop ...` and
`withdraw route PREFIX ...`, and answers each with `done` or `error`. After a lost connection the daemon's
routes are unknown, so all of them are sent again.
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

TIMEOUT_SECONDS = 3.0  # for a connection to be established, and for a command's answer
RETRY_DELAY_SECONDS = 0.3  # after a failed connection or a rejected command
IDLE_CHECK_SECONDS = 1.0  # interval between checks of an idle connection
MAX_ANSWER_CHARACTERS = 80  # in a log line


class LogEvent(Protocol):
    """A function that writes one line to the log."""

    def __call__(self, event: str, **values: Any) -> None:
        """Log the event with its values."""


class RoutingDaemonClient:
    """The connection to one routing daemon.

    Attributes:
        connected: whether the connection to the daemon is established.
        installed: by address, the preference that the daemon has confirmed; None: unknown.
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
        """Process changes of the route table or the connection now."""
        self.task.wake()

    def run(self) -> Generator[float, None, None]:
        """Connect and install routes until the connection is lost, then reconnect; runs forever."""
        while True:
            with contextlib.suppress(OSError):  # the daemon is not reachable; retried below
                yield from self.connect_and_install()
            if self.channel:
                self.channel.close()
            if self.connected:
                self.log_event("routing daemon", up=False)
            self.connected = False
            self.channel = None
            self.installed = dict.fromkeys(self.table.preferences)  # the daemon's routes are unknown now
            retry_at = self.loop.now + RETRY_DELAY_SECONDS
            while self.loop.now < retry_at:
                yield retry_at

    def connect_and_install(self) -> Generator[float, None, None]:
        """Connect once and install the routes.

        Raises:
            OSError: the connection cannot be created.
        """
        self.channel = Channel.connect(self.loop, self.address, self.pool, self.wake)
        deadline = self.loop.now + TIMEOUT_SECONDS
        while self.channel.connecting and self.loop.now < deadline and not self.channel.ended:
            yield deadline
        if not self.channel.connecting and not self.channel.ended:
            self.connected = True
            self.log_event("routing daemon", up=True)
            yield from self.install_routes(self.channel)

    def install_routes(self, channel: Channel) -> Generator[float, None, None]:
        """Send commands until the daemon has confirmed all routes, and again when the table changes."""
        while not channel.ended:
            name = self.next_address()
            if name is None:
                channel.inbox.take_rest()  # no command is pending: discard other output of the daemon
                channel.set_paused(False)
                yield self.loop.now + IDLE_CHECK_SECONDS
                continue
            preference = self.table.preferences[name]
            command = self.table.daemon_command(name)
            channel.write(command.encode() + b"\n")
            answer = yield from self.read_answer(channel)
            self.log_event(
                "routing command",
                command=command,
                answer=answer.decode(errors="replace")[:MAX_ANSWER_CHARACTERS],
            )
            if answer == b"done":
                self.installed[name] = preference
            elif answer:
                self.counters.add("commands refused by the speaker")
                yield from self.loop.sleep(RETRY_DELAY_SECONDS)
            else:
                return  # no answer: reconnect and send all routes again

    def next_address(self) -> str | None:
        """Return the next address to send, the highest preference first; None if all are confirmed."""
        preferences = self.table.preferences
        due = [name for name, preference in preferences.items() if self.installed[name] is not preference]
        return min(due, key=lambda name: -preferences[name], default=None)

    def read_answer(self, channel: Channel) -> Generator[float, None, bytes]:
        """Return one line without its line feed; empty if none arrives in time.

        The text API ends lines with a line feed only.
        """
        received = b""
        deadline = self.loop.now + TIMEOUT_SECONDS
        while b"\n" not in received and len(received) < MAX_LINE_SIZE:
            received += channel.inbox.take_rest()
            channel.set_paused(False)
            if b"\n" not in received:
                if self.loop.now >= deadline or channel.ended:
                    break
                yield deadline
        line, line_feed, _ = received.partition(b"\n")
        return line.strip() if line_feed else b""
