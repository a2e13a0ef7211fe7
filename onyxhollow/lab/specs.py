"""The sections of a scenario without its faults: typed settings that every other module of the lab reads.

Times are seconds, loads are cores of work a second on a core of speed 1, rates are per second.
"""

from __future__ import annotations

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

Positive = Annotated[float, Meta(gt=0)]
NotNegative = Annotated[float, Meta(ge=0)]
Share = Annotated[float, Meta(ge=0, le=1)]
Count = Annotated[int, Meta(ge=0)]
Name = Annotated[str, Meta(min_length=1, max_length=40)]


class Strict(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """No key is passed over in silence: a misspelt one would leave its default in force."""


class Kind(Strict, frozen=True):
    """A make of machine."""

    name: Name = "plain"
    share: Positive = 1.0
    cores: Positive = 4.0
    speed: Positive = 1.0
    spread: Share = 0.1  # standard deviation of a machine's true speed, as a share
    connections: Annotated[int, Meta(ge=1)] = 4000  # cap on open connections
    queue: Positive = 1.5  # seconds of work piled up from which new sessions are turned away


class Fleet(Strict, frozen=True):
    """Servers and proxies, and what servers do when cold, full or drained."""

    servers: Count = 12
    proxies: Annotated[int, Meta(ge=1)] = 4
    zones: Annotated[list[Name], Meta(min_length=1)] = msgspec.field(default_factory=lambda: ["north"])
    cell: Annotated[int, Meta(ge=1)] = 8  # servers that share knowledge of sessions seen
    kinds: Annotated[list[Kind], Meta(min_length=1)] = msgspec.field(default_factory=lambda: [Kind()])
    cold_share: Annotated[float, Meta(gt=0, le=1)] = 0.4
    cold_time: NotNegative = 6.0
    fall_multiple: Positive = 3.0
    fall_time: Positive = 2.0
    fall_out: Positive = 12.0  # seconds that a server which fell over stays out
    drain: Literal["keeps", "paced", "at once"] = "paced"  # what a draining server does with its clients
    sheds: Literal["nothing", "newest", "heaviest"] = "newest"  # dropped when too much is piled up
    sheds_at: Positive = 2.0  # seconds of work piled up
    group_cost: NotNegative = 0.0  # load of one group on a server, in average connections
    crowding: Share = 0.1  # capacity lost with all connections taken
    tells_load: bool = True
    report_every: Positive = 1.0  # seconds between refreshments of a server's load report
    report_delay: NotNegative = 0.2
    report_noise: Share = 0.04


class Store(Strict, frozen=True):
    """The session store that every set-up asks once."""

    rate: NotNegative = 0.0  # calls a second; 0: without end
    time: NotNegative = 0.0


class Network(Strict, frozen=True):
    """One-way times."""

    same: NotNegative = 0.0002
    cross: NotNegative = 0.012
    client: NotNegative = 0.0006
    jitter: Share = 0.2
    connect_time: Positive = 0.25
    silence: Positive = 5.0  # seconds until a proxy takes a silent connection for lost


class ListServiceSettings(Strict, frozen=True):
    """The server list: a service that must be asked and then tells changes."""

    notice: NotNegative = 1.5  # seconds until it knows that a server drains or has stopped in order
    silent_notice: NotNegative = 8.0  # ... that one has vanished
    add: NotNegative = 1.0  # ... that one has started
    spread: NotNegative = 0.1  # until a change has reached a watcher, at the most
    lines: Positive = 2000.0  # lines a second that it can send
    call_lines: NotNegative = 20.0  # what a call costs beside its lines
    timeout: Positive = 2.0


class Front(Strict, frozen=True):
    """What deals clients out to the proxies of their zone."""

    notice: NotNegative = 2.0  # seconds until a dead proxy is noticed


class Clients(Strict, frozen=True):
    """How clients behave, and how many there are."""

    load: Positive = 0.45  # mean load of all wanted connections, over the fleet's capacity at the start
    per_core: Positive = 18.0  # average connections that fill one core
    life: Positive = 35.0  # seconds, mean
    life_sigma: NotNegative = 0.9  # of the lognormal law of lives
    shape: Literal["steady", "wave", "bursty", "daily"] = "wave"
    swing: Share = 0.2
    record: str = ""  # a file of arrivals (one time in seconds a line), instead of shape
    zone_skew: Share = 0.3
    rejoin: Positive = 0.4  # seconds until a client that was cut off comes again, mean
    move_gap: NotNegative = 0.08
    honours: Share = 0.5  # clients that heed a wait told in a refusal
    retry: Literal["at once", "fixed", "growing", "never"] = "growing"
    backoff: Positive = 0.1
    leaves_early: Share = 0.02  # clients that give up waiting before their timeout
    group_size: Annotated[float, Meta(ge=1)] = 1.0  # 1: no groups
    most_retry_after: NotNegative = 0.0  # the longest wait that a client heeds; 0: refusals tell none


class ListenerSpec(Strict, frozen=True):
    """A kind of session; the words of onyxhollow.interface.Listener."""

    name: Name
    share: Positive = 1.0
    target: Positive = 0.4
    timeout: Positive = 2.0
    utility: Positive = 1.0
    message_target: Positive = 0.25
    work: Positive = 0.008  # core seconds of a set-up
    load: Positive = 1.0  # of the average connection
    load_sigma: NotNegative = 0.6
    swing_sigma: NotNegative = 0.4
    change: Positive = 8.0  # seconds between changes of a connection's load, mean
    life: Positive = 1.0
    repeat: Literal["repeatable", "referenced", "once-only"] = "repeatable"
    scope: Literal["all", "zone", "cell"] = "all"
    window: NotNegative = 5.0


class CustomerSpec(Strict, frozen=True):
    name: Name
    share: Positive = 1.0
    usage: Positive = 1.0  # what it asks for, over its share


class Proxies(Strict, frozen=True):
    """What the proxies are told and allowed; the words of onyxhollow.interface.Settings."""

    most_dials: Annotated[int, Meta(ge=1)] = 4
    probes: bool = True
    probe_price: NotNegative = 0.0015
    cancelling: bool = True
    ask_within: Positive = 10.0
    drain_grace: NotNegative = 0.25
    answer_grace: NotNegative = 0.016
    overage_utility: Share = 0.2
    message_work: Positive = 0.006  # core seconds of one message


class Goal(Strict, frozen=True):
    """Weights of the figure that stands for a run."""

    whole: NotNegative = 0.45
    window: NotNegative = 0.25
    listener: NotNegative = 0.2
    customer: NotNegative = 0.1
