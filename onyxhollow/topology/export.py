"""Export of a snapshot for other programs: as DOT, and as JSON with its faults. Pure."""

from __future__ import annotations

import msgspec
import networkx as nx

from onyxhollow.topology.faults import find_faults
from onyxhollow.topology.model import Snapshot
from onyxhollow.topology.scene import sanitize, unhealthy_members


def build_graph(snapshot: Snapshot) -> nx.DiGraph:
    """Build a graph of members and endpoints; edges are links between members and connections."""
    graph = nx.DiGraph()
    marks = unhealthy_members(snapshot, find_faults(snapshot))
    for name, member in snapshot.members().items():
        graph.add_node(
            f"m:{name}", label=sanitize(name), kind="member", zone=member.zone, mark=marks.get(name, "")
        )
    for name, endpoint in snapshot.endpoints().items():
        graph.add_node(
            f"s:{name}", label=sanitize(name), kind="endpoint", zone=endpoint.zone, load=endpoint.load
        )
    for view in snapshot.views:
        for link in view.links:
            if f"m:{link.peer}" in graph:
                graph.add_edge(
                    f"m:{link.peer}",
                    f"m:{view.name}",
                    received_ago=link.received_ago,
                    loss=link.loss,
                    rtt_ms=link.rtt_ms,
                )
        for row in view.endpoints:
            if row.connections:
                graph.add_edge(f"m:{view.name}", f"s:{row.name}", connections=row.connections)
    return graph


def dot(snapshot: Snapshot) -> str:
    """Render the graph in the DOT language of Graphviz; of the edges, only connections."""
    graph = build_graph(snapshot)
    lines = ["digraph fleet {"]
    for node, attributes in graph.nodes(data=True):
        shape = "box" if attributes["kind"] == "endpoint" else "ellipse"
        style = ' style="dashed" penwidth=3' if attributes.get("mark") else ""
        lines.append(f"  {_quote(node)} [label={_quote(attributes['label'])} shape={shape}{style}];")
    for source, target, attributes in graph.edges(data=True):
        if "connections" in attributes:
            label = _quote(attributes["connections"])
            lines.append(f"  {_quote(source)} -> {_quote(target)} [label={label}];")
    return "\n".join([*lines, "}"]) + "\n"


def as_json(snapshot: Snapshot) -> str:
    """Encode the snapshot, its faults and the connections by zone as JSON, with the snapshot file's keys."""
    faults = [
        {
            "kind": fault.kind,
            "who": fault.subjects,
            "words": fault.description,
            "said_by": fault.reported_by,
        }
        for fault in find_faults(snapshot)
    ]
    content = {"snapshot": snapshot, "troubles": faults, "connections": snapshot.connections_by_zone()}
    return msgspec.json.encode(content).decode()


def _quote(text: object) -> str:
    return '"' + str(text).replace("\\", "\\\\").replace('"', '\\"') + '"'
