"""The policy's interface: the value types it is given and the `Host` protocol that it calls.

Times are floats in seconds, on the host's clock. Session tokens and the names of endpoints, listeners,
tenants and zones are opaque: the policy only returns them or compares them for equality.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Idempotency(Enum):
    """Whether a session can be retried after an attempt that may have run on an endpoint."""

    IDEMPOTENT = "repeatable"
    KEYED = "referenced"
    NON_IDEMPOTENT = "once-only"


class DeduplicationScope(Enum):
    """Endpoints that discard duplicates of each other's sessions, for keyed listeners."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptOutcome(Enum):
    """How an attempt, or the connection that it established, ended."""

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
        """Whether the outcome rules out that the session ran on the endpoint."""
        return self in (AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


class EndpointState(Enum):
    """Whether an endpoint accepts sessions. The values appear in logs and stored snapshots."""

    IN_SERVICE = "in service"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListKind(Enum):
    """What an answer of the endpoint list contains."""

    CACHED = "cached"
    SNAPSHOT = "full"
    DELTA = "changes"
    FAILED = "failed"


@dataclass(frozen=True)
class Listener:
    """The requirements that all sessions of one listener share.

    Attributes:
        name: the name that clients request.
        handshake_objective: seconds within which a session should be established.
        attempt_timeout: seconds after which the client stops waiting.
        utility: value of a session relative to those of other listeners.
        idempotency: whether a session can be retried.
        deduplication_scope: endpoints that discard duplicates of a session; for keyed listeners.
        deduplication_window: seconds for which they discard them.
        message_objective: seconds within which a message should be echoed; 0 if there is no objective.
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
    """A customer whose sessions count against a quota.

    Attributes:
        name: the name that clients send.
        quota_share: share of the capacity, from 0 to 1.
        connection_quota: open connections that the share allows, over all instances; 0 if unknown.
    """

    name: str
    quota_share: float = 0.0
    connection_quota: float = 0.0


@dataclass(frozen=True)
class Endpoint:
    """One server of the endpoint list.

    Attributes:
        name: unique name in the list.
        state: whether it accepts sessions.
        weight: its size; with live weights, its size reduced by its open connections; 0 if unknown.
        started_at: when it started, on the host's clock; None if it started long ago.
        zone: its zone.
        cell: its deduplication group.
        machine_type: type of its machine.
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
    """The settings of one instance, given at its start or by a reload.

    Attributes:
        listeners: listeners by name.
        tenants: tenants by name.
        instance_index: index of this instance, from 0.
        instance_count: number of instances.
        zone: zone of this instance.
        list_is_polled: whether the endpoint list has to be polled; otherwise it is pushed.
        max_poll_interval: longest time between two polls, in seconds.
        slow_start_share: share of its capacity that an endpoint has when it starts, from 0 to 1.
        slow_start_time: seconds until an endpoint has warmed up.
        overload_multiple: multiple of its sustainable session rate at which an endpoint fails.
        overload_window: seconds over which that rate is counted.
        max_attempts: most attempts for one session.
        health_checks: whether endpoints can be polled for their load.
        health_check_price: cost of one health check, in units of utility.
        cross_zone_price: cost of an attempt in another zone, in units of utility.
        cancellation: whether an attempt in flight can be cancelled.
        max_retry_after: longest Retry-After that clients observe, in seconds; 0 if none is sent.
        over_quota_utility: factor on the utility of sessions of a tenant over its quota.
        group_affinity: whether sessions of a group share work on one endpoint.
        live_weights: whether the list reduces an endpoint's weight as its connections grow.
        load_field: field of a load report that holds load over capacity; empty if there is none.
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
    """Actions that the policy requests. An implementation must not call the policy before it returns."""

    @property
    def now(self) -> float:
        """Current time on the host's clock, in seconds."""

    def start_attempt(self, token: Hashable, endpoint: str, timeout: float) -> None:
        """Attempt a session at an endpoint, for at most `timeout` seconds."""

    def cancel_attempt(self, token: Hashable, attempt: int) -> None:
        """Cancel one attempt of a session; attempts are numbered from 0."""

    def reject(self, token: Hashable, retry_after: float) -> None:
        """Reject a session and ask its client to retry after `retry_after` seconds."""

    def tear_down(self, token: Hashable) -> None:
        """Answer a session with an error; it may have run and must not be retried."""

    def migrate(self, token: Hashable) -> None:
        """Ask the client of an established connection to reconnect."""

    def check_health(self, endpoint: str) -> None:
        """Send a health check to an endpoint to obtain its load."""

    def poll_endpoint_list(self) -> None:
        """Poll the endpoint list."""

    def set_timer(self, when: float) -> None:
        """Call `tick` at time `when` on the host's clock."""

    def log(self, line: str) -> None:
        """Write a log line for operators."""
