"""What is wrong, named. Pure: from a snapshot, with who says so.

Each kind has a rule of its own, and one cause is named once: whoever is named as gone, stalled or cut off is
not named again for what follows from it.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass

import networkx as nx

from onyxhollow.topology.model import Snapshot, View

OLD_HEARD = 4.0  # seconds without a datagram, past which a direct way counts as silent ...
ASKED = 3  # ... if so many questions have gone that way
LOST = 0.85  # share of them unanswered
FEW = 40  # members past which each is asked too seldom for one link to tell anything: links in sum tell
ENOUGH = 8  # lost in sum, at the least, if they are to tell anything
SETTLED, LATELY = 1.5, 45.0  # seconds after a question for which it tells something
STALLED_LATELY = 20.0  # seconds for which a stall is told
GONE = ("dead", "left")


@dataclass(frozen=True, slots=True)
class Trouble:
    kind: str
    who: tuple[str, ...]  # members, zones, duties or addresses
    words: str
    said_by: tuple[str, ...]


def dead_in(view: View) -> set[str]:
    """Names no process of which this member holds for there."""
    alive = {row.name for row in view.members if row.life not in GONE} | {view.name}
    return {row.name for row in view.members if row.life == "dead"} - alive


def named(names: set[str] | list[str]) -> str:
    rows = sorted(names)
    return ", ".join(rows[:6]) + (f" and {len(rows) - 6} more" if len(rows) > 6 else "")


def find(snapshot: Snapshot) -> list[Trouble]:
    views = snapshot.by_name()
    if not views:
        return []
    found: list[Trouble] = []
    dead = {name: dead_in(view) for name, view in views.items()}
    # Two that answer and hold each other for dead: there is a cut between them.
    graph = nx.Graph()
    graph.add_nodes_from(views)
    apart = [(a, b) for a in views for b in views if a < b and b in dead[a] and a in dead[b]]
    far = set(apart)
    graph.add_edges_from((a, b) for a in views for b in views if a < b and (a, b) not in far)
    sides = [set(side) for side in nx.connected_components(graph)]
    cut_off: set[str] = set()
    if apart and len(sides) > 1:
        sides.sort(key=lambda side: (-len(side), sorted(side)))
        for side in sides[1:]:
            cut_off |= side
            words = f"cut: {named(side)} and {named(sides[0])} hold each other for dead"
            by = tuple(sorted({name for pair in apart for name in pair}))
            found.append(Trouble("cut", tuple(sorted(side)), words, by))
    # Held for dead by all who answer on a side, and it does not answer: gone.
    gone = {name for rows in dead.values() for name in rows if name not in views}
    for name in sorted(gone):
        by = tuple(sorted(one for one, rows in dead.items() if name in rows))
        hidden = [one for one in views if name not in dead[one] and one not in cut_off]
        if len(by) > len(hidden):
            found.append(Trouble("gone", (name,), f"gone: {name}, held for dead by {len(by)}", by))
    found += one_way(views, cut_off)
    found += stalled(views)
    found += duties(snapshot)
    found += addresses(snapshot)
    found += draining(views)
    versions = {view.version for view in views.values() if view.version}
    if len(versions) > 1:
        by_version = {v: [one for one, view in views.items() if view.version == v] for v in versions}
        words = "two versions at once: " + "; ".join(f"{v}: {named(by_version[v])}" for v in sorted(versions))
        found.append(Trouble("versions", tuple(sorted(versions)), words, tuple(sorted(views))))
    for silent in snapshot.silent:
        found.append(Trouble("silent", (silent.at,), f"{silent.at} did not answer: {silent.why}", ()))
    return found


def one_way(views: dict[str, View], cut_off: set[str]) -> list[Trouble]:
    """A hears B and B does not hear A: the way from A to B is down. Where there are too many for each pair to
    ask often, ways are looked at in sum."""
    if len(views) > FEW:
        return ways(views, cut_off)
    silent: set[tuple[str, str]] = set()  # from, to: nothing comes straight that way
    for name, view in views.items():
        for link in view.links:
            if link.to in views and link.asked >= ASKED and link.heard > OLD_HEARD and link.lost >= LOST:
                silent.add((link.to, name))
    found = []
    for source, target in sorted(silent):
        if (target, source) in silent and (source in cut_off) != (target in cut_off):
            continue  # part of a cut that is named
        if (target, source) in silent:
            if source < target:
                words = f"cut: nothing passes straight between {source} and {target}; others carry it"
                found.append(Trouble("link cut", (source, target), words, (source, target)))
        else:
            words = f"one-way: nothing comes straight from {source} to {target}, the other way it does"
            found.append(Trouble("one-way", (source, target), words, (target,)))
    return found


def ways(views: dict[str, View], cut_off: set[str]) -> list[Trouble]:
    """In a large fleet, from all questions of late in sum: which direct way is down, between two zones or
    from and to a member. Who asked and has heard nothing straight from the other since: if the other has
    heard the question, the way back is down, else the way there."""
    links = {(name, link.to): link for name, view in views.items() for link in view.links}
    fine: Counter[tuple[str, str]] = Counter()  # by zones, and by member with "" for all others
    down: Counter[tuple[str, str]] = Counter()
    for (a, b), link in links.items():
        if b not in views or not link.asked or not SETTLED <= link.asked_ago <= LATELY:
            continue
        if (a in cut_off) != (b in cut_off):
            continue
        if any(lately_stalled(views[one]) for one in (a, b)):
            continue
        back = links.get((b, a))
        there = link.heard <= link.asked_ago or (back is not None and back.heard <= link.asked_ago + SETTLED)
        for ok, source, target in ((there, a, b), (link.heard <= link.asked_ago, b, a)):
            if target == a and not there:
                continue  # nothing was there to be answered
            count = fine if ok else down
            here, far = views[source].zone, views[target].zone
            for way in ((f"m:{source}", ""), ("", f"m:{target}"), *([(here, far)] if here != far else [])):
                count[way] += 1
    bad = {way for way, lost in down.items() if lost >= max(ENOUGH, LOST * (lost + fine[way]))}
    zones = {way for way in bad if "" not in way}
    found = []
    for here, far in sorted(zones):
        told = f"{down[here, far]} of {down[here, far] + fine[here, far]} questions or answers of late"
        if (far, here) not in zones:
            words = f"one-way: nothing comes straight from zone {here} to zone {far}, {told} lost"
            found.append(Trouble("zone one-way", (here, far), words, ()))
        elif here < far:
            words = f"cut: nothing passes straight between zones {here} and {far}, {told} lost"
            found.append(Trouble("zone link cut", (here, far), words, ()))
    hit = {zone for way in zones for zone in way}
    for name, view in sorted(views.items()):
        out, back_in = (f"m:{name}", "") in bad, ("", f"m:{name}") in bad
        if view.zone in hit or not (out or back_in):
            continue
        what = "from or to" if out and back_in else "from" if out else "to"
        words = f"{'cut' if out and back_in else 'one-way'}: nothing comes straight {what} {name}"
        found.append(Trouble("link cut" if out and back_in else "one-way", (name,), words, (name,)))
    return found


def lately_stalled(view: View) -> bool:
    return view.stalled_ago is not None and view.stalled_ago < STALLED_LATELY and view.stalled > 0.5


def stalled(views: dict[str, View]) -> list[Trouble]:
    found = []
    for name, view in sorted(views.items()):
        if lately_stalled(view):
            lately = f"{view.stalled:.1f} s in all, last {view.stalled_ago:.0f} s ago"
            words = f"stalled: {name} stood still, {lately}"
            found.append(Trouble("stalled", (name,), words, (name,)))
    return found


def duties(snapshot: Snapshot) -> list[Trouble]:
    """A duty of which no holder is there."""
    found = []
    views = snapshot.by_name()
    for duty, row in sorted(snapshot.duties().items()):
        holder = row.holder.rpartition("~")[0]
        holding = [
            name
            for name, view in views.items()
            for one in view.duties
            if one.duty == duty and one.here == "holding"
        ]
        here = [one.here for view in views.values() for one in view.duties if one.duty == duty and one.here]
        lost = not holder or holder in views or all(holder in dead_in(view) for view in views.values())
        if not holding and here and lost:
            words = f"no holder: {duty}, last {holder or 'nobody'} under term {row.term}"
            found.append(Trouble("no holder", (duty,), words, tuple(sorted(views))))
    return found


def addresses(snapshot: Snapshot) -> list[Trouble]:
    found = []
    for (address, site), row in sorted(snapshot.addresses().items()):
        if row.standing == "withdrawn":
            why = row.drain or row.exclude or row.cause or "not advertised yet"
            found.append(Trouble("withdrawn", (address, site), f"withdrawn: {address} at {site}, {why}", ()))
        elif row.stays:
            found.append(Trouble("stays", (address, site), f"{address} at {site} stays, {row.stays}", ()))
    return found


def draining(views: dict[str, View]) -> list[Trouble]:
    """Members that send their clients away; a zone, if all of it does."""
    away = {name for name, view in views.items() if view.service in ("leaving", "out of service")}
    found = []
    for zone in sorted({view.zone for view in views.values()}):
        rows = {name for name, view in views.items() if view.zone == zone}
        if rows and rows <= away and len(views) > len(rows):
            words = f"zone {zone} drains: {named(rows)}"
            found.append(Trouble("zone draining", (zone,), words, tuple(sorted(rows))))
            away -= rows
    found += [Trouble("draining", (name,), f"{name} drains", (name,)) for name in sorted(away)]
    return found
