"""An open connection as it is passed on to another process of the same proxy."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from onyxhollow.interface import DeduplicationScope, Idempotency, Listener
from onyxhollow.wire.buffers import SIZE
from onyxhollow.wire.messages import OpenRequest, parse_open_request


@dataclass(frozen=True, slots=True)
class ConnectionHandoff:
    """All that an open connection takes along to another process. Both read one monotonic clock."""

    request: OpenRequest
    listener: Listener  # with the terms that it was taken under
    endpoint: str
    started_at: float
    last_echo_at: float
    in_flight: list[float]  # when lines went to the server that it has not brought back
    load: float | None
    final_word: bytes  # the server's word before its end, if it has said one
    unread: tuple[bytes, bytes]  # from client and server, and not used yet
    unsent: tuple[bytes, bytes]  # to client and server


def encode_listener(listener: Listener) -> dict[str, Any]:
    """The listener under the keys that every version of the hand-off protocol has used."""
    return {
        "name": listener.name,
        "handshake_target": listener.handshake_objective,
        "dial_timeout": listener.attempt_timeout,
        "utility": listener.utility,
        "repeat": listener.idempotency.value,
        "scope": listener.deduplication_scope.value,
        "window": listener.deduplication_window,
        "message_target": listener.message_objective,
    }


def decode_listener(record: dict[str, Any]) -> Listener:
    """The listener of a hand-off record. KeyError, TypeError or ValueError for one that is malformed."""
    return Listener(
        name=record["name"],
        handshake_objective=record["handshake_target"],
        attempt_timeout=record["dial_timeout"],
        utility=record["utility"],
        idempotency=Idempotency(record["repeat"]),
        deduplication_scope=DeduplicationScope(record["scope"]),
        deduplication_window=record["window"],
        message_objective=record["message_target"],
    )


def read_carried(record: dict[str, Any]) -> ConnectionHandoff:
    def pair(name: str) -> tuple[bytes, bytes]:
        client, server = record[name]
        if name == "read" and max(len(client), len(server)) > SIZE:
            raise ValueError(f"read: over {SIZE} bytes")
        return client.encode("latin-1"), server.encode("latin-1")

    listener = decode_listener(record["listener"])
    load = record["load"]
    return ConnectionHandoff(
        parse_open_request(record["line"].encode("latin-1")),
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
