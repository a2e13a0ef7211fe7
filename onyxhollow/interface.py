"""What the decisions take and what they may ask of their host: value types and the `Host` protocol.

Times are seconds as floats, on the host's own clock. Session tokens and the names of endpoints, listeners,
tenants and zones are opaque here: they are only handed back, or compared for being the same.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Idempotency(Enum):
    """Whether a session may be attempted again after an attempt that may have run."""

    IDEMPOTENT = "repeatable"
    KEYED = "referenced"
    NON_IDEMPOTENT = "once-only"


class DeduplicationScope(Enum):
    """For keyed listeners: the endpoints that drop repeats of one another's sessions."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptOutcome(Enum):
    """How an attempt, or the connection that it led to, ended."""

    OK = "ok"
    ERROR = "error"
    OVERLOADED = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    NOT_SENT = "not sent"
    UNKNOWN = "unknown"

    @property
    def never_ran(self) -> bool:
        """Whether the session can't have run on the endpoint."""
        return self in (AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


class EndpointState(Enum):
    """Whether an endpoint takes sessions; the values are those of logs and stored snapshots."""

    IN_SERVICE = "in service"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListKind(Enum):
    """What an answer of the endpoint list holds."""

    CACHED = "cached"
    SNAPSHOT = "full"
    DELTA = "changes"
    FAILED = "failed"


@dataclass(frozen=True)
class Listener:
    """What a kind of session needs.

    Attributes:
        name: as clients ask for it.
        handshake_objective: seconds in which a session should be established.
        attempt_timeout: seconds after which its client gives up.
        utility: of a session, against others.
        idempotency: whether it may be attempted again.
        deduplication_scope: for keyed ones, the endpoints that drop repeats.
        deduplication_window: for keyed ones, the seconds for which they do.
        message_objective: seconds in which a message should come back; 0: none is stated.
    """

    name: str
    handshake_objective: float
    attempt_timeout: float
    utility: float = 1.0
    idempotency: Idempotency = Idempotency.IDEMPOTENT
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window: float = 0.0
    message_objective: float = 0.0


@dataclass(frozen=True)
class Tenant:
    """Whose sessions count against a quota.

    Attributes:
        name: as clients give it.
        quota_share: of the capacity, from 0 to 1.
        connection_quota: open connections within its share, over all instances; 0: not known.
    """

    name: str
    quota_share: float = 0.0
    connection_quota: float = 0.0


@dataclass(frozen=True)
class Endpoint:
    """One server as the endpoint list has it.

    Attributes:
        name: unique in the list.
        state: whether it takes sessions.
        weight: its size, or where weights are live, its size lowered by its connections; 0 says nothing.
        started_at: when it started, on the host's clock; None when long ago.
        zone: where it stands.
        cell: its deduplication group.
        machine_type: of its machine.
    """

    name: str
    state: EndpointState
    weight: float = 1.0
    started_at: float | None = None
    zone: str = ""
    cell: int = 0
    machine_type: str = ""


@dataclass(frozen=True)
class Settings:
    """All that an instance is told at its start, or by a reload.

    Attributes:
        listeners: by name.
        tenants: by name.
        instance_index: which of the instances this is, from 0.
        instance_count: how many there are.
        zone: where this instance stands.
        list_is_polled: whether the endpoint list comes only when asked for.
        max_poll_interval: seconds from poll to poll at the most.
        slow_start_share: of its capacity that an endpoint bears as it starts, from 0 to 1.
        slow_start_time: seconds until it is warm.
        overload_multiple: of what it bears, from which an endpoint falls over.
        overload_window: seconds over which that is counted.
        max_attempts: for a session.
        health_checks: whether endpoints may be asked for their load.
        health_check_price: of one, in the result.
        cross_zone_price: of an attempt in another zone, in the result.
        cancellation: whether an attempt in flight can be cancelled.
        max_retry_after: the longest Retry-After that a client heeds, seconds; 0: none is sent.
        over_quota_utility: factor for the sessions of a tenant over its quota.
        group_affinity: whether sessions of a group share work on one endpoint.
        live_weights: whether the list's weight is lowered the more connections an endpoint has.
        load_field: the field of a report that holds load over capacity; empty: none does.
    """

    listeners: dict[str, Listener]
    tenants: dict[str, Tenant]
    instance_index: int = 0
    instance_count: int = 1
    zone: str = ""
    list_is_polled: bool = True
    max_poll_interval: float = 10.0
    slow_start_share: float = 1.0
    slow_start_time: float = 0.0
    overload_multiple: float = 1.0
    overload_window: float = 1.0
    max_attempts: int = 1
    health_checks: bool = False
    health_check_price: float = 0.0
    cross_zone_price: float = 0.0
    cancellation: bool = False
    max_retry_after: float = 0.0
    over_quota_utility: float = 1.0
    group_affinity: bool = False
    live_weights: bool = False
    load_field: str = ""


class Host(Protocol):
    """What the decisions may ask of whatever carries them. No call may call back into them at once."""

    @property
    def now(self) -> float:
        """Seconds on the host's clock."""

    def start_attempt(self, token: Hashable, endpoint: str, timeout: float) -> None:
        """Attempt a session at an endpoint, for `timeout` seconds at the most."""

    def cancel_attempt(self, token: Hashable, attempt: int) -> None:
        """Cancel a session's attempt of that number, from 0."""

    def reject(self, token: Hashable, retry_after: float) -> None:
        """Answer a session: not now, come again after that many seconds."""

    def tear_down(self, token: Hashable) -> None:
        """Answer a session that may have run and must not be repeated."""

    def migrate(self, token: Hashable) -> None:
        """Have the client of an open connection reconnect."""

    def check_health(self, endpoint: str) -> None:
        """Ask an endpoint for its load."""

    def poll_endpoint_list(self) -> None:
        """Ask for the endpoint list."""

    def set_timer(self, when: float) -> None:
        """Call `tick` at that time, on the host's clock."""

    def log(self, line: str) -> None:
        """Write a line for operators."""
