"""What is known of one address at one site, and the changes decided for it. Pure.

A route is one shared address announced from one site. Its preference is how the site announces it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum, StrEnum

from onyxhollow.addresses.file import Policy

MAX_AGE = 1e9  # seconds: the age shown for a preference that never changed


class Preference(IntEnum):
    """How a route is announced; the numbers are on the wire and on disk."""

    WITHDRAWN = 0
    LOWERED = 1  # announced, but less preferred: RFC 8326's graceful shutdown, on the way out or back
    ADVERTISED = 2

    @property
    def label(self) -> str:
        """Its name in answers and log lines for operators."""
        return LABELS[self]


LABELS = {
    Preference.WITHDRAWN: "withdrawn",
    Preference.LOWERED: "lesser",
    Preference.ADVERTISED: "advertised",
}


class Cause(StrEnum):
    """Why a route is not fully advertised; the values are on the wire and on disk.

    A route's `cause` is a plain string all the same: it may come from a member of another version.
    """

    NONE = ""
    HEALTH = "health"
    OVERRIDE = "order"
    RECOVERY = "back"
    STEPPED_ASIDE = "aside"  # unhealthy together with withdrawn sites, and waiting for its turn


class SuppressionRule(StrEnum):
    """Why a change that health or an override calls for is not made; the values are shown to operators."""

    LAST_SITE = "last"
    ALL_UNHEALTHY = "all ill"
    NO_CAPACITY = "no room"
    TOO_MANY = "too many at once"
    PINNED = "pinned"


@dataclass(slots=True)
class RouteState:
    """One address at one site, as the controller knows it. Times are on the controller's monotonic clock."""

    address: str
    site: str
    preference: Preference = Preference.WITHDRAWN
    cause: str = Cause.NONE
    since: float = -math.inf  # of its preference
    flaps: float = 0.0  # withdrawals for health, as counted at `flaps_at`; they fade
    flaps_at: float = 0.0
    reachable: bool = False  # its announcer has answered lately, and its route guard has a routing daemon
    installed: bool = False  # the routing daemon has taken this preference
    health: float | None = None  # 0 to 1; None: no recent evidence
    health_reason: str = ""
    load: float = 0.0  # open sessions there
    arrival_rate: float = 0.0  # new sessions a second
    capacity: float = 0.0  # of the site, in sessions
    unhealthy_since: float = math.inf
    healthy_since: float = math.inf
    arrival_rate_before_drain: float = 0.0

    @property
    def key(self) -> tuple[str, str]:
        """Address and site."""
        return self.address, self.site

    def observe(self, health: float | None, reason: str, policy: Policy, now: float) -> None:
        """Records health, and how long the route has been healthy or unhealthy.

        Durations run on the controller's own clock: a step of the wall clock neither shortens nor lengthens
        one.
        """
        self.health = health
        self.health_reason = reason
        if health is None:  # nothing is known: neither state has lasted
            self.unhealthy_since = math.inf
            self.healthy_since = math.inf
            return
        self.unhealthy_since = min(self.unhealthy_since, now) if health < policy.unhealthy_below else math.inf
        self.healthy_since = min(self.healthy_since, now) if health >= policy.healthy_from else math.inf

    def flap_penalty(self, policy: Policy, now: float) -> float:
        """Withdrawals for health so far, halved with each `flap_half_life` (the idea of RFC 2439)."""
        return self.flaps * math.exp2(-max(0.0, now - self.flaps_at) / policy.flap_half_life)


@dataclass(frozen=True, slots=True)
class ActiveOverrides:
    """What operators' overrides say of one route: each names who and why; empty if there is none."""

    drain: str = ""
    pin: str = ""
    exclude: str = ""


NO_OVERRIDES = ActiveOverrides()


@dataclass(frozen=True, slots=True)
class RouteChange:
    """A change that is decided."""

    address: str
    site: str
    preference: Preference
    cause: str
    reason: str  # in plain words, with numbers
    evidence: str


@dataclass(frozen=True, slots=True)
class SuppressedChange:
    """A change that is not made, and why."""

    address: str
    site: str
    rule: SuppressionRule
    reason: str


def apply_change(policy: Policy, route: RouteState, change: RouteChange, now: float) -> None:
    """Brings a change into the route's state, when it is sent to its site."""
    if change.cause == Cause.HEALTH and route.cause != Cause.HEALTH:
        route.flaps = route.flap_penalty(policy, now) + 1.0
        route.flaps_at = now
    if change.cause == Cause.OVERRIDE and route.preference is Preference.ADVERTISED:
        route.arrival_rate_before_drain = route.arrival_rate
    if change.preference is not route.preference:
        route.since = now
        route.installed = False  # what the routing daemon had taken was the preference before
    route.preference = change.preference
    route.cause = change.cause
