"""addresses: what is advertised where and why, orders to change it; asked of a running process.

Exit codes: 0 done; 2 could not be asked, or bad words; 3 an order that is not kept by a majority yet; 4 a
plan that is hindered.
"""

from __future__ import annotations

import argparse
import datetime
import getpass
import json
import os
import sys
import time
from typing import Any

from rich.console import Console
from rich.live import Live
from rich.table import Table

from onyxhollow.fleet.commands import CallError, call

ANSWER = 4.0  # seconds for the keeper's answer, or for an order to be kept
AGAIN = 0.1
WATCH_EVERY = 1.0
PIPED = 160  # columns where it is no terminal
VERBS = ("drain", "undrain", "pin", "unpin", "exclude", "include")
NOT_KEPT, HINDERED = 3, 4


def fetch(at: str, path: str, **query: str) -> Any:
    """A question that another member may have to answer: called again until it has."""
    id = json.loads(call(at, "GET", path, root="/control/addresses", **query))["id"]
    until = time.monotonic() + ANSWER
    while time.monotonic() < until:
        told = json.loads(call(at, "GET", path, root="/control/addresses", id=id))
        if "id" not in told:
            return told
        time.sleep(AGAIN)
    raise CallError(f"{at}: expected an answer of the keeper or a voter within {ANSWER:g} s, got none")


def marks(row: dict[str, Any]) -> str:
    found = [f"{kind}: {row[kind]}" for kind in ("pin", "exclude", "drain") if row[kind]]
    if not row["reached"]:
        found.append("not reached")
    elif not row["carried"]:
        found.append("not carried out yet")
    if row["stays"]:
        found.append(f"stays, {row['stays']}")
    return "; ".join(found)


def table(told: dict[str, Any], name: str = "") -> Table:
    caption = f"keeper {told['keeper']}, term {told['term']}" + ("" if told["ready"] else ", still listening")
    shown = Table(box=None, caption=caption, caption_justify="left")
    for head in ("address", "site", "standing", "for", "health", "sessions", "of", "flaps", "notes"):
        shown.add_column(head, overflow="fold")
    for row in told["rows"]:
        if name in ("", row["address"]):
            health = "?" if row["health"] is None else f"{row['health']:.2f}"
            cause = f" ({row['cause']})" if row["cause"] else ""
            figures = f"{row['load']:.0f}", f"{row['capacity']:.0f}", f"{row['flaps']:.1f}", marks(row)
            standing = row["standing"] + cause
            shown.add_row(row["address"], row["site"], standing, f"{row['for']:.0f} s", health, *figures)
    return shown


def why(told: dict[str, Any], name: str, site: str) -> str:
    for row in told["rows"]:
        if (row["address"], row["site"]) == (name, site):
            health = "unknown" if row["health"] is None else f"{row['health']:.2f}"
            lines = [
                f"{name} at {site}: {row['standing']} for {row['for']:.0f} s"
                + (f", cause {row['cause']}" if row["cause"] else ""),
                f"health {health}: {row['evidence']}",
            ]
            return "\n".join(lines + ([marks(row)] if marks(row) else []))
    raise CallError(f"why: expected an address and a site of the file, got {name} {site}")


def moment(unix: float) -> str:
    return datetime.datetime.fromtimestamp(unix).strftime("%Y-%m-%d %H:%M:%S") if unix else ""


def history(told: dict[str, Any]) -> Table:
    shown = Table(box=None)
    for head in ("when", "what", "address", "site", "why", "evidence"):
        shown.add_column(head, overflow="fold")
    standings = ("withdrawn", "lesser", "advertised")
    rows = [
        (
            row["at"],
            standings[row["standing"]],
            row["address"],
            row["site"],
            row["why"],
            f"term {row['term']}; {row['evidence']}",
        )
        for row in told["decided"]
    ]
    for row in told["orders"]:
        until = f" until {moment(row['until'])}" if row["until"] else ""
        rows.append(
            (
                row["given"],
                f"order: {row['verb']}",
                row["address"] or "all",
                row["site"],
                f"{row['who']}: {row['why']}{until}",
                row["id"],
            )
        )
    for at, *rest in sorted(rows):
        shown.add_row(moment(at), *rest)
    return shown


def order(told: argparse.Namespace) -> dict[str, str]:
    who = told.who or os.environ.get("SUDO_USER") or getpass.getuser()
    found = {"verb": told.part, "site": told.site, "address": told.address or "", "who": who, "why": told.why}
    return found | ({"until": str(told.until)} if told.until else {})


def give(told: argparse.Namespace) -> int:
    answer = json.loads(call(told.at, "POST", "/order", root="/control/addresses", **order(told)))
    until = time.monotonic() + ANSWER
    state: dict[str, Any] = {}
    while time.monotonic() < until:
        state = json.loads(call(told.at, "GET", "/order", root="/control/addresses", id=answer["id"]))
        if state["done"]:
            words = f"{answer['id']}: kept by {state['kept']} voters, in force"
            print(json.dumps(state) if told.json else words)
            return 0
        time.sleep(AGAIN)
    sys.stderr.write(
        f"onyxhollow: order {answer['id']}: kept by {state.get('kept', 0)} voters, expected "
        f"{state.get('needed', '?')}; {told.at} goes on trying\n"
    )
    return NOT_KEPT


def plan(told: argparse.Namespace, console: Console) -> int:
    found = fetch(told.at, "/plan", **order(told))
    if told.json:
        print(json.dumps(found))
    else:
        for row in found["would"]:
            goes = ", ".join(f"{count:.0f} to {site}" for site, count in row["goes_to"].items())
            there = f"{row['load']:.0f} sessions there" + (f", of them {goes}" if goes else "")
            console.print(f"{row['address']} at {row['site']}: {row['standing']}; {there} ({row['why']})")
        for row in found["hindered"]:
            console.print(f"{row['address']} at {row['site']}: stays, {row['why']}")
        if not found["would"] and not found["hindered"]:
            console.print("nothing would change")
    return HINDERED if found["hindered"] else 0


def parser() -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog="onyxhollow addresses")
    parts = top.add_subparsers(dest="part", required=True)

    def add(name: str, does: str, watch: bool = False) -> argparse.ArgumentParser:
        part = parts.add_parser(name, help=does)
        part.add_argument(
            "--at", default=os.environ.get("LB_MANAGEMENT", ""), help="HOST:PORT; else $LB_MANAGEMENT"
        )
        part.add_argument("--json", action="store_true", help="as the process tells it")
        if watch:
            part.add_argument("--watch", action="store_true", help="a live screen, until ended by hand")
        return part

    add("list", "every address at every site", watch=True)
    add("show", "one address at every site", watch=True).add_argument("name")
    reasons = add("why", "why an address stands as it does at a site")
    reasons.add_argument("name")
    reasons.add_argument("site")
    add("history", "the last decisions and orders, with their evidence")
    for verb in ("plan", *VERBS):
        does = (
            "a dry run: what an order would do, and where its sessions would go"
            if verb == "plan"
            else (f"order: {verb} a site's addresses, or one of them")
        )
        part = add(verb, does)
        if verb == "plan":
            part.add_argument("verb", choices=VERBS)
        part.add_argument("site")
        part.add_argument("address", nargs="?", help="else all")
        part.add_argument("--why", required=verb != "plan", default="a plan")
        part.add_argument("--who", help="else the user's name")
        part.add_argument("--until", type=float, metavar="SECONDS", help="it ends by itself then")
    return top


def main(words: list[str]) -> int:
    told = parser().parse_args(words)
    console = Console() if sys.stdout.isatty() else Console(width=PIPED)
    try:
        if told.part in VERBS:
            return give(told)
        if told.part == "plan":
            told.part = told.verb
            return plan(told, console)
        if told.part == "history":
            found = fetch(told.at, "/history")
            console.print_json(data=found) if told.json else console.print(history(found))
            return 0
        found = fetch(told.at, "")
        if told.part == "why":
            print(json.dumps(found) if told.json else why(found, told.name, told.site))
            return 0
        name = told.name if told.part == "show" else ""
        if name and not any(row["address"] == name for row in found["rows"]):
            raise CallError(f"show: expected an address of the file, got {name}")
        if not told.watch:
            console.print_json(data=found) if told.json else console.print(table(found, name))
            return 0
        with Live(table(found, name), console=console, auto_refresh=False) as live:
            while True:
                time.sleep(WATCH_EVERY)
                live.update(table(fetch(told.at, ""), name), refresh=True)
    except CallError as error:
        sys.stderr.write(f"onyxhollow: {error}\n")
        return 2
    except KeyboardInterrupt:
        return 130
