"""All that chance decides about clients, drawn ahead from the seed alone.

Two policies on one seed meet the same clients (common random numbers): nothing here depends on what a
policy does. Streams come from numpy's SeedSequence, one a purpose, so that a further purpose moves none
of the others.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import numpy as np

from onyxhollow.lab.scenario import Scenario
from onyxhollow.lab.world.streams import stream
from onyxhollow.lab.world.types import RateFactors, Request

# Calls over a working day, by the hour from midnight: a trough at night, a peak before noon and one in
# the evening.
HOURS = (22, 14, 9, 7, 7, 11, 24, 46, 68, 83, 92, 95, 88, 84, 86, 88, 91, 97, 100, 98, 90, 74, 52, 34)


def shaping(
    scenario: Scenario, rates: RateFactors, rng: np.random.Generator
) -> Callable[[np.ndarray], np.ndarray]:
    clients = scenario.clients
    phase, period = rng.uniform(0, 2 * math.pi), scenario.seconds * rng.uniform(0.5, 1.0)
    pieces = rng.uniform(1 - clients.swing, 1 + clients.swing, size=1 + math.ceil(scenario.seconds / 4.0))

    def shape(times: np.ndarray) -> np.ndarray:
        if clients.shape == "wave":
            factor = 1 + clients.swing * np.sin(2 * math.pi * times / period + phase)
        elif clients.shape == "bursty":
            factor = pieces[np.minimum((times / 4.0).astype(int), len(pieces) - 1)]
        elif clients.shape == "daily":
            hours = np.interp(
                times / scenario.seconds * len(HOURS), np.arange(len(HOURS) + 1), [*HOURS, HOURS[0]]
            )
            factor = 1 + clients.swing * (hours / max(HOURS) * 2 - 1)
        else:
            factor = np.ones(len(times))
        for begin, end, times_more in rates.arrivals:
            factor = np.where((times >= begin) & (times < end), factor * times_more, factor)
        return factor

    return shape


def recorded(name: str) -> np.ndarray:
    """Arrival times from a file, one a line. Raises OSError or ValueError."""
    times = np.array([float(line) for line in Path(name).read_text().split()])
    if len(times) and (not np.isfinite(times).all() or times.min() < 0):
        raise ValueError(f"{name}: expected times of 0 or more seconds, one a line")
    return np.sort(times)


@dataclass(slots=True)
class Population:
    requests: list[Request]
    unit: float  # load of the average connection, cores
    quotas: list[float]  # open connections within each customer's share
    usual: list[float]  # load of an average connection of each listener


def populate(scenario: Scenario, capacity: float, rates: RateFactors, seed: int) -> Population:
    """All clients of a run. capacity: what the fleet can do at the start, in cores of speed 1.

    Raises OSError or ValueError if a recorded file can't be read.
    """
    clients, listeners = scenario.clients, scenario.listeners
    share = np.array([row.share for row in listeners])
    share /= share.sum()
    life = np.array([row.life for row in listeners]) * clients.life
    weight = share * life  # of those that stand
    mean_load = float((weight * [row.load for row in listeners]).sum() / weight.sum())
    unit = 1.0 / clients.per_core
    standing = clients.load * capacity * clients.per_core
    rate = standing / float((share * life).sum())

    rng = stream(seed, "arrivals")
    shape = shaping(scenario, rates, rng)
    if clients.record:
        times = recorded(clients.record)
        times = times[times < scenario.seconds]
    else:
        most = float(shape(np.linspace(0, scenario.seconds, 2001)).max(initial=0.0)) * 1.001
        times = np.sort(rng.uniform(0, scenario.seconds, rng.poisson(most * rate * scenario.seconds)))
        times = times[rng.random(len(times)) * most < shape(times)]
    before = int(stream(seed, "standing").poisson(standing))
    count = before + len(times)

    traits, lives = stream(seed, "traits"), stream(seed, "lives")
    which = traits.choice(len(listeners), size=count, p=share)
    if before:  # those that stand are the long-lived: length-biased, a uniform part of the life is gone
        which[:before] = stream(seed, "standing").choice(len(listeners), size=before, p=weight / weight.sum())
    sigma = clients.life_sigma
    bias = np.where(np.arange(count) < before, sigma, 0.0)
    drawn = np.exp(sigma * (lives.standard_normal(count) + bias) - sigma**2 / 2) * life[which]
    left = drawn * np.where(np.arange(count) < before, lives.random(count), 1.0)
    usage = np.array([row.share * row.usage for row in scenario.customers])
    customer = traits.choice(len(usage), size=count, p=usage / usage.sum())
    zones = len(scenario.fleet.zones)
    skew = 1.0 + clients.zone_skew * np.linspace(1, -1, zones) if zones > 1 else np.ones(1)
    zone = traits.choice(zones, size=count, p=skew / skew.sum())
    sigmas = np.array([row.load_sigma for row in listeners])[which]
    scale = np.array([row.load for row in listeners])[which] * unit / mean_load
    load = scale * np.exp(sigmas * traits.standard_normal(count) - sigmas**2 / 2)
    groups = max(1, round(standing / clients.group_size))
    if clients.group_size > 1:
        ranks = 1.0 / np.arange(1, groups + 1) ** 0.9
        group = traits.choice(groups, size=count, p=ranks / ranks.sum())
    else:
        group = np.full(count, -1)
    due = np.concatenate([np.zeros(before), times])
    for begin, end, listener, part, factor in rates.loads:
        hit = (due >= begin) & (due < end) & (traits.random(count) < part)
        if listener >= 0:
            hit &= which == listener
        load = np.where(hit, load * factor, load)
    quotas = [
        0.9 * capacity * clients.per_core * row.share / sum(c.share for c in scenario.customers)
        for row in scenario.customers
    ]
    over = beyond(due, due + left, customer, quotas)
    ends, loads = (due + left).tolist(), load.tolist()
    kinds, whose, zones_of, groups_of = which.tolist(), customer.tolist(), zone.tolist(), group.tolist()
    requests = [
        Request(
            n, came, ends[n], kinds[n], whose[n], zones_of[n], groups_of[n], loads[n], over[n], n < before
        )
        for n, came in enumerate(due.tolist())
    ]
    usual = [row.load * unit / mean_load for row in listeners]
    return Population(requests, unit, quotas, usual)


def beyond(due: np.ndarray, end: np.ndarray, customer: np.ndarray, quotas: list[float]) -> list[bool]:
    """Who comes while its customer wants more connections than its share holds, whatever a policy does."""
    over = np.zeros(len(due), dtype=bool)
    for who, quota in enumerate(quotas):
        mine = np.flatnonzero(customer == who)
        ends = np.sort(end[mine])
        begun = np.arange(len(mine))  # they are in order of due
        over[mine] = begun - np.searchsorted(ends, due[mine], side="right") >= quota
    return [bool(value) for value in over.tolist()]
