"""Baseline policies with the interface of the decision module. They keep the four rules.

Connections on a draining server are migrated evenly over a few seconds. Warming-up servers get sessions from
the module's own SlowStartBudget. TrueState reads the true state of the servers, which no real policy can.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Hashable, Iterable
from random import Random
from typing import TYPE_CHECKING

from onyxhollow.interface import (
    AttemptOutcome,
    DeduplicationScope,
    Endpoint,
    EndpointListKind,
    EndpointState,
    Host,
    Idempotency,
    Listener,
    Settings,
    Tenant,
)
from onyxhollow.policy.estimators import stable_uniform
from onyxhollow.policy.slow_start import SlowStartBudget
from onyxhollow.policy.state import TICK_SECONDS

if TYPE_CHECKING:
    from onyxhollow.lab.world import servers
    from onyxhollow.lab.world.world import World

DRAIN_SECONDS = 3.0  # over which the connections of a draining server are migrated
POLL_RETRY_SECONDS = 0.5  # until the list is polled again after a failure
# TrueState: load from which a server gets no session; load up to which sessions are placed with their group;
# load that is added for a server in another zone.
MAX_LOAD, GROUPING_LOAD, OTHER_ZONE_PENALTY = 0.95, 0.7, 0.12
RETRY_WAITING_SECONDS = 0.25  # between attempts to place the sessions that wait for a server


class KnownServer:
    """A server as the endpoint list describes it."""

    def __init__(self, entry: Endpoint) -> None:
        """Take the server's first entry of the list."""
        self.name, self.open = entry.name, dict[Baseline.Session, None]()
        self.update(entry)

    def update(self, entry: Endpoint) -> None:
        """Take over what a new entry of the list says about the server."""
        self.state, self.size, self.started_at = entry.state, entry.weight, entry.started_at
        self.zone, self.cell = entry.zone, entry.cell


class Baseline:
    """The part that all baselines share; each one implements choose."""

    class Session:
        """A session at the proxy, the handle that the host reports its events to."""

        def __init__(
            self,
            balancer: Baseline,
            token: Hashable,
            listener: Listener,
            tenant: Tenant | None,
            deadline: float,
        ) -> None:
            """Prepare a session without a server; `deadline` is on the host's clock, in seconds."""
            self.balancer, self.token, self.listener, self.tenant = balancer, token, listener, tenant
            self.deadline = deadline
            self.attempted: list[KnownServer] = []
            self.attempt_in_flight = self.established = self.answered = False
            self.ran_at: KnownServer | None = None
            self.ran_since = 0.0
            self.server: KnownServer | None = None

        def on_established(self, took: float) -> None:
            """Mark the session as answered: its connection is established."""
            self.established = self.answered = True

        def on_load(self, load: float) -> None:
            """Ignore the load of the session; no baseline uses it."""

        def on_message_delay(self, delay: float) -> None:
            """Ignore the delay of a message; no baseline uses it."""

        def on_client_gone(self) -> None:
            """Mark the session as answered, so that it is not attempted again."""
            self.answered = True

        def on_attempt_ended(
            self, end: AttemptOutcome, final: bool, took: float, load: float | None = None
        ) -> None:
            """Release the server; attempt again if the session still awaits its answer."""
            if not self.attempt_in_flight or self.server is None:
                return
            self.attempt_in_flight, was_established, self.established = False, self.established, False
            self.server.open.pop(self, None)
            if not end.never_ran and not was_established and self.ran_at is None:
                self.ran_at = self.server
            if final or was_established:
                self.answered = True
            elif not self.answered:
                self.balancer.attempt(self)

    def __init__(self, host: Host, settings: Settings, seed: int, world: World) -> None:
        """Begin with no servers and set the first timer; `world` is for TrueState only."""
        self.host, self.settings, self.rng, self.world = host, settings, Random(seed), world
        self.servers: dict[str, KnownServer] = {}
        self.list_lost, self.poll_at = settings.list_is_polled, host.now + 0.05 * self.rng.random()
        self.waiting: list[Baseline.Session] = []
        self.migrations: list[tuple[float, int, Callable[[], None]]] = []
        self.due_count, self.retry_at = 0, 0.0
        self.budget = SlowStartBudget(host.now)
        self.budget.apply_settings(settings)
        host.set_timer(host.now + TICK_SECONDS)

    # the interface of the decision module

    def on_endpoint_list(self, kind: EndpointListKind, entries: Iterable[Endpoint]) -> None:
        """Apply an answer of the list, and begin to drain servers that newly drain."""
        if kind is EndpointListKind.FAILED:
            self.list_lost, self.poll_at = (
                True,
                self.host.now + POLL_RETRY_SECONDS * (0.5 + self.rng.random()),
            )
            return
        if kind is not EndpointListKind.CACHED:
            self.list_lost = False
        absent = set(self.servers) if kind is not EndpointListKind.DELTA else set()
        for entry in entries:
            absent.discard(entry.name)
            known = self.servers.get(entry.name)
            was_in_service = known is None or known.state is EndpointState.IN_SERVICE
            known = known or self.servers.setdefault(entry.name, KnownServer(entry))
            if entry.started_at != known.started_at:
                phase = stable_uniform(known.name, self.settings.instance_index)
                self.budget.tokens[known] = (phase, self.host.now)  # type: ignore[index]
            known.update(entry)
            if entry.state is EndpointState.DRAINING and was_in_service:
                self.drain(known)
        for name in sorted(absent):
            self.servers[name].state = EndpointState.REMOVED

    def admit(
        self,
        token: Hashable,
        listener: Listener,
        tenant: Tenant | None,
        group: Hashable,
        time_left: float,
        load: float | None,
    ) -> Baseline.Session:
        """Admit a new session and attempt it at once; `time_left` is in seconds."""
        sess = Baseline.Session(self, token, listener, tenant, self.host.now + time_left)
        self.budget.record_arrival(self.host.now)
        self.attempt(sess)
        return sess

    def adopt(
        self,
        token: Hashable,
        listener: Listener,
        tenant: Tenant | None,
        group: Hashable,
        load: float | None,
        name: str,
    ) -> Baseline.Session | None:
        """Take over an established connection; return None if its server is not known."""
        if (server := self.servers.get(name)) is None:
            return None
        sess = Baseline.Session(self, token, listener, tenant, float("inf"))
        sess.server, sess.attempt_in_flight, sess.established, sess.answered = server, True, True, True
        server.open[sess] = None
        return sess

    def on_health_check(self, name: str, end: AttemptOutcome, took: float, load: float | None) -> None:
        """Ignore the result of a health check; no baseline sends any."""

    def tick(self) -> None:
        """Poll a lost list, start due migrations and retry waiting sessions; sets its own timer."""
        now = self.host.now
        if self.list_lost and now >= self.poll_at:
            self.poll_at = now + self.settings.max_poll_interval / 2
            self.host.poll_endpoint_list()
        while self.migrations and self.migrations[0][0] <= now:
            heapq.heappop(self.migrations)[2]()
        if self.waiting and now >= self.retry_at:
            self.retry_at = now + RETRY_WAITING_SECONDS
            waiting, self.waiting = self.waiting, []
            for sess in waiting:
                self.attempt(sess)
        self.host.set_timer(now + TICK_SECONDS)

    # placement

    def drain(self, server: KnownServer) -> None:
        """Schedule the migration of a server's established connections, evenly over DRAIN_SECONDS."""
        moving = [sess for sess in server.open if sess.established]
        for place, sess in enumerate(moving):
            self.due_count += 1
            when = self.host.now + DRAIN_SECONDS * (place + 1) / len(moving)
            heapq.heappush(self.migrations, (when, self.due_count, lambda sess=sess: self.migrate(sess)))  # type: ignore[misc]

    def migrate(self, sess: Baseline.Session) -> None:
        """Ask the client of an established connection to reconnect; do nothing if it has ended."""
        if sess.established and sess.server is not None:
            sess.established = False
            sess.server.open.pop(sess, None)
            self.host.migrate(sess.token)

    def is_allowed(self, sess: Baseline.Session, server: KnownServer) -> bool:
        """Return whether rules 2 and 3 and the slow-start budget allow a session on a server."""
        now, listener, first = self.host.now, sess.listener, sess.ran_at
        if server.state is not EndpointState.IN_SERVICE:
            return False
        if first is not None and listener.idempotency is not Idempotency.IDEMPOTENT:
            if (
                listener.idempotency is Idempotency.NON_IDEMPOTENT
                or now - sess.ran_since >= listener.deduplication_window - TICK_SECONDS
            ):
                return False
            same = {
                DeduplicationScope.ALL: True,
                DeduplicationScope.ZONE: server.zone == first.zone,
                DeduplicationScope.CELL: server.cell == first.cell,
            }
            if not same[listener.deduplication_scope]:
                return False
        return self.budget.refill(server, self.connections_per_size(), now) >= 1.0  # type: ignore[arg-type]

    def connections_per_size(self) -> float:
        """Return the connections per server size on this proxy's warm servers, taken as their capacity."""
        warm = [s for s in self.servers.values() if not self.budget.warming_up(s, self.host.now)]  # type: ignore[arg-type]
        size = sum(s.size for s in warm)
        return max(0.5, sum(len(s.open) for s in warm)) / size if size else 1.0

    def attempt(self, sess: Baseline.Session) -> None:
        """Place the session on a server, or let it wait, or answer it if neither is possible."""
        if sess.answered or sess.attempt_in_flight:
            return
        now, left = self.host.now, sess.deadline - self.host.now
        spent = left <= 0 or len(sess.attempted) >= self.settings.max_attempts
        eligible = [] if spent else [s for s in self.servers.values() if self.is_allowed(sess, s)]
        eligible = [s for s in eligible if s not in sess.attempted] or eligible
        if not eligible:
            if not spent and not sess.attempted and left > sess.listener.attempt_timeout / 2:
                self.waiting.append(sess)
            else:
                self.answer_unplaced(sess)
            return
        if (server := self.choose(eligible, sess)) is None:
            self.answer_unplaced(sess)
            return
        if self.budget.warming_up(server, now):  # type: ignore[arg-type]
            level = self.budget.refill(server, self.connections_per_size(), now)  # type: ignore[arg-type]
            self.budget.tokens[server] = (level - 1.0, now)  # type: ignore[index]
        sess.server, sess.attempt_in_flight = server, True
        sess.attempted.append(server)
        if sess.ran_at is None:
            sess.ran_since = now
        server.open[sess] = None
        last = (
            len(sess.attempted) >= self.settings.max_attempts
            or sess.listener.idempotency is Idempotency.NON_IDEMPOTENT
        )
        self.host.start_attempt(
            sess.token, server.name, left if last else min(left, sess.listener.handshake_objective)
        )

    def answer_unplaced(self, sess: Baseline.Session) -> None:
        """Reject a session that certainly may run again; tear down any other."""
        sess.answered = True
        if sess.ran_at is None or sess.listener.idempotency is Idempotency.IDEMPOTENT:
            self.host.reject(sess.token, self.settings.max_retry_after * self.rng.random())
        else:
            self.host.tear_down(sess.token)

    def choose(self, eligible: list[KnownServer], sess: Baseline.Session) -> KnownServer | None:
        """Return one of the eligible servers, of which there is at least one, or None to reject."""
        raise NotImplementedError


class RandomChoice(Baseline):
    """Picks a server uniformly at random, whatever its size."""

    def choose(self, eligible: list[KnownServer], sess: Baseline.Session) -> KnownServer:
        """Draw one of the eligible servers."""
        return self.rng.choice(eligible)


class RoundRobin(Baseline):
    """Picks the eligible servers in turn, from a random start."""

    turn = -1

    def choose(self, eligible: list[KnownServer], sess: Baseline.Session) -> KnownServer:
        """Return the next of the eligible servers."""
        if self.turn < 0:
            # Without a random start all proxies would pick the same server at the same time.
            self.turn = self.rng.randrange(1 << 16)
        self.turn += 1
        return eligible[self.turn % len(eligible)]


class LeastConnections(Baseline):
    """Picks the server with the fewest connections of this proxy for its size."""

    def choose(self, eligible: list[KnownServer], sess: Baseline.Session) -> KnownServer:
        """Return the server with the fewest connections for its size; ties are random."""
        return min(eligible, key=lambda s: ((len(s.open) + 1) / s.size, self.rng.random()))


class TwoChoices(Baseline):
    """Picks the less loaded of two random servers, by this proxy's connections for their size."""

    def choose(self, eligible: list[KnownServer], sess: Baseline.Session) -> KnownServer:
        """Return the better of two servers drawn at random."""
        sampled = self.rng.sample(eligible, min(2, len(eligible)))
        return min(sampled, key=lambda s: (len(s.open) + 1) / s.size)


class TrueState(Baseline):
    """The reference policy: reads the current load, backlog and health of every server.

    It also counts its own attempts in flight.
    """

    def true_server(self, server: KnownServer) -> servers.Server:
        """Return the emulated server behind an entry of the list."""
        return self.world.servers_by_name[server.name]

    def choose(self, eligible: list[KnownServer], sess: Baseline.Session) -> KnownServer | None:
        """Return the usable server of the lowest load, its group's first; None if all are full."""
        now, own_zone, unit = self.host.now, self.settings.zone, self.world.average_load
        group = self.world.group_of(sess.token)

        def estimate(known: KnownServer) -> tuple[float, bool]:
            """Return load over capacity with the session added, and whether its group is on the server."""
            server = self.true_server(known)
            unusable = (
                not server.is_running
                or server.is_unresponsive
                or server.error_shares
                or server.state.value == "draining"
            )
            if (
                unusable
                or self.world.blocked_links
                and self.world.blocked_direction(self.settings.instance_index, server)
            ):
                return 100.0, False
            has_group = group < 0 or group in server.groups
            in_flight = sum(1 for other in known.open if not other.established)
            demand = server.demand + server.group_load() + unit * (1 + in_flight)
            demand += 0.0 if has_group else self.world.scenario.fleet.group_cost * unit
            capacity = server.capacity(now)
            penalty = 0.0 if known.zone == own_zone else OTHER_ZONE_PENALTY
            return demand / capacity + server.backlog / capacity + penalty, has_group

        candidates = sorted(
            (not has_group, load, s.name, s)
            for s in eligible
            for load, has_group in [estimate(s)]
            if load < MAX_LOAD
        )
        unloaded = [row for row in candidates if row[1] < GROUPING_LOAD]
        if unloaded:
            return unloaded[0][3]
        # On a server above MAX_LOAD a new session would cost the existing ones more than it earns.
        return min(candidates, key=lambda row: row[1:3])[3] if candidates else None


BY_NAME: dict[str, type[Baseline]] = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "least-connections": LeastConnections,
    "two-choices": TwoChoices,
    "true-state": TrueState,
}
