"""Measurement of this member's health for each shared address."""

from __future__ import annotations

from collections import Counter

from onyxhollow.addresses.file import AddressesFile
from onyxhollow.addresses.health import HealthTracker
from onyxhollow.addresses.messages import AddressHealth
from onyxhollow.counters import ACCEPTED, FINAL_ANSWERS
from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.shared_addresses.listeners import listeners_of


class LocalHealth:
    """Measures the health of each address at this member.

    Attributes:
        trackers: outcomes and probe results, by address.
        latest: the latest measurement, one row per address; empty before the first.
    """

    def __init__(self, member: MemberContext, config: AddressesFile) -> None:
        self.member = member
        self.services = config.services
        self.trackers = {service.name: HealthTracker() for service in config.services}
        self.latest: list[AddressHealth] = []

    def measure(self, now: float) -> list[AddressHealth]:
        """Measure and return the health, load and arrival rate of each address."""
        service_state = self.member.proxy.service
        ready = service_state.ready and not service_state.replaced
        endpoints, with_capacity = self.member.proxy.decisions.count_with_capacity(self.member.zone)
        sessions = self.count_sessions()
        rows = []
        for service in self.services:
            tracker = self.trackers[service.name]
            listeners = listeners_of(service, self.member)
            accepted, total = self.count_outcomes(listeners)
            tracker.record_outcomes(now, accepted, total)
            assessment = tracker.assess(ready, endpoints, with_capacity)
            load = sum(sessions[listener] for listener in listeners)
            rate = round(tracker.arrival_rate(), 3)
            health = round(assessment.health, 4)
            rows.append(AddressHealth(service.name, health, assessment.reason, float(load), rate))
        self.latest = rows
        return rows

    def count_sessions(self) -> Counter[str]:
        """Return the number of open sessions by listener."""
        counts: Counter[str] = Counter()
        for session in self.member.proxy.sessions.table.live:
            if session.is_open and session.request is not None:
                counts[session.request.listener] += 1
        return counts

    def count_outcomes(self, listeners: list[str]) -> tuple[int, int]:
        """Return how many sessions were accepted and how many were answered, since the start."""
        counters = self.member.proxy.counters.final_answers
        by_answer = {
            answer: sum(counters[answer].get(listener, 0) for listener in listeners)
            for answer in FINAL_ANSWERS
        }
        return by_answer[ACCEPTED], sum(by_answer.values())
