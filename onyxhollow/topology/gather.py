"""Polling of members for their views, with limits on time, number and size.

A member that does not answer is listed in the snapshot as unreachable.
"""

from __future__ import annotations

import concurrent.futures
import http.client
import json
import time
from collections.abc import Iterable

import msgspec

from onyxhollow.host_port import split_host_port
from onyxhollow.topology.model import MemberView, Snapshot, UnreachableMember, decode_view

POLL_TIMEOUT_SECONDS = 2.0  # for all requests to one member
MIN_SOCKET_TIMEOUT_SECONDS = 0.05
JOB_POLL_INTERVAL_SECONDS = 0.05  # between requests for the controller's rows
JOB_MARGIN_SECONDS = 0.1  # part of the timeout reserved for the last response
MAX_BODY_BYTES = 16 << 20
READ_SIZE_BYTES = 65536
MAX_MEMBERS = 2048
CONCURRENT_POLLS = 32
JsonRow = dict[str, object]


class GatherError(Exception):
    """No member or too many members to poll; the message is one line."""


def fetch(target: str, path: str, deadline: float) -> tuple[int, bytes]:
    """Send one GET to HOST:PORT; return the status and the body.

    The body is read in chunks, and the deadline (seconds of the monotonic clock) is checked after each one. A
    peer that sends its body byte by byte therefore cannot exceed it.

    Raises:
        ValueError: `target` is not HOST:PORT, or the body is larger than MAX_BODY_BYTES.
        OSError, http.client.HTTPException: no complete response before the deadline.
    """
    address = split_host_port(target)
    if address is None:
        raise ValueError("expected HOST:PORT")
    timeout = max(MIN_SOCKET_TIMEOUT_SECONDS, deadline - time.monotonic())
    connection = http.client.HTTPConnection(*address, timeout=timeout)
    try:
        connection.request("GET", path)
        response = connection.getresponse()
        body = bytearray()
        while chunk := response.read1(READ_SIZE_BYTES):
            body += chunk
            if len(body) > MAX_BODY_BYTES:
                raise ValueError(f"expected at most {MAX_BODY_BYTES >> 20} MiB, got more")
            if time.monotonic() > deadline:
                raise TimeoutError("expected the whole response before the deadline, got a part")
        return response.status, bytes(body)
    finally:
        connection.close()


def fetch_addresses(target: str, deadline: float) -> list[JsonRow]:
    """Fetch the address controller's rows; empty without a controller, addresses or a timely response.

    The member forwards the request to the controller and responds with 202 and an id. The rows can be fetched
    with this id once the controller has sent them.
    """
    status, body = fetch(target, "/control/addresses", deadline)
    if status != http.client.ACCEPTED:
        return []
    job = json.loads(body)["id"]
    while time.monotonic() < deadline - JOB_MARGIN_SECONDS:
        status, body = fetch(target, f"/control/addresses?id={job}", deadline)
        if status != http.client.ACCEPTED:
            rows: list[JsonRow] = json.loads(body)["rows"] if status == http.client.OK else []
            return rows
        time.sleep(JOB_POLL_INTERVAL_SECONDS)
    return []


def poll_member(target: str, with_addresses: bool = True) -> MemberView | UnreachableMember:
    """Poll the member at HOST:PORT for its view; on a failure return its reason instead of raising."""
    deadline = time.monotonic() + POLL_TIMEOUT_SECONDS
    try:
        status, content = fetch(target, "/control/fleet", deadline)
        if status != http.client.OK:
            note = ": no member of a fleet" if status == http.client.NOT_FOUND else ""
            return UnreachableMember(target, f"status {status}{note}")
        body = json.loads(content)
        if not isinstance(body, dict):
            return UnreachableMember(target, f"expected a JSON object, got {type(body).__name__}")
        addresses: list[JsonRow] = []
        if with_addresses:
            try:
                addresses = fetch_addresses(target, deadline)
            except (OSError, http.client.HTTPException, ValueError, KeyError, TypeError):
                addresses = []  # the view is usable without them
        return decode_view(body, addresses)
    except (OSError, http.client.HTTPException) as error:
        return UnreachableMember(target, (str(error) or type(error).__name__)[:120])
    except (ValueError, RecursionError, msgspec.ValidationError) as error:
        return UnreachableMember(target, f"not a member's answer: {str(error)[:100]}")


def gather(members: Iterable[str], with_addresses: bool = True) -> Snapshot:
    """Poll members (HOST:PORT) concurrently, by default also for the address controller's rows.

    Raises:
        GatherError: there is no member to poll, or there are too many.
    """
    targets = list(dict.fromkeys(members))
    if not targets:
        raise GatherError("--from: expected a member's management address, got none")
    if len(targets) > MAX_MEMBERS:
        raise GatherError(f"--from: expected at most {MAX_MEMBERS} members, got {len(targets)}")
    views: list[MemberView] = []
    unreachable: list[UnreachableMember] = []
    with concurrent.futures.ThreadPoolExecutor(min(CONCURRENT_POLLS, len(targets))) as pool:
        for answer in pool.map(lambda target: poll_member(target, with_addresses), targets):
            if isinstance(answer, MemberView):
                views.append(answer)
            else:
                unreachable.append(answer)
    return Snapshot(time.time(), views, unreachable)
