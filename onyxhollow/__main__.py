"""The command line; modules of a command are imported only when that command runs."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, NamedTuple

from onyxhollow import __version__

if TYPE_CHECKING:
    import argparse

    from onyxhollow.fleet.file import FleetConfig
    from onyxhollow.lifecycle.config import Config
    from onyxhollow.lifecycle.signals import SignalQueue

EXIT_UNUSABLE = 2  # a required extra is missing, or a file is invalid
PROXY_COMMANDS = (
    ("serve", "run one proxy"),
    ("check", "validate a configuration and print a summary"),
)
ROUTE_GUARD = "route-guard"
OLD_ROUTE_GUARD = "gate"  # deprecated name, accepted for one release with a warning
ROUTE_GUARD_COMMANDS = (
    (ROUTE_GUARD, "guard a site's routes between its announcers and its routing daemon"),
    (OLD_ROUTE_GUARD, f"the former name of {ROUTE_GUARD}"),
)
# Commands that parse their own arguments.
OTHER_COMMANDS = (
    ("members", "show the members of a fleet as one process sees them"),
    ("duties", "show roles and lease holders; hand over or release a lease"),
    ("voters", "show the voter set; replace a voter"),
    ("topology", "topology of a fleet: draw, show, diff, save, record, replay"),
    ("addresses", "routes of the shared addresses and their causes; overrides"),
)
LAB = "lab"
COMMANDS_WITH_OWN_PARSER = {LAB, *(name for name, _ in OTHER_COMMANDS)}
CONFIG_OPTION = "--config"
FLEET_OPTION = "--fleet"


class ConfigPaths(NamedTuple):
    """Paths of the configuration file and of the fleet file; empty if not given."""

    config: str
    fleet: str


def report_missing_extra(extra: str, error: ImportError) -> int:
    """Write how to install a missing extra; return the exit status. A plain `serve` needs no extra."""
    sys.stderr.write(
        f"onyxhollow: {extra}: expected package {error.name}, got none: pip install 'onyxhollow[{extra}]'\n"
    )
    return EXIT_UNUSABLE


def report_unusable_file(error: ValueError) -> int:
    """Write one line about an invalid file; return the exit status."""
    sys.stderr.write(f"onyxhollow: {error}\n")
    return EXIT_UNUSABLE


def default_paths() -> ConfigPaths:
    """Return the paths that the environment gives."""
    return ConfigPaths(os.environ.get("LB_CONFIG", ""), os.environ.get("LB_FLEET", ""))


def parse_plain_serve(arguments: list[str]) -> ConfigPaths | None:
    """Parse `serve` whose options are written as `--config FILE` and `--fleet FILE`.

    Return None for all other arguments, which `make_parser` handles. The usual start of a proxy thereby does
    not wait for the import of argparse and for the set-up of a parser for each command.
    """
    if not arguments or arguments[0] != "serve":
        return None
    names = arguments[1::2]
    values = arguments[2::2]
    if len(names) != len(values) or any(value.startswith("-") for value in values):
        return None
    paths = default_paths()
    for name, value in zip(names, values, strict=True):
        if name == CONFIG_OPTION:
            paths = paths._replace(config=value)
        elif name == FLEET_OPTION:
            paths = paths._replace(fleet=value)
        else:
            return None
    return paths


def make_parser() -> argparse.ArgumentParser:
    """Return the parser for all commands."""
    import argparse

    defaults = default_paths()
    parser = argparse.ArgumentParser(
        prog="onyxhollow", description="A load balancer for long-lived connections."
    )
    commands = parser.add_subparsers(dest="command", required=True)
    for name, purpose in PROXY_COMMANDS:
        command = commands.add_parser(name, help=purpose)
        command.add_argument(CONFIG_OPTION, default=defaults.config, help="JSON file (default: $LB_CONFIG)")
        command.add_argument(FLEET_OPTION, default=defaults.fleet, help="TOML file (default: $LB_FLEET)")
    commands.add_parser("version", help="print the version")
    commands.add_parser(LAB, help="run scenarios on a model of fleet and clients")
    for name, purpose in OTHER_COMMANDS:
        commands.add_parser(name, help=purpose)
    for name, purpose in ROUTE_GUARD_COMMANDS:
        command = commands.add_parser(name, help=purpose)
        command.add_argument(CONFIG_OPTION, required=True, help="TOML file")
    return parser


def parse_arguments(argv: list[str]) -> argparse.Namespace:
    """Return the command and its options.

    A command with a parser of its own gets all arguments after its name: a subparser of argparse does not
    accept an option as the first of its remaining arguments, and leaves `--help` to the main parser.
    """
    import argparse

    if argv and argv[0] in COMMANDS_WITH_OWN_PARSER:
        return argparse.Namespace(command=argv[0], arguments=argv[1:])
    return make_parser().parse_args(argv)


def main(argv: list[str] | None = None) -> int:
    """Run one command; return the exit status."""
    arguments = sys.argv[1:] if argv is None else argv
    paths = parse_plain_serve(arguments)
    if paths is not None:
        return run_serve(paths)
    return run_command(parse_arguments(arguments))


def run_command(options: argparse.Namespace) -> int:
    """Run the command of parsed arguments; return the exit status."""
    command = options.command
    if command == "version":
        print(__version__)
        return 0
    if command == "check":
        return check(ConfigPaths(options.config, options.fleet))
    if command == LAB:
        return run_lab(options.arguments)
    if command == "topology":
        return run_topology(options.arguments)
    if command == "serve":
        return run_serve(ConfigPaths(options.config, options.fleet))
    return run_fleet_command(options)


def run_serve(paths: ConfigPaths) -> int:
    """Run one proxy, with signals queued from here on; return the exit status."""
    from onyxhollow.lifecycle.signals import SignalQueue

    signals = SignalQueue()  # before slow imports, so that no signal is lost
    status = serve(paths, signals)
    if status:
        signals.close()
    return status


def run_lab(arguments: list[str]) -> int:
    """Run a command of the emulator."""
    try:
        from onyxhollow.lab.cli import main as run
    except ImportError as error:
        return report_missing_extra("lab", error)
    return run(arguments)


def run_topology(arguments: list[str]) -> int:
    """Run a command on the topology of a fleet."""
    try:
        from onyxhollow.topology.commands import main as run
    except ImportError as error:
        return report_missing_extra("topology", error)
    return run(arguments)


def run_fleet_command(options: argparse.Namespace) -> int:
    """Run a command on a running fleet, or the route guard."""
    command = options.command
    if command == OLD_ROUTE_GUARD:
        notice = f"{OLD_ROUTE_GUARD}: now called {ROUTE_GUARD}; this name will be removed in the next release"
        sys.stderr.write(f"onyxhollow: {notice}\n")
    try:
        if command in (ROUTE_GUARD, OLD_ROUTE_GUARD):
            from onyxhollow.fleet.route_guard import main as run_route_guard

            return run_route_guard(options.config)
        if command == "addresses":
            from onyxhollow.fleet.address_commands import main as run_addresses

            return run_addresses(options.arguments)
        from onyxhollow.fleet.commands import main as run
    except ImportError as error:
        return report_missing_extra("fleet", error)
    return run(command, options.arguments)


def read_files(paths: ConfigPaths) -> tuple[Config, FleetConfig | None]:
    """Return the configuration, and the fleet's if a fleet file is given.

    Raises:
        ValueError: A file is invalid (ConfigError, FleetFileError).
        ImportError: A package of the extra `fleet` is missing.
    """
    from onyxhollow.lifecycle.config import ConfigError, read_config

    if not paths.config:
        raise ConfigError("configuration: expected --config or $LB_CONFIG, got neither")
    config = read_config(paths.config)
    if not paths.fleet:
        return config, None
    from onyxhollow.fleet.file import read_fleet

    return config, read_fleet(paths.fleet)


def serve(paths: ConfigPaths, signals: SignalQueue) -> int:
    """Run one proxy until a signal ends it; return the exit status."""
    from onyxhollow.lifecycle import serve as serving

    try:
        config, fleet = read_files(paths)
    except ImportError as error:
        return report_missing_extra("fleet", error)
    except ValueError as error:
        return report_unusable_file(error)
    if fleet is None:
        return serving.serve(config, paths.config, signals)
    from onyxhollow.fleet.node import attach

    return serving.serve(config, paths.config, signals, attach(fleet))


def check(paths: ConfigPaths) -> int:
    """Validate the configuration and the fleet file, and print a summary; return the exit status."""
    try:
        config, fleet = read_files(paths)
    except ImportError as error:
        return report_missing_extra("fleet", error)
    except ValueError as error:
        return report_unusable_file(error)
    print_config(config)
    if fleet is not None:
        print_fleet(fleet)
    return 0


def print_config(config: Config) -> None:
    """Print a summary of a configuration."""
    settings = config.settings
    host, port = config.listen
    print(f"{config.name}: listens on {host}:{port}, one of {settings.instance_count} balancers")
    management = ":".join(map(str, config.management)) if config.management else "disabled"
    print(f"management API: {management}")
    weights = "live" if settings.live_weights else "sizes"
    delivery = "polled" if settings.list_is_polled else "pushed"
    print(
        f"weights {weights}, list {delivery}, "
        f"group affinity {'on' if settings.group_affinity else 'off'}, "
        f"costs: health check {settings.health_check_price:g}, other zone {settings.cross_zone_price:g}"
    )
    print(f"known endpoints {len(config.known.endpoints)}, listeners {len(settings.listeners)}")


def print_fleet(fleet: FleetConfig) -> None:
    """Print a summary of a fleet file."""
    file = fleet.file
    roles = ", ".join(f"{role.name} ({role.task.value}, one per {role.scope.value})" for role in file.roles)
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
