"""The picture: SVG by a template, within one HTML file, as DOT or JSON. Nothing outside is linked.

Meaning never hangs on colour alone: what is ill has another shape, a thick dashed border and its word. Past
MANY in a zone the well are drawn small and counted, and only the ill and the different carry their names.
"""

from __future__ import annotations

import unicodedata
from typing import Any

import msgspec
import networkx as nx
from jinja2 import Environment, PackageLoader
from markupsafe import Markup

from onyxhollow.topology import faults
from onyxhollow.topology.layout import BOX, CELL, GAP, TOP, place
from onyxhollow.topology.model import Snapshot

MANY = 12  # members of a zone past which the well are counted
SHOWN = 22  # characters of a name
FULL = 0.9  # load from which a server is drawn as ill
COLUMNS = 4  # zones beside each other

PAGES = Environment(
    loader=PackageLoader("onyxhollow.topology"), autoescape=True, trim_blocks=True, lstrip_blocks=True
)


def clean(name: str, most: int = SHOWN) -> str:
    """As it may be drawn: no control characters, nothing that turns what follows round, not too long."""
    told = "".join(
        sign if unicodedata.category(sign)[0] != "C" else "\N{REPLACEMENT CHARACTER}" for sign in name
    )
    return told if len(told) <= most else told[: most - 1] + "\N{HORIZONTAL ELLIPSIS}"


def ill_members(snapshot: Snapshot, found: list[faults.Trouble]) -> dict[str, str]:
    """Names of members that a trouble names, with its word."""
    told: dict[str, str] = {}
    members = snapshot.members()
    for one in found:
        if one.kind in ("cut", "gone", "one-way", "link cut", "stalled", "draining"):
            for name in one.who:
                told.setdefault(name, one.kind)
        elif one.kind == "zone draining":
            for name, member in members.items():
                if member.zone in one.who:
                    told.setdefault(name, "draining")
    for view in snapshot.views:
        for row in view.members:
            if row.life == "suspect":
                told.setdefault(row.name, "suspect")
            if row.damped:
                told.setdefault(row.name, "comes and goes")
    return told


def told_flows(rows: dict[str, int]) -> str:
    """Connections of a zone's members, by the zone of the server."""
    return ", ".join(f"{clean(to, 12) or 'no zone'} {count}" for to, count in list(rows.items())[:6])


def scene(snapshot: Snapshot) -> dict[str, Any]:
    """Everything with its place."""
    found = faults.find(snapshot)
    members, servers = snapshot.members(), snapshot.servers()
    views = snapshot.by_name()
    ill = ill_members(snapshot, found)
    holders: dict[str, list[str]] = {}
    for duty, row in snapshot.duties().items():
        if name := row.holder.rpartition("~")[0]:
            holders.setdefault(name, []).append(duty)
    flows = snapshot.flows()
    zones = sorted({m.zone for m in members.values()} | {s.zone for s in servers.values()})
    boxes: list[dict[str, Any]] = []
    spots: dict[str, tuple[float, float]] = {}
    lines: list[dict[str, Any]] = []
    top, deep = 60.0, 0.0
    for number, zone in enumerate(zones):
        if number and number % COLUMNS == 0:
            top, deep = top + deep + GAP, 0.0
        left = GAP + (number % COLUMNS) * (BOX + GAP)
        inside = sorted(name for name, member in members.items() if member.zone == zone)
        near = sorted(name for name, server in servers.items() if server.zone == zone)
        at, high = place(inside, left + 8, top + TOP, BOX - 16)
        below = top + TOP + high + 26
        at_servers, more = place(near, left + 8, below, BOX - 16)
        spots[f"z:{zone}"] = left + BOX - 30, top + 16
        spots |= {f"m:{name}": spot for name, spot in at.items()}
        spots |= {f"s:{name}": spot for name, spot in at_servers.items()}
        many = len(inside) > MANY
        rows = []
        for name in inside:
            word = ill.get(name, "")
            x, y = at[name]
            label = bool(word) or name in holders or not many
            rows.append(
                {
                    "name": clean(name),
                    "whole": clean(name, 200),
                    "x": x,
                    "y": y,
                    "word": word,
                    "label": label,
                    "asked": name in views,
                    "votes": members[name].votes,
                    "duties": ", ".join(sorted(holders.get(name, []))),
                }
            )
        blocks = []
        for name in near:
            server = servers[name]
            x, y = at_servers[name]
            word = server.state if server.state != "in service" else ""
            if not word and server.load is not None and server.load >= FULL:
                word = "full"
            if not word and server.distrust >= 2.0:
                word = "distrusted"
            if not word and server.arrives:
                word = "arrives"
            blocks.append(
                {
                    "name": clean(name),
                    "whole": clean(name, 200),
                    "x": x,
                    "y": y,
                    "word": word,
                    "label": bool(word) or len(near) <= MANY,
                    "own": server.own,
                    "fill": 0.0 if server.load is None else min(1.0, max(0.0, server.load)),
                    "load": "?" if server.load is None else f"{server.load:.2f}",
                    "age": "" if server.load_age is None else f"{server.load_age:.0f} s old",
                }
            )
        well = sum(not row["word"] for row in rows)
        height = TOP + high + 26 + more + 10
        fine = sum(not block["word"] for block in blocks)
        summary = f"{len(rows)} members, {well} well; {len(blocks)} servers, {fine} well"
        boxes.append(
            {
                "zone": clean(zone) or "no zone",
                "x": left,
                "y": top,
                "width": BOX,
                "height": height,
                "members": rows,
                "servers": blocks,
                "summary": summary,
                "flows": told_flows(flows.get(zone, {})),
                "below": below - 8,
            }
        )
        deep = max(deep, height)
    for one in found:
        if one.kind in ("one-way", "link cut", "zone one-way", "zone link cut") and len(one.who) == 2:
            of = "z" if one.kind.startswith("zone") else "m"
            a, b = (spots.get(f"{of}:{name}") for name in one.who)
            if a and b:
                lines.append({"x1": a[0], "y1": a[1], "x2": b[0], "y2": b[1], "kind": one.kind})
    addresses: dict[str, list[dict[str, Any]]] = {}
    for (address, site), stands in sorted(snapshot.addresses().items()):
        why = clean(stands.stays or stands.cause or stands.drain, 60)
        told = {"site": clean(site), "standing": stands.standing, "why": why}
        addresses.setdefault(clean(address), []).append(told)
    width = GAP + min(COLUMNS, max(1, len(zones))) * (BOX + GAP)
    words = [clean(one.words, 150) for one in found]
    return {
        "width": width,
        "height": top + deep + GAP,
        "boxes": boxes,
        "lines": lines,
        "troubles": words,
        "kinds": sorted({one.kind for one in found}),
        "addresses": addresses,
        "spots": spots,
        "cell": CELL,
        "asked": len(views),
        "silent": [clean(f"{s.at}: {s.why}", 120) for s in snapshot.silent],
        "duties": [
            {
                "duty": clean(duty),
                "holder": clean(row.holder.rpartition("~")[0]) or "nobody",
                "term": row.term,
            }
            for duty, row in sorted(snapshot.duties().items())
        ],
        "at": snapshot.at,
        "members": len(members),
        "servers": len(servers),
    }


def svg(snapshot: Snapshot) -> str:
    return PAGES.get_template("fleet.svg").render(scene(snapshot))


def html(snapshot: Snapshot) -> str:
    told = scene(snapshot)
    picture = Markup(PAGES.get_template("fleet.svg").render(told))  # noqa: S704 - made and escaped above
    return PAGES.get_template("fleet.html").render(told, picture=picture)


def replay(snapshots: list[Snapshot]) -> str:
    """A slider over time, with marks where duties, addresses, members or troubles changed."""
    frames = []
    before = None
    for snapshot in snapshots:
        told = scene(snapshot)
        now = (told["duties"], told["addresses"], told["troubles"], told["members"])
        picture = PAGES.get_template("fleet.svg").render(told)
        frames.append(
            {
                "at": snapshot.at,
                "picture": Markup(picture),
                "troubles": told["troubles"],  # noqa: S704
                "mark": before is not None and now != before,
            }
        )
        before = now
    return PAGES.get_template("replay.html").render(frames=frames)


def graph(snapshot: Snapshot) -> nx.DiGraph:
    """Members and servers as nodes, who sees whom and who holds connections where as edges."""
    made = nx.DiGraph()
    ill = ill_members(snapshot, faults.find(snapshot))
    for name, member in snapshot.members().items():
        made.add_node(
            f"m:{name}", label=clean(name), kind="member", zone=member.zone, trouble=ill.get(name, "")
        )
    for name, server in snapshot.servers().items():
        made.add_node(f"s:{name}", label=clean(name), kind="server", zone=server.zone, load=server.load)
    for view in snapshot.views:
        for link in view.links:
            if f"m:{link.to}" in made:
                made.add_edge(
                    f"m:{link.to}", f"m:{view.name}", heard=link.heard, lost=link.lost, rtt=link.rtt_ms
                )
        for row in view.servers:
            if row.own:
                made.add_edge(f"m:{view.name}", f"s:{row.name}", connections=row.own)
    return made


def quoted(text: object) -> str:
    return '"' + str(text).replace("\\", "\\\\").replace('"', '\\"') + '"'


def dot(snapshot: Snapshot) -> str:
    made = graph(snapshot)
    rows = ["digraph fleet {"]
    for node, told in made.nodes(data=True):
        shape = "box" if told["kind"] == "server" else "ellipse"
        style = ' style="dashed" penwidth=3' if told.get("trouble") else ""
        rows.append(f"  {quoted(node)} [label={quoted(told['label'])} shape={shape}{style}];")
    rows += [
        f"  {quoted(a)} -> {quoted(b)} [label={quoted(told.get('connections', ''))}];"
        for a, b, told in made.edges(data=True)
        if "connections" in told
    ]
    return "\n".join([*rows, "}"]) + "\n"


def as_json(snapshot: Snapshot) -> str:
    found = [
        {"kind": one.kind, "who": one.who, "words": one.words, "said_by": one.said_by}
        for one in faults.find(snapshot)
    ]
    told = {"snapshot": snapshot, "troubles": found, "connections": snapshot.flows()}
    return msgspec.json.encode(told).decode()
