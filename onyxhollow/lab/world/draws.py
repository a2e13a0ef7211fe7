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


def populate(scenario: Scenario, capacity: float, rates: RateFactors, seed: int) -> Population:
    """Draw all clients of a run; capacity is the fleet's at the start, in cores of speed 1.

    Raises:
        OSError: the file of arrivals cannot be read.
        ValueError: the file of arrivals is malformed.
    """
    clients, listeners = scenario.clients, scenario.listeners
    share = np.array([row.share for row in listeners])
    share /= share.sum()
    life = np.array([row.life for row in listeners]) * clients.life
    weight = share * life  # share of the listeners among open connections
    mean_load = float((weight * [row.load for row in listeners]).sum() / weight.sum())
    average_load = 1.0 / clients.per_core
    mean_open = clients.load * capacity * clients.per_core
    rate = mean_open / float((share * life).sum())

    rng = random_stream(seed, "arrivals")
    shape = arrival_shape(scenario, rates, rng)
    if clients.record:
        times = read_arrivals(clients.record)
        times = times[times < scenario.seconds]
    else:
        peak = float(shape(np.linspace(0, scenario.seconds, 2001)).max(initial=0.0)) * 1.001
        times = np.sort(rng.uniform(0, scenario.seconds, rng.poisson(peak * rate * scenario.seconds)))
        times = times[rng.random(len(times)) * peak < shape(times)]
    preexisting = int(random_stream(seed, "standing").poisson(mean_open))
    count = preexisting + len(times)

    traits, lives = random_stream(seed, "traits"), random_stream(seed, "lives")
    listener_numbers = traits.choice(len(listeners), size=count, p=share)
    # Connections open at the start are length-biased towards long lives, of which a uniform part has passed.
    if preexisting:
        listener_numbers[:preexisting] = random_stream(seed, "standing").choice(
            len(listeners), size=preexisting, p=weight / weight.sum()
        )
    sigma = clients.life_sigma
    bias = np.where(np.arange(count) < preexisting, sigma, 0.0)
    whole_life = np.exp(sigma * (lives.standard_normal(count) + bias) - sigma**2 / 2) * life[listener_numbers]
    remaining_life = whole_life * np.where(np.arange(count) < preexisting, lives.random(count), 1.0)
    usage = np.array([row.share * row.usage for row in scenario.customers])
    tenant = traits.choice(len(usage), size=count, p=usage / usage.sum())
    zones = len(scenario.fleet.zones)
    skew = 1.0 + clients.zone_skew * np.linspace(1, -1, zones) if zones > 1 else np.ones(1)
    zone = traits.choice(zones, size=count, p=skew / skew.sum())
    sigmas = np.array([row.load_sigma for row in listeners])[listener_numbers]
    scale = np.array([row.load for row in listeners])[listener_numbers] * average_load / mean_load
    load = scale * np.exp(sigmas * traits.standard_normal(count) - sigmas**2 / 2)
    groups = max(1, round(mean_open / clients.group_size))
    if clients.group_size > 1:
        ranks = 1.0 / np.arange(1, groups + 1) ** 0.9
        group = traits.choice(groups, size=count, p=ranks / ranks.sum())
    else:
        group = np.full(count, -1)
    due = np.concatenate([np.zeros(preexisting), times])
    for begin, end, listener, affected_share, factor in rates.loads:
        hit = (due >= begin) & (due < end) & (traits.random(count) < affected_share)
        if listener >= 0:
            hit &= listener_numbers == listener
        load = np.where(hit, load * factor, load)
    quotas = [
        0.9 * capacity * clients.per_core * row.share / sum(other.share for other in scenario.customers)
        for row in scenario.customers
    ]
    over_quota = flag_over_quota(due, due + remaining_life, tenant, quotas)
    ends, loads = (due + remaining_life).tolist(), load.tolist()
    listener_of, tenant_of, zone_of, group_of = (
        listener_numbers.tolist(),
        tenant.tolist(),
        zone.tolist(),
        group.tolist(),
    )
    requests = [
        Request(
            n,
            arrival,
            ends[n],
            listener_of[n],
            tenant_of[n],
            zone_of[n],
            group_of[n],
            loads[n],
            over_quota[n],
            n < preexisting,
        )
        for n, arrival in enumerate(due.tolist())
    ]
    average_load_by_listener = [row.load * average_load / mean_load for row in listeners]
    return Population(requests, average_load, quotas, average_load_by_listener)


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
