"""What the decision module knows, as plain values for a successor of this process, and taken back from them.

Times go as ages. All is checked before any of it is used; servers not in the successor's list are left out.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Any

from onyxhollow.interface import EndpointState
from onyxhollow.policy import Balancer
from onyxhollow.policy.estimators import Ewma
from onyxhollow.policy.migration import StagedMigration
from onyxhollow.policy.tracked import TrackedEndpoint


def age(at: float, now: float) -> float | None:
    return now - at if math.isfinite(at) else None


def figure(told: Ewma, now: float) -> list[float] | None:
    return [told.value, now - told.at] if told.fresh(now) is not None else None


def avoided(balancer: Balancer) -> tuple[int, int]:
    """Servers in the list, and those passed over for what is wrong with them; a full one is not down."""
    listed = [s for s in balancer.tracked.values() if s.state is not EndpointState.REMOVED]
    bar, now = balancer.ejection_threshold, balancer.host.now
    return len(listed), sum(s.state is EndpointState.DRAINING or s.outlier_score(now) > bar for s in listed)


def describe(balancer: Balancer) -> tuple[dict[str, Any], list[dict[str, Any]]]:
    """What holds for all servers, and a record for each."""
    now, budget = balancer.host.now, balancer.slow_start
    common = {
        "setting_up": figure(balancer.handshake_time, now),
        "taken": [budget.rate(now), now - budget.since],  # sessions a second, and over how long
    }
    records = [
        {
            "name": server.name,
            "heard": server.ever_used,
            "load": balancer.load_of(server),
            "load_age": age(server.load_reported_at, now),
            "distrust": server.outlier_score(now),
            "strained_age": age(server.overloaded_at, now),
            "set_up": figure(server.handshake_time, now),
            "delay": figure(server.message_delay, now),
            "arrival": [server.arrival.count, server.arrival.moved] if server.arrival else None,
            "tokens": budget.refill(server, balancer.full_connections, now)
            if budget.warming_up(server, now)
            else None,
        }
        for server in balancer.tracked.values()
        if server.state is not EndpointState.REMOVED
    ]
    return common, records


def checked(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 <= value < math.inf:
        raise ValueError(f"impossible figure {value!r:.40}")
    return float(value)


def pair(value: Any) -> tuple[float, float] | None:
    if value is None:
        return None
    first, second = value
    return checked(first), checked(second)


def take_back(balancer: Balancer, common: dict[str, Any], records: Iterable[dict[str, Any]]) -> int:
    """How many servers something is known of now."""
    now = balancer.host.now
    setting_up, taken = pair(common["setting_up"]), pair(common["taken"])
    plans = []
    for row in records:
        if (server := balancer.tracked.get(row["name"])) is None:
            continue
        ages = [None if row[name] is None else checked(row[name]) for name in ("load_age", "strained_age")]
        plans.append(
            (
                server,
                row["heard"] is True,
                ages,
                checked(row["load"]),
                checked(row["distrust"]),
                pair(row["set_up"]),
                pair(row["delay"]),
                pair(row["arrival"]),
                None if row["tokens"] is None else checked(row["tokens"]),
            )
        )
    if taken:
        span = min(taken[1], balancer.slow_start.MEMORY)
        balancer.slow_start.since, balancer.slow_start.at = now - taken[1], now
        balancer.slow_start.seen += taken[0] * max(1.0, span)
    recall_figure(balancer.handshake_time, setting_up, now)
    for server, heard, ages, load, distrust, set_up, delay, arrival, tokens in plans:
        server.ever_used = server.ever_used or heard
        server.recorded_score, server.recorded_score_at = distrust, now
        if ages[0] is not None and now - ages[0] > server.load_reported_at:
            server.load, server.load_reported_at, server.shared_connections_at_report = (
                load,
                now - ages[0],
                server.shared_connections,
            )
            server.connections_at_report = len(server.connections)
        if ages[1] is not None:
            server.overloaded_at = max(server.overloaded_at, now - ages[1])
        recall_figure(server.handshake_time, set_up, now)
        recall_figure(server.message_delay, delay, now)
        recall_arrival(balancer, server, arrival, tokens, now)
    balancer.redraw_subset()
    return len(plans)


def recall_figure(known: Ewma, told: tuple[float, float] | None, now: float) -> None:
    if told and now - told[1] > known.at:
        known.value, known.at = told[0], now - told[1]


def recall_arrival(
    balancer: Balancer,
    server: TrackedEndpoint,
    arrival: tuple[float, float] | None,
    tokens: float | None,
    now: float,
) -> None:
    """Both processes together keep the cold budget: what the one before has spent is spent."""
    server.arrival = None
    if arrival:
        server.arrival = StagedMigration(int(arrival[0]))
        server.arrival.moved = int(arrival[1])
    if tokens is not None:
        balancer.slow_start.tokens[server] = (min(1.0, tokens), now)
