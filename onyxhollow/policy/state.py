"""The state of one instance, and the interface through which its decision modules call one another.

The modules of this package define functions that take this state; `Balancer` binds them as methods. The
methods declared at the end are called across modules. The lab replaces single ones to measure their effect.
The declarations avoid import cycles: every module imports this one, and none imports the balancer.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter
from collections.abc import Callable, Hashable
from random import Random

from onyxhollow.interface import AttemptOutcome, EndpointState, Host, Settings
from onyxhollow.policy.estimators import ArrivalRate, Ewma
from onyxhollow.policy.session import Session
from onyxhollow.policy.slow_start import SlowStartBudget
from onyxhollow.policy.tracked import TrackedEndpoint

TICK_SECONDS = 0.05  # interval of the instance's only timer
LIST_POLLS_PER_SECOND = 8.0  # capacity of the endpoint list, shared by all instances
HEALTH_CHECK_BUDGET = 0.002  # utility spent on health checks per session while no endpoint is overloaded
MIN_CHECK_PRICE = 1e-4  # lower bound of a health check's price, which may be 0
EJECTION_SCORE = 2.0  # lower bound of the outlier score that ejects an endpoint


class PolicyState:
    """The state of one instance; `Balancer` adds the decisions."""

    def __init__(self, host: Host, seed: int) -> None:
        self.host = host
        self.rng = Random(seed)
        # Endpoints.
        self.tracked: dict[str, TrackedEndpoint] = {}  # by name, in any state
        self.endpoints = list[TrackedEndpoint]()  # in service
        self.subset = list[TrackedEndpoint]()  # the endpoints that this instance selects from
        self.local_endpoints = list[TrackedEndpoint]()  # warm, of the own zone; empty unless few_connections
        self.local_set = frozenset[TrackedEndpoint]()  # the same endpoints, for membership tests
        self.ring = list[tuple[float, int]]()  # position, index in endpoints
        self.affinity = dict[Hashable, TrackedEndpoint]()  # last placement by group; None: of any session
        self.largest_weights = dict[str, float]()  # by machine type
        # Sessions.
        self.queue = list[Session]()  # waiting for an eligible endpoint
        self.own_connections = Counter[str]()  # by tenant
        self.group_rates = dict[Hashable, ArrivalRate]()  # of sessions, by group
        self.slow_start = SlowStartBudget(host.now)
        self.handshake_time = Ewma()  # seconds, over all endpoints
        # Estimates, updated with the subset.
        self.total_size = 1.0  # sum over warm endpoints
        self.mean_connections = 0.0  # own connections per size
        self.connections_at_capacity = 1.0  # own connections that fill an endpoint of size 1
        self.few_connections = False  # so few own connections that differences are chance
        self.loads_unknown = False  # no endpoint reports load; only set if tenants have connection quotas
        self.prefer_local = False  # the load is low enough for affinity within the own zone
        self.eligible_share = 0.0  # of the subset, from 0 to 1
        self.ejection_threshold = EJECTION_SCORE
        # By machine type: decayed sums of shared connections and of load.
        self.load_calibration = dict[str, tuple[float, float]]()
        # The endpoint list and the timers.
        self.list_failures = 0  # consecutive
        self.poll_needed = False
        self.next_poll_at = host.now
        self.list_polled_at = -math.inf
        self.list_failed_at = -math.inf
        # Time of the last poll that is answered in time for a list that the host has requested.
        self.requested_list_due_at = math.inf
        self.checks_running = False
        self.timers = list[tuple[float, int, Callable[[], None]]]()
        self.timer_count = 0

    def copy_settings(self, settings: Settings) -> None:
        """Copy the values of the settings; sessions, migrations and timers are not affected."""
        self.zone = settings.zone
        self.cross_zone_price = settings.cross_zone_price
        self.instance_count = settings.instance_count
        self.over_quota_utility = settings.over_quota_utility
        self.max_attempts = settings.max_attempts
        self.cancellation = settings.cancellation
        self.max_retry_after = settings.max_retry_after
        self.group_affinity = settings.group_affinity
        self.live_weights = settings.live_weights
        self.max_poll_interval = settings.max_poll_interval
        self.slow_start.apply_settings(settings)
        # Seconds in which every instance can poll the list once.
        self.poll_spread = max(1.0, settings.instance_count / LIST_POLLS_PER_SECOND)
        quotas = sum(tenant.connection_quota for tenant in settings.tenants.values())
        self.own_quota = quotas / settings.instance_count  # this instance's share of all connection quotas
        price = max(MIN_CHECK_PRICE, settings.health_check_price)
        self.checks_per_session = HEALTH_CHECK_BUDGET / price if settings.health_checks else 0.0

    def schedule(self, delay: float, callback: Callable[[], None]) -> None:
        """Run a callback at the first tick after `delay` seconds."""
        self.timer_count += 1
        heapq.heappush(self.timers, (self.host.now + delay, self.timer_count, callback))

    # Calls across modules, implemented by Balancer.

    def load_of(self, endpoint: TrackedEndpoint) -> float:
        """See `load_reports.load_of`."""
        raise NotImplementedError

    def record_load(self, endpoint: TrackedEndpoint, load: float, age: float = 0.0) -> None:
        """See `load_reports.record_load`."""
        raise NotImplementedError

    def record_failure(self, endpoint: TrackedEndpoint, amount: float) -> None:
        """See `outlier_detection.record_failure`."""
        raise NotImplementedError

    def record_outcome(
        self, session: Session, endpoint: TrackedEndpoint, outcome: AttemptOutcome, took: float
    ) -> None:
        """See `outlier_detection.record_outcome`."""
        raise NotImplementedError

    def eligible(self, endpoint: TrackedEndpoint, session: Session | None = None) -> bool:
        """See `selection.eligible`."""
        raise NotImplementedError

    def within_slow_start(self, endpoint: TrackedEndpoint, session: Session) -> bool:
        """See `arrivals.within_slow_start`."""
        raise NotImplementedError

    def affinity_endpoint(self, session: Session) -> TrackedEndpoint | None:
        """See `selection.affinity_endpoint`."""
        raise NotImplementedError

    def select(self, session: Session) -> TrackedEndpoint | None:
        """See `selection.select`."""
        raise NotImplementedError

    def redraw_subset(self) -> None:
        """See `subset.redraw_subset`."""
        raise NotImplementedError

    def refresh_health(self) -> None:
        """See `subset.refresh_health`."""
        raise NotImplementedError

    def start_migration(self, source: TrackedEndpoint, reason: str, forced: bool = False) -> None:
        """See `handoff.start_migration`."""
        raise NotImplementedError

    def withdraw(self, endpoint: TrackedEndpoint, new_state: EndpointState) -> None:
        """See `endpoints.withdraw`."""
        raise NotImplementedError

    def health_check_round(self) -> None:
        """See `health_checks.health_check_round`."""
        raise NotImplementedError

    def awaits_load_report(self, session: Session, endpoint: TrackedEndpoint, now: float) -> bool:
        """See `health_checks.awaits_load_report`."""
        raise NotImplementedError

    def serve_queue(self) -> None:
        """See `admission.serve_queue`."""
        raise NotImplementedError

    def attempt(self, session: Session) -> None:
        """See `admission.attempt`."""
        raise NotImplementedError

    def attempt_timeout(self, session: Session, time_left: float) -> float:
        """See `admission.attempt_timeout`."""
        raise NotImplementedError

    def finish(self, session: Session) -> None:
        """See `admission.finish`."""
        raise NotImplementedError
