"""The state of one address at one site, and the changes decided for it. No I/O.

A route is one shared address announced from one site. Its preference is how the site announces it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum, StrEnum

from onyxhollow.addresses.file import Policy

MAX_AGE_SECONDS = 1e9  # shown for a preference that has never changed


class Preference(IntEnum):
    """How a route is announced; the numbers are sent to other members and stored on disk."""

    WITHDRAWN = 0
    LOWERED = 1  # announced for graceful shutdown (RFC 8326): before a withdrawal and during a restore
    ADVERTISED = 2

    @property
    def label(self) -> str:
        """Name shown to operators in responses and log lines."""
        return PREFERENCE_LABELS[self]


PREFERENCE_LABELS = {
    Preference.WITHDRAWN: "withdrawn",
    Preference.LOWERED: "lesser",
    Preference.ADVERTISED: "advertised",
}


class Cause(StrEnum):
    """Why a route is not fully advertised; the values are sent to other members and stored on disk.

    A route's `cause` is a plain string, since a member of another version may send a value not listed here.
    """

    NONE = ""
    HEALTH = "health"
    OVERRIDE = "order"
    RECOVERY = "back"
    WITHDRAWAL_LIMIT = "aside"  # unhealthy, and lowered because too many sites are withdrawn already


class SuppressionRule(StrEnum):
    """Why a change that health or an override calls for is suppressed; the values are shown to operators."""

    LAST_SITE = "last"
    ALL_UNHEALTHY = "all ill"
    NO_CAPACITY = "no room"
    TOO_MANY = "too many at once"
    PINNED = "pinned"


@dataclass(slots=True)
class RouteState:
    """The controller's state of one address at one site; times are on the controller's monotonic clock."""

    address: str
    site: str
    preference: Preference = Preference.WITHDRAWN
    cause: str = Cause.NONE
    changed_at: float = -math.inf  # the last change of the preference
    flaps: float = 0.0  # withdrawals for health as of `flaps_at`; the count decays over time
    flaps_at: float = 0.0
    reachable: bool = False  # the announcer has answered recently and the routing daemon is connected
    installed: bool = False  # the routing daemon has confirmed this preference
    health: float | None = None  # 0 to 1; None: no recent evidence
    health_reason: str = ""
    load: float = 0.0  # open sessions at the site
    arrival_rate: float = 0.0  # new sessions per second
    capacity: float = 0.0  # of the site, in sessions
    unhealthy_since: float = math.inf
    healthy_since: float = math.inf
    arrival_rate_before_drain: float = 0.0

    @property
    def key(self) -> tuple[str, str]:
        """Address and site, as a dictionary key."""
        return self.address, self.site

    def observe(self, health: float | None, reason: str, policy: Policy, now: float) -> None:
        """Record the health, and since when the route has been healthy or unhealthy.

        Times are on the controller's monotonic clock, so that steps of the wall clock do not change a
        duration.
        """
        self.health = health
        self.health_reason = reason
        if health is None:  # unknown: both durations start again
            self.unhealthy_since = math.inf
            self.healthy_since = math.inf
            return
        self.unhealthy_since = min(self.unhealthy_since, now) if health < policy.unhealthy_below else math.inf
        self.healthy_since = min(self.healthy_since, now) if health >= policy.healthy_from else math.inf

    def flap_penalty(self, policy: Policy, now: float) -> float:
        """Return the number of withdrawals for health, halved every `flap_half_life` s (as in RFC 2439)."""
        return self.flaps * math.exp2(-max(0.0, now - self.flaps_at) / policy.flap_half_life)


@dataclass(frozen=True, slots=True)
class ActiveOverrides:
    """The overrides in force for one route: operator and reason of each; empty if there is none."""

    drain: str = ""
    pin: str = ""
    exclude: str = ""

    @property
    def takes_out(self) -> bool:
        """Whether the route's site is to be taken out of service; a pin prevents that."""
        return bool(self.drain or self.exclude) and not self.pin


NO_OVERRIDES = ActiveOverrides()


@dataclass(frozen=True, slots=True)
class RouteChange:
    """A decided change of a route's preference."""

    address: str
    site: str
    preference: Preference
    cause: str
    reason: str  # for operators, with the measured values
    evidence: str


@dataclass(frozen=True, slots=True)
class SuppressedChange:
    """A change that is not made, and the rule that forbids it."""

    address: str
    site: str
    rule: SuppressionRule
    reason: str


def apply_change(policy: Policy, route: RouteState, change: RouteChange, now: float) -> None:
    """Update the route's state when a change is sent to its site."""
    if change.cause == Cause.HEALTH and route.cause != Cause.HEALTH:
        route.flaps = route.flap_penalty(policy, now) + 1.0
        route.flaps_at = now
    if change.cause == Cause.OVERRIDE and route.preference is Preference.ADVERTISED:
        route.arrival_rate_before_drain = route.arrival_rate
    if change.preference is not route.preference:
        route.changed_at = now
        route.installed = False  # the routing daemon has confirmed only the previous preference
    route.preference = change.preference
    route.cause = change.cause
