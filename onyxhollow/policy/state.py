"""What one instance knows, and the calls that its decisions make on one another.

The modules of this package are functions that take this state; `Balancer` binds them to it. The calls listed
at the end are those that lead from one module to another, and that the lab replaces to show what each is for.
Decides nothing. Guards against circles: every module knows this one, none knows the balancer.
"""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable, Hashable
from random import Random

from onyxhollow.interface import AttemptOutcome, EndpointState, Host, Settings
from onyxhollow.policy.estimators import ArrivalRate, Ewma
from onyxhollow.policy.session import Session
from onyxhollow.policy.slow_start import SlowStartBudget
from onyxhollow.policy.tracked import TrackedEndpoint

TICK_SECONDS = 0.05  # seconds of the one timer
POLLS_PER_SECOND = 8.0  # that the endpoint list answers, of all instances together
HEALTH_CHECK_BUDGET = 0.002  # of the result, spent on health checks in calm times
MIN_CHECK_PRICE = 1e-4  # of a health check, for prices of nothing
EJECTION_SCORE = 2.0  # outlier score that bars an endpoint, at the least


class PolicyState:
    """The state of one instance; `Balancer` adds the decisions."""

    def __init__(self, host: Host, seed: int) -> None:
        self.host = host
        self.rng = Random(seed)
        # Endpoints.
        self.tracked: dict[str, TrackedEndpoint] = {}  # all of the list by name, in any state
        self.endpoints = list[TrackedEndpoint]()  # those in service
        self.subset = list[TrackedEndpoint]()  # those worked with
        self.local = list[TrackedEndpoint]()  # of the own zone, where own connections are few
        self.ring = list[tuple[float, int]]()  # position, place in endpoints
        self.affinity = dict[Hashable, TrackedEndpoint]()  # the remembered best, by group; None: of all
        self.largest_weights = dict[str, float]()  # by machine type
        # Sessions.
        self.queue = list[Session]()  # waiting for an endpoint that may take them
        self.own_connections = Counter[str]()  # by tenant
        self.group_rates = dict[Hashable, ArrivalRate]()  # sessions taken, by group
        self.slow_start = SlowStartBudget(host.now)
        self.handshake_time = Ewma()  # seconds, of all endpoints
        # Estimates, renewed with the subset.
        self.total_size = 1.0  # of warm endpoints
        self.mean_connections = 0.0  # own, per size
        self.connections_at_capacity = 1.0  # own ones that fill a size of 1
        self.few_connections = False  # own ones are so few that their differences are chance
        self.loads_unknown = False  # no endpoint reports its load
        self.prefer_local = False  # the load is low enough for affinity within the own zone
        self.eligible_share = 0.0  # of the subset
        self.ejection_threshold = EJECTION_SCORE
        self.load_calibration = dict[str, tuple[float, float]]()  # by type: shared connections, load; sums
        # The endpoint list and the timers.
        self.list_failures = 0  # in a row
        self.poll_needed = False
        self.poll_at = host.now
        self.checks_running = False
        self.timers = list[tuple[float, int, Callable[[], None]]]()
        self.timer_count = 0

    def read_settings(self, settings: Settings) -> None:
        """Take over the values of the settings; sessions, migrations and timers go on."""
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
        self.poll_spread = max(1.0, settings.instance_count / POLLS_PER_SECOND)  # seconds for polls of all
        quotas = sum(tenant.connection_quota for tenant in settings.tenants.values())
        self.own_quota = quotas / settings.instance_count  # own part of what tenants may hold
        price = max(MIN_CHECK_PRICE, settings.health_check_price)
        self.checks_per_session = HEALTH_CHECK_BUDGET / price if settings.health_checks else 0.0

    def schedule(self, wait: float, call: Callable[[], None]) -> None:
        """Run a call after `wait` seconds, at a tick."""
        self.timer_count += 1
        heapq.heappush(self.timers, (self.host.now + wait, self.timer_count, call))

    # Calls from module to module. Balancer provides them.

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

    def attempt_timeout(self, session: Session, left: float) -> float:
        """See `admission.attempt_timeout`."""
        raise NotImplementedError

    def finish(self, session: Session) -> None:
        """See `admission.finish`."""
        raise NotImplementedError
