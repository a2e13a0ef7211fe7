"""Commands `members`, `duties` and `voters`, which call the management API of a running process."""

from __future__ import annotations

import argparse
import http.client
import json
import os
import sys
import time
from urllib.parse import urlencode

from onyxhollow.fleet.command_tables import format_history, format_members, format_roles, format_voters
from onyxhollow.host_port import split_host_port

CALL_TIMEOUT_SECONDS = 3.0
WATCH_INTERVAL_SECONDS = 1.0
EXIT_FAILED = 2
EXIT_INTERRUPTED = 130
FORMATTERS = {"members": format_members, "duties": format_roles, "voters": format_voters}


class CallError(Exception):
    """Failed or refused call of a process. The text has the address, the expected and the actual result."""


def call(address: str, method: str, path: str, /, root: str = "/control/fleet", **query: str) -> bytes:
    """Call a path of the management API.

    Args:
        address: HOST:PORT of the process.
        method: HTTP method.
        path: Path below `root`.
        root: Root path of the subsystem.
        query: Query parameters.

    Returns:
        The body of an answer with status 200 or 202.

    Raises:
        CallError: The address is invalid, the process does not answer in time, or its answer has another
            status.
    """
    host_port = split_host_port(address)
    if host_port is None:
        raise CallError(f"--at: expected HOST:PORT, got {address!r}")
    target = f"{root}{path}" + (f"?{urlencode(query)}" if query else "")
    status, body = _request(address, *host_port, method, target)
    if status == http.HTTPStatus.NOT_FOUND and body == b"no such path\n":
        requirement = "addresses in its fleet file" if root.endswith("addresses") else "a fleet file"
        raise CallError(f"{address}: expected a process with {requirement}, got one without")
    if status not in (http.HTTPStatus.OK, http.HTTPStatus.ACCEPTED):
        raise CallError(f"{address}: {body.decode(errors='replace').strip()}")
    return body


def _request(address: str, host: str, port: int, method: str, target: str) -> tuple[int, bytes]:
    connection = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_SECONDS)
    try:
        connection.request(method, target)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException) as error:
        raise CallError(f"{address}: expected an answer, got {error or type(error).__name__}") from None
    finally:
        connection.close()


def make_parser(name: str) -> argparse.ArgumentParser:
    """Return the parser for the command line of a command."""
    parser = argparse.ArgumentParser(prog=f"onyxhollow {name}")
    _add_address_option(parser, os.environ.get("LB_MANAGEMENT", ""))
    _add_output_options(parser, default=False)
    if name == "duties":
        _add_role_subcommands(parser)
    elif name == "voters":
        _add_voter_subcommands(parser)
    return parser


def _add_address_option(parser: argparse.ArgumentParser, default: str = argparse.SUPPRESS) -> None:
    """Add `--at`. By default a parser without the option on its command line leaves the value unchanged."""
    parser.add_argument(
        "--at", default=default, help="management address HOST:PORT (default: $LB_MANAGEMENT)"
    )


def _add_output_options(parser: argparse.ArgumentParser, default: bool | str = argparse.SUPPRESS) -> None:
    """Add the options of commands that show something; the default is as in `_add_address_option`."""
    parser.add_argument(
        "--json", action="store_true", default=default, help="print the JSON answer of the process"
    )
    parser.add_argument(
        "--watch", action="store_true", default=default, help="repeat every second until interrupted"
    )


def _add_role_subcommands(parser: argparse.ArgumentParser) -> None:
    subparsers = parser.add_subparsers(dest="subcommand")
    show = subparsers.add_parser("show", help="show roles and lease holders (default)")
    history = subparsers.add_parser(
        "history", help="show the latest changes of holders that the process received"
    )
    hand_over = subparsers.add_parser("hand-over", help="hand a role over to another member at once")
    hand_over.add_argument("name")
    hand_over.add_argument("--to", required=True, metavar="MEMBER")
    release = subparsers.add_parser(
        "release", help="release a role; its holder does not compete for it for a while"
    )
    release.add_argument("name")
    for subparser in (show, history, hand_over, release):
        _add_address_option(subparser)
    for subparser in (show, history):
        _add_output_options(subparser)


def _add_voter_subcommands(parser: argparse.ArgumentParser) -> None:
    subparsers = parser.add_subparsers(dest="subcommand")
    show = subparsers.add_parser("show", help="show the voter set (default)")
    replace = subparsers.add_parser(
        "replace", help="replace a voter with another member, granted by the current voters"
    )
    replace.add_argument("remove", metavar="OLD")
    replace.add_argument("add", metavar="NEW")
    _add_address_option(show)
    _add_address_option(replace)
    _add_output_options(show)


def main(name: str, argv: list[str]) -> int:
    """Run a command and return its exit status.

    Args:
        name: `members`, `duties` or `voters`.
        argv: Arguments after the name of the command.
    """
    arguments = make_parser(name).parse_args(argv)
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
    """Send the command that changes a role or voter; return False if the arguments contain none."""
    subcommand = getattr(arguments, "subcommand", None)
    if subcommand == "hand-over":
        answer = call(arguments.at, "POST", "/hand-over", name=arguments.name, to=arguments.to)
    elif subcommand == "release":
        answer = call(arguments.at, "POST", "/release", name=arguments.name)
    elif subcommand == "replace":
        answer = call(arguments.at, "POST", "/voters", remove=arguments.remove, add=arguments.add)
    else:
        return False
    sys.stdout.write(answer.decode())
    return True


def _show(name: str, arguments: argparse.Namespace) -> None:
    """Print the state; with --watch, repeat until interrupted."""
    show_history = getattr(arguments, "subcommand", None) == "history"
    while True:
        body = call(arguments.at, "GET", "/history" if show_history else "")
        if arguments.json:
            text = body.decode().strip()
        else:
            decoded = json.loads(body)
            text = format_history(decoded) if show_history else FORMATTERS[name](decoded)
        print(text, flush=True)
        if not arguments.watch:
            return
        time.sleep(WATCH_INTERVAL_SECONDS)
