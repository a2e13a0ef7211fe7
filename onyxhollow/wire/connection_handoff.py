"""Record of an open connection for the hand-off to a successor process."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from onyxhollow.interface import DeduplicationScope, Idempotency, Listener
from onyxhollow.wire.buffers import BUFFER_SIZE
from onyxhollow.wire.messages import OpenRequest, parse_open_request

BytePair = tuple[bytes, bytes]  # for the client's connection and the endpoint's


class ConnectionHandoff(NamedTuple):
    """State of an open connection that is handed off; both processes read the same monotonic clock."""

    request: OpenRequest
    listener: Listener  # with the settings at the start of the session
    endpoint: str
    started_at: float  # seconds of the monotonic clock
    last_echo_at: float
    in_flight: list[float]  # send times of the lines without an echo yet
    load: float | None
    final_word: bytes  # the word by which the endpoint ends the connection, if received
    unread: BytePair  # received from the client and the endpoint, not forwarded yet
    unsent: BytePair  # to be written to the client and the endpoint

    def encode(self) -> dict[str, Any]:
        """Encode a record of the hand-off protocol, under the keys that every version has used."""
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
        """Decode a record.

        Raises:
            MalformedError: The OPEN line is malformed.
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
            in_flight=[float(sent_at) for sent_at in record["out"]],
            load=None if load is None else float(load),
            final_word=record["last"].encode("latin-1"),
            unread=decode_unread(record["read"]),
            unsent=decode_pair(record["unsent"]),
        )


def encode_listener(listener: Listener) -> dict[str, Any]:
    """Encode a listener under the keys that every version of the hand-off protocol has used."""
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
    """Decode the listener of a record; raise KeyError, TypeError or ValueError if it is malformed."""
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
    """Decode two texts to bytes; raise TypeError, ValueError or AttributeError for anything else."""
    client, server = texts
    return client.encode("latin-1"), server.encode("latin-1")


def decode_unread(texts: Any) -> BytePair:
    """Decode as `decode_pair`; raise ValueError also for a text that exceeds a read buffer."""
    client, server = texts
    if max(len(client), len(server)) > BUFFER_SIZE:
        raise ValueError(f"read: expected at most {BUFFER_SIZE} bytes, got {max(len(client), len(server))}")
    return decode_pair(texts)
