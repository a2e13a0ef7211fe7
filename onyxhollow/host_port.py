"""Parsing of network addresses in the form `HOST:PORT`."""

from __future__ import annotations

MAX_PORT = 65535


def split_host_port(text: str) -> tuple[str, int] | None:
    """Return host and port; None if the text has another form or the port is not in 1 to 65535."""
    host, _, digits = text.rpartition(":")
    try:
        # str.isdigit also accepts characters that int() rejects, for example superscript digits.
        port = int(digits) if digits.isascii() and digits.isdigit() else 0
    except ValueError:  # more digits than int() accepts
        return None
    return (host, port) if host and 0 < port <= MAX_PORT else None
