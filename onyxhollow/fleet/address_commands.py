"""The command `addresses`: what is advertised where and why, and overrides, from a running process.

Exit codes: 0 done; 2 the process could not be reached, or the arguments are wrong; 3 an override that is not
yet stored by a majority; 4 a plan that something forbids.
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

ANSWER_TIMEOUT = 4.0  # seconds for the controller's answer, or for an override to be stored
POLL_INTERVAL = 0.1  # seconds
WATCH_INTERVAL = 1.0  # seconds
PIPED_WIDTH = 160  # columns where the output is no terminal
ROOT = "/control/addresses"
OVERRIDE_VERBS = ("drain", "undrain", "pin", "unpin", "exclude", "include")


class ExitCode(IntEnum):
    """What the command ends with."""

    DONE = 0
    FAILED = 2
    NOT_STORED = 3
    HINDERED = 4
    INTERRUPTED = 130


# calls


def fetch(at: str, path: str, **query: str) -> JsonObject:
    """A query that another member may have to answer: repeated until it has.

    Raises:
        CallError: no answer in time, or a refusal.
    """
    query_id = json.loads(call(at, "GET", path, root=ROOT, **query))["id"]
    until = time.monotonic() + ANSWER_TIMEOUT
    while time.monotonic() < until:
        answer: JsonObject = json.loads(call(at, "GET", path, root=ROOT, id=query_id))
        if "id" not in answer:
            return answer
        time.sleep(POLL_INTERVAL)
    raise CallError(
        f"{at}: expected an answer of the keeper or a voter within {ANSWER_TIMEOUT:g} s, got none"
    )


def override_query(args: argparse.Namespace, verb: str) -> dict[str, str]:
    """The parameters of an override, or of its plan."""
    who = args.who or os.environ.get("SUDO_USER") or getpass.getuser()
    query = {"verb": verb, "site": args.site, "address": args.address or "", "who": who, "why": args.why}
    return query | ({"until": str(args.until)} if args.until else {})


# commands


def give_override(args: argparse.Namespace, _: Console) -> int:
    """Gives an override, and waits until a majority has stored it."""
    query = override_query(args, args.part)
    override_id = json.loads(call(args.at, "POST", "/order", root=ROOT, **query))["id"]
    until = time.monotonic() + ANSWER_TIMEOUT
    state: JsonObject = {}
    while time.monotonic() < until:
        state = json.loads(call(args.at, "GET", "/order", root=ROOT, id=override_id))
        if state["done"]:
            text = f"{override_id}: kept by {state['kept']} voters, in force"
            print(json.dumps(state) if args.json else text)
            return ExitCode.DONE
        time.sleep(POLL_INTERVAL)
    stored = state.get("kept", 0)
    needed = state.get("needed", "?")
    sys.stderr.write(
        f"onyxhollow: order {override_id}: kept by {stored} voters, expected {needed}; "
        f"{args.at} goes on trying\n"
    )
    return ExitCode.NOT_STORED


def show_plan(args: argparse.Namespace, console: Console) -> int:
    """What an override would do."""
    answer = fetch(args.at, "/plan", **override_query(args, args.verb))
    if args.json:
        print(json.dumps(answer))
    else:
        print_plan(answer, console)
    return ExitCode.HINDERED if answer["hindered"] else ExitCode.DONE


def print_plan(answer: JsonObject, console: Console) -> None:
    """A plan in words."""
    for row in answer["would"]:
        moves = ", ".join(f"{count:.0f} to {site}" for site, count in row["goes_to"].items())
        sessions = f"{row['load']:.0f} sessions there" + (f", of them {moves}" if moves else "")
        console.print(f"{row['address']} at {row['site']}: {row['standing']}; {sessions} ({row['why']})")
    for row in answer["hindered"]:
        console.print(f"{row['address']} at {row['site']}: stays, {row['why']}")
    if not answer["would"] and not answer["hindered"]:
        console.print("nothing would change")


def show_history(args: argparse.Namespace, console: Console) -> int:
    """The last decisions and overrides."""
    answer = fetch(args.at, "/history")
    if args.json:
        console.print_json(data=answer)
    else:
        console.print(history_table(answer))
    return ExitCode.DONE


def show_reasons(args: argparse.Namespace, _: Console) -> int:
    """Why an address is announced as it is at a site."""
    answer = fetch(args.at, "")
    print(json.dumps(answer) if args.json else describe_route(answer, args.name, args.site))
    return ExitCode.DONE


def show_routes(args: argparse.Namespace, console: Console) -> int:
    """All routes, or those of one address; once, or live until interrupted."""
    answer = fetch(args.at, "")
    name = args.name if args.part == "show" else ""
    if name and not any(row["address"] == name for row in answer["rows"]):
        raise CallError(f"show: expected an address of the file, got {name}")
    if args.watch:
        with Live(view_table(answer, name), console=console, auto_refresh=False) as live:
            while True:
                time.sleep(WATCH_INTERVAL)
                live.update(view_table(fetch(args.at, ""), name), refresh=True)
    if args.json:
        console.print_json(data=answer)
    else:
        console.print(view_table(answer, name))
    return ExitCode.DONE


COMMANDS = {
    "list": show_routes,
    "show": show_routes,
    "why": show_reasons,
    "history": show_history,
    "plan": show_plan,
    **dict.fromkeys(OVERRIDE_VERBS, give_override),
}


# arguments


def make_parser() -> argparse.ArgumentParser:
    """The parser of the arguments."""
    parser = argparse.ArgumentParser(prog="onyxhollow addresses")
    parts = parser.add_subparsers(dest="part", required=True)
    add_watch(add_part(parts, "list", "every address at every site"))
    show = add_part(parts, "show", "one address at every site")
    add_watch(show)
    show.add_argument("name")
    reasons = add_part(parts, "why", "why an address stands as it does at a site")
    reasons.add_argument("name")
    reasons.add_argument("site")
    add_part(parts, "history", "the last decisions and orders, with their evidence")
    does = "a dry run: what an order would do, and where its sessions would go"
    plan = add_part(parts, "plan", does)
    plan.add_argument("verb", choices=OVERRIDE_VERBS)
    add_override(plan, "a plan")
    for verb in OVERRIDE_VERBS:
        add_override(add_part(parts, verb, f"order: {verb} a site's addresses, or one of them"), None)
    return parser


def add_part(
    parts: argparse._SubParsersAction[argparse.ArgumentParser], name: str, does: str
) -> argparse.ArgumentParser:
    """A part of the command, with the arguments that all have."""
    part = parts.add_parser(name, help=does)
    management = os.environ.get("LB_MANAGEMENT", "")
    part.add_argument("--at", default=management, help="HOST:PORT; else $LB_MANAGEMENT")
    part.add_argument("--json", action="store_true", help="as the process tells it")
    return part


def add_watch(part: argparse.ArgumentParser) -> None:
    """The argument of parts that may go on."""
    part.add_argument("--watch", action="store_true", help="a live screen, until ended by hand")


def add_override(part: argparse.ArgumentParser, default_reason: str | None) -> None:
    """The arguments of an override; its reason is required if there is no default."""
    part.add_argument("site")
    part.add_argument("address", nargs="?", help="else all")
    part.add_argument("--why", required=default_reason is None, default=default_reason)
    part.add_argument("--who", help="else the user's name")
    part.add_argument("--until", type=float, metavar="SECONDS", help="it ends by itself then")


def main(words: list[str]) -> int:
    """Runs the command; the exit code."""
    args = make_parser().parse_args(words)
    console = Console() if sys.stdout.isatty() else Console(width=PIPED_WIDTH)
    try:
        return COMMANDS[args.part](args, console)
    except CallError as error:
        sys.stderr.write(f"onyxhollow: {error}\n")
        return ExitCode.FAILED
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
