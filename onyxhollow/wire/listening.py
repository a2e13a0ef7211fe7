"""Listening TCP sockets."""

from __future__ import annotations

import socket

from onyxhollow.wire.endpoint_addresses import Address

BACKLOG = 1024  # connections that the kernel queues until this process accepts them


class ListenError(Exception):
    """Listening on an address or an inherited descriptor failed."""


def listen_socket(address: Address, purpose: str, backlog: int = BACKLOG) -> socket.socket:
    """Open a non-blocking listening socket; raise ListenError, naming the purpose, if that fails."""
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
