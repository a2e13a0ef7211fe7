"""The command-line view of a fault scenario while it runs."""

from __future__ import annotations

import argparse
import json
import tempfile
from pathlib import Path

from msgspec.structs import replace
from rich.console import Console
from rich.live import Live
from rich.table import Table

from onyxhollow.lab.fleet import course


def print_scenarios() -> int:
    """Print the shipped fault scenarios."""
    table = Table("course", "members", "seconds", "about", box=None)
    for name in course.shipped():
        row = course.read(name)
        table.add_row(name, str(row.members), f"{row.seconds:g}", row.about)
    Console().print(table)
    return 0


def state_table(player: course.Player, now: float) -> Table:
    """Return the state of the first 24 members as a table."""
    cluster = player.cluster
    table = Table(
        "member", "state", "sees", "holds", "datagrams", title=f"{now:.1f} s, {player.faults} faults"
    )
    current_holds = {hold.duty: hold for hold in cluster.holds()}
    for name, process in list(cluster.current.items())[:24]:
        state = "stopped" if process.stopped else "up" if process.alive else "down"
        held_duties = [
            f"{duty} ({hold.term})"
            for duty, hold in current_holds.items()
            if hold.process == process.title and not hold.ended and hold.until > cluster.loop.now
        ]
        member_count = str(cluster.visible_members(process)) if process.alive else ""
        table.add_row(name, state, member_count, ", ".join(held_duties), str(cluster.links.sent[name]))
    return table


def play(args: argparse.Namespace) -> int:
    """Play a fault scenario with a live table, print its figures, and return 0 if it was clean."""
    row = course.read(args.course)
    changes = {name: value for name in ("seed", "members") if (value := getattr(args, name)) is not None}
    row = replace(row, **changes)
    console = Console(stderr=True)
    with tempfile.TemporaryDirectory(prefix="onyxhollow-fleet-") as scratch:
        player = course.Player(row, args.logs or Path(scratch))
        with Live(console=console, refresh_per_second=4, transient=not console.is_terminal) as live:
            report = player.play(lambda player, now: live.update(state_table(player, now)))
    figures = report.figures()
    if args.json:
        print(json.dumps(figures))
    else:
        for name, value in figures.items():
            print(f"{name}: {value}")
    return 0 if report.clean else 1
