"""Texts and tables of the command `addresses`, from the answers of /control/addresses."""

from __future__ import annotations

import datetime
from typing import Any

from rich.table import Table

from onyxhollow.addresses.routes import Preference
from onyxhollow.fleet.commands import CallError

VIEW_COLUMNS = ("address", "site", "standing", "for", "health", "sessions", "of", "flaps", "notes")
HISTORY_COLUMNS = ("when", "what", "address", "site", "why", "evidence")
JsonObject = dict[str, Any]  # an answer, whose keys docs/addresses.md gives


def describe_time(unix: float) -> str:
    """Local time; empty for 0."""
    return datetime.datetime.fromtimestamp(unix).strftime("%Y-%m-%d %H:%M:%S") if unix else ""


def describe_health(row: JsonObject, unknown: str) -> str:
    """Health with two digits."""
    return unknown if row["health"] is None else f"{row['health']:.2f}"


def describe_notes(row: JsonObject) -> str:
    """Overrides, what is not done yet, and why a change is not made."""
    notes = [f"{kind}: {row[kind]}" for kind in ("pin", "exclude", "drain") if row[kind]]
    if not row["reached"]:
        notes.append("not reached")
    elif not row["carried"]:
        notes.append("not carried out yet")
    if row["stays"]:
        notes.append(f"stays, {row['stays']}")
    return "; ".join(notes)


def describe_route(answer: JsonObject, name: str, site: str) -> str:
    """Why an address is announced as it is at a site; CallError if there is no such route."""
    for row in answer["rows"]:
        if (row["address"], row["site"]) == (name, site):
            cause = f", cause {row['cause']}" if row["cause"] else ""
            lines = [
                f"{name} at {site}: {row['standing']} for {row['for']:.0f} s{cause}",
                f"health {describe_health(row, 'unknown')}: {row['evidence']}",
            ]
            notes = describe_notes(row)
            return "\n".join([*lines, notes] if notes else lines)
    raise CallError(f"why: expected an address and a site of the file, got {name} {site}")


def view_table(answer: JsonObject, name: str = "") -> Table:
    """All routes, or those of one address."""
    pending = "" if answer["ready"] else ", still listening"
    caption = f"keeper {answer['keeper']}, term {answer['term']}{pending}"
    table = Table(box=None, caption=caption, caption_justify="left")
    for head in VIEW_COLUMNS:
        table.add_column(head, overflow="fold")
    for row in answer["rows"]:
        if name in ("", row["address"]):
            table.add_row(*view_row(row))
    return table


def view_row(row: JsonObject) -> tuple[str, ...]:
    """One route of the view."""
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
    """Decisions and overrides, in the order of time."""
    table = Table(box=None)
    for head in HISTORY_COLUMNS:
        table.add_column(head, overflow="fold")
    rows = [decision_row(row) for row in answer["decided"]]
    rows += [override_row(row) for row in answer["orders"]]
    for at, *rest in sorted(rows):
        table.add_row(describe_time(at), *rest)
    return table


def decision_row(row: JsonObject) -> tuple[float, str, str, str, str, str]:
    """A decision: Unix time, and the columns after it."""
    what = Preference(row["standing"]).label
    evidence = f"term {row['term']}; {row['evidence']}"
    return row["at"], what, row["address"], row["site"], row["why"], evidence


def override_row(row: JsonObject) -> tuple[float, str, str, str, str, str]:
    """An override: Unix time, and the columns after it."""
    until = f" until {describe_time(row['until'])}" if row["until"] else ""
    reason = f"{row['who']}: {row['why']}{until}"
    return row["given"], f"order: {row['verb']}", row["address"] or "all", row["site"], reason, row["id"]
