"""What the decision module takes and what it may ask of its host: value types and the Host protocol.

Times are seconds as floats, on the host's own clock. Session tokens, server names, listener, customer
and zone names are opaque here: they are only handed back or compared for being the same.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from typing import Protocol


class Idempotency(Enum):
    """Whether a session may be set up again after a dial that may have run."""

    IDEMPOTENT = "repeatable"
    KEYED = "referenced"
    NON_IDEMPOTENT = "once-only"


class DeduplicationScope(Enum):
    """For referenced listeners: the servers that drop repeats of one another's sessions."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class AttemptOutcome(Enum):
    """How a dial ended. The value tells whether the session may have run on the server."""

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
        return self in (AttemptOutcome.OVERLOADED, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)


class EndpointState(Enum):
    IN_SERVICE = "in service"
    DRAINING = "draining"
    REMOVED = "gone"


class EndpointListKind(Enum):
    CACHED = "cached"
    SNAPSHOT = "full"
    DELTA = "changes"
    FAILED = "failed"


@dataclass(frozen=True)
class Listener:
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
    name: str
    quota_share: float = 0.0
    connection_quota: float = 0.0  # open connections within its share, over all balancers; 0: not told


@dataclass(frozen=True)
class Endpoint:
    """One server as the server list tells it; started: None when long ago; a size of 0 says nothing."""

    name: str
    state: EndpointState
    weight: float = 1.0
    started_at: float | None = None
    zone: str = ""
    cell: int = 0
    machine_type: str = ""  # of machine


@dataclass(frozen=True)
class Settings:
    """All that is told once, at the start; the balancer hands each part its own few values."""

    listeners: dict[str, Listener]
    tenants: dict[str, Tenant]
    instance_index: int = 0
    instance_count: int = 1
    zone: str = ""
    list_is_polled: bool = True  # the list comes only when asked for
    max_poll_interval: float = 10.0
    slow_start_share: float = 1.0
    slow_start_time: float = 0.0
    overload_multiple: float = 1.0
    overload_window: float = 1.0
    max_attempts: int = 1
    health_checks: bool = False
    health_check_price: float = 0.0
    cross_zone_price: float = 0.0  # of a dial to another zone
    cancellation: bool = False
    max_retry_after: float = 0.0  # the longest wait a client heeds; 0: it is not told
    over_quota_utility: float = 1.0
    group_affinity: bool = False
    live_weights: bool = False  # the list's size is lowered the more connections a core the server holds
    load_field: str = ""  # the report value that tells load over capacity, if the settings name one


class Host(Protocol):
    """What the decision module may ask of whatever carries it."""

    @property
    def now(self) -> float: ...

    def start_attempt(self, token: Hashable, server: str, timeout: float) -> None: ...

    def cancel_attempt(self, token: Hashable, dial: int) -> None: ...

    def reject(self, token: Hashable, retry_after: float) -> None: ...

    def tear_down(self, token: Hashable) -> None: ...

    def migrate(self, token: Hashable) -> None: ...

    def check_health(self, server: str) -> None: ...

    def poll_endpoint_list(self) -> None: ...

    def set_timer(self, when: float) -> None: ...

    def log(self, line: str) -> None: ...
