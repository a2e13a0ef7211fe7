"""members, duties, voters: asked of a running process by its management address."""

from __future__ import annotations

import argparse
import http.client
import json
import os
import sys
import time
from typing import Any
from urllib.parse import urlencode

PATIENCE = 3.0  # seconds for the process to answer
WATCH_EVERY = 1.0


class CallError(Exception):
    """The process could not be asked, or said no."""


def call(address: str, method: str, path: str, /, root: str = "/control/fleet", **query: str) -> bytes:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise CallError(f"--at: expected HOST:PORT, got {address!r}")
    link = http.client.HTTPConnection(host, int(port), timeout=PATIENCE)
    target = f"{root}{path}" + (f"?{urlencode(query)}" if query else "")
    try:
        link.request(method, target)
        answer = link.getresponse()
        body = answer.read()
    except (OSError, http.client.HTTPException) as error:
        raise CallError(f"{address}: expected an answer, got {error or type(error).__name__}") from None
    finally:
        link.close()
    if answer.status == 404 and body == b"no such path\n":
        what = "addresses in its fleet file" if root.endswith("addresses") else "a fleet file"
        raise CallError(f"{address}: expected a process with {what}, got one without")
    if answer.status not in (200, 202):
        raise CallError(f"{address}: {body.decode(errors='replace').strip()}")
    return body


def table(heads: tuple[str, ...], rows: list[tuple[Any, ...]]) -> str:
    """Columns as wide as what stands in them."""
    told = [heads, *([str("" if value is None else value) for value in row] for row in rows)]
    widths = [max(len(row[place]) for row in told) for place in range(len(heads))]
    return "\n".join(
        "  ".join(value.ljust(width) for value, width in zip(row, widths, strict=True)).rstrip()
        for row in told
    )


def members_text(told: dict[str, Any]) -> str:
    rows = [
        (
            m["name"],
            m["life"],
            m["for"],
            m["zone"],
            m["address"],
            "votes" if m["votes"] else "",
            "" if m["holds"] else "no duties",
            "damped" if m["damped"] else "",
        )
        for m in told["members"]
    ]
    head = (
        f"{told['me']} sees {told['there']} there, itself included; its own lateness: {told['health']} of 8"
    )
    return head + "\n" + table(("member", "life", "seconds", "zone", "address", "votes", "", ""), rows)


def duties_text(told: dict[str, Any]) -> str:
    rows = [
        (
            d["duty"],
            d["holder"].rpartition("~")[0],
            d["term"],
            d.get("here", ""),
            d.get("left"),
            " ".join(d.get("order", [])),
        )
        for d in told["duties"]
    ]
    return table(("duty", "holder", "term", "here", "left", "order"), rows)


def voters_text(told: dict[str, Any]) -> str:
    found = {m["name"]: m for m in told["members"]}
    here, own = told["me"].rpartition("~")[0], told["voter"]
    rows: list[tuple[str, str, str]] = []
    for name in told["voters"]["names"]:
        if name == here:
            state = "no memory yet" if own and own["blank"] else "votes" if own else "no folder"
            state += "" if not own or own["disk"] else ", disk fails"
            rows.append((name, "here", state))
        else:
            known = found.get(name)
            rows.append(
                (name, known["life"] if known else "unknown", "votes" if known and known["votes"] else "no")
            )
    return f"voters, version {told['voters']['version']}\n" + table(("member", "life", "voter"), rows)


def history_text(told: list[dict[str, Any]]) -> str:
    return table(
        ("seconds", "duty", "term", "holder"), [(r["t"], r["duty"], r["term"], r["who"]) for r in told]
    )


def parser(name: str) -> argparse.ArgumentParser:
    top = argparse.ArgumentParser(prog=f"onyxhollow {name}")
    top.add_argument(
        "--at", default=os.environ.get("LB_MANAGEMENT", ""), help="HOST:PORT; else $LB_MANAGEMENT"
    )
    top.add_argument("--json", action="store_true", help="as the process tells it")
    top.add_argument("--watch", action="store_true", help="again each second, until ended by hand")
    if name == "duties":
        parts = top.add_subparsers(dest="part")
        parts.add_parser("show", help="who holds what")
        parts.add_parser("history", help="the last changes that this process heard of")
        hand = parts.add_parser("hand-over", help="to another member, at once")
        hand.add_argument("name")
        hand.add_argument("--to", required=True, metavar="MEMBER")
        release = parts.add_parser(
            "release", help="the holder lets go of it, and leaves it to others for a while"
        )
        release.add_argument("name")
    elif name == "voters":
        parts = top.add_subparsers(dest="part")
        parts.add_parser("show", help="who votes")
        replace = parts.add_parser("replace", help="one voter by another member, granted by the present ones")
        replace.add_argument("remove", metavar="OLD")
        replace.add_argument("add", metavar="NEW")
    return top


def main(name: str, words: list[str]) -> int:
    told = parser(name).parse_args(words)
    part = getattr(told, "part", None)
    try:
        if part in ("hand-over", "release"):
            query = {"name": told.name} | ({"to": told.to} if part == "hand-over" else {})
            sys.stdout.write(call(told.at, "POST", f"/{part}", **query).decode())
            return 0
        if part == "replace":
            sys.stdout.write(call(told.at, "POST", "/voters", remove=told.remove, add=told.add).decode())
            return 0
        texts = {"members": members_text, "duties": duties_text, "voters": voters_text}
        while True:
            body = call(told.at, "GET", "/history" if part == "history" else "")
            shown = history_text if part == "history" else texts[name]
            print(body.decode().strip() if told.json else shown(json.loads(body)), flush=True)
            if not told.watch:
                return 0
            time.sleep(WATCH_EVERY)
    except CallError as error:
        sys.stderr.write(f"onyxhollow: {error}\n")
        return 2
    except KeyboardInterrupt:
        return 130
