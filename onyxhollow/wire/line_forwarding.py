"""Forwards whole lines between a client and its endpoint, and measures how long the echoes take."""

from __future__ import annotations

import math
from collections import deque

from onyxhollow.decision_adapter import SessionHandle
from onyxhollow.interface import AttemptOutcome
from onyxhollow.wire.buffers import LineTooLongError
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.echo_timing import REPORT_INTERVAL, SentAt
from onyxhollow.wire.messages import after_first_word, first_word, parse_measurement
from onyxhollow.wire.session_registry import SessionRegistry

MAX_IN_FLIGHT = 1024  # lines that an endpoint has not sent back past which its client is not read
SILENCE_TIMEOUT = 3.0  # seconds without an echo after which an endpoint counts as gone
MAX_STALL_ALLOWANCE = 2.0  # seconds by which this process' own pauses put that off
MISSING_AFTER = 0.5  # seconds after which an echo that has not come is reported as late
# The endpoint's last words, and what each says of how the connection ended.
FINAL_WORDS = {
    b"BYE": AttemptOutcome.OK,
    b"MOVE": AttemptOutcome.CANCELLED,
    b"ERR": AttemptOutcome.ERROR,
}


class LineForwarder:
    """The lines of one established connection. Only whole lines are put into the client's buffer."""

    __slots__ = (
        "client",
        "counters",
        "echo_count",
        "echo_monitor",
        "endpoint",
        "final_word",
        "handle",
        "in_flight",
        "last_echo_at",
        "loop",
        "registry",
        "server",
        "slowest_echo",
    )

    def __init__(
        self,
        registry: SessionRegistry,
        client: Channel,
        server: Channel,
        handle: SessionHandle,
        endpoint: str,
        last_echo_at: float,
    ) -> None:
        self.registry = registry
        self.loop = registry.loop
        self.counters = registry.counters
        self.echo_monitor = registry.echo_monitor
        self.client = client
        self.server = server
        self.handle = handle
        self.endpoint = endpoint
        self.in_flight: deque[SentAt] = deque()  # lines sent to the endpoint that it has not sent back
        self.last_echo_at = last_echo_at
        self.slowest_echo = 0.0  # seconds
        self.echo_count = 0
        self.final_word = b""  # the endpoint's word before its end, once it has sent one

    def forward_to_client(self) -> bool:
        """Forwards what the endpoint has sent; False if that includes a line that is too long."""
        server = self.server
        try:
            while (line := server.line()) is not None:
                word = first_word(line)
                if word == b"LOAD":
                    self.report_load(line)
                elif word in FINAL_WORDS:
                    self.final_word = word
                elif self.in_flight:
                    sent = self.in_flight.popleft()
                    now = self.loop.now
                    self.last_echo_at = now
                    self.echo_count += 1
                    self.slowest_echo = max(self.slowest_echo, now - sent.at)
                    self.echo_monitor.report(self.handle, self.endpoint, sent, now)
                self.counters.add("lines to clients")
                self.client.write(line)
        except LineTooLongError:
            self.registry.report_malformed("line over 4 KiB from a server")
            return False
        if server.ended and (half := server.inbox.take_rest()):
            self.registry.report_malformed(f"half a line of {len(half)} bytes from a server")
            self.client.write(half)
        return True

    def report_load(self, line: memoryview) -> None:
        """Passes on the load that a LOAD line carries, in microseconds of work a second."""
        load = parse_measurement(after_first_word(line))
        if load is None:
            self.registry.report_malformed("LOAD without a figure", bytes(line))
        else:
            self.handle.report_load(load / 1e6)

    def forward_to_server(self) -> bool:
        """Forwards what the client has sent; False if that includes a line that is too long."""
        server = self.server
        in_flight = self.in_flight
        try:
            while not server.is_full and len(in_flight) < MAX_IN_FLIGHT:
                line = self.client.line()
                if line is None:
                    break
                self.counters.add("lines to servers")
                in_flight.append(SentAt(self.loop.now, self.loop.stalled))
                server.write(line)
        except LineTooLongError:
            self.registry.report_malformed("line over 4 KiB")
            return False
        return True

    @property
    def client_must_wait(self) -> bool:
        """Whether the client is not read on until its endpoint has taken or sent back more."""
        return self.server.is_full or len(self.in_flight) >= MAX_IN_FLIGHT

    def check_echoes(self) -> float:
        """Reports an echo that is missing; returns when to check again, or now if the endpoint is silent.

        The silence counts from the last echo or the oldest line in flight, whichever is later. A machine that
        vanished says nothing, and TCP keep-alive does not notice in time.
        """
        if not self.in_flight:
            return math.inf
        now = self.loop.now
        oldest = self.in_flight[0]
        # A core so busy that every timer is late must not put the end off for ever.
        stalled = min(MAX_STALL_ALLOWANCE, self.loop.stalled - oldest.stalled)
        silent_at = max(oldest.at, self.last_echo_at) + SILENCE_TIMEOUT + stalled
        if now >= silent_at:
            return now
        if now < oldest.at + MISSING_AFTER:
            return oldest.at + MISSING_AFTER
        self.echo_monitor.report(self.handle, self.endpoint, oldest, now)
        return min(silent_at, now + REPORT_INTERVAL)
