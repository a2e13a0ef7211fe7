"""An open connection as it is handed off to the process that succeeds this one."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from onyxhollow.interface import DeduplicationScope, Idempotency, Listener
from onyxhollow.wire.buffers import BUFFER_SIZE
from onyxhollow.wire.messages import OpenRequest, parse_open_request

BytePair = tuple[bytes, bytes]  # of the client's connection, and of the endpoint's


class ConnectionHandoff(NamedTuple):
    """All that an open connection takes along to another process; both read one monotonic clock."""

    request: OpenRequest
    listener: Listener  # with the terms that the session was taken under
    endpoint: str
    started_at: float  # seconds of the monotonic clock
    last_echo_at: float
    in_flight: list[float]  # when lines were sent to the endpoint that it has not sent back
    load: float | None
    final_word: bytes  # the endpoint's word before its end, if it has sent one
    unread: BytePair  # received from the client and the endpoint, and not used yet
    unsent: BytePair  # to be written to the client and the endpoint

    def encode(self) -> dict[str, Any]:
        """The record of the hand-off protocol; its keys are those that every version has used."""
        return {
            "line": self.request.line.decode("latin-1"),
            "listener": encode_listener(self.listener),
            "server": self.endpoint,
            "started": self.started_at,
            "heard": self.last_echo_at,
            "out": self.in_flight,
            "load": self.load,
            "last": self.final_word.decode("latin-1"),
            "read": [data.decode("latin-1") for data in self.unread],
            "unsent": [data.decode("latin-1") for data in self.unsent],
        }

    @classmethod
    def decode(cls, record: Mapping[str, Any]) -> ConnectionHandoff:
        """Reads a record.

        Raises:
            MalformedError: Its OPEN line can't be read.
            KeyError, TypeError, ValueError, AttributeError: Another field is missing or malformed.
        """
        listener = decode_listener(record["listener"])
        load = record["load"]
        return cls(
            request=parse_open_request(record["line"].encode("latin-1")),
            listener=listener,
            endpoint=str(record["server"]),
            started_at=float(record["started"]),
            last_echo_at=float(record["heard"]),
            in_flight=[float(at) for at in record["out"]],
            load=None if load is None else float(load),
            final_word=record["last"].encode("latin-1"),
            unread=decode_unread(record["read"]),
            unsent=decode_pair(record["unsent"]),
        )


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


def decode_listener(record: Mapping[str, Any]) -> Listener:
    """The listener of a hand-off record; KeyError, TypeError or ValueError for one that is malformed."""
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


def decode_pair(texts: Any) -> BytePair:
    """The bytes of both connections; TypeError, ValueError or AttributeError if these are not two texts."""
    client, server = texts
    return client.encode("latin-1"), server.encode("latin-1")


def decode_unread(texts: Any) -> BytePair:
    """The same for bytes that go into read buffers; ValueError also for more than one buffer holds."""
    client, server = texts
    if max(len(client), len(server)) > BUFFER_SIZE:
        raise ValueError(f"read: expected {BUFFER_SIZE} bytes at most, got {max(len(client), len(server))}")
    return decode_pair(texts)
