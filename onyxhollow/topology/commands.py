"""topology: draw, show, diff, save, record, replay.

Exit codes: 0 done; 1 show and draw found trouble and --check was given; 2 nothing could be gathered, read or
written.
"""

from __future__ import annotations

import argparse
import math
import os
import sys
import time
from pathlib import Path

from rich.console import Console
from rich.live import Live
from rich.table import Table

from onyxhollow.topology import compare, draw, faults, logs, snapshot_file
from onyxhollow.topology.gather import GatherError, gather
from onyxhollow.topology.model import Snapshot

EVERY = 1.0
RING = 600  # snapshots of `record`
WRITERS = {".svg": draw.svg, ".html": draw.html, ".dot": draw.dot, ".json": draw.as_json}


class TopologyError(Exception):
    """One line."""


def source(told: argparse.Namespace) -> Snapshot:
    """From a snapshot's file, from logs (files by comma, or a folder of them), or from members: addresses by
    comma, or @FILE with one a line."""
    word = told.source or os.environ.get("LB_MANAGEMENT", "")
    paths = [Path(row) for row in word.split(",") if row]
    if len(paths) == 1 and paths[0].is_dir():
        paths = sorted(paths[0].glob("*.log"))
        if not paths:
            raise TopologyError(f"{word}: expected a folder with files *.log, got none")
    if paths and all(path.is_file() for path in paths):
        if len(paths) == 1 and paths[0].suffix == snapshot_file.SUFFIX:
            return snapshot_file.read(paths[0])
        return logs.read(paths, told.until or math.inf)
    if word.startswith("@"):
        try:
            rows = Path(word[1:]).read_text().split()
        except OSError as error:
            raise TopologyError(f"{word[1:]}: {error.strerror}") from None
    else:
        rows = [row for row in word.split(",") if row]
    return gather(rows)


def write(path: Path, body: str) -> None:
    try:
        path.write_text(body, encoding="utf-8")
    except OSError as error:
        raise TopologyError(f"{path}: {error.strerror}") from None


def table(snapshot: Snapshot) -> Table:
    found = faults.find(snapshot)
    members, servers, views = snapshot.members(), snapshot.servers(), snapshot.by_name()
    caption = "\n".join(draw.clean(one.words, 150) for one in found) or "no trouble"
    shown = Table(box=None, caption=caption, caption_justify="left")
    for head in ("zone", "members", "asked", "ill", "servers", "busiest", "connections", "goes to"):
        shown.add_column(head, overflow="fold")
    ill, flows = draw.ill_members(snapshot, found), snapshot.flows()
    for zone in sorted({m.zone for m in members.values()} | {s.zone for s in servers.values()}):
        inside = [name for name, member in members.items() if member.zone == zone]
        near = [server for server in servers.values() if server.zone == zone]
        busiest = max((s for s in near if s.load is not None), key=lambda s: s.load or 0.0, default=None)
        bad = ", ".join(f"{draw.clean(name)} ({ill[name]})" for name in sorted(inside) if name in ill)
        shown.add_row(
            draw.clean(zone) or "no zone",
            str(len(inside)),
            str(sum(n in views for n in inside)),
            bad,
            str(len(near)),
            f"{draw.clean(busiest.name)} {busiest.load:.2f}" if busiest else "",
            str(sum(s.own for s in near)),
            draw.told_flows(flows.get(zone, {})),
        )
    return shown


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog="onyxhollow topology")
    parts = top.add_subparsers(dest="part", required=True)

    def add(name: str, does: str) -> argparse.ArgumentParser:
        part = parts.add_parser(name, help=does)
        part.add_argument(
            "--from",
            dest="source",
            default="",
            metavar="MEMBERS|FILE|FOLDER",
            help="HOST:PORT,.. or @FILE of them, a snapshot, logs or a folder of them; else $LB_MANAGEMENT",
        )
        part.add_argument("--until", type=float, default=0.0, help="of logs: as it was then, Unix seconds")
        return part

    for name, does in (("draw", "a picture: .svg, .html, .png, .dot, .json"), ("show", "in the terminal")):
        part = add(name, does)
        part.add_argument("--check", action="store_true", help="exit 1 if there is trouble")
        if name == "draw":
            part.add_argument("-o", "--out", type=Path, required=True)
        else:
            part.add_argument("--watch", action="store_true", help="again each second, until ended by hand")
    add("save", "a snapshot").add_argument("-o", "--out", type=Path, required=True)
    record = add("record", "a ring of snapshots, until ended by hand")
    record.add_argument("folder", type=Path)
    record.add_argument("--every", type=float, default=EVERY, help="seconds")
    record.add_argument("--most", type=int, default=RING)
    record.add_argument("--count", type=int, default=0, help="ends after so many; 0: by hand")
    diff = parts.add_parser("diff", help="what came, went, changed between two snapshots")
    diff.add_argument("before", type=Path)
    diff.add_argument("after", type=Path)
    diff.add_argument("-o", "--out", type=Path, help="both drawn, in one HTML file")
    replay = parts.add_parser("replay", help="a recorded ring as HTML with a slider")
    replay.add_argument("folder", type=Path)
    replay.add_argument("-o", "--out", type=Path, required=True)
    return top


def png(path: Path, snapshot: Snapshot) -> None:
    """By matplotlib, from the same places."""
    try:
        from matplotlib.figure import Figure
    except ImportError:
        raise TopologyError(f"{path}: a PNG needs matplotlib: pip install 'onyxhollow[lab]'") from None
    told = draw.scene(snapshot)
    figure = Figure(figsize=(told["width"] / 80, max(2.0, told["height"] / 80)))
    axes = figure.add_axes((0, 0, 1, 1))
    axes.set_xlim(0, told["width"])
    axes.set_ylim(told["height"], 0)
    axes.axis("off")
    counts = f"{told['members']} members, {told['servers']} servers; {len(told['troubles'])} troubles"
    axes.text(20, 20, counts)
    for box in told["boxes"]:
        words = f"{box['zone']}: {box['summary']}"
        axes.text(box["x"] + 8, box["y"] + 14, words, fontsize=6, parse_math=False)
        for row in box["members"]:
            axes.plot(
                row["x"], row["y"], "D" if row["word"] else "o", color="#a20" if row["word"] else "#246"
            )
            if row["label"]:
                words = f"{row['name']} {row['word']}"
                axes.text(row["x"], row["y"] + 12, words, fontsize=4, ha="center", parse_math=False)
        for row in box["servers"]:
            axes.plot(
                row["x"], row["y"], "X" if row["word"] else "s", color="#a20" if row["word"] else "#777"
            )
    figure.savefig(path, dpi=80)


def drawn(told: argparse.Namespace) -> Snapshot:
    if told.out.suffix != ".png" and told.out.suffix not in WRITERS:
        raise TopologyError(f"--out: expected .svg, .html, .png, .dot or .json, got {told.out.name[:60]!r}")
    snapshot = source(told)
    if told.out.suffix == ".png":
        png(told.out, snapshot)
    else:
        write(told.out, WRITERS[told.out.suffix](snapshot))
    return snapshot


def carry_out(told: argparse.Namespace, console: Console) -> int:
    if told.part == "draw":
        snapshot = drawn(told)
        for one in faults.find(snapshot):
            console.print(draw.clean(one.words, 200), markup=False)
        return int(told.check and bool(faults.find(snapshot)))
    if told.part == "show":
        snapshot = source(told)
        if not told.watch:
            console.print(table(snapshot))
            return int(told.check and bool(faults.find(snapshot)))
        with Live(table(snapshot), console=console, auto_refresh=False) as live:
            while True:
                time.sleep(EVERY)
                live.update(table(source(told)), refresh=True)
    if told.part == "save":
        snapshot_file.save(told.out, source(told))
    elif told.part == "record":
        if told.every < 0.1 or told.most < 1:
            raise TopologyError("--every: expected 0.1 or more; --most: 1 or more")
        made = 0
        while not told.count or made < told.count:
            began, made = time.monotonic(), made + 1
            snapshot_file.record(told.folder, source(told), told.most)
            if not told.count or made < told.count:
                time.sleep(max(0.0, told.every - (time.monotonic() - began)))
    elif told.part == "diff":
        before, after = snapshot_file.read(told.before), snapshot_file.read(told.after)
        rows = compare.differences(before, after)
        for row in rows or ["no difference"]:
            console.print(draw.clean(row, 200), markup=False)
        if told.out:
            write(told.out, draw.replay([before, after]))
    elif told.part == "replay":
        snapshots = snapshot_file.ring(told.folder)
        if not snapshots:
            raise TopologyError(f"{told.folder}: expected snapshots ({snapshot_file.SUFFIX}), got none")
        write(told.out, draw.replay(snapshots))
    return 0


def main(words: list[str]) -> int:
    told = parser().parse_args(words)
    console = Console() if sys.stdout.isatty() else Console(width=160)
    try:
        return carry_out(told, console)
    except (TopologyError, GatherError, snapshot_file.SnapshotError, logs.LogError) as error:
        sys.stderr.write(f"onyxhollow: {draw.clean(str(error), 300)}\n")
        return 2
    except KeyboardInterrupt:
        return 130
