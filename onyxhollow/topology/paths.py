"""Detection of faults on the direct paths between members, also in one direction only. Pure.

In a small fleet every member probes every other member often enough to evaluate each path by itself. In a
large fleet a pair exchanges too few probes, so the probes are totalled: per pair of zones, and from and to
each member.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar

from onyxhollow.topology.fault_types import Fault, FaultKind, Views, is_stalled
from onyxhollow.topology.model import LinkStatus

MAX_PAIRWISE_MEMBERS = 40  # in a larger fleet the probes are totalled
MAX_SILENCE_SECONDS = 4.0  # without a direct datagram
MIN_PROBES = 3  # with fewer, a path is not evaluated
MIN_LOSS_RATIO = 0.85
MIN_LOST_DATAGRAMS = 8  # fewer in a total are no evidence of a fault
MIN_PROBE_AGE_SECONDS = 1.5  # the answer to a younger probe may still arrive
MAX_PROBE_AGE_SECONDS = 45.0  # an older probe is no evidence of the present state


class Path(NamedTuple):
    """One direction of datagrams: from a source to a target, both members or both zones."""

    source: str
    target: str


Key = TypeVar("Key")


class _Tally(Generic[Key]):
    """Counts of arrived and lost datagrams by key: a path between zones, or a member."""

    def __init__(self) -> None:
        self.arrived: Counter[Key] = Counter()
        self.lost: Counter[Key] = Counter()

    def add(self, key: Key, arrived: bool) -> None:
        (self.arrived if arrived else self.lost)[key] += 1

    def is_faulty(self, key: Key) -> bool:
        lost = self.lost[key]
        return lost >= max(MIN_LOST_DATAGRAMS, MIN_LOSS_RATIO * (lost + self.arrived[key]))


class _ProbeCounts:
    """Totals of arrived and lost probes and answers."""

    def __init__(self) -> None:
        self.between_zones = _Tally[Path]()
        self.from_member = _Tally[str]()
        self.to_member = _Tally[str]()

    def add(self, views: Views, path: Path, arrived: bool) -> None:
        """Count one datagram on a path between two members."""
        self.from_member.add(path.source, arrived)
        self.to_member.add(path.target, arrived)
        zones = Path(views[path.source].zone, views[path.target].zone)
        if zones.source != zones.target:
            self.between_zones.add(zones, arrived)


def find_path_faults(views: Views, cut_off: set[str]) -> list[Fault]:
    """Return the faulty direct paths, except those across a reported partition (into or out of `cut_off`)."""
    if len(views) > MAX_PAIRWISE_MEMBERS:
        return _find_by_totals(views, cut_off)
    return _find_by_pair(views, cut_off)


def _find_by_pair(views: Views, cut_off: set[str]) -> list[Fault]:
    silent = {
        Path(link.peer, name)
        for name, view in views.items()
        for link in view.links
        if link.peer in views and _is_silent(link)
    }
    faults = []
    for source, target in sorted(silent):
        if (target, source) not in silent:
            description = f"one-way: nothing comes straight from {source} to {target}, the other way it does"
            faults.append(Fault(FaultKind.ONE_WAY, (source, target), description, (target,)))
        elif (source in cut_off) == (target in cut_off) and source < target:
            description = f"cut: nothing passes straight between {source} and {target}; others carry it"
            faults.append(Fault(FaultKind.LINK_CUT, (source, target), description, (source, target)))
    return faults


def _is_silent(link: LinkStatus) -> bool:
    return (
        link.probes >= MIN_PROBES and link.received_ago > MAX_SILENCE_SECONDS and link.loss >= MIN_LOSS_RATIO
    )


def _find_by_totals(views: Views, cut_off: set[str]) -> list[Fault]:
    counts = _ProbeCounts()
    for path, arrived in _recent_datagrams(views, cut_off):
        counts.add(views, path, arrived)
    # Members without a zone count only in the totals per member.
    zone_paths = [path for path in counts.between_zones.lost if "" not in path]
    faulty = {path for path in zone_paths if counts.between_zones.is_faulty(path)}
    affected_zones = {zone for path in faulty for zone in path}
    return [
        *_zone_faults(counts.between_zones, faulty),
        *_member_faults(views, counts, affected_zones),
    ]


def _recent_datagrams(views: Views, cut_off: set[str]) -> Iterator[tuple[Path, bool]]:
    """Yield the path of each recent probe, and of its answer if the probe arrived, and whether it arrived.

    If the source has received nothing from the target since the probe, either the probe or its answer was
    lost. It was the answer if the target has received a datagram from the source since about that time, else
    the probe.
    """
    links = {(name, link.peer): link for name, view in views.items() for link in view.links}
    for (source, target), link in links.items():
        if (
            target not in views
            or not link.probes
            or not MIN_PROBE_AGE_SECONDS <= link.probed_ago <= MAX_PROBE_AGE_SECONDS
        ):
            continue
        if (source in cut_off) != (target in cut_off):
            continue
        if is_stalled(views[source]) or is_stalled(views[target]):
            continue
        answered = link.received_ago <= link.probed_ago
        reverse = links.get((target, source))
        received = reverse is not None and reverse.received_ago <= link.probed_ago + MIN_PROBE_AGE_SECONDS
        yield Path(source, target), answered or received
        if answered or received:
            yield Path(target, source), answered


def _zone_faults(tally: _Tally[Path], faulty: set[Path]) -> list[Fault]:
    faults = []
    for path in sorted(faulty):
        source, target = path
        lost = tally.lost[path]
        evidence = f"{lost} of {lost + tally.arrived[path]} questions or answers of late"
        if Path(target, source) not in faulty:
            description = (
                f"one-way: nothing comes straight from zone {source} to zone {target}, {evidence} lost"
            )
            faults.append(Fault(FaultKind.ZONE_ONE_WAY, path, description))
        elif source < target:
            description = f"cut: nothing passes straight between zones {source} and {target}, {evidence} lost"
            faults.append(Fault(FaultKind.ZONE_LINK_CUT, path, description))
    return faults


def _member_faults(views: Views, counts: _ProbeCounts, affected_zones: set[str]) -> list[Fault]:
    """Find members with faulty paths to or from all others; skip those in zones with a reported fault."""
    faults = []
    for name, view in sorted(views.items()):
        sends_nothing = counts.from_member.is_faulty(name)
        receives_nothing = counts.to_member.is_faulty(name)
        if view.zone in affected_zones or not (sends_nothing or receives_nothing):
            continue
        if sends_nothing and receives_nothing:
            kind, label, direction = FaultKind.LINK_CUT, "cut", "from or to"
        else:
            kind, label, direction = FaultKind.ONE_WAY, "one-way", "from" if sends_nothing else "to"
        description = f"{label}: nothing comes straight {direction} {name}"
        faults.append(Fault(kind, (name,), description, (name,)))
    return faults
