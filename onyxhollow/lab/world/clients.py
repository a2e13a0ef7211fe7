"""How long an emulated client that has lost its connection waits before it opens a new session."""

from __future__ import annotations

from onyxhollow.lab.specs import Clients
from onyxhollow.lab.world.servers import Client
from onyxhollow.lab.world.streams import RandomTables
from onyxhollow.lab.world.types import LossCause

# Mean time until a client that was sent to a dead proxy asks the front end again.
FRONT_END_RETRY_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 2.0


def retry_wait(
    cause: LossCause, client: Client, retry_after: float, settings: Clients, random_tables: RandomTables
) -> float | None:
    """Return the seconds until the client opens a new session, or None if it does not.

    retry_after is the wait that a rejection asked for; 0 if none.
    """
    draw, number = client.next_draw(), client.request.number
    if cause is LossCause.MOVED:
        return settings.move_gap * (0.5 + random_tables.uniform(number, draw))
    if cause is LossCause.UNREACHABLE:
        return FRONT_END_RETRY_SECONDS * (0.5 + random_tables.uniform(number, draw))
    if cause in (LossCause.TORN_DOWN, LossCause.DROPPED) and client.was_connected and client.open_count == 0:
        return settings.rejoin * random_tables.exponential(number, draw)
    if settings.retry == "never" and cause is not LossCause.DROPPED:
        return None
    if retry_after > 0 and client.honours_retry_after:
        return min(retry_after, settings.most_retry_after)
    if settings.retry == "at once":
        return 0.001
    growth = min(2.0 ** min(8, client.open_count - 1), MAX_BACKOFF_SECONDS / settings.backoff)
    factor = max(1.0, growth) if settings.retry == "growing" else 1.0
    return settings.backoff * factor * (0.5 + random_tables.uniform(number, draw))
