"""Audits: now and then a member polls an endpoint that it does not own, and compares the owner's report.

An owner whose report is far off twice in a row is quarantined for that endpoint for a while. Once is not
enough: loads do jump between a report and a poll.
"""

from __future__ import annotations

import math
from collections import Counter
from random import Random

from onyxhollow.gossip.config import GossipConfig
from onyxhollow.gossip.evidence_table import MAX_REPORT_AGE, STALE_LOAD_POLLS, EvidenceTable, OwnedBy
from onyxhollow.gossip.messages import LOAD_UNITS
from onyxhollow.gossip.ownership import MAX_ENDPOINTS, Ownership

TOLERANCE = 0.25  # load, ...
TOLERANCE_SHARE = 0.3  # ... and share of the higher one, by which report and poll may differ
MIN_POLL_SHARE = 0.5  # of the poll interval between two audits of one endpoint

REPORTS_FAR_OFF = "rows far off what was seen"  # counter of /control/fleet


class Auditor:
    """Chooses endpoints to audit and judges what the polls return."""

    def __init__(
        self,
        config: GossipConfig,
        rng: Random,
        ownership: Ownership,
        table: EvidenceTable,
        counters: Counter[str],
        audit_at: float,
    ) -> None:
        self.config = config
        self.rng = rng
        self.ownership = ownership
        self.table = table
        self.counters = counters
        self.audit_at = audit_at
        self.started: dict[str, float] = {}  # audits under way: endpoint, since when
        self.recheck_at: dict[OwnedBy, float] = {}  # far off once: when to poll again

    def tick(self, now: float) -> list[str]:
        """Return the endpoints to poll now."""
        chosen = []
        if now >= self.audit_at:
            chosen += self._random_audit(now)
        for endpoint, _ in [owner for owner, at in self.recheck_at.items() if at <= now]:
            chosen += self.begin(endpoint, now)
        return chosen

    def begin(self, endpoint: str, now: float) -> list[str]:
        """Begin an audit of an endpoint; return it if it is to be polled, nothing if it was just now."""
        if now - self.started.get(endpoint, -math.inf) < self.config.poll_interval * MIN_POLL_SHARE:
            return []
        self.started[endpoint] = now
        return [endpoint]

    def on_poll_result(self, endpoint: str, load: float | None, now: float) -> None:
        """Compare the load of an endpoint under audit with its owner's report; None: no answer."""
        since = self.started.pop(endpoint, None)
        if since is not None and load is not None:
            self._compare(endpoint, load, now)

    def _compare(self, endpoint: str, load: float, now: float) -> None:
        known = self.table.evidence.get(endpoint)
        if known is None or known.report.load < 0:
            return
        if now - known.load_at > STALE_LOAD_POLLS * self.config.poll_interval:
            return
        reported = known.report.load / LOAD_UNITS
        owner = endpoint, known.report.owner
        if abs(reported - load) <= TOLERANCE + TOLERANCE_SHARE * max(reported, load):
            self.recheck_at.pop(owner, None)
        elif owner not in self.recheck_at and len(self.recheck_at) < MAX_ENDPOINTS:
            self.recheck_at[owner] = now + self.config.poll_interval
        else:
            self.counters[REPORTS_FAR_OFF] += 1
            self.recheck_at.pop(owner, None)
            self.table.quarantine(owner, now)

    def _random_audit(self, now: float) -> list[str]:
        members = 1 + len(self.ownership.members)
        span = self.config.audit_interval * members / max(1, len(self.ownership.endpoints))
        self.audit_at = now + span * self.rng.uniform(0.5, 1.5)
        self.table.expire_quarantine(now)
        self.started = {name: at for name, at in self.started.items() if now - at < MAX_REPORT_AGE}
        self.recheck_at = {owner: at for owner, at in self.recheck_at.items() if now - at < MAX_REPORT_AGE}
        others = [endpoint for endpoint in self.table.evidence if endpoint not in self.ownership.owned]
        return self.begin(self.rng.choice(others), now) if others else []
