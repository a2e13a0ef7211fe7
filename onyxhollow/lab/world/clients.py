"""When a client that has lost its connection comes again."""

from __future__ import annotations

from onyxhollow.lab.specs import Clients
from onyxhollow.lab.world.servers import Client
from onyxhollow.lab.world.streams import Tables
from onyxhollow.lab.world.types import LossCause

FRONT_RETRY = 0.25  # seconds until a client that found a dead proxy asks the front again, mean
LONGEST_BACKOFF = 2.0


def wait_after(
    cause: LossCause, client: Client, told: float, settings: Clients, tables: Tables
) -> float | None:
    """Seconds until the client comes again; None: it does not. told: the wait that a refusal named."""
    draw, number = client.draw(), client.request.number
    if cause is LossCause.MOVED:
        return settings.move_gap * (0.5 + tables.uniform(number, draw))
    if cause is LossCause.UNREACHABLE:
        return FRONT_RETRY * (0.5 + tables.uniform(number, draw))
    if cause in (LossCause.TORN_DOWN, LossCause.DROPPED) and client.was_up and client.tries == 0:
        return settings.rejoin * tables.exponential(number, draw)
    if settings.retry == "never" and cause is not LossCause.DROPPED:
        return None
    if told > 0 and client.honours:
        return min(told, settings.most_retry_after)
    if settings.retry == "at once":
        return 0.001
    growth = min(2.0 ** min(8, client.tries - 1), LONGEST_BACKOFF / settings.backoff)
    factor = max(1.0, growth) if settings.retry == "growing" else 1.0
    return settings.backoff * factor * (0.5 + tables.uniform(number, draw))
