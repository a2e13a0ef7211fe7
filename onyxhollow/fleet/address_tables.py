"""Texts and tables of the `addresses` command, made from the responses of /control/addresses."""

from __future__ import annotations

import datetime
from typing import Any

from rich.table import Table

from onyxhollow.fleet.commands import CallError

VIEW_COLUMNS = ("address", "site", "standing", "for", "health", "sessions", "of", "flaps", "notes")
# By number; importing Preference would load the fleet's libraries.
PREFERENCES = ("withdrawn", "lesser", "advertised")
HISTORY_COLUMNS = ("when", "what", "address", "site", "why", "evidence")
JsonObject = dict[str, Any]  # a response; docs/addresses.md lists the keys


def describe_time(unix: float) -> str:
    """Return a Unix time as local time; empty for 0."""
    return datetime.datetime.fromtimestamp(unix).strftime("%Y-%m-%d %H:%M:%S") if unix else ""


def describe_health(row: JsonObject, unknown: str) -> str:
    """Return the health with two decimals, or `unknown` if there is none."""
    return unknown if row["health"] is None else f"{row['health']:.2f}"


def describe_notes(row: JsonObject) -> str:
    """Return the overrides in force, whether the route is installed, and why a change is suppressed."""
    notes = [f"{kind}: {row[kind]}" for kind in ("pin", "exclude", "drain") if row[kind]]
    if not row["reached"]:
        notes.append("site unreachable")
    elif not row["carried"]:
        notes.append("not installed yet")
    if row["stays"]:
        notes.append(f"stays, {row['stays']}")
    return "; ".join(notes)


def describe_route(answer: JsonObject, name: str, site: str) -> str:
    """Return why an address has its preference at a site.

    Raises:
        CallError: there is no such route.
    """
    for row in answer["rows"]:
        if (row["address"], row["site"]) == (name, site):
            cause = f", cause {row['cause']}" if row["cause"] else ""
            lines = [
                f"{name} at {site}: {row['standing']} for {row['for']:.0f} s{cause}",
                f"health {describe_health(row, 'unknown')}: {row['evidence']}",
            ]
            notes = describe_notes(row)
            return "\n".join([*lines, notes] if notes else lines)
    raise CallError(f"why: expected an address and a site of the addresses file, got {name} {site}")


def view_table(answer: JsonObject, name: str = "") -> Table:
    """Return a table of all routes, or of those of one address."""
    pending = "" if answer["ready"] else ", not ready to decide yet"
    caption = f"controller {answer['keeper']}, term {answer['term']}{pending}"
    table = Table(box=None, caption=caption, caption_justify="left")
    for head in VIEW_COLUMNS:
        table.add_column(head, overflow="fold")
    for row in answer["rows"]:
        if name in ("", row["address"]):
            table.add_row(*view_row(row))
    return table


def view_row(row: JsonObject) -> tuple[str, ...]:
    """Return the table row of one route."""
    cause = f" ({row['cause']})" if row["cause"] else ""
    return (
        row["address"],
        row["site"],
        row["standing"] + cause,
        f"{row['for']:.0f} s",
        describe_health(row, "?"),
        f"{row['load']:.0f}",
        f"{row['capacity']:.0f}",
        f"{row['flaps']:.1f}",
        describe_notes(row),
    )


def history_table(answer: JsonObject) -> Table:
    """Return a table of decisions and overrides in chronological order."""
    table = Table(box=None)
    for head in HISTORY_COLUMNS:
        table.add_column(head, overflow="fold")
    rows = [decision_row(row) for row in answer["decided"]]
    rows += [override_row(row) for row in answer["orders"]]
    for unix_time, *columns in sorted(rows):
        table.add_row(describe_time(unix_time), *columns)
    return table


def decision_row(row: JsonObject) -> tuple[float, str, str, str, str, str]:
    """Return a decision as Unix time and the other columns."""
    preference = PREFERENCES[row["standing"]]
    evidence = f"term {row['term']}; {row['evidence']}"
    return row["at"], preference, row["address"], row["site"], row["why"], evidence


def override_row(row: JsonObject) -> tuple[float, str, str, str, str, str]:
    """Return an override as Unix time and the other columns."""
    until = f" until {describe_time(row['until'])}" if row["until"] else ""
    reason = f"{row['who']}: {row['why']}{until}"
    return row["given"], f"order: {row['verb']}", row["address"] or "all", row["site"], reason, row["id"]
