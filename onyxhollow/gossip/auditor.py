"""Audits: members occasionally poll endpoints that they do not own and compare the owners' reports.

An owner whose report differs too much twice in a row is quarantined for that endpoint for a while. A single
difference is not enough because the load may change between a report and a poll.
"""

from __future__ import annotations

import math
from collections import Counter
from random import Random

from onyxhollow.gossip.config import GossipConfig
from onyxhollow.gossip.evidence_table import (
    MAX_REPORT_AGE_SECONDS,
    STALE_LOAD_AFTER_POLL_INTERVALS,
    EndpointOwner,
    EvidenceTable,
)
from onyxhollow.gossip.messages import LOAD_UNITS
from onyxhollow.gossip.ownership import MAX_ENDPOINTS, Ownership

# A reported and a polled load may differ by this load plus this share of the higher one.
LOAD_TOLERANCE = 0.25
LOAD_TOLERANCE_SHARE = 0.3
MIN_AUDIT_POLL_INTERVALS = 0.5  # between two audits of one endpoint

REPORTS_FAR_OFF = "rows far off what was seen"  # counter name in /control/fleet


class Auditor:
    """Selects endpoints to audit and compares polled with reported loads."""

    def __init__(
        self,
        config: GossipConfig,
        rng: Random,
        ownership: Ownership,
        table: EvidenceTable,
        counters: Counter[str],
        next_audit_at: float,
    ) -> None:
        self.config = config
        self.rng = rng
        self.ownership = ownership
        self.table = table
        self.counters = counters
        self.next_audit_at = next_audit_at
        self.started_at: dict[str, float] = {}  # audits in progress, by endpoint
        self.recheck_at: dict[EndpointOwner, float] = {}  # time of the second audit after a difference

    def tick(self, now: float) -> list[str]:
        """Start the audits that are due; return the endpoints to poll."""
        polls = []
        if now >= self.next_audit_at:
            polls += self._start_random_audit(now)
        for endpoint, _ in [owner for owner, at in self.recheck_at.items() if at <= now]:
            polls += self.start_audit(endpoint, now)
        return polls

    def start_audit(self, endpoint: str, now: float) -> list[str]:
        """Start an audit of an endpoint and return it, or return nothing if an audit has just started."""
        if (
            now - self.started_at.get(endpoint, -math.inf)
            < self.config.poll_interval * MIN_AUDIT_POLL_INTERVALS
        ):
            return []
        self.started_at[endpoint] = now
        return [endpoint]

    def on_poll_result(self, endpoint: str, polled_load: float | None, now: float) -> None:
        """Compare the load from a poll with the owner's report; None if the poll failed."""
        started_at = self.started_at.pop(endpoint, None)
        if started_at is not None and polled_load is not None:
            self._compare(endpoint, polled_load, now)

    def _compare(self, endpoint: str, polled_load: float, now: float) -> None:
        evidence = self.table.evidence.get(endpoint)
        if evidence is None or evidence.report.load < 0:
            return
        if now - evidence.load_reported_at > STALE_LOAD_AFTER_POLL_INTERVALS * self.config.poll_interval:
            return
        reported_load = evidence.report.load / LOAD_UNITS
        owner = endpoint, evidence.report.owner
        if abs(reported_load - polled_load) <= LOAD_TOLERANCE + LOAD_TOLERANCE_SHARE * max(
            reported_load, polled_load
        ):
            self.recheck_at.pop(owner, None)
        elif owner not in self.recheck_at and len(self.recheck_at) < MAX_ENDPOINTS:
            self.recheck_at[owner] = now + self.config.poll_interval
        else:
            self.counters[REPORTS_FAR_OFF] += 1
            self.recheck_at.pop(owner, None)
            self.table.quarantine(owner, now)

    def _start_random_audit(self, now: float) -> list[str]:
        member_count = 1 + len(self.ownership.members)
        mean_interval = self.config.audit_interval * member_count / max(1, len(self.ownership.endpoints))
        self.next_audit_at = now + mean_interval * self.rng.uniform(0.5, 1.5)
        self.table.expire_quarantine(now)
        self.started_at = {
            name: at for name, at in self.started_at.items() if now - at < MAX_REPORT_AGE_SECONDS
        }
        self.recheck_at = {
            owner: at for owner, at in self.recheck_at.items() if now - at < MAX_REPORT_AGE_SECONDS
        }
        candidates = [endpoint for endpoint in self.table.evidence if endpoint not in self.ownership.owned]
        return self.start_audit(self.rng.choice(candidates), now) if candidates else []
