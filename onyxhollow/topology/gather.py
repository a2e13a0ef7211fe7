"""Asks members for their views: bounded in time, number and size. One that is silent is shown as silent."""

from __future__ import annotations

import concurrent.futures
import http.client
import json
import time
from collections.abc import Iterable

import msgspec

from onyxhollow.topology.model import Silent, Snapshot, View, view_of

PATIENCE = 2.0  # seconds for one answer as a whole
LARGEST = 16 << 20  # bytes of one answer
MOST = 2048  # members asked
AT_ONCE = 32


class GatherError(Exception):
    """Nobody could be asked; one line."""


def fetch(at: str, path: str, until: float) -> tuple[int, bytes]:
    """Read piece by piece: one that answers a byte now and then holds nobody up."""
    host, _, port = at.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError("expected HOST:PORT")
    link = http.client.HTTPConnection(host, int(port), timeout=max(0.05, until - time.monotonic()))
    try:
        link.request("GET", path)
        answer = link.getresponse()
        body = bytearray()
        while piece := answer.read1(65536):
            body += piece
            if len(body) > LARGEST:
                raise ValueError(f"more than {LARGEST >> 20} MiB")
            if time.monotonic() > until:
                raise TimeoutError("too slow")
        return answer.status, bytes(body)
    finally:
        link.close()


def addresses_of(at: str, until: float) -> list[dict[str, object]]:
    """What the keeper knows; [] without one, or without addresses."""
    status, body = fetch(at, "/control/addresses", until)
    if status != 202:
        return []
    id = json.loads(body)["id"]
    while time.monotonic() < until - 0.1:
        status, body = fetch(at, f"/control/addresses?id={id}", until)
        if status != 202:
            return json.loads(body)["rows"] if status == 200 else []
        time.sleep(0.05)
    return []


def ask(at: str, addresses: bool = True) -> View | Silent:
    until = time.monotonic() + PATIENCE
    try:
        status, body = fetch(at, "/control/fleet", until)
        if status != 200:
            return Silent(at, f"status {status}" + (": no member of a fleet" if status == 404 else ""))
        told = json.loads(body)
        if not isinstance(told, dict):
            return Silent(at, "expected an object")
        rows: list[dict[str, object]] = []
        if addresses:
            try:
                rows = addresses_of(at, until)
            except (OSError, http.client.HTTPException, ValueError, KeyError, TypeError):
                rows = []  # the view stands without them
        return view_of(told, rows)
    except (OSError, http.client.HTTPException) as error:
        return Silent(at, (str(error) or type(error).__name__)[:120])
    except (ValueError, RecursionError, msgspec.ValidationError) as error:
        return Silent(at, f"not a member's answer: {str(error)[:100]}")


def gather(members: Iterable[str], addresses: bool = True) -> Snapshot:
    """Raises GatherError if there is nobody to ask, or too many."""
    asked = list(dict.fromkeys(members))
    if not asked:
        raise GatherError("--from: expected a member's management address, got none")
    if len(asked) > MOST:
        raise GatherError(f"--from: expected at most {MOST} members, got {len(asked)}")
    views: list[View] = []
    silent: list[Silent] = []
    with concurrent.futures.ThreadPoolExecutor(min(AT_ONCE, len(asked))) as pool:
        for found in pool.map(lambda at: ask(at, addresses), asked):
            if isinstance(found, View):
                views.append(found)
            else:
                silent.append(found)
    return Snapshot(time.time(), views, silent)
