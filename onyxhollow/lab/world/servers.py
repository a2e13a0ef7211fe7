"""Emulated clients, their sessions and the emulated servers; the types refer to one another.

A server models cores, connections, warming up, failing from overload and draining. It does no I/O: callers
pass the time and the random numbers.

Work is modelled as a fluid. Work that connections ask for beyond the capacity goes into a backlog. A message
takes the time to work off the backlog plus an exponentially distributed time that grows as 1 / (1 - load).
The share of messages within a listener's message objective is the share of the utility that its connections
earn. Session set-ups add their work to the backlog and wait behind it.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from enum import Enum

from onyxhollow.lab.specs import Fleet, ListenerSpec, MachineKind
from onyxhollow.lab.world.types import LossCause, Request

MAX_FORMULA_LOAD = 0.985  # above this load the formula stays constant; the backlog accounts for the rest
# Average connections by which a warming-up server may exceed its slow-start budget, to allow for chance.
SLOW_START_TOLERANCE_CONNECTIONS = 3.0


class ServerState(Enum):
    """State of a server process."""

    RUNNING = "running"
    DRAINING = "draining"
    STOPPED = "stopped"


class OpenResult(Enum):
    """How a server responds to an OPEN request."""

    ACCEPTED = "up"
    OVERLOADED = "full"
    ERROR = "error"
    CONNECTION_REFUSED = "refused"  # the process is down, or all its connections are taken
    NO_ANSWER = "silent"


class Client:
    """An emulated client: keeps a connection open for one request and reconnects when it is lost."""

    __slots__ = (
        "request",
        "cause",
        "cause_since",
        "open_count",
        "connection_number",
        "draw_count",
        "session",
        "finished",
        "was_connected",
        "honours_retry_after",
        "must_not_retry",
    )

    def __init__(self, request: Request, honours_retry_after: bool) -> None:
        """Prepare the client of a request; it has no connection yet."""
        self.request, self.honours_retry_after = request, honours_retry_after
        self.cause, self.cause_since = LossCause.LATE, request.due
        self.open_count = self.connection_number = self.draw_count = 0
        self.session: Session | None = None
        self.finished = self.was_connected = False
        self.must_not_retry = False  # the last session may have run and must not run twice

    @property
    def group(self) -> int:
        """Group of the client's request; -1 if it has none."""
        return self.request.group

    def next_draw(self) -> int:
        """Return the index of the client's next random number."""
        self.draw_count += 1
        return self.draw_count


class Session:
    """One session of a client at a proxy, and the connection established for it."""

    __slots__ = (
        "number",
        "client",
        "proxy",
        "deadline",
        "load",
        "server",
        "slot",
        "established_at",
        "earned_at_start",
        "answered",
        "ended",
        "blackholed",
    )

    def __init__(self, number: int, client: Client, proxy: int, deadline: float) -> None:
        """Prepare a session at a proxy; `deadline` is in seconds from the start of the run."""
        self.number, self.client, self.proxy = number, client, proxy
        self.deadline = deadline
        self.load = client.request.load
        self.server: Server | None = None
        self.slot, self.established_at, self.earned_at_start = 0, -1.0, 0.0
        self.answered = False  # the client has its final answer, or has left
        self.ended = False
        self.blackholed = False  # open, but no packets arrive

    @property
    def execution_key(self) -> tuple[int, int]:
        """Request and connection number; a once-only session must not run twice under one key."""
        return self.client.request.number, self.client.connection_number


class Server:
    """An emulated server."""

    def __init__(
        self,
        number: int,
        name: str,
        zone: int,
        fleet: Fleet,
        kind: MachineKind,
        speed: float,
        listeners: list[ListenerSpec],
        message_work: float,
        average_load: float,
        started: float = -math.inf,
    ) -> None:
        """Prepare a running server; one started at -inf has warmed up."""
        self.number, self.name, self.zone, self.cell = number, name, zone, number // fleet.cell
        self.fleet, self.kind, self.speed = fleet, kind, speed
        self.full_capacity = kind.cores * speed  # cores of speed 1
        self.weight = kind.cores * kind.speed  # as registered in the list
        self.message_objectives = [row.message_target for row in listeners]
        self.message_work, self.average_load, self.started = message_work, average_load, started
        self.state, self.clock_offset = ServerState.RUNNING, 0.0
        self.capacity_factors: dict[int, float] = {}  # by fault
        self.hung_by, self.vanished_by = set[int](), set[int]()  # faults
        self.error_shares: dict[int, float] = {}  # by fault
        self.report_factors: dict[int, float] = {}  # by fault
        self.sessions: dict[Session, None] = {}  # in order of arrival
        self.groups: Counter[int] = Counter()
        self.demand = self.backlog = 0.0  # cores of work asked for; core seconds of work waiting
        slots = 4 * len(listeners)
        # By slot, which is 4 * listener + 2 * (crosses a zone) + (over quota). extra_seconds corrects the
        # connection seconds of the current step.
        self.connection_counts, self.extra_seconds = [0] * slots, [0.0] * slots
        self.earned = [0.0] * slots  # integral of quality over time
        self.quality, self.quality_without_crossing = [1.0] * slots, [1.0] * slots
        self.step_began_at, self.crossing_delay = 0.0, 0.0
        # Sessions that arrived while warming up: time, load, proxy.
        self.recent_arrivals: deque[tuple[float, float, int]] = deque()
        self.recent_load = 0.0
        self.load = 0.0  # demand over capacity, as of the last step
        self.reported_at, self.last_report, self.previous_report = -math.inf, 0.0, 0.0
        self.delay, self.tau = 0.0, 0.001  # seconds: backlog, time constant of a message's own time

    # state

    @property
    def is_running(self) -> bool:
        """Whether the process runs, draining included; it may still be unresponsive."""
        return self.state is not ServerState.STOPPED

    @property
    def is_unresponsive(self) -> bool:
        """Whether it neither answers nor works, though its connections stay open."""
        return bool(self.hung_by or self.vanished_by)

    def warm_up_factor(self, now: float) -> float:
        """Return the share of its capacity that the server has while warming up; 1 afterwards."""
        age, time, share = now - self.started, self.fleet.cold_time, self.fleet.cold_share
        return 1.0 if age >= time else share + (1.0 - share) * max(0.0, age) / time

    def capacity(self, now: float) -> float:
        """Return the current capacity in cores of speed 1; never 0, so that times stay finite."""
        available = self.full_capacity * self.warm_up_factor(now)
        for factor in self.capacity_factors.values():
            available *= factor
        connection_share = len(self.sessions) / self.kind.connections
        return max(1e-3, available * (1.0 - self.fleet.crowding * min(1.0, connection_share)))

    def group_load(self) -> float:
        """Return the load of the groups on the server, in cores."""
        return len(self.groups) * self.fleet.group_cost * self.average_load

    # sessions

    def handle_open(
        self, now: float, load: float, work: float, proxy: int, chance: float
    ) -> tuple[OpenResult, float]:
        """Handle an OPEN request whose set-up takes work core seconds.

        Returns the result and the seconds until the server sends it. chance is a uniform random number.
        """
        if self.vanished_by or self.hung_by:
            return OpenResult.NO_ANSWER, 0.0
        if self.state is ServerState.STOPPED or len(self.sessions) >= self.kind.connections:
            return OpenResult.CONNECTION_REFUSED, 0.0
        if now - self.started < self.fleet.cold_time:
            self.recent_arrivals.append((now, load, proxy))
            self.recent_load += load
        capacity = self.capacity(now)
        wait = self.backlog / capacity
        if self.state is ServerState.DRAINING or wait > self.kind.queue:
            return OpenResult.OVERLOADED, 0.0
        success_share = 1.0
        for error_share in self.error_shares.values():
            success_share *= 1.0 - error_share
        if chance >= success_share:
            return OpenResult.ERROR, 0.0
        self.backlog += work
        return OpenResult.ACCEPTED, wait + work * self.kind.cores / capacity

    def detect_overload_failure(self, now: float) -> dict[int, float] | None:
        """Return the recent load from each proxy if a warming-up server fails from it (rule 4), else None."""
        recent, fleet = self.recent_arrivals, self.fleet
        while recent and recent[0][0] <= now - fleet.fall_time:
            self.recent_load -= recent.popleft()[1]
        if not recent or now - self.started >= fleet.cold_time:
            return None
        rate = fleet.fall_multiple * self.warm_up_factor(now) * self.full_capacity / fleet.cold_time
        if self.recent_load <= rate * fleet.fall_time + SLOW_START_TOLERANCE_CONNECTIONS * self.average_load:
            return None
        shares: dict[int, float] = {}
        for _, load, proxy in recent:
            shares[proxy] = shares.get(proxy, 0.0) + load
        recent.clear()
        self.recent_load = 0.0
        return shares

    def add(self, sess: Session, slot: int, now: float) -> None:
        """Add an established connection."""
        self.sessions[sess] = None
        self.demand += sess.load
        if sess.client.group >= 0:
            self.groups[sess.client.group] += 1
        self.resume(slot, now)

    def remove(self, sess: Session) -> None:
        """Remove the connection; pause ends what it earns."""
        del self.sessions[sess]
        self.demand = max(0.0, self.demand - sess.load) if self.sessions else 0.0
        if sess.client.group >= 0:
            self.groups[sess.client.group] -= 1
            if not self.groups[sess.client.group]:
                del self.groups[sess.client.group]

    def resume(self, slot: int, now: float) -> None:
        """Count a connection of this slot as earning from now on."""
        self.connection_counts[slot] += 1
        self.extra_seconds[slot] -= now - self.step_began_at

    def pause(self, slot: int, now: float) -> None:
        """Count a connection of this slot as earning no more."""
        self.connection_counts[slot] -= 1
        self.extra_seconds[slot] += now - self.step_began_at

    def earned_integral(self, slot: int, now: float) -> float:
        """Return the integral of the quality of one connection of this slot, in seconds."""
        return self.earned[slot] + self.quality[slot] * (now - self.step_began_at)

    def change_load(self, sess: Session, load: float) -> None:
        """Change the load of a connection."""
        self.demand = max(0.0, self.demand + load - sess.load)
        sess.load = load

    # steps in time

    def step(self, now: float, record_step: Callable[[int, float, float, float, bool], None]) -> None:
        """End the step that began at step_began_at, and begin the next.

        record_step receives for each slot: the slot, its connection seconds, their quality, their quality
        without the delay of a zone crossing, and whether the server was unresponsive.
        """
        span, unresponsive = (
            now - self.step_began_at,
            self.is_unresponsive or self.state is ServerState.STOPPED,
        )
        for slot, count in enumerate(self.connection_counts):
            if count or self.extra_seconds[slot]:
                record_step(
                    slot,
                    count * span + self.extra_seconds[slot],
                    self.quality[slot],
                    self.quality_without_crossing[slot],
                    unresponsive,
                )
                self.extra_seconds[slot] = 0.0
        for slot, quality in enumerate(self.quality):
            self.earned[slot] += quality * span
        self.step_began_at = now
        capacity, demand = self.capacity(now), self.demand + self.group_load()
        if self.is_unresponsive:
            demand = 0.0  # no work is done; the requests of waiting clients are lost
        self.backlog = min(
            max(0.0, self.backlog + (demand - capacity) * span), 4.0 * self.fleet.sheds_at * capacity
        )
        self.load = demand / capacity
        self.delay = self.backlog / capacity
        slowdown = self.full_capacity / capacity if capacity < self.full_capacity else 1.0
        self.tau = self.message_work / self.speed * slowdown / (1.0 - min(self.load, MAX_FORMULA_LOAD))
        self.update_quality(unresponsive=self.is_unresponsive or self.state is ServerState.STOPPED)
        if now - self.reported_at >= self.fleet.report_every:
            self.previous_report, self.last_report, self.reported_at = self.last_report, self.load, now

    def update_quality(self, unresponsive: bool) -> None:
        """Compute for each slot the share of messages within the objective."""
        for listener, objective in enumerate(self.message_objectives):
            time_left, time_left_crossing = (
                objective - self.delay,
                objective - self.delay - self.crossing_delay,
            )
            quality = 1.0 - math.exp(-time_left / self.tau) if time_left > 0 and not unresponsive else 0.0
            quality_crossing = (
                1.0 - math.exp(-time_left_crossing / self.tau)
                if time_left_crossing > 0 and not unresponsive
                else 0.0
            )
            slot = 4 * listener
            self.quality[slot] = self.quality[slot + 1] = quality
            self.quality[slot + 2] = self.quality[slot + 3] = quality_crossing
            self.quality_without_crossing[slot : slot + 4] = [quality] * 4

    def shed_load(self, now: float) -> list[Session]:
        """Return the sessions that a server with too large a backlog drops, to bring demand down to capacity.

        The backlog is cut to the limit only: shedding protects the server's memory, not its service.
        """
        policy = self.fleet.sheds
        capacity = self.capacity(now)
        if policy == "nothing" or self.backlog <= self.fleet.sheds_at * capacity or self.is_unresponsive:
            return []
        order = list(self.sessions)
        if policy == "newest":
            order.reverse()
        else:
            order.sort(key=lambda sess: -sess.load)
        excess, dropped = self.demand + self.group_load() - capacity, []
        for sess in order:
            if excess <= 0:
                break
            excess -= sess.load
            dropped.append(sess)
        self.backlog = self.fleet.sheds_at * capacity
        return dropped

    def reported_load(self, now: float, noise: float) -> float:
        """Return the reported load over capacity: periodic, delayed, noisy, and falsified by faults."""
        value = (
            self.last_report if now - self.reported_at >= self.fleet.report_delay else self.previous_report
        )
        for factor in self.report_factors.values():
            value *= factor
        return max(0.0, value * (1.0 + self.fleet.report_noise * noise))

    def clear(self) -> None:
        """Discard the backlog and the record of recent arrivals of a stopped server."""
        self.backlog = self.recent_load = self.load = 0.0
        self.recent_arrivals.clear()
