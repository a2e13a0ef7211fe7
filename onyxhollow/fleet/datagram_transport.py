"""UDP socket of a member: authenticates received datagrams and sends at a limited rate."""

from __future__ import annotations

import socket
from collections import Counter
from collections.abc import Iterable, Iterator

from onyxhollow.fleet import clock
from onyxhollow.membership.datagram_authenticator import DatagramAuthenticator
from onyxhollow.membership.messages import MAX_DATAGRAM_BYTES, Address, Packet
from onyxhollow.membership.outbox import OutgoingDatagram
from onyxhollow.wire.listening import ListenError

RECEIVE_BUFFER_BYTES = 1 << 20
MAX_RECEIVED_DATAGRAMS = 64  # in one iteration of the event loop
SEND_RATE = 1500.0  # datagrams per second; datagrams above this rate are dropped and counted
SEND_BURST = 3000.0  # datagrams; capacity of the token bucket

# Names of the counters in /control/fleet.
DATAGRAMS_IN = "datagrams in"
BYTES_IN = "bytes in"
DATAGRAMS_OUT = "datagrams out"
BYTES_OUT = "bytes out"
RATE_EXCEEDED = "not sent: too much at once"
TOO_LARGE = "not sent: larger than a datagram"
REFUSED_BY_SYSTEM = "not sent: refused by the system"


class DatagramTransport:
    """Owner of the UDP socket.

    A token bucket limits the send rate. Dropped datagrams are acceptable because the protocols above tolerate
    loss, whereas a member without a limit could overload the whole fleet.

    Attributes:
        counts: Datagrams and bytes received and sent, and datagrams not sent, by reason.
    """

    def __init__(self, listen: Address, authenticator: DatagramAuthenticator, counts: Counter[str]) -> None:
        """Create and bind the socket.

        Raises:
            ListenError: The address cannot be bound.
        """
        self.authenticator = authenticator
        self.counts = counts
        socket_type = socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC
        self._socket = socket.socket(socket.AF_INET, socket_type)
        try:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
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
        """Descriptor of the socket."""
        return self._socket.fileno()

    def receive(self) -> Iterator[tuple[Packet, Address]]:
        """Receive a limited number of datagrams and yield the authentic packets with their sources."""
        for _ in range(MAX_RECEIVED_DATAGRAMS):
            try:
                datagram, source = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                break
            except OSError:
                continue  # an error caused by a datagram sent earlier
            self.counts[DATAGRAMS_IN] += 1
            self.counts[BYTES_IN] += len(datagram)
            packet = self.authenticator.verify(datagram)
            if packet:
                yield packet, (source[0], source[1])

    def send_all(self, outbox: Iterable[OutgoingDatagram]) -> None:
        """Send datagrams up to the rate limit; drop and count the others."""
        now = clock.now()
        self._tokens = min(SEND_BURST, self._tokens + (now - self._refilled_at) * SEND_RATE)
        self._refilled_at = now
        for outgoing in outbox:
            if self._tokens < 1.0:
                self.counts[RATE_EXCEEDED] += 1
                continue
            self._tokens -= 1.0
            self._send(outgoing)

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def _send(self, outgoing: OutgoingDatagram) -> None:
        datagram = self.authenticator.sign(outgoing.messages, outgoing.receiver_epoch)
        if len(datagram) > MAX_DATAGRAM_BYTES:  # the receiver would drop it silently
            self.counts[TOO_LARGE] += 1
            return
        self.counts[DATAGRAMS_OUT] += 1
        self.counts[BYTES_OUT] += len(datagram)
        try:
            self._socket.sendto(datagram, outgoing.address)
        except OSError:  # for example, the send buffer is full or the host is unreachable
            self.counts[REFUSED_BY_SYSTEM] += 1
