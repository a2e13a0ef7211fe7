"""Hand-offs: when an endpoint's connections are migrated, which ones first, and when the migration ends.

Inputs are drain notices, load, outlier scores and late messages. Connections leave failing and overloaded
endpoints. Connections adopted at the start leave them only if most other endpoints have capacity.
"""

from __future__ import annotations

import math

from onyxhollow.interface import EndpointState
from onyxhollow.policy.load_reports import SHED_LOAD
from onyxhollow.policy.migration import StagedMigration
from onyxhollow.policy.session import OVERLOAD_BLOCK_SECONDS
from onyxhollow.policy.state import EJECTION_SCORE, PolicyState
from onyxhollow.policy.tracked import OpenSession, TrackedEndpoint

STEP_INTERVAL_SECONDS = 1.0  # between the steps of a migration


def mean_latency(state: PolicyState, endpoints: list[TrackedEndpoint]) -> float | None:
    """Return the mean of the known latencies in seconds, or None if no latency is known."""
    now = state.host.now
    latencies = [latency for s in endpoints if (latency := s.latency(now)) is not None]
    return sum(latencies) / len(latencies) if latencies else None


def start_migration(state: PolicyState, source: TrackedEndpoint, reason: str, forced: bool = False) -> None:
    """Start to migrate an endpoint's connections.

    Args:
        state: state of the instance.
        source: the endpoint; nothing is done if it has no connections.
        reason: for the log.
        forced: start even if the endpoint is not in service or a migration is in progress (drain notices).
    """
    is_in_service = source.state is EndpointState.IN_SERVICE
    if source.connections and (forced or (is_in_service and not source.migration)):
        source.migration = StagedMigration(len(source.connections), source.latency(state.host.now))
        state.host.log(f"hand-off {source.name}: {reason}, own connections {source.migration.count}")
        migrate_step(state, source, source.migration)


def has_recovered(state: PolicyState, source: TrackedEndpoint) -> bool:
    """Return whether an endpoint is in service and its connections need no further migration."""
    now = state.host.now
    return (
        source.state is EndpointState.IN_SERVICE
        and source.outlier_score(now) < EJECTION_SCORE / 2
        and state.load_of(source) < SHED_LOAD
        and now - source.overloaded_at >= OVERLOAD_BLOCK_SECONDS
    )


def migrate_step(state: PolicyState, source: TrackedEndpoint, migration: StagedMigration) -> None:
    """Migrate as many connections as this second allows, and schedule the next step."""
    if source.migration is not migration:
        return
    if has_recovered(state, source) or not source.connections:
        state.host.log(f"hand-off {source.name} ends: moved {migration.moved} of {migration.count}")
        source.migration = None
        return
    receivers = [s for s in state.subset if s is not source and not s.migration and state.eligible(s)]
    # A drain does not migrate adopted connections. A failing or overloaded endpoint in service does not serve
    # them well, so they are migrated too if most other endpoints have capacity.
    include_adopted = (
        source.state is EndpointState.IN_SERVICE and state.eligible_share > 0.5 and not state.few_connections
    )
    is_overloaded = include_adopted and state.load_of(source) >= SHED_LOAD
    source_latency = math.inf if is_overloaded else migration.latency
    source_latency = source.message_delay.fresh_value(state.host.now) or source_latency
    allowed = migration.allowance(source_latency, mean_latency(state, receivers))
    movable = [s for s in source.connections if s.established and (s.placed_here or include_adopted)]
    movable.sort(key=migration_sort_key)
    for session in movable[:allowed]:
        session.established = False
        session.release()
        state.host.migrate(session.token)
    state.schedule(STEP_INTERVAL_SECONDS, lambda: migrate_step(state, source, migration))


def migration_sort_key(session: OpenSession) -> tuple[bool, float, float]:
    """Return the migration's sort key: own sessions first, idle ones before others (paper, section 3.2)."""
    load = math.inf if session.load is None else session.load
    return not session.placed_here, load, session.load_reported_at
