"""All random properties of clients, drawn in advance from the seed alone.

Two policies on one seed get the same clients (common random numbers): nothing here depends on what a policy
does. Each purpose has a stream of its own from numpy's SeedSequence, so that a new purpose leaves the draws
of the others unchanged.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from onyxhollow.lab.scenario import Scenario
from onyxhollow.lab.world.streams import random_stream
from onyxhollow.lab.world.types import RateFactors, Request

# Relative number of sessions by hour of a working day, from midnight: a trough at night, a peak before noon
# and one in the evening.
HOURLY_RATES = (22, 14, 9, 7, 7, 11, 24, 46, 68, 83, 92, 95, 88, 84, 86, 88, 91, 97, 100, 98, 90, 74, 52, 34)


def arrival_shape(
    scenario: Scenario, rates: RateFactors, rng: np.random.Generator
) -> Callable[[np.ndarray], np.ndarray]:
    """Return a function from times to the arrival rate relative to the scenario's mean."""
    clients = scenario.clients
    phase, period = rng.uniform(0, 2 * math.pi), scenario.seconds * rng.uniform(0.5, 1.0)
    burst_factors = rng.uniform(
        1 - clients.swing, 1 + clients.swing, size=1 + math.ceil(scenario.seconds / 4.0)
    )

    def shape(times: np.ndarray) -> np.ndarray:
        if clients.shape == "wave":
            factor = 1 + clients.swing * np.sin(2 * math.pi * times / period + phase)
        elif clients.shape == "bursty":
            factor = burst_factors[np.minimum((times / 4.0).astype(int), len(burst_factors) - 1)]
        elif clients.shape == "daily":
            hours = np.interp(
                times / scenario.seconds * len(HOURLY_RATES),
                np.arange(len(HOURLY_RATES) + 1),
                [*HOURLY_RATES, HOURLY_RATES[0]],
            )
            factor = 1 + clients.swing * (hours / max(HOURLY_RATES) * 2 - 1)
        else:
            factor = np.ones(len(times))
        for begin, end, multiple in rates.arrivals:
            factor = np.where((times >= begin) & (times < end), factor * multiple, factor)
        return factor

    return shape


def read_arrivals(name: str) -> np.ndarray:
    """Read arrival times from a file, one per line. Raises OSError or ValueError."""
    times = np.array([float(line) for line in Path(name).read_text().split()])
    if len(times) and (not np.isfinite(times).all() or times.min() < 0):
        raise ValueError(f"{name}: expected finite times of 0 or more seconds, one per line")
    return np.sort(times)


@dataclass(slots=True)
class Population:
    """The requests of all clients of a run, with averages and quotas."""

    requests: list[Request]
    average_load: float  # of a connection, cores
    quotas: list[float]  # open connections of each tenant
    average_load_by_listener: list[float]


@dataclass(frozen=True, slots=True)
class ListenerMix:
    """The scenario's listeners as arrays, by number of the listener."""

    arrival_shares: np.ndarray  # of all arrivals; the sum is 1
    mean_lives: np.ndarray  # of a connection, seconds
    open_weights: np.ndarray  # relative number of open connections
    average_loads: np.ndarray  # of a connection, cores
    load_sigmas: np.ndarray  # of the logarithm of a connection's load


def populate(scenario: Scenario, capacity: float, rates: RateFactors, seed: int) -> Population:
    """Draw all clients of a run; capacity is the fleet's at the start, in cores of speed 1.

    The results of a seed depend on the order of the draws from each random stream.

    Raises:
        OSError: the file of arrivals cannot be read.
        ValueError: the file of arrivals is malformed.
    """
    clients = scenario.clients
    mix = listener_mix(scenario)
    mean_open = clients.load * capacity * clients.per_core
    arrivals = draw_arrivals(scenario, rates, mean_open / float(mix.open_weights.sum()), seed)
    preexisting = int(random_stream(seed, "standing").poisson(mean_open))
    due = np.concatenate([np.zeros(preexisting), arrivals])

    traits = random_stream(seed, "traits")
    listeners = draw_listeners(traits, mix, len(due), preexisting, seed)
    ends = due + draw_remaining_lives(clients.life_sigma, mix.mean_lives[listeners], preexisting, seed)
    tenants = draw_tenants(traits, scenario, len(due))
    zones = draw_zones(traits, scenario, len(due))
    loads = draw_loads(traits, mix, listeners)
    groups = draw_groups(traits, clients.group_size, mean_open, len(due))
    loads = apply_load_factors(traits, rates, due, listeners, loads)

    quotas = tenant_quotas(scenario, capacity)
    over_quota = flag_over_quota(due, ends, tenants, quotas)
    columns = (due, ends, listeners, tenants, zones, groups, loads)
    requests = make_requests(columns, over_quota, preexisting)
    return Population(requests, 1.0 / clients.per_core, quotas, mix.average_loads.tolist())


def make_requests(columns: tuple[np.ndarray, ...], over_quota: list[bool], preexisting: int) -> list[Request]:
    """Return the requests, whose fields from `due` to `load` are columns in the order of Request."""
    rows = zip(*(column.tolist() for column in columns), over_quota, strict=True)
    return [
        Request(number, due, end, listener, tenant, zone, group, load, is_over, number < preexisting)
        for number, (due, end, listener, tenant, zone, group, load, is_over) in enumerate(rows)
    ]


def listener_mix(scenario: Scenario) -> ListenerMix:
    """Return the listeners as arrays, their loads scaled to the average load of an open connection."""
    listeners, clients = scenario.listeners, scenario.clients
    arrival_shares = np.array([row.share for row in listeners])
    arrival_shares /= arrival_shares.sum()
    mean_lives = np.array([row.life for row in listeners]) * clients.life
    open_weights = arrival_shares * mean_lives
    loads = np.array([row.load for row in listeners])
    mean_load = float((open_weights * loads).sum() / open_weights.sum())
    average_load = 1.0 / clients.per_core
    return ListenerMix(
        arrival_shares,
        mean_lives,
        open_weights,
        loads * average_load / mean_load,
        np.array([row.load_sigma for row in listeners]),
    )


def draw_arrivals(scenario: Scenario, rates: RateFactors, rate: float, seed: int) -> np.ndarray:
    """Return the sorted times of arrival, drawn with a mean rate per second or read from the record."""
    rng = random_stream(seed, "arrivals")
    shape = arrival_shape(scenario, rates, rng)
    if scenario.clients.record:
        times = read_arrivals(scenario.clients.record)
        return times[times < scenario.seconds]
    # Arrivals at the peak rate, of which each is kept with the probability of its time's rate.
    peak = float(shape(np.linspace(0, scenario.seconds, 2001)).max(initial=0.0)) * 1.001
    times = np.sort(rng.uniform(0, scenario.seconds, rng.poisson(peak * rate * scenario.seconds)))
    return times[rng.random(len(times)) * peak < shape(times)]


def draw_listeners(
    traits: np.random.Generator, mix: ListenerMix, count: int, preexisting: int, seed: int
) -> np.ndarray:
    """Draw each client's listener: by the open connections for the first `preexisting`, else by arrivals."""
    listeners = traits.choice(len(mix.arrival_shares), size=count, p=mix.arrival_shares)
    if preexisting:
        listeners[:preexisting] = random_stream(seed, "standing").choice(
            len(mix.open_weights), size=preexisting, p=mix.open_weights / mix.open_weights.sum()
        )
    return listeners


def draw_remaining_lives(sigma: float, mean_lives: np.ndarray, preexisting: int, seed: int) -> np.ndarray:
    """Draw the seconds for which each client still wants its connection.

    Connections open at the start are length-biased towards long lives, of which a uniform part has passed.
    """
    lives = random_stream(seed, "lives")
    count = len(mean_lives)
    is_preexisting = np.arange(count) < preexisting
    bias = np.where(is_preexisting, sigma, 0.0)
    whole_lives = np.exp(sigma * (lives.standard_normal(count) + bias) - sigma**2 / 2) * mean_lives
    remaining_lives: np.ndarray = whole_lives * np.where(is_preexisting, lives.random(count), 1.0)
    return remaining_lives


def draw_tenants(traits: np.random.Generator, scenario: Scenario, count: int) -> np.ndarray:
    """Draw each client's tenant, by the tenants' shares and their use of them."""
    usage = np.array([row.share * row.usage for row in scenario.customers])
    return traits.choice(len(usage), size=count, p=usage / usage.sum())


def draw_zones(traits: np.random.Generator, scenario: Scenario, count: int) -> np.ndarray:
    """Draw each client's zone; with a skew the first zone has the most clients and the last the fewest."""
    zones = len(scenario.fleet.zones)
    skew = 1.0 + scenario.clients.zone_skew * np.linspace(1, -1, zones) if zones > 1 else np.ones(1)
    return traits.choice(zones, size=count, p=skew / skew.sum())


def draw_loads(traits: np.random.Generator, mix: ListenerMix, listeners: np.ndarray) -> np.ndarray:
    """Draw each client's average load in cores, log-normal around the average of its listener."""
    sigmas = mix.load_sigmas[listeners]
    factors = np.exp(sigmas * traits.standard_normal(len(listeners)) - sigmas**2 / 2)
    loads: np.ndarray = mix.average_loads[listeners] * factors
    return loads


def draw_groups(traits: np.random.Generator, group_size: float, mean_open: float, count: int) -> np.ndarray:
    """Draw each client's group, the first groups being the largest; -1 for all without groups."""
    if group_size <= 1:
        return np.full(count, -1)
    groups = max(1, round(mean_open / group_size))
    sizes = 1.0 / np.arange(1, groups + 1) ** 0.9
    return traits.choice(groups, size=count, p=sizes / sizes.sum())


def apply_load_factors(
    traits: np.random.Generator,
    rates: RateFactors,
    due: np.ndarray,
    listeners: np.ndarray,
    loads: np.ndarray,
) -> np.ndarray:
    """Return the loads, multiplied for the clients that each factor of a fault draws."""
    for begin, end, listener, affected_share, factor in rates.loads:
        affected = (due >= begin) & (due < end) & (traits.random(len(due)) < affected_share)
        if listener >= 0:
            affected &= listeners == listener
        loads = np.where(affected, loads * factor, loads)
    return loads


def tenant_quotas(scenario: Scenario, capacity: float) -> list[float]:
    """Return each tenant's quota of open connections, which together take up 90% of the capacity."""
    share_sum = sum(row.share for row in scenario.customers)
    return [0.9 * capacity * scenario.clients.per_core * row.share / share_sum for row in scenario.customers]


def flag_over_quota(due: np.ndarray, end: np.ndarray, tenant: np.ndarray, quotas: list[float]) -> list[bool]:
    """Flag the requests that are due while their tenant already wants its quota of connections or more.

    Requests count, not connections, so the flags are the same for every policy. Requests are in order of due.
    """
    over = np.zeros(len(due), dtype=bool)
    for number, quota in enumerate(quotas):
        own = np.flatnonzero(tenant == number)
        ends = np.sort(end[own])
        begun = np.arange(len(own))
        over[own] = begun - np.searchsorted(ends, due[own], side="right") >= quota
    return [bool(value) for value in over.tolist()]
