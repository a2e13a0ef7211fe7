"""Load gossip on a proxy's event loop, between the datagrams, the health checks and the decisions."""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Any

import msgspec

from onyxhollow.fleet import clock
from onyxhollow.fleet.context import MemberContext
from onyxhollow.gossip.config import GossipConfig
from onyxhollow.gossip.evidence_table import STALE_AFTER_REPORT_INTERVALS, EndpointEvidence, LoadEstimate
from onyxhollow.gossip.load_gossip import LoadGossip
from onyxhollow.gossip.messages import LOAD_UNITS, MESSAGE_DECODER, encode
from onyxhollow.gossip.ownership import GossipMember
from onyxhollow.interface import AttemptOutcome
from onyxhollow.membership.member_table import Member

GOSSIP_PAYLOAD = 3  # kind of membership payload
MAX_HEALTH_CHECK_CONNECTIONS = 16  # fewer than without gossip: only owned or audited endpoints are polled

# Counter names in /control/fleet.
HEALTH_CHECKS_SAVED = "sharing: probes saved"
MALFORMED = "sharing: rubbish"
ENDPOINTS_POLLED = "sharing: servers asked"


class GossipService:
    """Runs load gossip of one member and answers the decisions' health checks from it."""

    def __init__(self, context: MemberContext, config: GossipConfig) -> None:
        self.context = context
        self.decisions = context.proxy.decisions
        local = GossipMember(context.epoch, context.name, context.zone)
        self.core = LoadGossip(local, config, context.rng, clock.now())
        self.members: dict[int, Member] = {}  # live members by epoch
        self.members_changed = True
        self.has_recent_reports = False  # as last logged
        self.poll_endpoint: Callable[[str], None] = self.decisions.check_health
        self.decisions.check_health = self.check_health
        self.decisions.on_attempt_failed = self.on_attempt_failed
        context.proxy.health_checker.on_result = self.on_health_check_result
        context.proxy.health_checker.max_connections = MAX_HEALTH_CHECK_CONNECTIONS

    @property
    def next_due(self) -> float:
        """Time of the next call to `tick`, seconds."""
        return self.core.next_due

    # Called by the decisions and the health checks.

    def check_health(self, endpoint: str) -> None:
        """Answer a health check with the load known from gossip, or else poll the endpoint."""
        estimate = self.core.load_estimate(endpoint, clock.now())
        if estimate is None:
            self.poll_endpoint(endpoint)
            return
        self.context.counts[HEALTH_CHECKS_SAVED] += 1
        self.context.loop.spawn(self._answer_health_check(endpoint, estimate))

    def on_attempt_failed(self, endpoint: str) -> None:
        """Record a failed attempt of this member."""
        self.core.record_failure(endpoint, clock.now())

    def on_health_check_result(
        self, endpoint: str, outcome: AttemptOutcome, seconds: float, load: float | None
    ) -> None:
        """Process the result of a health check; success without a load report is not used for gossip."""
        self.context.proxy.on_health_check(endpoint, outcome, seconds, load)
        now = clock.now()
        if outcome is AttemptOutcome.OK and load is None:
            return
        self.core.on_poll_result(endpoint, load if outcome is AttemptOutcome.OK else None, now)
        self._deliver()

    # Called by the fleet member.

    def on_members_changed(self) -> None:
        """Schedule an update of the live members for the next tick."""
        self.members_changed = True

    def on_message(self, sender: Member, body: bytes, now: float) -> None:
        """Process a payload of another member; count and drop malformed ones."""
        try:
            message = MESSAGE_DECODER.decode(body)
        except (msgspec.DecodeError, RecursionError):
            self.context.counts[MALFORMED] += 1
            return
        self.core.on_message(sender.epoch, message, now)
        self._deliver()

    def tick(self, now: float) -> None:
        """Run the core if it is due, then process its polls, messages and estimates."""
        core = self.core
        if now < core.next_due:
            return
        if self.members_changed:
            self._update_members()
        core.set_endpoints({endpoint.name: endpoint.zone for endpoint in self.decisions.balancer.endpoints})
        core.tick(self.decisions.own_connections(), now)
        self._poll()
        self._send()
        self._deliver()
        self._log_freshness(now)

    def status(self, now: float) -> dict[str, Any]:
        """Return the gossip status for `/control/fleet`."""
        names = {epoch: member.name for epoch, member in self.members.items()}
        names[self.core.local.epoch] = self.context.name
        owned = self.core.ownership.owned
        return {
            "rows": [
                _status_row(endpoint, evidence, names, now)
                for endpoint, evidence in sorted(self.core.evidence.items())
            ],
            "keeps": sorted(name for name, endpoint in owned.items() if not endpoint.is_deputy),
            "deputy": sorted(name for name, endpoint in owned.items() if endpoint.is_deputy),
            "counts": dict(self.core.counters),
        }

    def _answer_health_check(self, endpoint: str, estimate: LoadEstimate) -> Generator[float, None, None]:
        """Answer in a separate turn of the event loop, since the decisions are still in the call."""
        yield self.context.loop.now
        self.decisions.balancer.on_health_check(endpoint, AttemptOutcome.OK, 0.0, estimate.load, estimate.age)

    def _update_members(self) -> None:
        self.members_changed = False
        self.members = {member.epoch: member for member in self.context.membership.live_members()}
        self.core.set_members(
            GossipMember(member.epoch, member.name, member.zone) for member in self.members.values()
        )

    def _poll(self) -> None:
        polls = self.core.take_polls()
        if not self.context.proxy.config.settings.health_checks:
            return
        for endpoint in polls:
            self.context.counts[ENDPOINTS_POLLED] += 1
            self.poll_endpoint(endpoint)

    def _send(self) -> None:
        for outgoing in self.core.take_outbox():
            if receiver := self.members.get(outgoing.receiver):
                self.context.membership.send_payload(receiver, GOSSIP_PAYLOAD, encode(outgoing.message))

    def _deliver(self) -> None:
        for estimate in self.core.take_estimates():
            self.decisions.report_shared(estimate)

    def _log_freshness(self, now: float) -> None:
        max_age = STALE_AFTER_REPORT_INTERVALS * self.core.config.report_interval
        is_recent = any(now - evidence.created_at < max_age for evidence in self.core.evidence.values())
        if is_recent != self.has_recent_reports:
            self.has_recent_reports = is_recent
            members = len(self.core.ownership.members) + 1
            self.context.log_event("gossip", on=is_recent, servers=len(self.core.evidence), members=members)


def _status_row(
    endpoint: str, evidence: EndpointEvidence, names: dict[int, str], now: float
) -> dict[str, Any]:
    report = evidence.report
    return {
        "server": endpoint,
        "by": names.get(report.owner, ""),
        "age": round(now - evidence.created_at, 2),
        "load": report.load / LOAD_UNITS if report.load >= 0 else None,
        "load_age": round(now - evidence.load_reported_at, 2),
        "held": report.connections,
        "doubters": report.failing_members,
    }
