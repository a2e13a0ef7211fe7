"""An open connection as it is passed on to another process of the same proxy."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from onyxhollow.interface import Listener, Repeat, Scope
from onyxhollow.wire.buffers import SIZE
from onyxhollow.wire.messages import Opening, read_opening


@dataclass(frozen=True, slots=True)
class Carried:
    """All that an open connection takes along to another process. Both read one monotonic clock."""

    opening: Opening
    listener: Listener  # with the terms that it was taken under
    server: str
    started: float
    heard: float
    out: list[float]  # when lines went to the server that it has not brought back
    load: float | None
    last: bytes  # the server's word before its end, if it has said one
    read: tuple[bytes, bytes]  # from client and server, and not used yet
    unsent: tuple[bytes, bytes]  # to client and server


def read_carried(record: dict[str, Any]) -> Carried:
    def pair(name: str) -> tuple[bytes, bytes]:
        client, server = record[name]
        if name == "read" and max(len(client), len(server)) > SIZE:
            raise ValueError(f"read: over {SIZE} bytes")
        return client.encode("latin-1"), server.encode("latin-1")

    terms = record["listener"]
    listener = Listener(**{**terms, "repeat": Repeat(terms["repeat"]), "scope": Scope(terms["scope"])})
    load = record["load"]
    return Carried(
        read_opening(record["line"].encode("latin-1")),
        listener,
        str(record["server"]),
        float(record["started"]),
        float(record["heard"]),
        [float(at) for at in record["out"]],
        None if load is None else float(load),
        record["last"].encode("latin-1"),
        pair("read"),
        pair("unsent"),
    )
