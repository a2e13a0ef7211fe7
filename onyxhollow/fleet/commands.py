"""The commands `members`, `duties` and `voters`: they call a running process at its management address."""

from __future__ import annotations

import argparse
import http.client
import json
import os
import sys
import time
from urllib.parse import urlencode

from onyxhollow.fleet.command_tables import format_history, format_members, format_roles, format_voters

CALL_TIMEOUT = 3.0  # seconds for the process to answer
WATCH_INTERVAL = 1.0  # seconds
EXIT_FAILED = 2
EXIT_INTERRUPTED = 130
FORMATS = {"members": format_members, "duties": format_roles, "voters": format_voters}


class CallError(Exception):
    """The process could not be called, or refused; the text says which, and what was expected."""


def call(address: str, method: str, path: str, /, root: str = "/control/fleet", **query: str) -> bytes:
    """Calls a management path.

    Args:
        address: HOST:PORT of the process.
        method: Of the request.
        path: Below `root`.
        root: Of the paths of the subsystem.
        query: Names and values behind the `?`.

    Returns:
        The body of an answer with status 200 or 202.

    Raises:
        CallError: The address is none, nobody answers in time, or the status is another one.
    """
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit():
        raise CallError(f"--at: expected HOST:PORT, got {address!r}")
    target = f"{root}{path}" + (f"?{urlencode(query)}" if query else "")
    status, body = _request(address, host, int(port), method, target)
    if status == http.HTTPStatus.NOT_FOUND and body == b"no such path\n":
        what = "addresses in its fleet file" if root.endswith("addresses") else "a fleet file"
        raise CallError(f"{address}: expected a process with {what}, got one without")
    if status not in (http.HTTPStatus.OK, http.HTTPStatus.ACCEPTED):
        raise CallError(f"{address}: {body.decode(errors='replace').strip()}")
    return body


def _request(address: str, host: str, port: int, method: str, target: str) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT)
    try:
        connection.request(method, target)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException) as error:
        raise CallError(f"{address}: expected an answer, got {error or type(error).__name__}") from None
    finally:
        connection.close()


def make_parser(name: str) -> argparse.ArgumentParser:
    """The command line of the command of that name."""
    parser = argparse.ArgumentParser(prog=f"onyxhollow {name}")
    address = os.environ.get("LB_MANAGEMENT", "")
    parser.add_argument("--at", default=address, help="HOST:PORT; else $LB_MANAGEMENT")
    parser.add_argument("--json", action="store_true", help="as the process tells it")
    parser.add_argument("--watch", action="store_true", help="again each second, until ended by hand")
    if name == "duties":
        _add_role_parts(parser)
    elif name == "voters":
        _add_voter_parts(parser)
    return parser


def _add_role_parts(parser: argparse.ArgumentParser) -> None:
    parts = parser.add_subparsers(dest="part")
    parts.add_parser("show", help="who holds what")
    parts.add_parser("history", help="the last changes that this process heard of")
    hand_over = parts.add_parser("hand-over", help="to another member, at once")
    hand_over.add_argument("name")
    hand_over.add_argument("--to", required=True, metavar="MEMBER")
    release = parts.add_parser(
        "release", help="the holder lets go of it, and leaves it to others for a while"
    )
    release.add_argument("name")


def _add_voter_parts(parser: argparse.ArgumentParser) -> None:
    parts = parser.add_subparsers(dest="part")
    parts.add_parser("show", help="who votes")
    replace = parts.add_parser("replace", help="one voter by another member, granted by the present ones")
    replace.add_argument("remove", metavar="OLD")
    replace.add_argument("add", metavar="NEW")


def main(name: str, words: list[str]) -> int:
    """Runs a command; returns its exit status.

    Args:
        name: `members`, `duties` or `voters`.
        words: What follows it on the command line.
    """
    arguments = make_parser(name).parse_args(words)
    try:
        if _send_command(arguments):
            return 0
        _show(name, arguments)
    except CallError as error:
        sys.stderr.write(f"onyxhollow: {error}\n")
        return EXIT_FAILED
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED
    return 0


def _send_command(arguments: argparse.Namespace) -> bool:
    """Sends what changes something; False if the command line names nothing of that kind."""
    part = getattr(arguments, "part", None)
    if part == "hand-over":
        answer = call(arguments.at, "POST", "/hand-over", name=arguments.name, to=arguments.to)
    elif part == "release":
        answer = call(arguments.at, "POST", "/release", name=arguments.name)
    elif part == "replace":
        answer = call(arguments.at, "POST", "/voters", remove=arguments.remove, add=arguments.add)
    else:
        return False
    sys.stdout.write(answer.decode())
    return True


def _show(name: str, arguments: argparse.Namespace) -> None:
    """Prints the state, with --watch until it is interrupted."""
    history = getattr(arguments, "part", None) == "history"
    while True:
        body = call(arguments.at, "GET", "/history" if history else "")
        if arguments.json:
            text = body.decode().strip()
        else:
            decoded = json.loads(body)
            text = format_history(decoded) if history else FORMATS[name](decoded)
        print(text, flush=True)
        if not arguments.watch:
            return
        time.sleep(WATCH_INTERVAL)
