"""The `addresses` command: shows routes and their reasons, and sets overrides, through a running process.

Exit codes: 0 success; 2 the process could not be reached, or the arguments are invalid; 3 the override is not
yet stored by a majority of the voters; 4 a rule forbids a change of the plan; 130 interrupted.
"""

from __future__ import annotations

import argparse
import getpass
import json
import os
import sys
import time
from enum import IntEnum

from rich.console import Console
from rich.live import Live

from onyxhollow.fleet.address_tables import JsonObject, describe_route, history_table, view_table
from onyxhollow.fleet.commands import CallError, call

TIMEOUT_SECONDS = 4.0  # for the controller's response, or for an override to be stored
POLL_INTERVAL_SECONDS = 0.1
WATCH_INTERVAL_SECONDS = 1.0
NON_TERMINAL_COLUMNS = 160  # width of output that is not a terminal
ROOT = "/control/addresses"
OVERRIDE_VERBS = ("drain", "undrain", "pin", "unpin", "exclude", "include")


class ExitCode(IntEnum):
    """Exit codes of the command."""

    SUCCESS = 0
    FAILED = 2
    NOT_STORED = 3
    FORBIDDEN = 4
    INTERRUPTED = 130


# Calls to the process


def fetch(management_address: str, path: str, **query: str) -> JsonObject:
    """Send a query that another member may have to answer, and poll until the response arrives.

    Raises:
        CallError: there is no response in time, or the query is rejected.
    """
    query_id = json.loads(call(management_address, "GET", path, root=ROOT, **query))["id"]
    deadline = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        answer: JsonObject = json.loads(call(management_address, "GET", path, root=ROOT, id=query_id))
        if "id" not in answer:
            return answer
        time.sleep(POLL_INTERVAL_SECONDS)
    raise CallError(
        f"{management_address}: expected a response of the controller or a voter "
        f"within {TIMEOUT_SECONDS:g} s, got none"
    )


def override_query(args: argparse.Namespace, verb: str) -> dict[str, str]:
    """Return the query parameters of an override or its plan."""
    operator = args.who or os.environ.get("SUDO_USER") or getpass.getuser()
    query = {"verb": verb, "site": args.site, "address": args.address or "", "who": operator, "why": args.why}
    return query | ({"until": str(args.until)} if args.until else {})


# Commands


def set_override(args: argparse.Namespace, _: Console) -> int:
    """Set an override, and wait until a majority of the voters has stored it."""
    query = override_query(args, args.command)
    override_id = json.loads(call(args.at, "POST", "/order", root=ROOT, **query))["id"]
    deadline = time.monotonic() + TIMEOUT_SECONDS
    state: JsonObject = {}
    while time.monotonic() < deadline:
        state = json.loads(call(args.at, "GET", "/order", root=ROOT, id=override_id))
        if state["done"]:
            text = f"{override_id}: stored by {state['kept']} voters, in force"
            print(json.dumps(state) if args.json else text)
            return ExitCode.SUCCESS
        time.sleep(POLL_INTERVAL_SECONDS)
    stored = state.get("kept", 0)
    needed = state.get("needed", "?")
    sys.stderr.write(
        f"onyxhollow: override {override_id}: stored by {stored} voters, expected {needed}; "
        f"{args.at} keeps retrying\n"
    )
    return ExitCode.NOT_STORED


def show_plan(args: argparse.Namespace, console: Console) -> int:
    """Show what an override would change."""
    answer = fetch(args.at, "/plan", **override_query(args, args.verb))
    if args.json:
        print(json.dumps(answer))
    else:
        print_plan(answer, console)
    return ExitCode.FORBIDDEN if answer["hindered"] else ExitCode.SUCCESS


def print_plan(answer: JsonObject, console: Console) -> None:
    """Print a plan as text."""
    for row in answer["would"]:
        moves = ", ".join(f"{count:.0f} to {site}" for site, count in row["goes_to"].items())
        sessions = f"{row['load']:.0f} sessions at the site" + (f", moving: {moves}" if moves else "")
        console.print(f"{row['address']} at {row['site']}: {row['standing']}; {sessions} ({row['why']})")
    for row in answer["hindered"]:
        console.print(f"{row['address']} at {row['site']}: stays, {row['why']}")
    if not answer["would"] and not answer["hindered"]:
        console.print("nothing would change")


def show_history(args: argparse.Namespace, console: Console) -> int:
    """Show the latest decisions and overrides."""
    answer = fetch(args.at, "/history")
    if args.json:
        console.print_json(data=answer)
    else:
        console.print(history_table(answer))
    return ExitCode.SUCCESS


def show_reasons(args: argparse.Namespace, _: Console) -> int:
    """Show why an address has its preference at a site."""
    answer = fetch(args.at, "")
    print(json.dumps(answer) if args.json else describe_route(answer, args.name, args.site))
    return ExitCode.SUCCESS


def show_routes(args: argparse.Namespace, console: Console) -> int:
    """Show all routes or those of one address, once or continuously until interrupted."""
    answer = fetch(args.at, "")
    name = args.name if args.command == "show" else ""
    if name and not any(row["address"] == name for row in answer["rows"]):
        raise CallError(f"show: expected an address of the addresses file, got {name}")
    if args.watch:
        with Live(view_table(answer, name), console=console, auto_refresh=False) as live:
            while True:
                time.sleep(WATCH_INTERVAL_SECONDS)
                live.update(view_table(fetch(args.at, ""), name), refresh=True)
    if args.json:
        console.print_json(data=answer)
    else:
        console.print(view_table(answer, name))
    return ExitCode.SUCCESS


COMMANDS = {
    "list": show_routes,
    "show": show_routes,
    "why": show_reasons,
    "history": show_history,
    "plan": show_plan,
    **dict.fromkeys(OVERRIDE_VERBS, set_override),
}


# Arguments


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(prog="onyxhollow addresses")
    commands = parser.add_subparsers(dest="command", required=True)
    add_watch(add_command(commands, "list", "show every address at every site"))
    show = add_command(commands, "show", "show one address at every site")
    add_watch(show)
    show.add_argument("name")
    reasons = add_command(commands, "why", "show why an address is announced as it is at a site")
    reasons.add_argument("name")
    reasons.add_argument("site")
    add_command(commands, "history", "show the latest decisions and overrides, with their evidence")
    help_text = "dry run: show what an override would change, and where sessions would move"
    plan = add_command(commands, "plan", help_text)
    plan.add_argument("verb", choices=OVERRIDE_VERBS)
    add_override(plan, "a plan")
    for verb in OVERRIDE_VERBS:
        add_override(
            add_command(commands, verb, f"override: {verb} a site's addresses, or one of them"), None
        )
    return parser


def add_command(
    commands: argparse._SubParsersAction[argparse.ArgumentParser], name: str, help_text: str
) -> argparse.ArgumentParser:
    """Add a subcommand with the common arguments, and return its parser."""
    command = commands.add_parser(name, help=help_text)
    management = os.environ.get("LB_MANAGEMENT", "")
    command.add_argument("--at", default=management, help="HOST:PORT of the process; default: $LB_MANAGEMENT")
    command.add_argument("--json", action="store_true", help="print the response as JSON")
    return command


def add_watch(command: argparse.ArgumentParser) -> None:
    """Add the argument of subcommands that can update their output continuously."""
    command.add_argument("--watch", action="store_true", help="update the output until interrupted")


def add_override(command: argparse.ArgumentParser, default_reason: str | None) -> None:
    """Add the arguments of an override; its reason is required if there is no default."""
    command.add_argument("site")
    command.add_argument("address", nargs="?", help="default: all addresses")
    command.add_argument("--why", required=default_reason is None, default=default_reason)
    command.add_argument("--who", help="operator; default: the user's name")
    command.add_argument(
        "--until", type=float, metavar="SECONDS", help="the override expires after this time"
    )


def main(arguments: list[str]) -> int:
    """Run the command and return the exit code."""
    args = make_parser().parse_args(arguments)
    console = Console() if sys.stdout.isatty() else Console(width=NON_TERMINAL_COLUMNS)
    try:
        return COMMANDS[args.command](args, console)
    except CallError as error:
        sys.stderr.write(f"onyxhollow: {error}\n")
        return ExitCode.FAILED
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
