"""Forwarding of whole lines between a client and its endpoint, and measurement of the echo delays."""

from __future__ import annotations

import math
from collections import deque

from onyxhollow.interface import AttemptOutcome
from onyxhollow.session_handle import SessionHandle
from onyxhollow.wire.buffers import LineTooLongError
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.echo_timing import REPORT_INTERVAL_SECONDS, SentLine
from onyxhollow.wire.messages import after_first_word, first_word, parse_measurement
from onyxhollow.wire.session_registry import SessionRegistry

MAX_LINES_IN_FLIGHT = 1024  # lines without an echo; a client with more is not read
SILENCE_TIMEOUT_SECONDS = 3.0  # without an echo; the endpoint then counts as failed
LATE_ECHO_SECONDS = 0.5  # after which a missing echo is reported as late
# Outcome of a connection by the word that the endpoint sends before it ends the connection.
FINAL_WORDS = {
    b"BYE": AttemptOutcome.OK,
    b"MOVE": AttemptOutcome.CANCELLED,
    b"ERR": AttemptOutcome.ERROR,
}


class LineForwarder:
    """Forwards the lines of one established connection; the client's buffer gets only whole lines."""

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
        self.in_flight: deque[SentLine] = deque()  # lines sent to the endpoint, without an echo yet
        self.last_echo_at = last_echo_at
        self.slowest_echo = 0.0  # seconds
        self.echo_count = 0
        self.final_word = b""  # the word by which the endpoint ends the connection, once received

    def forward_to_client(self) -> bool:
        """Forward the endpoint's lines to the client; return False for a line that is too long."""
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
                    self.slowest_echo = max(self.slowest_echo, now - sent.sent_at)
                    self.echo_monitor.report(self.handle, self.endpoint, sent, now)
                self.counters.add("lines to clients")
                self.client.write(line)
        except LineTooLongError:
            self.registry.report_malformed("line longer than 4 KiB from a server")
            return False
        if server.ended and (partial_line := server.inbox.take_rest()):
            self.registry.report_malformed(f"incomplete line of {len(partial_line)} bytes from a server")
            self.client.write(partial_line)
        return True

    def report_load(self, line: memoryview) -> None:
        """Report the load in a LOAD line, given in microseconds of work per second."""
        load = parse_measurement(after_first_word(line))
        if load is None:
            self.registry.report_malformed("LOAD: expected a number that is not negative", bytes(line))
        else:
            self.handle.report_load(load / 1e6)

    def forward_to_server(self) -> bool:
        """Forward the client's lines to the endpoint; return False for a line that is too long."""
        server = self.server
        in_flight = self.in_flight
        try:
            while not server.is_full and len(in_flight) < MAX_LINES_IN_FLIGHT:
                line = self.client.line()
                if line is None:
                    break
                self.counters.add("lines to servers")
                in_flight.append(SentLine(self.loop.now, self.loop.stalled))
                server.write(line)
        except LineTooLongError:
            self.registry.report_malformed("line longer than 4 KiB")
            return False
        return True

    @property
    def client_must_wait(self) -> bool:
        """Whether the client is not read until its endpoint has received or echoed more."""
        return self.server.is_full or len(self.in_flight) >= MAX_LINES_IN_FLIGHT

    def check_echoes(self) -> float:
        """Report a missing echo; return when to check again, which is now if the endpoint is silent.

        Silence is measured from the last echo or the oldest line in flight, whichever is later. A machine
        that has failed sends no reset, and TCP keep-alive would detect that too late.
        """
        if not self.in_flight:
            return math.inf
        now = self.loop.now
        oldest = self.in_flight[0]
        silent_at = max(oldest.sent_at, self.last_echo_at) + SILENCE_TIMEOUT_SECONDS
        if now >= silent_at:
            return now
        if now < oldest.sent_at + LATE_ECHO_SECONDS:
            return oldest.sent_at + LATE_ECHO_SECONDS
        self.echo_monitor.report(self.handle, self.endpoint, oldest, now)
        return min(silent_at, now + REPORT_INTERVAL_SECONDS)
