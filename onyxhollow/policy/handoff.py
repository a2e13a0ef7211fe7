"""Hand-offs: when an endpoint's connections are migrated, which go first, and when the migration ends.

Decides from drain notices, load, outlier scores and late messages. Guards against connections that earn
nothing on a sick or overfull endpoint, and against moving them where nobody has capacity.
"""

from __future__ import annotations

import math

from onyxhollow.interface import EndpointState
from onyxhollow.policy.load_reports import SHED_LOAD
from onyxhollow.policy.migration import StagedMigration
from onyxhollow.policy.session import OVERLOAD_MEMORY
from onyxhollow.policy.state import EJECTION_SCORE, PolicyState
from onyxhollow.policy.tracked import OpenSession, TrackedEndpoint

STEP_INTERVAL = 1.0  # seconds from step to step of a migration


def mean_latency(state: PolicyState, endpoints: list[TrackedEndpoint]) -> float | None:
    """Return the mean latency in seconds of those whose latency is known, None if of none."""
    now = state.host.now
    latencies = [latency for s in endpoints if (latency := s.latency(now)) is not None]
    return sum(latencies) / len(latencies) if latencies else None


def start_migration(state: PolicyState, source: TrackedEndpoint, reason: str, forced: bool = False) -> None:
    """Begin to hand off an endpoint's connections; forced: by a drain notice, whatever is under way."""
    in_service = source.state is EndpointState.IN_SERVICE
    if source.connections and (forced or (in_service and not source.migration)):
        source.migration = StagedMigration(len(source.connections), source.latency(state.host.now))
        state.host.log(f"hand-off {source.name}: {reason}, own connections {source.migration.count}")
        migrate_step(state, source, source.migration)


def recovered(state: PolicyState, source: TrackedEndpoint) -> bool:
    """Return whether an endpoint in service no longer needs its connections moved off."""
    now = state.host.now
    return (
        source.state is EndpointState.IN_SERVICE
        and source.outlier_score(now) < EJECTION_SCORE / 2
        and state.load_of(source) < SHED_LOAD
        and now - source.overloaded_at >= OVERLOAD_MEMORY
    )


def migrate_step(state: PolicyState, source: TrackedEndpoint, migration: StagedMigration) -> None:
    """Move as many as this second allows, and schedule the next step."""
    if source.migration is not migration:
        return
    if recovered(state, source) or not source.connections:
        state.host.log(f"hand-off {source.name} ends: moved {migration.moved} of {migration.count}")
        source.migration = None
        return
    receivers = [s for s in state.subset if s is not source and not s.migration and state.eligible(s)]
    # Those from before the start go too where they earn nothing and others have capacity.
    all_go = (
        source.state is EndpointState.IN_SERVICE and state.eligible_share > 0.5 and not state.few_connections
    )
    overfull = all_go and state.load_of(source) >= SHED_LOAD
    source_latency = math.inf if overfull else migration.latency
    source_latency = source.message_delay.fresh_value(state.host.now) or source_latency
    allowed = migration.allowance(source_latency, mean_latency(state, receivers))
    movable = [s for s in source.connections if s.established and (s.placed_here or all_go)]
    movable.sort(key=migration_order)
    for session in movable[:allowed]:
        session.established = False
        session.release()
        state.host.migrate(session.token)
    state.schedule(STEP_INTERVAL, lambda: migrate_step(state, source, migration))


def migration_order(session: OpenSession) -> tuple[bool, float, float]:
    """Order sessions for a migration: own ones first, of these the idle ones (paper, section 3.2)."""
    load = math.inf if session.load is None else session.load
    return not session.placed_here, load, session.load_reported_at
