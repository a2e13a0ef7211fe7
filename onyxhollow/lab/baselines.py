"""Policies to compare with, behind the module's own door. They keep the four rules and are else plain.

Drains: connections placed are moved evenly over a few seconds. Cold servers: each balancer keeps its
share of the budget, by the own SlowStartBudget of the module. TrueState sees the true state; no real
policy can."""

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

DRAIN_OVER = 3.0  # seconds over which the connections of a draining server are moved
ASK_EVERY = 0.5  # seconds until the list is asked again after a failure
FULL, ROOMY, FAR = (
    0.95,
    0.7,
    0.12,
)  # TrueState: load that bars a server; gathers groups; worth of its own zone
HOLD = 0.25  # seconds between looks at what waits for a server


class Known:
    """A server as the list tells it."""

    def __init__(self, entry: Endpoint) -> None:
        self.name, self.open = entry.name, dict[Plain.Session, None]()
        self.learn(entry)

    def learn(self, entry: Endpoint) -> None:
        self.state, self.size, self.started_at = entry.state, entry.weight, entry.started_at
        self.zone, self.cell = entry.zone, entry.cell


class Plain:
    """What all baselines share; choose is theirs."""

    class Session:
        def __init__(
            self,
            balancer: Plain,
            token: Hashable,
            listener: Listener,
            tenant: Tenant | None,
            deadline: float,
        ) -> None:
            self.balancer, self.token, self.listener, self.tenant = balancer, token, listener, tenant
            self.deadline = deadline
            self.attempted: list[Known] = []
            self.attempt_in_flight = self.established = self.answered = False
            self.ran_at: Known | None = None
            self.ran_since = 0.0
            self.server: Known | None = None

        def on_established(self, took: float) -> None:
            self.established = self.answered = True

        def on_load(self, load: float) -> None: ...

        def on_message_delay(self, delay: float) -> None: ...

        def on_client_gone(self) -> None:
            self.answered = True

        def on_attempt_ended(
            self, end: AttemptOutcome, final: bool, took: float, load: float | None = None
        ) -> None:
            if not self.attempt_in_flight or self.server is None:
                return
            self.attempt_in_flight, stood, self.established = False, self.established, False
            self.server.open.pop(self, None)
            if not end.never_ran and not stood and self.ran_at is None:
                self.ran_at = self.server
            if final or stood:
                self.answered = True
            elif not self.answered:
                self.balancer.attempt(self)

    def __init__(self, host: Host, settings: Settings, seed: int, world: World) -> None:
        self.host, self.settings, self.rng, self.world = host, settings, Random(seed), world
        self.servers: dict[str, Known] = {}
        self.lost, self.ask_at = settings.list_is_polled, host.now + 0.05 * self.rng.random()
        self.waiting: list[Plain.Session] = []
        self.due: list[tuple[float, int, Callable[[], None]]] = []
        self.counter, self.look_at = 0, 0.0
        self.budget = SlowStartBudget(host.now)
        self.budget.apply_settings(settings)
        host.set_timer(host.now + TICK_SECONDS)

    # the module's door

    def on_endpoint_list(self, kind: EndpointListKind, entries: Iterable[Endpoint]) -> None:
        if kind is EndpointListKind.FAILED:
            self.lost, self.ask_at = True, self.host.now + ASK_EVERY * (0.5 + self.rng.random())
            return
        if kind is not EndpointListKind.CACHED:
            self.lost = False
        absent = set(self.servers) if kind is not EndpointListKind.DELTA else set()
        for entry in entries:
            absent.discard(entry.name)
            known = self.servers.get(entry.name)
            news = known is None or known.state is EndpointState.IN_SERVICE
            known = known or self.servers.setdefault(entry.name, Known(entry))
            if entry.started_at != known.started_at:
                phase = stable_uniform(known.name, self.settings.instance_index)
                self.budget.tokens[known] = (phase, self.host.now)  # type: ignore[index]
            known.learn(entry)
            if entry.state is EndpointState.DRAINING and news:
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
    ) -> Plain.Session:
        sess = Plain.Session(self, token, listener, tenant, self.host.now + time_left)
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
    ) -> Plain.Session | None:
        if (server := self.servers.get(name)) is None:
            return None
        sess = Plain.Session(self, token, listener, tenant, float("inf"))
        sess.server, sess.attempt_in_flight, sess.established, sess.answered = server, True, True, True
        server.open[sess] = None
        return sess

    def on_health_check(self, name: str, end: AttemptOutcome, took: float, load: float | None) -> None: ...

    def tick(self) -> None:
        now = self.host.now
        if self.lost and now >= self.ask_at:
            self.ask_at = now + self.settings.max_poll_interval / 2
            self.host.poll_endpoint_list()
        while self.due and self.due[0][0] <= now:
            heapq.heappop(self.due)[2]()
        if self.waiting and now >= self.look_at:
            self.look_at = now + HOLD
            waiting, self.waiting = self.waiting, []
            for sess in waiting:
                self.attempt(sess)
        self.host.set_timer(now + TICK_SECONDS)

    # within

    def drain(self, server: Known) -> None:
        moving = [sess for sess in server.open if sess.established]
        for place, sess in enumerate(moving):
            self.counter += 1
            when = self.host.now + DRAIN_OVER * (place + 1) / len(moving)
            heapq.heappush(self.due, (when, self.counter, lambda sess=sess: self.move(sess)))  # type: ignore[misc]

    def move(self, sess: Plain.Session) -> None:
        if sess.established and sess.server is not None:
            sess.established = False
            sess.server.open.pop(sess, None)
            self.host.migrate(sess.token)

    def allowed(self, sess: Plain.Session, server: Known) -> bool:
        """Rules 2 and 3, and the cold budget."""
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
        return self.budget.refill(server, self.fill(), now) >= 1.0  # type: ignore[arg-type]

    def fill(self) -> float:
        """Own connections that fill a warm server, per size; taken to be what it has now."""
        warm = [s for s in self.servers.values() if not self.budget.warming_up(s, self.host.now)]  # type: ignore[arg-type]
        size = sum(s.size for s in warm)
        return max(0.5, sum(len(s.open) for s in warm)) / size if size else 1.0

    def attempt(self, sess: Plain.Session) -> None:
        if sess.answered or sess.attempt_in_flight:
            return
        now, left = self.host.now, sess.deadline - self.host.now
        spent = left <= 0 or len(sess.attempted) >= self.settings.max_attempts
        fit = [] if spent else [s for s in self.servers.values() if self.allowed(sess, s)]
        fit = [s for s in fit if s not in sess.attempted] or fit
        if not fit:
            if not spent and not sess.attempted and left > sess.listener.attempt_timeout / 2:
                self.waiting.append(sess)
            else:
                self.end(sess)
            return
        if (server := self.choose(fit, sess)) is None:
            self.end(sess)
            return
        if self.budget.warming_up(server, now):  # type: ignore[arg-type]
            level = self.budget.refill(server, self.fill(), now)  # type: ignore[arg-type]
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

    def end(self, sess: Plain.Session) -> None:
        sess.answered, repeat = True, sess.listener.idempotency
        everywhere = (
            repeat is Idempotency.KEYED and sess.listener.deduplication_scope is DeduplicationScope.ALL
        )
        if sess.ran_at is None or repeat is Idempotency.IDEMPOTENT or everywhere:
            self.host.reject(sess.token, self.settings.max_retry_after * self.rng.random())
        else:
            self.host.tear_down(sess.token)

    def choose(self, fit: list[Known], sess: Plain.Session) -> Known | None:
        raise NotImplementedError


class RandomChoice(Plain):
    def choose(self, fit: list[Known], sess: Plain.Session) -> Known:
        return self.rng.choice(fit)


class RoundRobin(Plain):
    turn = -1

    def choose(self, fit: list[Known], sess: Plain.Session) -> Known:
        if self.turn < 0:
            self.turn = self.rng.randrange(1 << 16)  # balancers that start in step would go round in step
        self.turn += 1
        return fit[self.turn % len(fit)]


class LeastConnections(Plain):
    def choose(self, fit: list[Known], sess: Plain.Session) -> Known:
        return min(fit, key=lambda s: ((len(s.open) + 1) / s.size, self.rng.random()))


class TwoChoices(Plain):
    def choose(self, fit: list[Known], sess: Plain.Session) -> Known:
        two = self.rng.sample(fit, min(2, len(fit)))
        return min(two, key=lambda s: (len(s.open) + 1) / s.size)


class TrueState(Plain):
    """The mark for the best: sees load, pile and health of every server at the instant, and what is on
    its way."""

    def truth(self, server: Known) -> servers.Server:
        return self.world.servers_by_name[server.name]

    def choose(self, fit: list[Known], sess: Plain.Session) -> Known | None:
        now, mine, unit = self.host.now, self.settings.zone, self.world.average_load
        group = self.world.group_of(sess.token)

        def look(known: Known) -> tuple[float, bool]:
            """Load over capacity once it has the session too, and whether its group is there already."""
            server = self.truth(known)
            bad = (
                not server.is_running
                or server.is_unresponsive
                or server.error_shares
                or server.state.value == "draining"
            )
            if (
                bad
                or self.world.blocked_links
                and self.world.blocked_direction(self.settings.instance_index, server)
            ):
                return 100.0, False
            there = group < 0 or group in server.groups
            out = sum(1 for other in known.open if not other.established)
            wanted = server.demand + server.group_load() + unit * (1 + out)
            wanted += 0.0 if there else self.world.scenario.fleet.group_cost * unit
            capacity = server.capacity(now)
            far = 0.0 if known.zone == mine else FAR
            return wanted / capacity + server.backlog / capacity + far, there

        seen = sorted((not there, load, s.name, s) for s in fit for load, there in [look(s)] if load < FULL)
        roomy = [row for row in seen if row[1] < ROOMY]
        if roomy:
            return roomy[0][3]
        # Where none has room for all, another session would cost those that stand more than it earns.
        return min(seen, key=lambda row: row[1:3])[3] if seen else None


BY_NAME: dict[str, type[Plain]] = {
    "random": RandomChoice,
    "round-robin": RoundRobin,
    "least-connections": LeastConnections,
    "two-choices": TwoChoices,
    "true-state": TrueState,
}
