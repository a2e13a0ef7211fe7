"""onyxhollow lab: list, show, run, experiment, compare, search, report."""

from __future__ import annotations

import argparse
import json
import os
import sys
from dataclasses import asdict
from pathlib import Path
from typing import TYPE_CHECKING, Any

from rich.console import Console
from rich.progress import Progress
from rich.table import Table

from onyxhollow.lab import decisions, experiment, runs, scenario
from onyxhollow.lab.run_metrics import merge_quantiles

if TYPE_CHECKING:
    Subparsers = argparse._SubParsersAction[argparse.ArgumentParser]

MIN_SHOWN_LOSS = 0.0005  # share of the wanted utility; smaller losses are not printed


def parser() -> argparse.ArgumentParser:
    """Return the parser of all commands of `onyxhollow lab`."""
    top = argparse.ArgumentParser(
        prog="onyxhollow lab", description="Plays scenarios on an emulated fleet with emulated clients."
    )
    commands = top.add_subparsers(dest="command", required=True)
    commands.add_parser("list", help="scenarios and policies")
    show = commands.add_parser("show", help="print a scenario as TOML")
    show.add_argument("scenario", help="a name of list, or a file")
    _add_run(commands)
    _add_experiment(commands)
    _add_compare(commands)
    _add_search(commands)
    _add_report(commands)
    _add_fleet(commands)
    commands.add_parser("demo-addresses", help="three sites, one lost, shown live; half a minute")
    commands.add_parser("demo", help="a small fleet on sockets, shown live; half a minute")
    return top


def _add_run(commands: Subparsers) -> None:
    run = commands.add_parser("run", help="one run")
    run.add_argument("scenario", help="a name of list, or a file")
    run.add_argument("--seed", type=int, default=1)
    run.add_argument("--policy", default="module", help="a name of list, or a commit of this repository")
    run.add_argument("--json", metavar="FILE", help="write all figures, with series for reports")
    run.add_argument("--engine", choices=("virtual", "sockets"), default="virtual")
    run.add_argument("--logs", type=Path, help="on sockets: folder for the proxies' logs")
    run.add_argument("--picture", type=Path, help="in virtual time: write a snapshot for onyxhollow topology")
    run.add_argument(
        "--picture-at", type=float, default=0.0, metavar="SECONDS", help="default: half of the run"
    )


def _add_experiment(commands: Subparsers) -> None:
    command = commands.add_parser("experiment", help="scenarios x policies x seeds; resumable")
    command.add_argument(
        "file", nargs="?", help="TOML with scenarios, policies and seeds; default: the options"
    )
    command.add_argument(
        "--policies", default="module,true-state,two-choices", help="names, separated by commas"
    )
    _add_planned_options(command)


def _add_compare(commands: Subparsers) -> None:
    command = commands.add_parser(
        "compare", help="compare policy B with A by scenario, with confidence intervals"
    )
    command.add_argument("a", help="a policy")
    command.add_argument("b", help="a policy")
    _add_planned_options(command)


def _add_planned_options(command: argparse.ArgumentParser) -> None:
    """Add the options of the commands that play many runs and store their results."""
    command.add_argument(
        "--scenarios",
        default="",
        help="names or files, separated by commas; default: all except the grown ones",
    )
    command.add_argument("--seeds", type=int, default=5, metavar="N", help="1 to N")
    command.add_argument("--jobs", type=int, default=os.cpu_count() or 1, help="processes")
    command.add_argument("--dir", type=Path, default=Path("found/lab"), help="folder for the results of runs")
    command.add_argument("--json", metavar="FILE", help="write the figures as JSON")


def _add_search(commands: Subparsers) -> None:
    search = commands.add_parser(
        "search", help="find scenarios with the largest gap between a policy and true-state"
    )
    search.add_argument("scenario", nargs="?", help="keep its fleet; default: draw fleets too")
    search.add_argument("--policy", default="module")
    search.add_argument("--days", type=int, default=60, help="scenarios to draw")
    search.add_argument("--keep", type=int, default=3, help="scenarios to reduce and write")
    search.add_argument("--seed", type=int, default=1)
    search.add_argument("--jobs", type=int, default=os.cpu_count() or 1, help="processes")
    search.add_argument("--out", type=Path, default=Path("found"), help="folder for the scenario files")


def _add_report(commands: Subparsers) -> None:
    report = commands.add_parser("report", help="HTML of one run, or of two side by side")
    report.add_argument("runs", nargs="+", type=Path, help="files of run --json, or folders of them")
    report.add_argument("--out", type=Path, help="default: next to the first run")
    report.add_argument("--svg", type=Path, metavar="FOLDER", help="maps of load and herds of one run")


def _add_fleet(commands: Subparsers) -> None:
    fleet = commands.add_parser(
        "fleet", help="roles on a cluster of real processes, with faults between them"
    )
    parts = fleet.add_subparsers(dest="part", required=True)
    parts.add_parser("list", help="fault scenarios")
    play = parts.add_parser("run", help="one fault scenario, shown live and checked from its event record")
    play.add_argument("course", help="a name of list, or a file")
    play.add_argument("--seed", type=int, help="instead of the file's")
    play.add_argument("--members", type=int, help="instead of the file's")
    play.add_argument("--logs", type=Path, help="folder for the processes' files and logs")
    play.add_argument("--json", action="store_true", help="print the verdict as JSON")


def main(arguments: list[str]) -> int:
    """Run a command; return its exit code, 2 for invalid input and 130 when interrupted."""
    args = parser().parse_args(arguments)
    try:
        return int(globals()[f"do_{args.command.replace('-', '_')}"](args))
    except (scenario.ScenarioError, decisions.PolicyError, runs.RunError) as error:
        sys.stderr.write(f"onyxhollow: {error}\n")
        return 2
    except KeyboardInterrupt:
        sys.stderr.write("onyxhollow: ended by hand\n")
        return 130


def do_list(_: argparse.Namespace) -> int:
    """Print the scenarios and policies by name."""
    table = Table("scenario", "proxies x servers", "seconds", "about", box=None)
    for name in scenario.shipped_scenarios():
        row = scenario.read(name)
        table.add_row(name, f"{row.fleet.proxies} x {row.fleet.servers}", f"{row.seconds:g}", row.about)
    console = Console()
    console.print(table)
    console.print("policies: " + ", ".join(decisions.names()) + ", or a commit")
    return 0


def do_fleet(args: argparse.Namespace) -> int:
    """Run a command of the fleet group: list or run the fault scenarios of process clusters."""
    from onyxhollow.lab.fleet import fault_scenario, show

    try:
        return show.print_scenarios() if args.part == "list" else show.play(args)
    except fault_scenario.FaultScenarioError as error:
        raise runs.RunError(str(error)) from None


def do_demo(_: argparse.Namespace) -> int:
    """Play the demo on sockets; return 0 if no rule was broken and nothing failed."""
    from onyxhollow.lab import demo

    return demo.show(Console())


def do_demo_addresses(_: argparse.Namespace) -> int:
    """Play the demo of shared addresses over three sites."""
    from onyxhollow.lab.fleet import demo

    return demo.show(Console())


def do_search(args: argparse.Namespace) -> int:
    """Search for scenarios and write each as a TOML file."""
    from onyxhollow.lab import search

    if args.days < 1 or args.keep < 0 or args.jobs < 1:
        raise runs.RunError("--days and --jobs: expected 1 or more; --keep: 0 or more")
    console = Console(stderr=True)
    decisions.find(args.policy)
    base = scenario.read(args.scenario) if args.scenario else None
    args.out.mkdir(parents=True, exist_ok=True)
    for row in search.search(args.policy, args.days, args.keep, args.seed, args.jobs, console.print, base):
        path = args.out / f"{row.scenario.title}.toml"
        path.write_bytes(scenario.encode(row.scenario))
        print(f"{path}: {row.gap:.3f} under the mark")
    return 0


def read_run(path: Path) -> dict[str, Any]:
    """Return the results in a file of `run --json`; raise RunError if it has none with series."""
    try:
        result = json.loads(path.read_bytes())
    except (OSError, ValueError) as error:
        raise runs.RunError(f"{path}: expected a file of run --json: {error}") from None
    if not isinstance(result, dict) or "series" not in result:
        raise runs.RunError(f"{path}: expected a file of run --json with series, got none")
    return result


def do_report(args: argparse.Namespace) -> int:
    """Write a page for each run with series in a folder, or one page for one or two run files."""
    from onyxhollow.lab import report

    for folder in [path for path in args.runs if path.is_dir()]:
        for path in sorted(folder.glob("*.json")):
            if b'"series"' in path.read_bytes():
                report.write([read_run(path)], path.with_suffix(".html"))
                print(path.with_suffix(".html"))
    files = [path for path in args.runs if not path.is_dir()]
    if len(files) > 2:
        raise runs.RunError(f"report: expected one run or two, got {len(files)}")
    if args.svg and files:
        run = read_run(files[0])
        args.svg.mkdir(parents=True, exist_ok=True)
        for name, svg in (("load", report.load_map(run, 9.6)), ("herds", report.herd_map(run, 9.6))):
            (args.svg / f"{name}.svg").write_text(svg)
            print(args.svg / f"{name}.svg")
    elif files:
        out = args.out or files[0].with_suffix(".html")
        report.write([read_run(path) for path in files], out)
        print(out)
    return 0


def do_show(args: argparse.Namespace) -> int:
    """Print a scenario as TOML, with all defaults filled in."""
    sys.stdout.write(scenario.encode(scenario.read(args.scenario)).decode())
    return 0


def do_run(args: argparse.Namespace) -> int:
    """Play one run and print its results; return 1 if a rule was broken or the run does not count."""
    selected = scenario.read(args.scenario)
    with Progress(*Progress.get_default_columns(), console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task("seconds", total=selected.seconds, visible=args.engine == "sockets")
        figures = runs.play(
            selected,
            args.seed,
            args.policy,
            bool(args.json),
            args.engine,
            args.logs,
            lambda now, of: bar.update(task, completed=now),
            (args.picture, args.picture_at or selected.seconds / 2) if args.picture else None,
        )
    if args.json:
        Path(args.json).write_bytes(runs.to_json(figures))
    summary(figures, Console())
    findings = figures.get("sockets", {})
    for key in ("void", "crashes", "complaints", "failures"):
        if findings.get(key):
            print(f"{key}: {findings[key]}")
    passed = not any(findings.get(key) for key in ("void", "crashes", "complaints", "failures"))
    return 0 if figures["rules"]["clean"] and passed else 1


def selected_scenarios(args: argparse.Namespace) -> list[scenario.Scenario]:
    """Return the scenarios of --scenarios, by default all but the grown ones."""
    names = args.scenarios.split(",") if args.scenarios else []
    return [
        scenario.read(name)
        for name in names or scenario.shipped_scenarios()
        if names or not name.startswith("grown")
    ]


def run_planned(args: argparse.Namespace, policies: list[str]) -> list[dict[str, Any]]:
    """Play the runs of an experiment, with a progress bar on standard error if it is a terminal."""
    if args.seeds < 1 or args.jobs < 1:
        raise runs.RunError(f"--seeds and --jobs: expected 1 or more, got {args.seeds} and {args.jobs}")
    for name in policies:
        decisions.find(name)
    planned = experiment.matrix(selected_scenarios(args), policies, range(1, args.seeds + 1))
    with Progress(*Progress.get_default_columns(), console=Console(stderr=True), transient=True) as bar:
        task = bar.add_task("runs", total=len(planned))
        return experiment.run_all(
            planned, args.dir, args.jobs, lambda done, of: bar.update(task, completed=done)
        )


def do_experiment(args: argparse.Namespace) -> int:
    """Play all runs and print the scores by scenario and policy."""
    if args.file:
        plan = scenario.read_experiment(args.file)
        args.scenarios, args.seeds, args.policies = (
            ",".join(plan.scenarios),
            plan.seeds,
            ",".join(plan.policies),
        )
    policies = args.policies.split(",")
    results = run_planned(args, policies)
    table = Table("scenario", *policies, box=None)
    titles = list(dict.fromkeys(run["scenario"] for run in results))
    means: dict[str, dict[str, float]] = {}
    for title in titles:
        scores = {
            name: [run["score"] for run in results if run["scenario"] == title and run["policy"] == name]
            for name in policies
        }
        means[title] = {name: sum(row) / len(row) for name, row in scores.items()}
        table.add_row(title, *(f"{means[title][name]:.4f}" for name in policies))
    table.add_row(
        "mean", *(f"{sum(row[name] for row in means.values()) / len(means):.4f}" for name in policies)
    )
    setup_times = {
        name: merge_quantiles((run for run in results if run["policy"] == name), "setup") for name in policies
    }
    table.add_row("set-up 99%, ms", *(f"{setup_times[name]['p99']:g}" for name in policies))
    Console().print(table)
    broken = [run for run in results if not run["rules"]["clean"]]
    for run in broken[:20]:
        where = f"{run['scenario']}, {run['policy']}, seed {run['seed']}"
        print(f"rules broken: {where}: {run['rules']['first'][0]}")
    if args.json:
        Path(args.json).write_text(
            json.dumps({"means": means, "setup_ms": setup_times, "runs": len(results), "broken": len(broken)})
        )
    return 0


def do_compare(args: argparse.Namespace) -> int:
    """Play the runs of two policies and print their differences by scenario."""
    results = run_planned(args, [args.a, args.b])
    findings = experiment.compare(results, args.a, args.b)
    table = Table("scenario", args.a, args.b, "difference", "95%", "", "rules broken", box=None)
    for row in findings:
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
    even = experiment.evenness(results, [args.a, args.b])
    table = Table("evenness, mean", args.a, args.b, box=None)
    for name, values in even.items():
        table.add_row(name.replace("_", " "), *(f"{value:.3f}" for value in values))
    Console().print(table)
    if args.json:
        Path(args.json).write_text(json.dumps([asdict(row) for row in findings]))
    return 0


def summary(figures: dict[str, Any], console: Console) -> None:
    """Print the results of one run as text and a table."""
    proxies, servers = figures["size"]
    console.print(
        f"{figures['scenario']}, seed {figures['seed']}, {figures['policy']}: {proxies} proxies, "
        f"{servers} servers, {figures['clients']} clients ({figures['engine']})"
    )
    console.print(_summary_table(figures))
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


def _summary_table(figures: dict[str, Any]) -> Table:
    table = Table(box=None, show_header=False)
    table.add_row("service", f"{figures['service']:.4f}", "of the utility that clients wanted")
    table.add_row("worst 10 s", f"{figures['worst_window']:.4f}")
    for kind in ("listeners", "customers"):
        worst = min(figures[kind], key=figures[kind].get)
        table.add_row(f"worst of {kind}", f"{figures[kind][worst]:.4f}", worst)
    table.add_row("figure", f"{figures['figure']:.4f}", "weighted by the scenario's goal")
    for cause, share in sorted(figures["lost"].items(), key=lambda row: -row[1]):
        if share >= MIN_SHOWN_LOSS:
            table.add_row(f"lost: {cause}", f"{share:.4f}")
    table.add_row("set-up", f"{figures['setup_ms']['p50']:g} ms", f"99%: {figures['setup_ms']['p99']:g} ms")
    table.add_row(
        "message", f"{figures['message_ms']['p50']:g} ms", f"99%: {figures['message_ms']['p99']:g} ms"
    )
    even = figures["evenness"]
    table.add_row("busiest server", f"{even['worst_over_mean']:.3f}", "over the mean, in the median second")
    table.add_row("idle servers", str(even["idle_servers"]), f"{even['idle_seconds']:g} s in sum")
    table.add_row("herds", f"{even['herd_p99']:.2f}", "new connections over chance, 99th percentile")
    return table
