"""onyxhollow lab: list, show, run, experiment, compare, search, report."""

from __future__ import annotations

import argparse
import sys
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.table import Table

from onyxhollow.lab import decisions, runs, scenario

LOST_SHOWN = 0.0005  # share of the wanted utility from which a cause gets a line


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(
        prog="onyxhollow lab", description="Plays days on a model of fleet and clients."
    )
    commands = top.add_subparsers(dest="command", required=True)
    commands.add_parser("list", help="scenarios and policies")
    show = commands.add_parser("show", help="a scenario, whole, as TOML")
    show.add_argument("scenario", help="a name of list, or a file")
    run = commands.add_parser("run", help="one run")
    run.add_argument("scenario", help="a name of list, or a file")
    run.add_argument("--seed", type=int, default=1)
    run.add_argument("--policy", default="module", help="a name of list, or a commit of this repository")
    run.add_argument("--json", metavar="FILE", help="all figures, with series for reports")
    return top


def main(words: list[str]) -> int:
    told = parser().parse_args(words)
    try:
        return int(globals()[f"do_{told.command}"](told))
    except (scenario.ScenarioError, decisions.PolicyError, runs.RunError) as error:
        sys.stderr.write(f"onyxhollow: {error}\n")
        return 2
    except KeyboardInterrupt:
        sys.stderr.write("onyxhollow: ended by hand\n")
        return 130


def do_list(_: argparse.Namespace) -> int:
    table = Table("scenario", "proxies x servers", "seconds", "about", box=None)
    for name in scenario.shipped():
        row = scenario.read(name)
        table.add_row(name, f"{row.fleet.proxies} x {row.fleet.servers}", f"{row.seconds:g}", row.about)
    console = Console()
    console.print(table)
    console.print("policies: " + ", ".join(decisions.names()) + ", or a commit")
    return 0


def do_show(told: argparse.Namespace) -> int:
    sys.stdout.write(scenario.encode(scenario.read(told.scenario)).decode())
    return 0


def do_run(told: argparse.Namespace) -> int:
    figures = runs.play(scenario.read(told.scenario), told.seed, told.policy, series=bool(told.json))
    if told.json:
        Path(told.json).write_bytes(runs.text(figures))
    summary(figures, Console())
    return 0 if figures["rules"]["clean"] else 1


def summary(figures: dict[str, Any], console: Console) -> None:
    """One run in words and a table."""
    proxies, servers = figures["size"]
    console.print(
        f"{figures['scenario']}, seed {figures['seed']}, {figures['policy']}: {proxies} proxies, "
        f"{servers} servers, {figures['clients']} clients ({figures['engine']})"
    )
    table = Table(box=None, show_header=False)
    table.add_row("service", f"{figures['service']:.4f}", "of the utility that clients wanted")
    table.add_row("worst 10 s", f"{figures['worst_window']:.4f}")
    for kind in ("listeners", "customers"):
        worst = min(figures[kind], key=figures[kind].get)
        table.add_row(f"worst of {kind}", f"{figures[kind][worst]:.4f}", worst)
    table.add_row("figure", f"{figures['figure']:.4f}", "weighted by the scenario's goal")
    for cause, share in sorted(figures["lost"].items(), key=lambda row: -row[1]):
        if share >= LOST_SHOWN:
            table.add_row(f"lost: {cause}", f"{share:.4f}")
    table.add_row("set-up", f"{figures['setup_ms']['p50']:g} ms", f"99%: {figures['setup_ms']['p99']:g} ms")
    table.add_row(
        "message", f"{figures['message_ms']['p50']:g} ms", f"99%: {figures['message_ms']['p99']:g} ms"
    )
    console.print(table)
    counts = figures["counts"]
    console.print(
        ", ".join(
            f"{name} {counts[name]}"
            for name in ("sessions", "up", "answered refused", "moves", "probes")
            if name in counts
        )
    )
    rules = figures["rules"]
    if rules["clean"]:
        console.print("rules: all four kept")
    else:
        console.print(f"rules broken: {rules['broken']}")
        for line in rules["first"]:
            console.print(f"  {line}")
