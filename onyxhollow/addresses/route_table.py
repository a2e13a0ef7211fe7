"""The route table of a route guard: what is to be announced, under which term. Pure.

It fences writes to the routing daemon: a call under an older term than one seen before is refused. The guard
stores the records that a call returns before it answers.
"""

from __future__ import annotations

import math

import msgspec

from onyxhollow.addresses.file import Service, Site
from onyxhollow.addresses.routes import Preference

GRACEFUL_SHUTDOWN = "65535:0"  # the community of RFC 8326
AS_PATH_PREPENDS = 3  # times that the own AS number precedes the path, at the lowered preference
LOWERED_MED_PENALTY = 1000  # added to the site's MED at the lowered preference


class ClaimedTerm(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Stored: the announcer that holds the table."""

    term: int
    member: str


class InstalledRoute(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Stored: the preference of one address."""

    name: str
    preference: int
    controller_term: int  # of the controller that decided it
    call_number: int = 0  # of the announcer's call


GuardRecord = ClaimedTerm | InstalledRoute
RECORDS = msgspec.msgpack.Decoder(GuardRecord)
encode = msgspec.msgpack.Encoder().encode


class StaleTermError(Exception):
    """A call under a term that is not the newest."""

    def __init__(self, expected: int, got: int) -> None:
        super().__init__(f"term: expected {expected}, the newest seen, got {got}")
        self.expected = expected
        self.got = got


class RouteTable:
    """The preference of each address at one site, and who may change it."""

    def __init__(self, services: list[Service], site: Site, own_as: int) -> None:
        self.services = {service.name: service for service in services}
        self.site = site
        self.own_as = own_as
        self.term = 0  # of the announcer
        self.member = ""  # the announcer's process
        self.controller_term = 0  # the highest that an announcer has passed on
        self.call_number = 0  # of the last call under this term: a late one changes nothing
        self.preferences = dict.fromkeys(self.services, Preference.WITHDRAWN)
        self.last_addresses: set[str] = set()  # that this site must not withdraw by itself
        self.announcer_seen_at = -math.inf

    def restore(self, records: list[GuardRecord]) -> None:
        """Takes over stored records, in their order."""
        for record in records:
            if isinstance(record, ClaimedTerm):
                self.term = max(self.term, record.term)
                self.member = record.member
                self.call_number = 0
            elif record.name in self.preferences:
                self.preferences[record.name] = Preference(record.preference)
                self.controller_term = max(self.controller_term, record.controller_term)
                self.call_number = max(self.call_number, record.call_number)

    def records(self) -> list[GuardRecord]:
        """The whole table, to rewrite the store."""
        return [ClaimedTerm(self.term, self.member), *map(self.record, self.preferences)]

    def record(self, name: str) -> InstalledRoute:
        """The record of one address."""
        return InstalledRoute(name, int(self.preferences[name]), self.controller_term, self.call_number)

    def copy(self) -> RouteTable:
        """Term and preferences as they are, to go back to with `revert`."""
        copied = RouteTable(list(self.services.values()), self.site, self.own_as)
        copied.revert(self)
        return copied

    def revert(self, to: RouteTable) -> None:
        """Goes back to a copy: a change that could not be stored does not count."""
        self.term = to.term
        self.member = to.member
        self.controller_term = to.controller_term
        self.preferences = dict(to.preferences)
        self.call_number = to.call_number

    def claim(self, term: int, member: str, now: float) -> list[GuardRecord]:
        """An announcer takes the table over; what is to be stored before the call is answered.

        Raises:
            StaleTermError: a newer term was seen, or the same one of another member.
        """
        if term < self.term or (term == self.term and self.member not in ("", member)):
            raise StaleTermError(self.term, term)
        self.announcer_seen_at = now
        if term == self.term:
            return []
        self.term = term
        self.member = member
        self.call_number = 0
        return [ClaimedTerm(term, member)]

    def set_preference(
        self, term: int, number: int, controller_term: int, name: str, preference: Preference, now: float
    ) -> list[GuardRecord]:
        """Sets one address; what is to be stored before the call is answered.

        A call that was overtaken by a later one of the same announcer changes nothing.

        Raises:
            StaleTermError: not the claimed term; a higher one has to claim first.
        """
        self.check_term(term)
        self.announcer_seen_at = now
        if number <= self.call_number:
            return []
        self.call_number = number
        self.controller_term = max(self.controller_term, controller_term)
        if self.preferences[name] is preference:
            return []
        self.preferences[name] = preference
        return [self.record(name)]

    def heartbeat(self, term: int, last_addresses: set[str], now: float) -> None:
        """The announcer is there, and names the addresses that must stay.

        Raises:
            StaleTermError: not the claimed term.
        """
        self.check_term(term)
        self.announcer_seen_at = now
        self.last_addresses = last_addresses

    def check_term(self, term: int) -> None:
        """Raises StaleTermError unless the term is the claimed one."""
        if term != self.term:
            raise StaleTermError(self.term, term)

    def withdraw_orphaned(
        self,
        after: float,
        dead: set[str],
        now: float,
        silent_for: float = 0.0,
        max_evidence_age: float = math.inf,
    ) -> list[InstalledRoute]:
        """Withdraws what nobody looks after; the records to store. Addresses among the last ones stay.

        Once no announcer has called for `after` seconds, the addresses that the members see as dead are
        withdrawn, or all if the site's file says so or if no member has reported for as long. If the file
        says so and all members are silent, `max_evidence_age` is long enough: there is nobody left to
        serve.

        Args:
            after: seconds without an announcer.
            dead: addresses that the site's members see as dead.
            now: monotonic seconds.
            silent_for: seconds since the last report of a member.
            max_evidence_age: seconds for which a member's report counts.
        """
        file_says_all = self.site.cut_off == "withdraw"
        alone_for = now - self.announcer_seen_at
        needed = min(after, max_evidence_age) if file_says_all else after
        nobody_there = min(silent_for, alone_for) >= needed
        if alone_for < after and not nobody_there:
            return []
        withdraws_all = file_says_all or nobody_there
        orphaned = [
            name
            for name, preference in self.preferences.items()
            if preference is not Preference.WITHDRAWN
            and name not in self.last_addresses
            and (withdraws_all or name in dead)
        ]
        for name in orphaned:
            self.preferences[name] = Preference.WITHDRAWN
        return [self.record(name) for name in orphaned]

    def daemon_command(self, name: str) -> str:
        """The routing daemon's line (ExaBGP's text API) that announces or withdraws an address as wanted."""
        preference = self.preferences[name]
        route = f"route {self.services[name].prefix} next-hop {self.site.next_hop}"
        if preference is Preference.WITHDRAWN:
            return f"withdraw {route}"
        if preference is Preference.ADVERTISED:
            return f"announce {route} med {self.site.med}"
        path = " ".join([str(self.own_as)] * AS_PATH_PREPENDS)
        med = self.site.med + LOWERED_MED_PENALTY
        return f"announce {route} med {med} community [{GRACEFUL_SHUTDOWN}] as-path [{path}]"
