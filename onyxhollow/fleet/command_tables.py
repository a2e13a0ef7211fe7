"""Tables that the commands `members`, `duties` and `voters` print.

Each function formats the decoded JSON answer of a path of the management API.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from onyxhollow.fleet.identity import member_name


def format_table(headings: Sequence[str], rows: Sequence[Sequence[Any]]) -> str:
    """Return a table whose columns are as wide as their widest cell; None gives an empty cell."""
    cells = [list(headings), *([str("" if value is None else value) for value in row] for row in rows)]
    widths = [max(len(row[column]) for row in cells) for column in range(len(headings))]
    return "\n".join(
        "  ".join(value.ljust(width) for value, width in zip(row, widths, strict=True)).rstrip()
        for row in cells
    )


def format_members(fleet: dict[str, Any]) -> str:
    """Return the table of members: state and its duration, zone, address, voter, eligibility for roles."""
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
    live_members = f"{fleet['me']} sees {fleet['there']} live members, including itself"
    title = f"{live_members}; its local health score: {fleet['health']} of 8 (0 is best)"
    return f"{title}\n{format_table(('member', 'life', 'seconds', 'zone', 'address', 'votes', '', ''), rows)}"


def format_roles(fleet: dict[str, Any]) -> str:
    """Return the table of roles: holder, term, state at this process, remaining lease and candidates."""
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
    """Return the voter set with the membership state of each voter and whether it votes."""
    members = {member["name"]: member for member in fleet["members"]}
    own_name = member_name(fleet["me"])
    rows: list[tuple[str, str, str]] = []
    for name in fleet["voters"]["names"]:
        if name == own_name:
            rows.append((name, "here", _own_voter_state(fleet["voter"])))
            continue
        member = members.get(name)
        state = member["life"] if member else "unknown"
        rows.append((name, state, "votes" if member and member["votes"] else "no"))
    title = f"voters, version {fleet['voters']['version']}"
    return f"{title}\n{format_table(('member', 'life', 'voter'), rows)}"


def format_history(rows: list[dict[str, Any]]) -> str:
    """Return the table of the latest changes of holders."""
    return format_table(
        ("seconds", "duty", "term", "holder"),
        [(row["t"], row["duty"], row["term"], row["who"]) for row in rows],
    )


def _own_voter_state(voter: dict[str, Any] | None) -> str:
    if not voter:
        return "no voter folder"
    state = "no memory yet" if voter["blank"] else "votes"
    return state if voter["disk"] else f"{state}, disk failing"
