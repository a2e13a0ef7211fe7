"""Polls members for their views, bounded in time, number and size; one that doesn't answer is reported."""

from __future__ import annotations

import concurrent.futures
import http.client
import json
import time
from collections.abc import Iterable

import msgspec

from onyxhollow.topology.model import MemberView, Snapshot, UnreachableMember, decode_view

POLL_TIMEOUT = 2.0  # seconds for all answers of one member
MIN_SOCKET_TIMEOUT = 0.05  # seconds
JOB_POLL_INTERVAL = 0.05  # seconds between polls of the controller's answer
JOB_MARGIN = 0.1  # seconds of the timeout that are left for the last answer
MAX_ANSWER = 16 << 20  # bytes
READ_SIZE = 65536  # bytes
MAX_MEMBERS = 2048
CONCURRENT_POLLS = 32
MAX_PORT = 65535
JsonRow = dict[str, object]


class GatherError(Exception):
    """There is nobody to poll, or too many; one line."""


def fetch(target: str, path: str, deadline: float) -> tuple[int, bytes]:
    """Status and body of one GET; `target` is HOST:PORT, `deadline` in seconds of the monotonic clock.

    The body is read in pieces: a peer that sends a byte now and then can't exceed the deadline.

    Raises:
        ValueError: `target` isn't HOST:PORT, or the body is larger than MAX_ANSWER.
        OSError, http.client.HTTPException: no complete answer in time.
    """
    host, _, port = target.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) <= MAX_PORT:
        raise ValueError("expected HOST:PORT")
    timeout = max(MIN_SOCKET_TIMEOUT, deadline - time.monotonic())
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = bytearray()
        while piece := response.read1(READ_SIZE):
            body += piece
            if len(body) > MAX_ANSWER:
                raise ValueError(f"more than {MAX_ANSWER >> 20} MiB")
            if time.monotonic() > deadline:
                raise TimeoutError("too slow")
        return response.status, bytes(body)
    finally:
        connection.close()


def fetch_addresses(target: str, deadline: float) -> list[JsonRow]:
    """Rows of the address controller; empty without one, without addresses or without an answer in time.

    The member passes the request on to the controller and answers 202 with an id, by which the rows are
    fetched once the controller has sent them.
    """
    status, body = fetch(target, "/control/addresses", deadline)
    if status != http.client.ACCEPTED:
        return []
    job = json.loads(body)["id"]
    while time.monotonic() < deadline - JOB_MARGIN:
        status, body = fetch(target, f"/control/addresses?id={job}", deadline)
        if status != http.client.ACCEPTED:
            rows: list[JsonRow] = json.loads(body)["rows"] if status == http.client.OK else []
            return rows
        time.sleep(JOB_POLL_INTERVAL)
    return []


def poll_member(target: str, with_addresses: bool = True) -> MemberView | UnreachableMember:
    """The view of the member at HOST:PORT, or why there is none; raises nothing."""
    deadline = time.monotonic() + POLL_TIMEOUT
    try:
        status, content = fetch(target, "/control/fleet", deadline)
        if status != http.client.OK:
            note = ": no member of a fleet" if status == http.client.NOT_FOUND else ""
            return UnreachableMember(target, f"status {status}{note}")
        body = json.loads(content)
        if not isinstance(body, dict):
            return UnreachableMember(target, "expected an object")
        addresses: list[JsonRow] = []
        if with_addresses:
            try:
                addresses = fetch_addresses(target, deadline)
            except (OSError, http.client.HTTPException, ValueError, KeyError, TypeError):
                addresses = []  # the view is complete enough without them
        return decode_view(body, addresses)
    except (OSError, http.client.HTTPException) as error:
        return UnreachableMember(target, (str(error) or type(error).__name__)[:120])
    except (ValueError, RecursionError, msgspec.ValidationError) as error:
        return UnreachableMember(target, f"not a member's answer: {str(error)[:100]}")


def gather(members: Iterable[str], addresses: bool = True) -> Snapshot:
    """Polls members (HOST:PORT) at the same time; with `addresses`, each also for the controller's rows.

    Raises:
        GatherError: there is nobody to poll, or too many.
    """
    targets = list(dict.fromkeys(members))
    if not targets:
        raise GatherError("--from: expected a member's management address, got none")
    if len(targets) > MAX_MEMBERS:
        raise GatherError(f"--from: expected at most {MAX_MEMBERS} members, got {len(targets)}")
    views: list[MemberView] = []
    unreachable: list[UnreachableMember] = []
    with concurrent.futures.ThreadPoolExecutor(min(CONCURRENT_POLLS, len(targets))) as pool:
        for answer in pool.map(lambda target: poll_member(target, addresses), targets):
            if isinstance(answer, MemberView):
                views.append(answer)
            else:
                unreachable.append(answer)
    return Snapshot(time.time(), views, unreachable)
