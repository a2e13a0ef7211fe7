"""The command line: serve, check, version, lab."""

from __future__ import annotations

import argparse
import os
import sys

from onyxhollow import __version__


def main(words: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="onyxhollow", description="A balancer for long-lived connections.")
    commands = parser.add_subparsers(dest="command", required=True)
    for name, does in (("serve", "run one proxy"), ("check", "check a configuration and say what it holds")):
        command = commands.add_parser(name, help=does)
        command.add_argument("--config", default=os.environ.get("LB_CONFIG"), help="JSON; else $LB_CONFIG")
    commands.add_parser("version", help="print the version")
    lab = commands.add_parser("lab", help="play days on a model of fleet and clients", add_help=False)
    lab.add_argument("words", nargs=argparse.REMAINDER)
    told = parser.parse_args(words)
    if told.command == "version":
        print(__version__)
        return 0
    if told.command == "lab":
        try:
            from onyxhollow.lab.cli import main as play
        except ImportError as error:  # its libraries are an extra: serve needs none of them
            sys.stderr.write(f"onyxhollow: the lab needs {error.name}: pip install 'onyxhollow[lab]'\n")
            return 2
        return play(told.words)

    from onyxhollow.lifecycle.config import ConfigError, read_config
    from onyxhollow.lifecycle.proxy import clock_ahead, serve

    ahead = clock_ahead()
    try:
        if not told.config:
            raise ConfigError("no configuration: neither --config nor $LB_CONFIG")
        config = read_config(told.config, ahead)
    except ConfigError as error:
        sys.stderr.write(f"onyxhollow: {error}\n")
        return 2
    if told.command == "check":
        settings, (host, port) = config.settings, config.listen
        print(f"{config.name}: listens on {host}:{port}, one of {settings.balancers} balancers")
        calls = ":".join(map(str, config.management)) if config.management else "nowhere: no management"
        print(f"operators call {calls}")
        weights = "live" if settings.live_sizes else "sizes"
        how = "asked for" if settings.watched else "pushed"
        print(f"weights {weights}, list {how}, groups {'on' if settings.groups else 'off'}, "
              f"a probe costs {settings.probe_price:g}, a crossing {settings.crossing_price:g}")  # fmt: skip
        print(f"servers known {len(config.known.entries)}, listeners {len(settings.listeners)}")
        return 0
    return serve(config, told.config, ahead)


if __name__ == "__main__":
    sys.exit(main())
