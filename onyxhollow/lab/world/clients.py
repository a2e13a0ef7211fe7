"""Clients and their sessions: what each waits for, why it is out, when it comes again."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from onyxhollow.lab.scenario import Clients
    from onyxhollow.lab.world.draws import Tables, Wish
    from onyxhollow.lab.world.servers import Server

FRONT_RETRY = 0.25  # seconds until a client that found a dead proxy asks the front again, mean
LONGEST_BACKOFF = 2.0


class Cause(Enum):
    """Why a client earns nothing, or not all."""

    LATE = "late"
    REFUSED = "refused"
    TORN_DOWN = "torn down"
    MOVED = "moved"
    UNREACHABLE = "unreachable"
    DROPPED = "dropped"  # by the client's own side
    SLOW = "slow"
    CROSSING = "crossing"


class Client:
    __slots__ = (
        "wish",
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

    def __init__(self, wish: Wish, honours: bool) -> None:
        self.wish, self.honours = wish, honours
        self.cause, self.since = Cause.LATE, wish.due
        self.tries = self.spell = self.draws = 0
        self.session: Session | None = None
        self.done = self.was_up = False
        self.unsafe = False  # its last try may have run, and it may not come again

    @property
    def group(self) -> int:
        return self.wish.group

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
        self.load = client.wish.load
        self.server: Server | None = None
        self.slot, self.up_at, self.earned_at = 0, -1.0, 0.0
        self.answered = False  # its client has an answer, or has gone
        self.over = False  # all is over
        self.muted = False  # open, but nothing comes through

    @property
    def key(self) -> tuple[int, int]:
        """What must not run twice: one wish for one connection."""
        return self.client.wish.number, self.client.spell


def wait_after(cause: Cause, client: Client, told: float, settings: Clients, tables: Tables) -> float | None:
    """Seconds until the client comes again; None: it does not. told: the wait that a refusal named."""
    draw, number = client.draw(), client.wish.number
    if cause is Cause.MOVED:
        return settings.move_gap * (0.5 + tables.uniform(number, draw))
    if cause is Cause.UNREACHABLE:
        return FRONT_RETRY * (0.5 + tables.uniform(number, draw))
    if cause in (Cause.TORN_DOWN, Cause.DROPPED) and client.was_up and client.tries == 0:
        return settings.rejoin * tables.exponential(number, draw)
    if settings.retry == "never" and cause is not Cause.DROPPED:
        return None
    if told > 0 and client.honours:
        return min(told, settings.most_retry_after)
    if settings.retry == "at once":
        return 0.001
    growth = min(2.0 ** min(8, client.tries - 1), LONGEST_BACKOFF / settings.backoff)
    factor = max(1.0, growth) if settings.retry == "growing" else 1.0
    return settings.backoff * factor * (0.5 + tables.uniform(number, draw))
