"""The command line: serve and check here; the other commands are loaded where they are called."""

from __future__ import annotations

import argparse
import os
import sys
from typing import TYPE_CHECKING

from onyxhollow import __version__

if TYPE_CHECKING:
    from onyxhollow.fleet.file import FleetConfig
    from onyxhollow.lifecycle.config import Config
    from onyxhollow.lifecycle.signals import SignalQueue

EXIT_UNUSABLE = 2  # an extra is missing, or a file can't be used
PROXY_COMMANDS = (
    ("serve", "run one proxy"),
    ("check", "check a configuration and say what it holds"),
)
ROUTE_GUARD = "route-guard"
OLD_ROUTE_GUARD = "gate"  # accepted for one release, with a warning
ROUTE_GUARD_COMMANDS = (
    (ROUTE_GUARD, "stand between a site's announcers and its routing daemon"),
    (OLD_ROUTE_GUARD, f"the former name of {ROUTE_GUARD}"),
)
# Commands with a parser of their own, which gets all that follows.
OTHER_COMMANDS = (
    ("members", "who is there, as a running process sees it"),
    ("duties", "who holds what; hand over, release"),
    ("voters", "who votes on duties; replace one"),
    ("topology", "the picture of a fleet: draw, show, diff, save, record, replay"),
    ("addresses", "shared service addresses: which site advertises what, and why; orders"),
)


def missing_extra(extra: str, error: ImportError) -> int:
    """Says that an extra's libraries are missing: serve by itself needs none of them."""
    sys.stderr.write(f"onyxhollow: the {extra} needs {error.name}: pip install 'onyxhollow[{extra}]'\n")
    return EXIT_UNUSABLE


def unusable(error: ValueError) -> int:
    """Writes one line for a file that can't be used."""
    sys.stderr.write(f"onyxhollow: {error}\n")
    return EXIT_UNUSABLE


def make_parser() -> argparse.ArgumentParser:
    """The parser of all commands."""
    parser = argparse.ArgumentParser(prog="onyxhollow", description="A balancer for long-lived connections.")
    commands = parser.add_subparsers(dest="command", required=True)
    for name, purpose in PROXY_COMMANDS:
        command = commands.add_parser(name, help=purpose)
        command.add_argument("--config", default=os.environ.get("LB_CONFIG"), help="JSON; else $LB_CONFIG")
        command.add_argument("--fleet", default=os.environ.get("LB_FLEET"), help="TOML; else $LB_FLEET")
    commands.add_parser("version", help="print the version")
    lab = commands.add_parser("lab", help="play days on a model of fleet and clients", add_help=False)
    lab.add_argument("words", nargs=argparse.REMAINDER)
    for name, purpose in OTHER_COMMANDS:
        command = commands.add_parser(name, help=purpose, add_help=False)
        command.add_argument("words", nargs=argparse.REMAINDER)
    for name, purpose in ROUTE_GUARD_COMMANDS:
        command = commands.add_parser(name, help=purpose)
        command.add_argument("--config", required=True, help="TOML")
    return parser


def main(words: list[str] | None = None) -> int:
    """Runs one command; returns the exit status."""
    arguments = make_parser().parse_args(words)
    command = arguments.command
    if command == "version":
        print(__version__)
        return 0
    if command == "check":
        return check(arguments)
    if command == "lab":
        return run_lab(arguments.words)
    if command == "topology":
        return run_topology(arguments.words)
    if command != "serve":
        return run_fleet_command(arguments)
    from onyxhollow.lifecycle.signals import SignalQueue

    signals = SignalQueue()  # before anything is loaded that takes its time
    status = serve(arguments, signals)
    if status:
        signals.close()
    return status


def run_lab(words: list[str]) -> int:
    """The emulator's commands."""
    try:
        from onyxhollow.lab.cli import main as run
    except ImportError as error:
        return missing_extra("lab", error)
    return run(words)


def run_topology(words: list[str]) -> int:
    """The commands on the picture of a fleet."""
    try:
        from onyxhollow.topology.commands import main as run
    except ImportError as error:
        return missing_extra("topology", error)
    return run(words)


def run_fleet_command(arguments: argparse.Namespace) -> int:
    """The commands on a running fleet, and the route guard."""
    command = arguments.command
    if command == OLD_ROUTE_GUARD:
        notice = f"{OLD_ROUTE_GUARD}: now called {ROUTE_GUARD}; this name goes with the next release"
        sys.stderr.write(f"onyxhollow: {notice}\n")
    try:
        if command in (ROUTE_GUARD, OLD_ROUTE_GUARD):
            from onyxhollow.fleet.route_guard import main as run_route_guard

            return run_route_guard(arguments.config)
        if command == "addresses":
            from onyxhollow.fleet.address_commands import main as run_addresses

            return run_addresses(arguments.words)
        from onyxhollow.fleet.commands import main as run
    except ImportError as error:
        return missing_extra("fleet", error)
    return run(command, arguments.words)


def read_files(arguments: argparse.Namespace) -> tuple[Config, FleetConfig | None]:
    """The configuration, and the fleet file where one is named.

    Raises:
        ValueError: One of them can't be used (ConfigError, FleetFileError).
        ImportError: The fleet's libraries are missing.
    """
    from onyxhollow.lifecycle.config import ConfigError, read_config

    if not arguments.config:
        raise ConfigError("no configuration: neither --config nor $LB_CONFIG")
    config = read_config(arguments.config)
    if not arguments.fleet:
        return config, None
    from onyxhollow.fleet.file import read_fleet

    return config, read_fleet(arguments.fleet)


def serve(arguments: argparse.Namespace, signals: SignalQueue) -> int:
    """Runs one proxy until a signal ends it."""
    from onyxhollow.lifecycle import serve as serving

    try:
        config, fleet = read_files(arguments)
    except ImportError as error:
        return missing_extra("fleet", error)
    except ValueError as error:
        return unusable(error)
    if fleet is None:
        return serving.serve(config, arguments.config, signals)
    from onyxhollow.fleet.node import attach

    return serving.serve(config, arguments.config, signals, attach(fleet))


def check(arguments: argparse.Namespace) -> int:
    """Says what a configuration holds, and the fleet file beside it."""
    try:
        config, fleet = read_files(arguments)
    except ImportError as error:
        return missing_extra("fleet", error)
    except ValueError as error:
        return unusable(error)
    print_config(config)
    if fleet is not None:
        print_fleet(fleet)
    return 0


def print_config(config: Config) -> None:
    """What a configuration holds."""
    settings = config.settings
    host, port = config.listen
    print(f"{config.name}: listens on {host}:{port}, one of {settings.instance_count} balancers")
    calls = ":".join(map(str, config.management)) if config.management else "nowhere: no management"
    print(f"operators call {calls}")
    weights = "live" if settings.live_weights else "sizes"
    how = "asked for" if settings.list_is_polled else "pushed"
    print(
        f"weights {weights}, list {how}, groups {'on' if settings.group_affinity else 'off'}, "
        f"a probe costs {settings.health_check_price:g}, a crossing {settings.cross_zone_price:g}"
    )
    print(f"servers known {len(config.known.endpoints)}, listeners {len(settings.listeners)}")


def print_fleet(fleet: FleetConfig) -> None:
    """What a fleet file holds."""
    file = fleet.file
    roles = ", ".join(f"{role.name} ({role.task.value}, one a {role.scope.value})" for role in file.roles)
    host, port = fleet.advertise
    print(
        f"fleet {file.fleet}: member at {host}:{port}, "
        f"voters {', '.join(file.voters)}, lease {file.leases.duration:g} s"
    )
    print(f"duties: {roles or 'none'}")
    shared = fleet.addresses
    if shared is not None:
        names = ", ".join(service.name for service in shared.services)
        sites = ", ".join(site.name for site in shared.sites)
        print(f"addresses: {names} at {sites}, at least {shared.policy.min_sites}")


if __name__ == "__main__":
    sys.exit(main())
