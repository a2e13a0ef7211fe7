"""The balancer of one instance: the host's calls, the timer, and the binding of decisions to the state.

Each call is delegated to the module of its decision. A change of settings discards the estimates that are not
valid under the new ones.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Hashable

from onyxhollow.interface import Host, Listener, Settings, Tenant
from onyxhollow.policy import (
    admission,
    arrivals,
    endpoints,
    handoff,
    health_checks,
    list_polling,
    load_reports,
    outlier_detection,
    selection,
    subset,
)
from onyxhollow.policy.session import Session
from onyxhollow.policy.state import TICK_SECONDS, PolicyState


class Balancer(PolicyState):
    """The policy of one proxy, which decides on behalf of its host.

    The host passes the endpoint list (`on_endpoint_list`), sessions (`admit`, `adopt`), load reports
    (`on_health_check`) and its timer (`tick`). Later events of a session are calls on the `Session`.
    """

    # Bound without wrapper methods, which would add a call to each of the dozens of calls per selection.
    load_of = load_reports.load_of
    record_load = load_reports.record_load
    record_failure = outlier_detection.record_failure
    record_outcome = outlier_detection.record_outcome
    eligible = selection.eligible
    cost = selection.cost
    affinity_endpoint = selection.affinity_endpoint
    select = selection.select
    within_slow_start = arrivals.within_slow_start
    rebalance_subset = subset.rebalance_subset
    redraw_subset = subset.redraw_subset
    refresh_health = subset.refresh_health
    start_migration = handoff.start_migration
    on_endpoint_list = endpoints.on_endpoint_list
    on_list_requested = list_polling.on_list_requested
    withdraw = endpoints.withdraw
    health_check_round = health_checks.health_check_round
    awaits_load_report = health_checks.awaits_load_report
    on_health_check = health_checks.on_health_check
    admit = admission.admit
    attempt = admission.attempt
    attempt_timeout = admission.attempt_timeout
    finish = admission.finish
    serve_queue = admission.serve_queue

    def __init__(self, host: Host, settings: Settings, seed: int) -> None:
        super().__init__(host, seed)
        poll_phase = self.rng.random()
        self.poll_needed = settings.list_is_polled
        self.apply_settings(settings)
        list_polling.schedule_first_poll(self, poll_phase)
        self.rebalance_subset()
        host.set_timer(host.now + TICK_SECONDS)

    def apply_settings(self, settings: Settings) -> None:
        """Apply settings, at the start or at a reload."""
        self.copy_settings(settings)
        health_checks.start_health_checks(self)

    def reconfigure(self, settings: Settings) -> None:
        """Apply new settings to a running instance.

        Estimates are discarded if the meaning of weights or groups changes. The host must then report the
        complete list again, which sets the sizes.
        """
        if settings.live_weights != self.live_weights:
            self.largest_weights.clear()
            self.load_calibration.clear()
            for endpoint in self.tracked.values():
                endpoint.shared_connections = 0.0
                endpoint.shared_connections_at = -math.inf
        if settings.group_affinity != self.group_affinity:
            self.affinity.clear()
            self.group_rates.clear()
        self.poll_needed = settings.list_is_polled or self.list_failures > 0
        self.apply_settings(settings)
        self.host.log(
            f"settings: live weights {self.live_weights}, groups {self.group_affinity}, probes "
            f"{self.checks_per_session:g}, balancers {self.instance_count}, own connections "
            f"{self.own_connections.total()}"
        )
        self.redraw_subset()

    def tick(self) -> None:
        """Run due callbacks, serve the queue, and set the timer again."""
        now = self.host.now
        list_polling.poll_if_due(self)
        while self.timers and self.timers[0][0] <= now:
            heapq.heappop(self.timers)[2]()
        self.serve_queue()
        self.host.set_timer(now + TICK_SECONDS)

    def adopt(
        self,
        token: Hashable,
        listener: Listener,
        tenant: Tenant | None,
        group: Hashable,
        load: float | None,
        name: str,
    ) -> Session | None:
        """Register a connection that was open before this instance started, and return its session.

        A drain does not migrate it. None is returned if the endpoint is not in the list.
        """
        endpoint = self.tracked.get(name)
        if endpoint is None:
            return None
        session = Session(self, token, listener, tenant, group, math.inf, load)
        session.endpoint = endpoint
        session.attempt_in_flight = True
        session.established = True
        session.answered = True
        session.count_on_endpoint(endpoint)
        return session
