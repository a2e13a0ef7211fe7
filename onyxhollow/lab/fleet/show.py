"""A course, shown while it is played."""

from __future__ import annotations

import argparse
import json
import tempfile
from pathlib import Path

from msgspec.structs import replace
from rich.console import Console
from rich.live import Live
from rich.table import Table

from onyxhollow.lab.fleet import fault_scenario


def print_scenarios() -> int:
    table = Table("course", "members", "seconds", "about", box=None)
    for name in fault_scenario.shipped_scenarios():
        row = fault_scenario.read(name)
        table.add_row(name, str(row.members), f"{row.seconds:g}", row.about)
    Console().print(table)
    return 0


def picture(runner: fault_scenario.ScenarioRunner, now: float) -> Table:
    cluster = runner.cluster
    table = Table(
        "member", "state", "sees", "holds", "datagrams", title=f"{now:.1f} s, {runner.faults} faults"
    )
    holding = {hold.duty: hold for hold in cluster.holds()}
    for name, process in list(cluster.current.items())[:24]:
        state = "stopped" if process.stopped else "up" if process.alive else "down"
        held = [
            f"{duty} ({hold.term})"
            for duty, hold in holding.items()
            if hold.process == process.title and not hold.ended and hold.until > cluster.loop.now
        ]
        sees = str(cluster.visible_members(process)) if process.alive else ""
        table.add_row(name, state, sees, ", ".join(held), str(cluster.links.sent[name]))
    return table


def play(told: argparse.Namespace) -> int:
    row = fault_scenario.read(told.course)
    changes = {name: value for name in ("seed", "members") if (value := getattr(told, name)) is not None}
    row = replace(row, **changes)
    console = Console(stderr=True)
    with tempfile.TemporaryDirectory(prefix="onyxhollow-fleet-") as scratch:
        runner = fault_scenario.ScenarioRunner(row, told.logs or Path(scratch))
        with Live(console=console, refresh_per_second=4, transient=not console.is_terminal) as live:
            report = runner.run(lambda runner, now: live.update(picture(runner, now)))
    figures = report.figures()
    if told.json:
        print(json.dumps(figures))
    else:
        for name, value in figures.items():
            print(f"{name}: {value}")
    return 0 if report.clean else 1
