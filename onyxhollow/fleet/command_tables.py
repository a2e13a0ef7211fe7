"""The tables that the commands `members`, `duties` and `voters` print.

Each function takes the decoded JSON of a management path; its keys are those of the operators' pages.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from onyxhollow.fleet.identity import member_name


def format_table(heads: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Columns as wide as their widest cell; None is an empty cell."""
    cells = [list(heads), *([str("" if value is None else value) for value in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(heads))]
    return "\n".join(
        "  ".join(value.ljust(width) for value, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )


def format_members(fleet: dict[str, Any]) -> str:
    """Who is alive, for how long, who votes and who may hold roles."""
    rows = [
        (
            member["name"],
            member["life"],
            member["for"],
            member["zone"],
            member["address"],
            "votes" if member["votes"] else "",
            "" if member["holds"] else "no duties",
            "damped" if member["damped"] else "",
        )
        for member in fleet["members"]
    ]
    seen = f"{fleet['me']} sees {fleet['there']} there, itself included"
    head = f"{seen}; its own lateness: {fleet['health']} of 8"
    return f"{head}\n{format_table(('member', 'life', 'seconds', 'zone', 'address', 'votes', '', ''), rows)}"


def format_roles(fleet: dict[str, Any]) -> str:
    """Who holds which role, under which term, and who is next."""
    rows = [
        (
            role["duty"],
            member_name(role["holder"]),
            role["term"],
            role.get("here", ""),
            role.get("left"),
            " ".join(role.get("order", [])),
        )
        for role in fleet["duties"]
    ]
    return format_table(("duty", "holder", "term", "here", "left", "order"), rows)


def format_voters(fleet: dict[str, Any]) -> str:
    """The voter set, and which voters are alive and vote."""
    members = {member["name"]: member for member in fleet["members"]}
    here = member_name(fleet["me"])
    rows: list[tuple[str, str, str]] = []
    for name in fleet["voters"]["names"]:
        if name == here:
            rows.append((name, "here", _own_voter_state(fleet["voter"])))
            continue
        known = members.get(name)
        state = known["life"] if known else "unknown"
        rows.append((name, state, "votes" if known and known["votes"] else "no"))
    head = f"voters, version {fleet['voters']['version']}"
    return f"{head}\n{format_table(('member', 'life', 'voter'), rows)}"


def format_history(rows: list[dict[str, Any]]) -> str:
    """The last changes of holders."""
    return format_table(
        ("seconds", "duty", "term", "holder"),
        [(row["t"], row["duty"], row["term"], row["who"]) for row in rows],
    )


def _own_voter_state(voter: dict[str, Any] | None) -> str:
    if not voter:
        return "no folder"
    state = "no memory yet" if voter["blank"] else "votes"
    return state if voter["disk"] else f"{state}, disk fails"
