"""Opens listening sockets."""

from __future__ import annotations

import socket

from onyxhollow.wire.endpoint_addresses import Address

BACKLOG = 1024  # connections that the system accepts ahead of this process


class ListenError(Exception):
    """An address or descriptor that can't be listened on."""


def listen_socket(address: Address, purpose: str, backlog: int = BACKLOG) -> socket.socket:
    """A non-blocking listening socket; ListenError, with the purpose, if the address is not free."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    try:
        sock.bind(address)
        sock.listen(backlog)
    except OSError as error:
        sock.close()
        host, port = address
        raise ListenError(
            f"{purpose}: expected a free address, got {host}:{port}: {error.strerror}"
        ) from None
    return sock
