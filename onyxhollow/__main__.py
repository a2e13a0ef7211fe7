"""The command line: serve, check, version, lab, gate; the others ask a running process."""

from __future__ import annotations

import argparse
import os
import sys
from typing import TYPE_CHECKING

from onyxhollow import __version__

if TYPE_CHECKING:
    from onyxhollow.fleet.file import Fleet
    from onyxhollow.lifecycle.config import Config
    from onyxhollow.lifecycle.signals import SignalQueue


def lacks(extra: str, error: ImportError) -> int:
    """Its libraries are an extra: serve by itself needs none of them."""
    sys.stderr.write(f"onyxhollow: the {extra} needs {error.name}: pip install 'onyxhollow[{extra}]'\n")
    return 2


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="onyxhollow", description="A balancer for long-lived connections.")
    commands = parser.add_subparsers(dest="command", required=True)
    for name, does in (("serve", "run one proxy"), ("check", "check a configuration and say what it holds")):
        command = commands.add_parser(name, help=does)
        command.add_argument("--config", default=os.environ.get("LB_CONFIG"), help="JSON; else $LB_CONFIG")
        command.add_argument("--fleet", default=os.environ.get("LB_FLEET"), help="TOML; else $LB_FLEET")
    commands.add_parser("version", help="print the version")
    lab = commands.add_parser("lab", help="play days on a model of fleet and clients", add_help=False)
    lab.add_argument("words", nargs=argparse.REMAINDER)
    for name, does in (
        ("members", "who is there, as a running process sees it"),
        ("duties", "who holds what; hand over, release"),
        ("voters", "who votes on duties; replace one"),
        ("topology", "the picture of a fleet: draw, show, diff, save, record, replay"),
        ("addresses", "shared service addresses: which site advertises what, and why; orders"),
    ):
        command = commands.add_parser(name, help=does, add_help=False)
        command.add_argument("words", nargs=argparse.REMAINDER)
    gate = commands.add_parser("gate", help="stand between a site's announcers and its routing daemon")
    gate.add_argument("--config", required=True, help="TOML")
    told = parser.parse_args(words)
    if told.command == "version":
        print(__version__)
        return 0
    if told.command == "lab":
        try:
            from onyxhollow.lab.cli import main as play
        except ImportError as error:
            return lacks("lab", error)
        return play(told.words)

    if told.command == "topology":
        try:
            from onyxhollow.topology.commands import main as picture
        except ImportError as error:
            return lacks("topology", error)
        return picture(told.words)

    if told.command in ("members", "duties", "voters", "addresses", "gate"):
        try:
            if told.command == "gate":
                from onyxhollow.fleet.gate import main as stand

                return stand(told.config)
            if told.command == "addresses":
                from onyxhollow.fleet.addressing import main as ask

                return ask(told.words)
            from onyxhollow.fleet.commands import main as call
        except ImportError as error:
            return lacks("fleet", error)
        return call(told.command, told.words)

    if told.command == "check":
        return check(told)
    from onyxhollow.lifecycle.signals import SignalQueue

    signals = SignalQueue()  # before anything is loaded that takes its time
    if status := serve(told, signals):
        signals.close()
    return status


def read_files(told: argparse.Namespace) -> tuple[Config, Fleet | None]:
    """The configuration, and the fleet file where one is named; ValueError if one of them is no good."""
    from onyxhollow.lifecycle.config import ConfigError, read_config

    if not told.config:
        raise ConfigError("no configuration: neither --config nor $LB_CONFIG")
    config = read_config(told.config)
    if not told.fleet:
        return config, None
    from onyxhollow.fleet.file import read_fleet

    return config, read_fleet(told.fleet)


def serve(told: argparse.Namespace, signals: SignalQueue) -> int:
    """Runs one proxy until a signal ends it."""
    from onyxhollow.lifecycle import serve as serving

    try:
        config, fleet = read_files(told)
    except ImportError as error:
        return lacks("fleet", error)
    except ValueError as error:  # ConfigError, FleetError
        return no_good(error)
    if fleet is None:
        return serving.serve(config, told.config, signals)
    from onyxhollow.fleet.node import attach

    return serving.serve(config, told.config, signals, attach(fleet))


def check(told: argparse.Namespace) -> int:
    """Says what a configuration holds."""
    try:
        config, fleet = read_files(told)
    except ImportError as error:
        return lacks("fleet", error)
    except ValueError as error:
        return no_good(error)
    settings, (host, port) = config.settings, config.listen
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
    if fleet:
        duties = ", ".join(f"{duty.name} ({duty.work}, one a {duty.per})" for duty in fleet.told.duty)
        print(
            f"fleet {fleet.told.fleet}: member at {fleet.advertise[0]}:{fleet.advertise[1]}, "
            f"voters {', '.join(fleet.told.voters)}, lease {fleet.told.leases.lease:g} s"
        )
        print(f"duties: {duties or 'none'}")
        if shared := fleet.addresses:
            names, sites = (", ".join(row.name for row in some) for some in (shared.service, shared.site))
            print(f"addresses: {names} at {sites}, at least {shared.policy.least}")
    return 0


def no_good(error: ValueError) -> int:
    """One line for a file that can't be used."""
    sys.stderr.write(f"onyxhollow: {error}\n")
    return 2


if __name__ == "__main__":
    sys.exit(main())
