"""Faults of the direct paths between members: A receives from B and B does not receive from A. Pure.

In a small fleet every member probes every other often enough to judge each path by itself. In a large one a
pair meets too seldom, so probes are counted in sum: between two zones, and from and to each member.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from typing import Generic, NamedTuple, TypeVar

from onyxhollow.topology.fault_types import Fault, FaultKind, Views, is_stalled
from onyxhollow.topology.model import LinkStatus

LARGE_FLEET = 40  # members past which paths are judged in sum
MAX_SILENCE = 4.0  # seconds without a datagram, past which a path counts as silent ...
MIN_PROBES = 3  # ... if so many probes have been sent
MIN_LOSS = 0.85  # share of probes without an answer from which a path is faulty
MIN_LOST_PROBES = 8  # in a sum, for it to be evidence
MIN_PROBE_AGE = 1.5  # seconds within which a probe may still be answered
MAX_PROBE_AGE = 45.0  # seconds after which a probe is no evidence of the present


class Path(NamedTuple):
    """A direction in which datagrams go: from a source to a target, members or zones."""

    source: str
    target: str


Key = TypeVar("Key")


class _Tally(Generic[Key]):
    """Datagrams that arrived and were lost, by what they are counted for."""

    def __init__(self) -> None:
        self.arrived: Counter[Key] = Counter()
        self.lost: Counter[Key] = Counter()

    def add(self, key: Key, arrived: bool) -> None:
        (self.arrived if arrived else self.lost)[key] += 1

    def is_faulty(self, key: Key) -> bool:
        lost = self.lost[key]
        return lost >= max(MIN_LOST_PROBES, MIN_LOSS * (lost + self.arrived[key]))


class _ProbeCounts:
    """Probes and answers that arrived, and that were lost, in sum over paths."""

    def __init__(self) -> None:
        self.between_zones = _Tally[Path]()
        self.from_member = _Tally[str]()
        self.to_member = _Tally[str]()

    def add(self, views: Views, path: Path, arrived: bool) -> None:
        """Counts one datagram of a path between two members."""
        self.from_member.add(path.source, arrived)
        self.to_member.add(path.target, arrived)
        zones = Path(views[path.source].zone, views[path.target].zone)
        if zones.source != zones.target:
            self.between_zones.add(zones, arrived)


def find_path_faults(views: Views, cut_off: set[str]) -> list[Fault]:
    """Faulty direct paths, but those across a partition (to or from `cut_off`): it is named already."""
    if len(views) > LARGE_FLEET:
        return _find_in_sum(views, cut_off)
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
    return link.probes >= MIN_PROBES and link.received_ago > MAX_SILENCE and link.loss >= MIN_LOSS


def _find_in_sum(views: Views, cut_off: set[str]) -> list[Fault]:
    counts = _ProbeCounts()
    for path, arrived in _recent_datagrams(views, cut_off):
        counts.add(views, path, arrived)
    # Members without a zone are judged by themselves alone.
    zone_paths = [path for path in counts.between_zones.lost if "" not in path]
    faulty = {path for path in zone_paths if counts.between_zones.is_faulty(path)}
    affected_zones = {zone for path in faulty for zone in path}
    return [
        *_zone_faults(counts.between_zones, faulty),
        *_member_faults(views, counts, affected_zones),
    ]


def _recent_datagrams(views: Views, cut_off: set[str]) -> Iterator[tuple[Path, bool]]:
    """Each recent probe and, if it arrived, its answer, with whether it arrived.

    A member that has received nothing from its target since the probe does not know which of the two was
    lost. If the target has received something since about then, it was the answer, else the probe.
    """
    links = {(name, link.peer): link for name, view in views.items() for link in view.links}
    for (source, target), link in links.items():
        if target not in views or not link.probes or not MIN_PROBE_AGE <= link.probed_ago <= MAX_PROBE_AGE:
            continue
        if (source in cut_off) != (target in cut_off):
            continue
        if is_stalled(views[source]) or is_stalled(views[target]):
            continue
        answered = link.received_ago <= link.probed_ago
        reverse = links.get((target, source))
        received = reverse is not None and reverse.received_ago <= link.probed_ago + MIN_PROBE_AGE
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
    """Members that nothing leaves or reaches, unless a fault of their zone explains it."""
    faults = []
    for name, view in sorted(views.items()):
        sends_nothing = counts.from_member.is_faulty(name)
        receives_nothing = counts.to_member.is_faulty(name)
        if view.zone in affected_zones or not (sends_nothing or receives_nothing):
            continue
        if sends_nothing and receives_nothing:
            kind, word, direction = FaultKind.LINK_CUT, "cut", "from or to"
        else:
            kind, word, direction = FaultKind.ONE_WAY, "one-way", "from" if sends_nothing else "to"
        description = f"{word}: nothing comes straight {direction} {name}"
        faults.append(Fault(kind, (name,), description, (name,)))
    return faults
