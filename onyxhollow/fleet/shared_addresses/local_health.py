"""What this member sees of its own health, for each shared address."""

from __future__ import annotations

from collections import Counter

from onyxhollow.addresses.file import AddressesFile, Service
from onyxhollow.addresses.health import HealthTracker
from onyxhollow.addresses.messages import AddressHealth
from onyxhollow.counters import ACCEPTED, FINAL_ANSWERS
from onyxhollow.fleet.context import MemberContext


class LocalHealth:
    """Measures each address at this member.

    Attributes:
        targets: what is known of each address.
        latest: the last measurement; empty before the first.
    """

    def __init__(self, member: MemberContext, config: AddressesFile) -> None:
        self.member = member
        self.services = config.services
        self.targets = {service.name: HealthTracker() for service in config.services}
        self.latest: list[AddressHealth] = []

    def measure(self, now: float) -> list[AddressHealth]:
        """Health, load and arrival rate of each address, now."""
        service_state = self.member.proxy.service
        ready = service_state.ready and not service_state.replaced
        endpoints, with_capacity = self.member.proxy.decisions.count_with_capacity(self.member.zone)
        sessions = self.count_sessions()
        rows = []
        for service in self.services:
            target = self.targets[service.name]
            listeners = self.listeners_of(service)
            accepted, total = self.count_outcomes(listeners)
            target.record_outcomes(now, accepted, total)
            assessed = target.assess(ready, endpoints, with_capacity)
            load = sum(sessions[listener] for listener in listeners)
            rate = round(target.arrival_rate(), 3)
            health = round(assessed.health, 4)
            rows.append(AddressHealth(service.name, health, assessed.reason, float(load), rate))
        self.latest = rows
        return rows

    def listeners_of(self, service: Service) -> list[str]:
        """The listeners served under an address; all that have had sessions if the file names none."""
        return service.listeners or list(self.member.proxy.counters.final_answers[ACCEPTED])

    def count_sessions(self) -> Counter[str]:
        """Open sessions by listener."""
        counts: Counter[str] = Counter()
        for session in self.member.proxy.sessions.table.live:
            if session.is_open and session.request is not None:
                counts[session.request.listener] += 1
        return counts

    def count_outcomes(self, listeners: list[str]) -> tuple[int, int]:
        """Sessions accepted, and all that were answered, so far."""
        ends = self.member.proxy.counters.final_answers
        by_end = {end: sum(ends[end].get(listener, 0) for listener in listeners) for end in FINAL_ANSWERS}
        return by_end[ACCEPTED], sum(by_end.values())
