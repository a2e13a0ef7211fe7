"""One HTTP connection to the discovery service; whoever calls it waits for the whole answer."""

from __future__ import annotations

from collections.abc import Callable, Generator

import h11

from onyxhollow.loop import Loop
from onyxhollow.wire.buffers import BufferPool
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.endpoint_addresses import Address
from onyxhollow.wire.endpoint_list import EndpointListError

CONNECT_TIMEOUT_SECONDS = (
    1.5  # seconds for a connection to the service to come up before another one is tried
)
MAX_BODY_SIZE = 4 * 1024 * 1024  # bytes of one list
OK = 200  # the one status that an answer is used with


class DiscoveryTimeoutError(EndpointListError):
    """Nothing came in time, or not the whole answer."""


class DiscoveryStatusError(EndpointListError):
    """The service answered with another status than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


class DiscoveryConnection:
    """One HTTP connection to discovery, used for one call after another while it lives.

    The constructor raises OSError if the connection can't even be begun.
    """

    def __init__(self, loop: Loop, address: Address, pool: BufferPool, wake: Callable[[], None]) -> None:
        self.loop = loop
        self.channel = Channel.connect(loop, address, pool, wake)
        self.http = h11.Connection(h11.CLIENT)
        self.host = f"{address[0]}:{address[1]}"

    @property
    def is_reusable(self) -> bool:
        """Whether another call may be made on it."""
        return not self.channel.ended and self.http.our_state is h11.IDLE

    def close(self) -> None:
        """Closes the connection, whatever is still due on it."""
        self.channel.close()

    def get(
        self, target: str, until: float, superseded: Callable[[], bool], method: str = "GET"
    ) -> Generator[float, None, bytes]:
        """Makes one call and waits for its whole answer, of 4 MiB at the most.

        Args:
            target: Path and query.
            until: Seconds of the loop's clock by which the whole answer must have come.
            superseded: Whether the answer is no longer wanted; looked at each time that the caller is woken.
            method: Of the request, which has no body.

        Raises:
            DiscoveryTimeoutError: No connection, or no whole answer, in time.
            DiscoveryStatusError: Another status than 200.
            EndpointListError: Superseded, reset, cut off, or too long.
            h11.RemoteProtocolError: What came is not HTTP.
        """
        self.send_request(target, method)
        body = bytearray()
        connected_by = min(until, self.loop.now + CONNECT_TIMEOUT_SECONDS)
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                if self.receive(superseded):
                    continue
                due = connected_by if self.channel.connecting else until
                if self.loop.now >= due:
                    raise DiscoveryTimeoutError("silence")
                yield due
            elif self.take(event, body):
                break
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        return bytes(body)

    def take(self, event: object, body: bytearray) -> bool:
        """Takes a part of the answer, adding its data to the body; whether it was the last one."""
        if isinstance(event, h11.Response):
            if event.status_code != OK:
                raise DiscoveryStatusError(event.status_code)
            return False
        if isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_BODY_SIZE:
                raise EndpointListError("list too long")
            return False
        if isinstance(event, h11.EndOfMessage):
            return True
        raise EndpointListError("half an answer")

    def send_request(self, target: str, method: str) -> None:
        """Writes a request without a body."""
        headers = [("Host", self.host), ("Accept", "application/json")]
        request = h11.Request(method=method, target=target, headers=headers)
        for part in (request, h11.EndOfMessage()):
            self.channel.write(self.http.send(part) or b"")

    def receive(self, superseded: Callable[[], bool]) -> bool:
        """Gives the parser what has come, or the end; whether there was any of that."""
        if len(self.channel.inbox):
            self.http.receive_data(self.channel.inbox.take_rest())
            self.channel.set_paused(False)
            return True
        if superseded():
            # What was written before counts as notified, also where it is more than one read brings.
            if not self.channel.ended and not self.channel.connecting:
                self.channel.read()
                if len(self.channel.inbox):
                    return True
            raise EndpointListError("left for another address")
        if self.channel.ended:
            if self.channel.broken:
                raise EndpointListError("reset")
            self.http.receive_data(b"")
            return True
        return False
