"""HTTP connection to the discovery service; a call returns the complete answer."""

from __future__ import annotations

from collections.abc import Callable, Generator

import h11

from onyxhollow.loop import Loop
from onyxhollow.wire.buffers import BufferPool
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.endpoint_addresses import Address
from onyxhollow.wire.endpoint_list import EndpointListError

CONNECT_TIMEOUT_SECONDS = 1.5  # for a connection to be established before another one is tried
MAX_BODY_BYTES = 4 * 1024 * 1024  # of one answer
OK = 200  # the only status whose answer is used


class DiscoveryTimeoutError(EndpointListError):
    """The complete answer was not received in time."""


class DiscoveryStatusError(EndpointListError):
    """The service answered with a status other than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status: expected {OK}, got {status}")
        self.status = status


class RequestWithheldError(EndpointListError):
    """The caller no longer permitted the request when it was about to be written; no byte was sent."""


class DiscoveryConnection:
    """HTTP connection to the discovery service, used for one call after another until it ends.

    The constructor raises OSError if the connect fails at once.
    """

    def __init__(self, loop: Loop, address: Address, pool: BufferPool, wake: Callable[[], None]) -> None:
        self.loop = loop
        self.channel = Channel.connect(loop, address, pool, wake, is_reserved=True)
        self.http = h11.Connection(h11.CLIENT)
        self.host = f"{address[0]}:{address[1]}"

    @property
    def is_reusable(self) -> bool:
        """Whether another call may be made on this connection."""
        return not self.channel.ended and self.http.our_state is h11.IDLE

    def close(self) -> None:
        """Close the connection, even if an answer is pending."""
        self.channel.close()

    def get(
        self,
        target: str,
        deadline: float,
        is_superseded: Callable[[], bool],
        method: str = "GET",
        may_send: Callable[[], bool] | None = None,
    ) -> Generator[float, None, bytes]:
        """Make one call, wait for its complete answer and return the body, of at most 4 MiB.

        Args:
            target: Path and query.
            deadline: Loop time in seconds by which the complete answer must be received.
            is_superseded: Returns whether the answer is no longer needed; called at each wake-up.
            method: HTTP method; the request has no body.
            may_send: Returns whether the request may still be written, such as whether a lease is held;
                called immediately before the write. Such a request is never sent later from a buffer.

        Raises:
            RequestWithheldError: `may_send` returned False.
            DiscoveryTimeoutError: The connect or the complete answer took too long.
            DiscoveryStatusError: The status was not 200.
            EndpointListError: The call was superseded, or the answer was reset, incomplete or too long.
            h11.RemoteProtocolError: The answer is not valid HTTP.
        """
        self.send_request(target, method, may_send)
        body = bytearray()
        connect_deadline = min(deadline, self.loop.now + CONNECT_TIMEOUT_SECONDS)
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                if self.receive(is_superseded):
                    continue
                wait_until = connect_deadline if self.channel.connecting else deadline
                if self.loop.now >= wait_until:
                    raise DiscoveryTimeoutError(
                        f"{self.host}: expected a complete answer in time, got a timeout"
                    )
                yield wait_until
            elif self.process_event(event, body):
                break
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        return bytes(body)

    def process_event(self, event: object, body: bytearray) -> bool:
        """Process a parser event, append its data to the body; return whether the answer is complete."""
        if isinstance(event, h11.Response):
            if event.status_code != OK:
                raise DiscoveryStatusError(event.status_code)
            return False
        if isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_BYTES:
                raise EndpointListError(f"answer: expected at most {MAX_BODY_BYTES} bytes, got {len(body)}")
            return False
        if isinstance(event, h11.EndOfMessage):
            return True
        raise EndpointListError("answer: expected a complete one, got the end of the connection")

    def send_request(self, target: str, method: str, may_send: Callable[[], bool] | None) -> None:
        """Write a request without a body, if `may_send` permits it."""
        headers = [("Host", self.host), ("Accept", "application/json")]
        parts = (h11.Request(method=method, target=target, headers=headers), h11.EndOfMessage())
        request = b"".join(self.http.send(part) or b"" for part in parts)
        if may_send is None:
            self.channel.write(request)
            return
        if not may_send():  # nothing may come between this check and the write
            raise RequestWithheldError(
                f"{self.host}: expected a permitted request, got one that no longer is"
            )
        self.channel.write(request)
        if self.channel.outgoing:
            # The channel would send the rest without another check. An incomplete request has no effect.
            self.channel.close()
            raise EndpointListError(
                f"{self.host}: expected the request to be sent at once, got a full buffer"
            )

    def receive(self, is_superseded: Callable[[], bool]) -> bool:
        """Pass received bytes, or the end of the connection, to the parser; return whether there were any."""
        if len(self.channel.inbox):
            self.http.receive_data(self.channel.inbox.take_rest())
            self.channel.set_paused(False)
            return True
        if is_superseded():
            # By the protocol, what the service wrote before counts as notified. It may exceed one read.
            if not self.channel.ended and not self.channel.connecting:
                self.channel.read()
                if len(self.channel.inbox):
                    return True
            raise EndpointListError(f"{self.host}: answer no longer needed")
        if self.channel.ended:
            if self.channel.broken:
                raise EndpointListError(f"{self.host}: connection reset, or connect failed")
            self.http.receive_data(b"")
            return True
        return False
