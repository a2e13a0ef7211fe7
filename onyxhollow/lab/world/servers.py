"""Clients, their sessions and the servers these are at, in one module as each knows the other.

A server: cores, connections, cold start, falling over, drain. Pure: told the time, asked for
verdicts.

Work is a fluid. What connections ask for beyond the capacity piles up; a message takes the time of what
is piled up plus an exponential one that grows as 1 / (1 - load), and the share of messages within a
listener's target is what its connections earn. Set-ups add their work to the pile and wait behind it.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Callable
from enum import Enum

from onyxhollow.lab.specs import Fleet, Kind, ListenerSpec
from onyxhollow.lab.world.types import LossCause, Request

BUSIEST = 0.985  # load above which messages take no longer by the formula alone; the pile tells the rest
SLACK = 3.0  # average connections by which a cold budget may be passed, for chance


class State(Enum):
    RUNNING = "running"
    DRAINING = "draining"
    STOPPED = "stopped"


class Verdict(Enum):
    """What a server says to a new session."""

    UP = "up"
    FULL = "full"
    ERROR = "error"
    REFUSED = "refused"  # nobody listens, or no connection is left
    SILENT = "silent"


class Client:
    __slots__ = (
        "request",
        "cause",
        "since",
        "tries",
        "spell",
        "draws",
        "session",
        "done",
        "was_up",
        "honours",
        "unsafe",
    )

    def __init__(self, request: Request, honours: bool) -> None:
        self.request, self.honours = request, honours
        self.cause, self.since = LossCause.LATE, request.due
        self.tries = self.spell = self.draws = 0
        self.session: Session | None = None
        self.done = self.was_up = False
        self.unsafe = False  # its last try may have run, and it may not come again

    @property
    def group(self) -> int:
        return self.request.group

    def draw(self) -> int:
        self.draws += 1
        return self.draws


class Session:
    """One try of a client at one proxy, and the connection that came of it."""

    __slots__ = (
        "number",
        "client",
        "proxy",
        "deadline",
        "load",
        "server",
        "slot",
        "up_at",
        "earned_at",
        "answered",
        "over",
        "muted",
    )

    def __init__(self, number: int, client: Client, proxy: int, deadline: float) -> None:
        self.number, self.client, self.proxy = number, client, proxy
        self.deadline = deadline
        self.load = client.request.load
        self.server: Server | None = None
        self.slot, self.up_at, self.earned_at = 0, -1.0, 0.0
        self.answered = False  # its client has an answer, or has gone
        self.over = False  # all is over
        self.muted = False  # open, but nothing comes through

    @property
    def key(self) -> tuple[int, int]:
        """What must not run twice: one request for one connection."""
        return self.client.request.number, self.client.spell


class Server:
    def __init__(
        self,
        number: int,
        name: str,
        zone: int,
        fleet: Fleet,
        kind: Kind,
        speed: float,
        listeners: list[ListenerSpec],
        message_work: float,
        unit: float,
        started: float = -math.inf,
    ) -> None:
        self.number, self.name, self.zone, self.cell = number, name, zone, number // fleet.cell
        self.fleet, self.kind, self.speed = fleet, kind, speed
        self.full = kind.cores * speed  # cores of speed 1
        self.size = kind.cores * kind.speed  # as registered
        self.targets = [row.message_target for row in listeners]
        self.message_work, self.unit, self.started = message_work, unit, started
        self.state, self.clock_off = State.RUNNING, 0.0
        self.factors: dict[int, float] = {}  # of capacity, by fault
        self.hung, self.gone_silent = set[int](), set[int]()
        self.errors: dict[int, float] = {}
        self.lies: dict[int, float] = {}
        self.sessions: dict[Session, None] = {}  # in order of coming
        self.groups: Counter[int] = Counter()
        self.demand = self.pile = 0.0  # cores of work wanted; core seconds piled up
        slots = 4 * len(listeners)
        self.counts, self.extra = [0] * slots, [0.0] * slots  # by slot; seconds to add in this step
        self.earned = [0.0] * slots  # integral of quality over time
        self.quality, self.whole = [1.0] * slots, [1.0] * slots  # whole: without the crossing
        self.step_at, self.crossing = 0.0, 0.0
        self.recent: deque[tuple[float, float, int]] = deque()  # what came while cold: time, load, proxy
        self.came = 0.0
        self.load = 0.0  # work wanted over capacity, as of the last step
        self.report_at, self.report = -math.inf, 0.0
        self.report_before = 0.0
        self.delay, self.tau = 0.0, 0.001

    # what is true of it

    @property
    def running(self) -> bool:
        return self.state is not State.STOPPED

    @property
    def mute(self) -> bool:
        return bool(self.hung or self.gone_silent)

    def warmth(self, now: float) -> float:
        age, time, share = now - self.started, self.fleet.cold_time, self.fleet.cold_share
        return 1.0 if age >= time else share + (1.0 - share) * max(0.0, age) / time

    def capacity(self, now: float) -> float:
        """Cores of speed 1 that it can do now; never nothing, so that times stay finite."""
        left = self.full * self.warmth(now)
        for factor in self.factors.values():
            left *= factor
        taken = len(self.sessions) / self.kind.connections
        return max(1e-3, left * (1.0 - self.fleet.crowding * min(1.0, taken)))

    def group_load(self) -> float:
        return len(self.groups) * self.fleet.group_cost * self.unit

    # sessions

    def offer(self, now: float, load: float, work: float, proxy: int, chance: float) -> tuple[Verdict, float]:
        """A new session has come: the verdict, and the seconds until it is given. work: core seconds."""
        if self.gone_silent or self.hung:
            return Verdict.SILENT, 0.0
        if self.state is State.STOPPED or len(self.sessions) >= self.kind.connections:
            return Verdict.REFUSED, 0.0
        if now - self.started < self.fleet.cold_time:
            self.recent.append((now, load, proxy))
            self.came += load
        capacity = self.capacity(now)
        wait = self.pile / capacity
        if self.state is State.DRAINING or wait > self.kind.queue:
            return Verdict.FULL, 0.0
        sick = 1.0
        for part in self.errors.values():
            sick *= 1.0 - part
        if chance >= sick:
            return Verdict.ERROR, 0.0
        self.pile += work
        return Verdict.UP, wait + work * self.kind.cores / capacity

    def falls(self, now: float) -> dict[int, float] | None:
        """Whether a cold server has just been pushed over, and then what came from each proxy (rule 4)."""
        recent, fleet = self.recent, self.fleet
        while recent and recent[0][0] <= now - fleet.fall_time:
            self.came -= recent.popleft()[1]
        if not recent or now - self.started >= fleet.cold_time:
            return None
        rate = fleet.fall_multiple * self.warmth(now) * self.full / fleet.cold_time
        if self.came <= rate * fleet.fall_time + SLACK * self.unit:
            return None
        shares: dict[int, float] = {}
        for _, load, proxy in recent:
            shares[proxy] = shares.get(proxy, 0.0) + load
        recent.clear()
        self.came = 0.0
        return shares

    def add(self, sess: Session, slot: int, now: float) -> None:
        self.sessions[sess] = None
        self.demand += sess.load
        if sess.client.group >= 0:
            self.groups[sess.client.group] += 1
        self.resume(slot, now)

    def remove(self, sess: Session) -> None:
        """The connection itself; what it earned ends with pause."""
        del self.sessions[sess]
        self.demand = max(0.0, self.demand - sess.load) if self.sessions else 0.0
        if sess.client.group >= 0:
            self.groups[sess.client.group] -= 1
            if not self.groups[sess.client.group]:
                del self.groups[sess.client.group]

    def resume(self, slot: int, now: float) -> None:
        self.counts[slot] += 1
        self.extra[slot] -= now - self.step_at

    def pause(self, slot: int, now: float) -> None:
        self.counts[slot] -= 1
        self.extra[slot] += now - self.step_at

    def earned_by(self, slot: int, now: float) -> float:
        """The integral of what one connection of this slot earns, seconds."""
        return self.earned[slot] + self.quality[slot] * (now - self.step_at)

    def change_load(self, sess: Session, load: float) -> None:
        self.demand = max(0.0, self.demand + load - sess.load)
        sess.load = load

    # time passes

    def step(self, now: float, served: Callable[[int, float, float, float, bool], None]) -> None:
        """Closes the step that began at step_at, and begins the next. served: told slot, seconds of
        connections, their quality, the quality had no zone been crossed, and whether it was mute."""
        span, mute = now - self.step_at, self.mute or self.state is State.STOPPED
        for slot, count in enumerate(self.counts):
            if count or self.extra[slot]:
                served(slot, count * span + self.extra[slot], self.quality[slot], self.whole[slot], mute)
                self.extra[slot] = 0.0
        for slot, quality in enumerate(self.quality):
            self.earned[slot] += quality * span
        self.step_at = now
        capacity, wanted = self.capacity(now), self.demand + self.group_load()
        if self.mute:
            wanted = 0.0  # nothing is worked on; clients wait, and what they ask is lost
        self.pile = min(
            max(0.0, self.pile + (wanted - capacity) * span), 4.0 * self.fleet.sheds_at * capacity
        )
        self.load = wanted / capacity
        self.delay = self.pile / capacity
        slowed = self.full / capacity if capacity < self.full else 1.0
        self.tau = self.message_work / self.speed * slowed / (1.0 - min(self.load, BUSIEST))
        self.judge(mute=self.mute or self.state is State.STOPPED)
        if now - self.report_at >= self.fleet.report_every:
            self.report_before, self.report, self.report_at = self.report, self.load, now

    def judge(self, mute: bool) -> None:
        for listener, target in enumerate(self.targets):
            near, far = target - self.delay, target - self.delay - self.crossing
            good = 1.0 - math.exp(-near / self.tau) if near > 0 and not mute else 0.0
            less = 1.0 - math.exp(-far / self.tau) if far > 0 and not mute else 0.0
            at = 4 * listener
            self.quality[at] = self.quality[at + 1] = good
            self.quality[at + 2] = self.quality[at + 3] = less
            self.whole[at : at + 4] = [good] * 4

    def overflow(self, now: float) -> list[Session]:
        """Whom it drops when too much is piled up: as many as ask for more than it can do. What is piled
        up stays; a server guards its memory by this, not its service."""
        how = self.fleet.sheds
        capacity = self.capacity(now)
        if how == "nothing" or self.pile <= self.fleet.sheds_at * capacity or self.mute:
            return []
        order = list(self.sessions)
        if how == "newest":
            order.reverse()
        else:
            order.sort(key=lambda sess: -sess.load)
        over, dropped = self.demand + self.group_load() - capacity, []
        for sess in order:
            if over <= 0:
                break
            over -= sess.load
            dropped.append(sess)
        self.pile = self.fleet.sheds_at * capacity
        return dropped

    def told_load(self, now: float, noise: float) -> float:
        """The load over capacity as it reports it: refreshed now and then, late, noisy, perhaps a lie."""
        value = self.report if now - self.report_at >= self.fleet.report_delay else self.report_before
        for factor in self.lies.values():
            value *= factor
        return max(0.0, value * (1.0 + self.fleet.report_noise * noise))

    def clear(self) -> None:
        """It has stopped: no work is left, nothing of the cold count either."""
        self.pile = self.came = self.load = 0.0
        self.recent.clear()
