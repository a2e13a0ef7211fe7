"""The sections of a scenario except its faults, as typed settings.

Times are in seconds, rates per second. A load is in cores: core seconds of work per second on a core of
speed 1.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Positive = Annotated[float, Meta(gt=0)]
NonNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=40)]


class ScenarioSection(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base of all sections; unknown keys are errors, as a misspelt key would leave its default in force."""


class MachineKind(ScenarioSection, frozen=True):
    """A kind of machine."""

    name: Name = "plain"
    share: Positive = 1.0
    cores: Positive = 4.0
    speed: Positive = 1.0
    spread: Share = 0.1  # standard deviation of the machines' speeds, as a share of speed
    connections: Annotated[int, Meta(ge=1)] = 4000  # cap on open connections
    queue: Positive = 1.5  # seconds of backlog above which new sessions are turned away


class Fleet(ScenarioSection, frozen=True):
    """Servers and proxies, and how servers behave when warming up, overloaded or draining."""

    servers: Count = 12
    proxies: Annotated[int, Meta(ge=1)] = 4
    zones: Annotated[list[Name], Meta(min_length=1)] = msgspec.field(default_factory=lambda: ["north"])
    cell: Annotated[int, Meta(ge=1)] = 8  # servers per cell; a cell is a deduplication scope
    kinds: Annotated[list[MachineKind], Meta(min_length=1)] = msgspec.field(
        default_factory=lambda: [MachineKind()]
    )
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.4  # share of the capacity at the start
    cold_time: NonNegative = 6.0  # seconds of warming up
    fall_multiple: Positive = 3.0  # multiple of the warm-up rate above which a server fails from overload
    fall_time: Positive = 2.0  # seconds over which that load is counted
    fall_out: Positive = 12.0  # seconds that a server stays down after failing from overload
    drain: Literal["keeps", "paced", "at once"] = "paced"  # how a draining server treats its clients
    sheds: Literal["nothing", "newest", "heaviest"] = "newest"  # connections to shed
    sheds_at: Positive = 2.0  # seconds of backlog above which a server sheds load
    group_cost: NonNegative = 0.0  # load of one group on a server, in average connections
    crowding: Share = 0.1  # share of the capacity lost with all connections taken
    tells_load: bool = True
    report_every: Positive = 1.0  # seconds between updates of a server's load report
    report_delay: NonNegative = 0.2
    report_noise: Share = 0.04


class SessionStoreSettings(ScenarioSection, frozen=True):
    """The session store, which each session set-up calls once."""

    rate: NonNegative = 0.0  # calls per second; 0: unlimited
    time: NonNegative = 0.0


class Network(ScenarioSection, frozen=True):
    """One-way delays within a zone, across zones and to clients, and timeouts."""

    same: NonNegative = 0.0002
    cross: NonNegative = 0.012
    client: NonNegative = 0.0006
    jitter: Share = 0.2
    connect_time: Positive = 0.25
    silence: Positive = 5.0  # seconds without packets after which a proxy gives up a connection


class ListServiceSettings(ScenarioSection, frozen=True):
    """The list service: answers polls and then notifies of changes."""

    notice: NonNegative = 1.5  # seconds until a drain or an orderly stop of a server shows
    silent_notice: NonNegative = 8.0  # ... until the loss of a server shows
    add: NonNegative = 1.0  # ... until the start of a server shows
    spread: NonNegative = 0.1  # longest time until a change reaches a watcher
    lines: Positive = 2000.0  # lines per second that the service can send
    call_lines: NonNegative = 20.0  # fixed cost of a call, in lines
    timeout: Positive = 2.0


class FrontEndSettings(ScenarioSection, frozen=True):
    """The front end, which distributes clients to the proxies of their zone."""

    notice: NonNegative = 2.0  # seconds until a dead proxy leaves the rotation


class Clients(ScenarioSection, frozen=True):
    """Number and behaviour of the clients."""

    load: Positive = 0.45  # mean load of all requests, over the fleet's capacity at the start
    per_core: Positive = 18.0  # average connections that use one core
    life: Positive = 35.0  # seconds, mean
    life_sigma: NonNegative = 0.9  # sigma of the lognormal distribution of lives
    shape: Literal["steady", "wave", "bursty", "daily"] = "wave"
    swing: Share = 0.2
    record: str = ""  # file of arrival times (seconds, one per line), used instead of shape
    zone_skew: Share = 0.3
    rejoin: Positive = 0.4  # mean seconds until a client whose connection was lost reconnects
    move_gap: NonNegative = 0.08  # ... until a client that received MOVE reconnects
    honours: Share = 0.5  # share of the clients that honour Retry-After in a rejection
    retry: Literal["at once", "fixed", "growing", "never"] = "growing"
    backoff: Positive = 0.1
    leaves_early: Share = 0.02  # share of the clients that leave before their timeout
    group_size: Annotated[float, Meta(ge=1)] = 1.0  # 1: no groups
    most_retry_after: NonNegative = 0.0  # longest Retry-After that a client honours; 0: rejections have none


class ListenerSpec(ScenarioSection, frozen=True):
    """A listener; see onyxhollow.interface.Listener for its settings."""

    name: Name
    share: Positive = 1.0
    target: Positive = 0.4
    timeout: Positive = 2.0
    utility: Positive = 1.0
    message_target: Positive = 0.25
    work: Positive = 0.008  # core seconds of a session set-up
    load: Positive = 1.0  # relative to the average connection
    load_sigma: NonNegative = 0.6
    swing_sigma: NonNegative = 0.4
    change: Positive = 8.0  # mean seconds between changes of a connection's load
    life: Positive = 1.0
    repeat: Literal["repeatable", "referenced", "once-only"] = "repeatable"
    scope: Literal["all", "zone", "cell"] = "all"
    window: NonNegative = 5.0


class TenantSpec(ScenarioSection, frozen=True):
    """A tenant with its quota share."""

    name: Name
    share: Positive = 1.0
    usage: Positive = 1.0  # demand relative to its share


class Proxies(ScenarioSection, frozen=True):
    """Settings and limits of the proxies; see onyxhollow.interface.Settings."""

    most_dials: Annotated[int, Meta(ge=1)] = 4
    probes: bool = True
    probe_price: NonNegative = 0.0015
    cancelling: bool = True
    ask_within: Positive = 10.0
    drain_grace: NonNegative = 0.25
    answer_grace: NonNegative = 0.016
    overage_utility: Share = 0.2
    message_work: Positive = 0.006  # core seconds of one message


class ScoreWeights(ScenarioSection, frozen=True):
    """Weights of the parts of a run's score."""

    whole: NonNegative = 0.45
    window: NonNegative = 0.25
    listener: NonNegative = 0.2
    customer: NonNegative = 0.1
