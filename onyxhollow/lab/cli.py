"""onyxhollow lab: list, show, run, experiment, compare, search, report."""

from __future__ import annotations

import argparse
import json
import os
import sys
from dataclasses import asdict
from pathlib import Path
from typing import Any

from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from onyxhollow.lab import decisions, experiment, runs, scenario
from onyxhollow.lab.run_metrics import merge_quantiles

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
    run.add_argument("--engine", choices=("virtual", "sockets"), default="virtual")
    run.add_argument("--logs", type=Path, help="on sockets: where the proxies' logs stay")
    run.add_argument("--picture", type=Path, help="in virtual time: a snapshot for onyxhollow topology")
    run.add_argument("--picture-at", type=float, default=0.0, metavar="SECONDS", help="else half of the run")
    for name, does in (
        ("experiment", "scenarios x policies x seeds; resumable"),
        ("compare", "is B better than A, where, by how much, how sure"),
    ):
        command = commands.add_parser(name, help=does)
        if name == "compare":
            command.add_argument("a", help="a policy")
            command.add_argument("b", help="a policy")
        else:
            command.add_argument("file", nargs="?", help="TOML: scenarios, policies, seeds; else the options")
            command.add_argument(
                "--policies", default="module,true-state,two-choices", help="names, by comma"
            )
        command.add_argument(
            "--scenarios", default="", help="names or files, by comma; else all but the grown ones"
        )
        command.add_argument("--seeds", type=int, default=5, metavar="N", help="1 to N")
        command.add_argument("--jobs", type=int, default=os.cpu_count() or 1, help="processes")
        command.add_argument("--dir", type=Path, default=Path("found/lab"), help="where runs are kept")
        command.add_argument("--json", metavar="FILE", help="the figures for programs")
    seek = commands.add_parser(
        "search", help="days on which a policy stands farthest under the true-state mark"
    )
    seek.add_argument("scenario", nargs="?", help="its fleet is kept; else fleets are drawn too")
    seek.add_argument("--policy", default="module")
    seek.add_argument("--days", type=int, default=60, help="drawn")
    seek.add_argument("--keep", type=int, default=3, help="cut down and written")
    seek.add_argument("--seed", type=int, default=1)
    seek.add_argument("--jobs", type=int, default=os.cpu_count() or 1, help="processes")
    seek.add_argument("--out", type=Path, default=Path("found"), help="where the scenario files go")
    show = commands.add_parser("report", help="HTML of one run, or of two beside each other")
    show.add_argument("runs", nargs="+", type=Path, help="files of run --json, or folders of them")
    show.add_argument("--out", type=Path, help="else beside the first run")
    show.add_argument("--svg", type=Path, metavar="FOLDER", help="maps of load and herds of one run")
    fleet = commands.add_parser("fleet", help="duties on real processes, with faults between them")
    parts = fleet.add_subparsers(dest="part", required=True)
    parts.add_parser("list", help="courses")
    play = parts.add_parser("run", help="one course, shown live, judged from its record")
    play.add_argument("course", help="a name of list, or a file")
    play.add_argument("--seed", type=int, help="instead of the file's")
    play.add_argument("--members", type=int, help="instead of the file's")
    play.add_argument("--logs", type=Path, help="where the processes' files and logs stay")
    play.add_argument("--json", action="store_true", help="the verdict for programs")
    commands.add_parser("demo-addresses", help="three sites, one lost, shown live; half a minute")
    commands.add_parser("demo", help="a small fleet on sockets, shown live; half a minute")
    return top


def main(words: list[str]) -> int:
    told = parser().parse_args(words)
    try:
        return int(globals()[f"do_{told.command.replace('-', '_')}"](told))
    except (scenario.ScenarioError, decisions.PolicyError, runs.RunError) as error:
        sys.stderr.write(f"onyxhollow: {error}\n")
        return 2
    except KeyboardInterrupt:
        sys.stderr.write("onyxhollow: ended by hand\n")
        return 130


def do_list(_: argparse.Namespace) -> int:
    table = Table("scenario", "proxies x servers", "seconds", "about", box=None)
    for name in scenario.shipped_scenarios():
        row = scenario.read(name)
        table.add_row(name, f"{row.fleet.proxies} x {row.fleet.servers}", f"{row.seconds:g}", row.about)
    console = Console()
    console.print(table)
    console.print("policies: " + ", ".join(decisions.names()) + ", or a commit")
    return 0


def do_fleet(told: argparse.Namespace) -> int:
    from onyxhollow.lab.fleet import course, show

    try:
        return show.print_scenarios() if told.part == "list" else show.play(told)
    except course.CourseError as error:
        raise runs.RunError(str(error)) from None


def do_demo(_: argparse.Namespace) -> int:
    from onyxhollow.lab import demo

    return demo.show(Console())


def do_demo_addresses(_: argparse.Namespace) -> int:
    from onyxhollow.lab.fleet import demo

    return demo.show(Console())


def do_search(told: argparse.Namespace) -> int:
    from onyxhollow.lab import search

    if told.days < 1 or told.keep < 0 or told.jobs < 1:
        raise runs.RunError("--days and --jobs: expected 1 or more; --keep: 0 or more")
    console = Console(stderr=True)
    decisions.find(told.policy)
    base = scenario.read(told.scenario) if told.scenario else None
    told.out.mkdir(parents=True, exist_ok=True)
    for row in search.search(told.policy, told.days, told.keep, told.seed, told.jobs, console.print, base):
        path = told.out / f"{row.day.title}.toml"
        path.write_bytes(scenario.encode(row.day))
        print(f"{path}: {row.gap:.3f} under the mark")
    return 0


def read_run(path: Path) -> dict[str, Any]:
    try:
        told = json.loads(path.read_bytes())
    except (OSError, ValueError) as error:
        raise runs.RunError(f"{path}: expected a file of run --json: {error}") from None
    if not isinstance(told, dict) or "series" not in told:
        raise runs.RunError(f"{path}: expected a file of run --json with series, got none")
    return told


def do_report(told: argparse.Namespace) -> int:
    """A folder: a page for each run in it that holds its series; files: one page, two of them side by
    side."""
    from onyxhollow.lab import report

    for folder in [path for path in told.runs if path.is_dir()]:
        for path in sorted(folder.glob("*.json")):
            if b'"series"' in path.read_bytes():
                report.write([read_run(path)], path.with_suffix(".html"))
                print(path.with_suffix(".html"))
    files = [path for path in told.runs if not path.is_dir()]
    if len(files) > 2:
        raise runs.RunError(f"report: expected one run or two, got {len(files)}")
    if told.svg and files:
        run = read_run(files[0])
        told.svg.mkdir(parents=True, exist_ok=True)
        for name, made in (("load", report.heat(run, 9.6)), ("herds", report.herds(run, 9.6))):
            (told.svg / f"{name}.svg").write_text(made)
            print(told.svg / f"{name}.svg")
    elif files:
        out = told.out or files[0].with_suffix(".html")
        report.write([read_run(path) for path in files], out)
        print(out)
    return 0


def do_show(told: argparse.Namespace) -> int:
    sys.stdout.write(scenario.encode(scenario.read(told.scenario)).decode())
    return 0


def do_run(told: argparse.Namespace) -> int:
    day = scenario.read(told.scenario)
    with Progress(*Progress.get_default_columns(), console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task("seconds", total=day.seconds, visible=told.engine == "sockets")
        figures = runs.play(
            day,
            told.seed,
            told.policy,
            bool(told.json),
            told.engine,
            told.logs,
            lambda now, of: bar.update(task, completed=now),
            (told.picture, told.picture_at or day.seconds / 2) if told.picture else None,
        )
    if told.json:
        Path(told.json).write_bytes(runs.text(figures))
    summary(figures, Console())
    found = figures.get("sockets", {})
    for what in ("void", "crashes", "complaints", "failures"):
        if found.get(what):
            print(f"{what}: {found[what]}")
    sound = not any(found.get(what) for what in ("void", "crashes", "complaints", "failures"))
    return 0 if figures["rules"]["clean"] and sound else 1


def days(told: argparse.Namespace) -> list[scenario.Scenario]:
    names = told.scenarios.split(",") if told.scenarios else []
    return [
        scenario.read(name)
        for name in names or scenario.shipped_scenarios()
        if names or not name.startswith("grown")
    ]


def carried_out(told: argparse.Namespace, policies: list[str]) -> list[dict[str, Any]]:
    """The runs of an experiment, with a bar on standard error where somebody looks."""
    if told.seeds < 1 or told.jobs < 1:
        raise runs.RunError(f"--seeds and --jobs: expected 1 or more, got {told.seeds} and {told.jobs}")
    for name in policies:
        decisions.find(name)
    cells = experiment.matrix(days(told), policies, range(1, told.seeds + 1))
    with Progress(*Progress.get_default_columns(), console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task("runs", total=len(cells))
        return experiment.carry_out(
            cells, told.dir, told.jobs, lambda done, of: bar.update(task, completed=done)
        )


def do_experiment(told: argparse.Namespace) -> int:
    if told.file:
        plan = scenario.read_experiment(told.file)
        told.scenarios, told.seeds, told.policies = (
            ",".join(plan.scenarios),
            plan.seeds,
            ",".join(plan.policies),
        )
    policies = told.policies.split(",")
    got = carried_out(told, policies)
    table = Table("scenario", *policies, box=None)
    titles = list(dict.fromkeys(run["scenario"] for run in got))
    means: dict[str, dict[str, float]] = {}
    for title in titles:
        scores = {
            name: [run["score"] for run in got if run["scenario"] == title and run["policy"] == name]
            for name in policies
        }
        means[title] = {name: sum(row) / len(row) for name, row in scores.items()}
        table.add_row(title, *(f"{means[title][name]:.4f}" for name in policies))
    table.add_row(
        "mean", *(f"{sum(row[name] for row in means.values()) / len(means):.4f}" for name in policies)
    )
    late = {
        name: merge_quantiles((run for run in got if run["policy"] == name), "setup") for name in policies
    }
    table.add_row("set-up 99%, ms", *(f"{late[name]['p99']:g}" for name in policies))
    Console().print(table)
    broken = [run for run in got if not run["rules"]["clean"]]
    for run in broken[:20]:
        where = f"{run['scenario']}, {run['policy']}, seed {run['seed']}"
        print(f"rules broken: {where}: {run['rules']['first'][0]}")
    if told.json:
        Path(told.json).write_text(
            json.dumps({"means": means, "setup_ms": late, "runs": len(got), "broken": len(broken)})
        )
    return 0


def do_compare(told: argparse.Namespace) -> int:
    runs_made = carried_out(told, [told.a, told.b])
    found = experiment.compare(runs_made, told.a, told.b)
    table = Table("scenario", told.a, told.b, "difference", "95%", "", "rules broken", box=None)
    for row in found:
        table.add_row(
            row.title,
            f"{row.mean_a:.4f}",
            f"{row.mean_b:.4f}",
            f"{row.difference:+.4f}",
            f"{row.low:+.4f} to {row.high:+.4f}",
            row.verdict,
            f"{row.broken_a}, {row.broken_b}" if row.broken_a or row.broken_b else "",
        )
    Console().print(table)
    even = experiment.evenness(runs_made, [told.a, told.b])
    table = Table("evenness, mean", told.a, told.b, box=None)
    for name, values in even.items():
        table.add_row(name.replace("_", " "), *(f"{value:.3f}" for value in values))
    Console().print(table)
    if told.json:
        Path(told.json).write_text(json.dumps([asdict(row) for row in found]))
    return 0


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
    even = figures["evenness"]
    table.add_row("busiest server", f"{even['worst_over_mean']:.3f}", "over the mean, in the median second")
    table.add_row("idle servers", str(even["idle_servers"]), f"{even['idle_seconds']:g} s in sum")
    table.add_row("herds", f"{even['herd_p99']:.2f}", "new connections over chance, 99th percentile")
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
