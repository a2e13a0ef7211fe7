"""The route table of a route guard: the preference of each address, and the term that may change it. No I/O.

Terms fence the writes to the routing daemon: a call with a lower term than an earlier call is rejected. The
guard stores the records that a method returns before it answers the call.
"""

from __future__ import annotations

import math

import msgspec

from onyxhollow.addresses.file import Service, Site
from onyxhollow.addresses.routes import Preference

GRACEFUL_SHUTDOWN = "65535:0"  # BGP community of RFC 8326
AS_PATH_PREPENDS = 3  # copies of the own AS number in the AS path at the lowered preference
LOWERED_MED_PENALTY = 1000  # added to the site's MED at the lowered preference


class ClaimedTerm(msgspec.Struct, array_like=True, frozen=True, tag=1):
    """Stored record: the announcer that has claimed the table."""

    term: int
    member: str


class InstalledRoute(msgspec.Struct, array_like=True, frozen=True, tag=2):
    """Stored record: the preference of one address."""

    name: str
    preference: int
    controller_term: int  # of the controller that decided it
    call_number: int = 0  # of the announcer's call


GuardRecord = ClaimedTerm | InstalledRoute
RECORDS = msgspec.msgpack.Decoder(GuardRecord)
encode = msgspec.msgpack.Encoder().encode


class StaleTermError(Exception):
    """A call has a term that is not the newest one."""

    def __init__(self, expected: int, got: int) -> None:
        super().__init__(f"term: expected {expected}, the newest claimed, got {got}")
        self.expected = expected
        self.got = got


class RouteTable:
    """The preference of each address at one site, and the announcer that may change it."""

    def __init__(self, services: list[Service], site: Site, own_as: int) -> None:
        self.services = {service.name: service for service in services}
        self.site = site
        self.own_as = own_as
        self.term = 0  # of the announcer
        self.member = ""  # the announcer's process
        self.controller_term = 0  # the highest passed on by an announcer
        self.call_number = 0  # of the last call under this term; a call with a lower number is ignored
        self.preferences = dict.fromkeys(self.services, Preference.WITHDRAWN)
        self.last_addresses: set[str] = set()  # those that this site must not withdraw on its own
        self.announcer_seen_at = -math.inf

    def restore(self, records: list[GuardRecord]) -> None:
        """Restore the table from stored records, in the order in which they were stored."""
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
        """Return the whole table as records, to rewrite the store."""
        return [ClaimedTerm(self.term, self.member), *map(self.record, self.preferences)]

    def record(self, name: str) -> InstalledRoute:
        """Return the record of one address."""
        return InstalledRoute(name, int(self.preferences[name]), self.controller_term, self.call_number)

    def copy(self) -> RouteTable:
        """Return a copy of the terms and preferences, for `revert`."""
        copied = RouteTable(list(self.services.values()), self.site, self.own_as)
        copied.revert(self)
        return copied

    def revert(self, saved: RouteTable) -> None:
        """Return to a copy, after a change that could not be stored."""
        self.term = saved.term
        self.member = saved.member
        self.controller_term = saved.controller_term
        self.preferences = dict(saved.preferences)
        self.call_number = saved.call_number

    def claim(self, term: int, member: str, now: float) -> list[GuardRecord]:
        """Claim the table for an announcer, and return the records to store before the call is answered.

        Raises:
            StaleTermError: a newer term has been claimed, or the same term by another member.
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
        """Set the preference of one address, and return the records to store before the call is answered.

        A call that arrives after a later call of the same announcer changes nothing.

        Raises:
            StaleTermError: the term is not the claimed one; a higher term must be claimed first.
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
        """Record that the announcer is alive, and the addresses that must not be withdrawn without it.

        Raises:
            StaleTermError: the term is not the claimed one.
        """
        self.check_term(term)
        self.announcer_seen_at = now
        self.last_addresses = last_addresses

    def check_term(self, term: int) -> None:
        """Raise StaleTermError unless the term is the claimed one."""
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
        """Withdraw routes without an announcer, and return the records to store.

        Once no announcer has called for `after` seconds, dead addresses are withdrawn. All addresses are
        withdrawn if the site has `cut_off = "withdraw"`, or if no member has reported for `after` seconds
        either. With `cut_off = "withdraw"` and no reports from any member, the delay is only
        `max_evidence_age` if that is shorter: no member is left to serve clients. The addresses in
        `last_addresses` are never withdrawn.

        Args:
            after: seconds without a call of an announcer.
            dead: addresses that are dead according to the site's members.
            now: monotonic seconds.
            silent_for: seconds since the last report of a member.
            max_evidence_age: seconds for which a member's report is valid.
        """
        withdraws_when_cut_off = self.site.cut_off == "withdraw"
        announcer_silent_for = now - self.announcer_seen_at
        required = min(after, max_evidence_age) if withdraws_when_cut_off else after
        is_site_silent = min(silent_for, announcer_silent_for) >= required
        if announcer_silent_for < after and not is_site_silent:
            return []
        withdraws_all = withdraws_when_cut_off or is_site_silent
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
        """Return the command (ExaBGP's text API) that brings an address to its preference."""
        preference = self.preferences[name]
        route = f"route {self.services[name].prefix} next-hop {self.site.next_hop}"
        if preference is Preference.WITHDRAWN:
            return f"withdraw {route}"
        if preference is Preference.ADVERTISED:
            return f"announce {route} med {self.site.med}"
        path = " ".join([str(self.own_as)] * AS_PATH_PREPENDS)
        med = self.site.med + LOWERED_MED_PENALTY
        return f"announce {route} med {med} community [{GRACEFUL_SHUTDOWN}] as-path [{path}]"
