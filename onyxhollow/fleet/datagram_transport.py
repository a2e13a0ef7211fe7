"""The member's socket: receives and checks datagrams, and sends them at a limited rate."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Iterable, Iterator

from onyxhollow.fleet import clock
from onyxhollow.membership.datagram_authenticator import DatagramAuthenticator
from onyxhollow.membership.messages import MAX_DATAGRAM_BYTES, Address, Packet
from onyxhollow.membership.outbox import OutgoingDatagram
from onyxhollow.wire.listening import ListenError

RECEIVE_BUFFER = 1 << 20  # bytes
MAX_RECEIVES = 64  # datagrams in one turn of the loop
SEND_RATE = 1500.0  # datagrams a second; past it they are dropped and counted
SEND_BURST = 3000.0  # datagrams at once


class DatagramTransport:
    """Owns the UDP socket; `close` closes it.

    Sending is bounded by a token bucket: loss is what the protocols above are made for, and a member that
    floods its fleet costs everyone.

    Attributes:
        counts: Datagrams and bytes each way, and what was not sent, by reason.
    """

    def __init__(self, listen: Address, authenticator: DatagramAuthenticator, counts: Counter[str]) -> None:
        """Binds the socket.

        Raises:
            ListenError: The address can't be bound.
        """
        self.authenticator = authenticator
        self.counts = counts
        kind = socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC
        self._socket = socket.socket(socket.AF_INET, kind)
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            self._socket.bind(listen)
        except OSError as error:
            self._socket.close()
            raise ListenError(
                f"fleet: cannot listen on {':'.join(map(str, listen))}: {error.strerror}"
            ) from None
        self._tokens = SEND_BURST
        self._refilled_at = clock.now()

    @property
    def descriptor(self) -> int:
        """The socket's descriptor, for the loop."""
        return self._socket.fileno()

    def receive(self) -> Iterator[tuple[Packet, Address]]:
        """The packets that wait and are authentic, with their sources: a bounded number."""
        for _ in range(MAX_RECEIVES):
            try:
                datagram, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                break
            except OSError:
                continue  # a refusal of something sent before
            self.counts["datagrams in"] += 1
            self.counts["bytes in"] += len(datagram)
            packet = self.authenticator.verify(datagram)
            if packet:
                yield packet, (source[0], source[1])

    def send_all(self, outbox: Iterable[OutgoingDatagram]) -> None:
        """Sends as many as the rate allows; the others are dropped and counted."""
        now = clock.now()
        self._tokens = min(SEND_BURST, self._tokens + (now - self._refilled_at) * SEND_RATE)
        self._refilled_at = now
        for out in outbox:
            if self._tokens < 1.0:
                self.counts["not sent: too much at once"] += 1
                continue
            self._tokens -= 1.0
            self._send(out)

    def close(self) -> None:
        """Closes the socket."""
        self._socket.close()

    def _send(self, out: OutgoingDatagram) -> None:
        datagram = self.authenticator.sign(out.messages, out.receiver_epoch)
        if len(datagram) > MAX_DATAGRAM_BYTES:  # it would be dropped there, and nobody here would know
            self.counts["not sent: larger than a datagram"] += 1
            return
        self.counts["datagrams out"] += 1
        self.counts["bytes out"] += len(datagram)
        try:
            self._socket.sendto(datagram, out.address)
        except OSError:  # full, or nobody is there
            self.counts["not sent: refused by the system"] += 1
