"""Commands of `onyxhollow topology`: draw, show, diff, save, record, replay.

Exit codes: 0 success; 1 with --check, draw or show found a fault; 2 the command failed; 130 interrupted.
"""

from __future__ import annotations

import argparse
import math
import os
import sys
import time
from collections.abc import Callable
from enum import IntEnum
from pathlib import Path

from rich.console import Console
from rich.live import Live

from onyxhollow.topology import compare, draw, export, logs, snapshot_file
from onyxhollow.topology.faults import find_faults
from onyxhollow.topology.gather import GatherError, gather
from onyxhollow.topology.model import Snapshot
from onyxhollow.topology.scene import sanitize
from onyxhollow.topology.terminal import zone_table

WATCH_INTERVAL_SECONDS = 1.0
RECORD_INTERVAL_SECONDS = 1.0
MIN_RECORD_INTERVAL_SECONDS = 0.1
RING_CAPACITY = 600  # snapshots that `record` keeps
PLAIN_WIDTH_COLUMNS = 160  # where standard output is not a terminal
MAX_LINE_CHARS = 200
MAX_ERROR_CHARS = 300
MAX_FILE_NAME_CHARS = 60  # in an error
MANAGEMENT_VARIABLE = "LB_MANAGEMENT"
TEXT_FORMATS: dict[str, Callable[[Snapshot], str]] = {
    ".svg": draw.svg,
    ".html": draw.html,
    ".dot": export.dot,
    ".json": export.as_json,
}


class ExitCode(IntEnum):
    """Exit code of a command."""

    DONE = 0
    FAULT_FOUND = 1
    FAILED = 2
    INTERRUPTED = 130


class TopologyError(Exception):
    """A command cannot be executed; the message is one line."""


def load_snapshot(args: argparse.Namespace) -> Snapshot:
    """Load the snapshot that --from specifies; without --from, poll the member at LB_MANAGEMENT.

    --from is a snapshot file, logs (comma-separated files, or a folder of *.log files), or members
    (comma-separated addresses, or @FILE with one address per line).

    Raises:
        TopologyError, GatherError, snapshot_file.SnapshotError, logs.LogError: it cannot be loaded.
    """
    source = args.source or os.environ.get(MANAGEMENT_VARIABLE, "")
    paths = [Path(row) for row in source.split(",") if row]
    if len(paths) == 1 and paths[0].is_dir():
        paths = sorted(paths[0].glob("*.log"))
        if not paths:
            raise TopologyError(f"{source}: expected a folder with files *.log, got none")
    if paths and all(path.is_file() for path in paths):
        if len(paths) == 1 and paths[0].suffix == snapshot_file.SUFFIX:
            return snapshot_file.read(paths[0])
        return logs.read(paths, args.until or math.inf)
    if source.startswith("@"):
        return gather(_read_members(Path(source[1:])))
    return gather(row for row in source.split(",") if row)


def _read_members(path: Path) -> list[str]:
    try:
        return path.read_text().split()
    except OSError as error:
        raise TopologyError(f"{path}: {error.strerror}") from None


def _write(path: Path, content: str | bytes) -> None:
    body = content if isinstance(content, bytes) else content.encode("utf-8")
    try:
        path.write_bytes(body)
    except OSError as error:
        raise TopologyError(f"{path}: {error.strerror}") from None


def run_draw(args: argparse.Namespace, console: Console) -> ExitCode:
    """Write the picture to --out in the format of its suffix, and print the faults."""
    suffix = args.out.suffix
    if suffix != ".png" and suffix not in TEXT_FORMATS:
        name = args.out.name[:MAX_FILE_NAME_CHARS]
        raise TopologyError(f"--out: expected .svg, .html, .png, .dot or .json, got {name!r}")
    snapshot = load_snapshot(args)
    if suffix == ".png":
        try:
            _write(args.out, draw.png(snapshot))
        except draw.MissingLibraryError as error:
            raise TopologyError(f"{args.out}: {error}") from None
    else:
        _write(args.out, TEXT_FORMATS[suffix](snapshot))
    for fault in find_faults(snapshot):
        console.print(sanitize(fault.description, MAX_LINE_CHARS), markup=False)
    return _exit_code(args, snapshot)


def run_show(args: argparse.Namespace, console: Console) -> ExitCode:
    """Print the table of zones; with --watch, refresh it until interrupted."""
    snapshot = load_snapshot(args)
    if not args.watch:
        console.print(zone_table(snapshot))
        return _exit_code(args, snapshot)
    with Live(zone_table(snapshot), console=console, auto_refresh=False) as live:
        while True:
            time.sleep(WATCH_INTERVAL_SECONDS)
            live.update(zone_table(load_snapshot(args)), refresh=True)


def _exit_code(args: argparse.Namespace, snapshot: Snapshot) -> ExitCode:
    return ExitCode.FAULT_FOUND if args.check and find_faults(snapshot) else ExitCode.DONE


def run_save(args: argparse.Namespace, _console: Console) -> ExitCode:
    """Write one snapshot file."""
    snapshot_file.save(args.out, load_snapshot(args))
    return ExitCode.DONE


def run_record(args: argparse.Namespace, _console: Console) -> ExitCode:
    """Add a snapshot to a ring every --every seconds, --count times or until interrupted."""
    if args.every < MIN_RECORD_INTERVAL_SECONDS or args.most < 1:
        raise TopologyError(
            f"--every: expected at least {MIN_RECORD_INTERVAL_SECONDS} s, got {args.every:g}; "
            f"--most: expected at least 1, got {args.most}"
        )
    recorded = 0
    while not args.count or recorded < args.count:
        started = time.monotonic()
        snapshot_file.save_to_ring(args.folder, load_snapshot(args), args.most)
        recorded += 1
        if not args.count or recorded < args.count:
            time.sleep(max(0.0, args.every - (time.monotonic() - started)))
    return ExitCode.DONE


def run_diff(args: argparse.Namespace, console: Console) -> ExitCode:
    """Print the differences between two snapshot files; with --out, draw both on one page."""
    before = snapshot_file.read(args.before)
    after = snapshot_file.read(args.after)
    for row in compare.differences(before, after) or ["no difference"]:
        console.print(sanitize(row, MAX_LINE_CHARS), markup=False)
    if args.out:
        _write(args.out, draw.replay([before, after]))
    return ExitCode.DONE


def run_replay(args: argparse.Namespace, _console: Console) -> ExitCode:
    """Draw a ring of snapshots on one page."""
    snapshots = snapshot_file.read_ring(args.folder)
    if not snapshots:
        raise TopologyError(f"{args.folder}: expected snapshots ({snapshot_file.SUFFIX}), got none")
    _write(args.out, draw.replay(snapshots))
    return ExitCode.DONE


def build_parser() -> argparse.ArgumentParser:
    """Build the parser; each subcommand sets `run` to its function."""
    parser = argparse.ArgumentParser(prog="onyxhollow topology")
    commands = parser.add_subparsers(dest="command", required=True)
    source = _source_options()

    command = commands.add_parser(
        "draw", parents=[source], help="draw a picture: .svg, .html, .png, .dot or .json"
    )
    command.add_argument("--check", action="store_true", help="exit with status 1 if there is a fault")
    command.add_argument("-o", "--out", type=Path, required=True)
    command.set_defaults(run=run_draw)

    command = commands.add_parser("show", parents=[source], help="print a table of zones and faults")
    command.add_argument("--check", action="store_true", help="exit with status 1 if there is a fault")
    command.add_argument("--watch", action="store_true", help="refresh every second until interrupted")
    command.set_defaults(run=run_show)

    command = commands.add_parser("save", parents=[source], help="write a snapshot file")
    command.add_argument("-o", "--out", type=Path, required=True)
    command.set_defaults(run=run_save)

    command = commands.add_parser("record", parents=[source], help="record a ring of snapshots")
    command.add_argument("folder", type=Path)
    command.add_argument("--every", type=float, default=RECORD_INTERVAL_SECONDS, help="interval in seconds")
    command.add_argument("--most", type=int, default=RING_CAPACITY)
    command.add_argument("--count", type=int, default=0, help="snapshots to record; 0: until interrupted")
    command.set_defaults(run=run_record)

    command = commands.add_parser("diff", help="print the differences between two snapshot files")
    command.add_argument("before", type=Path)
    command.add_argument("after", type=Path)
    command.add_argument("-o", "--out", type=Path, help="also draw both on one HTML page")
    command.set_defaults(run=run_diff)

    command = commands.add_parser("replay", help="draw a recorded ring as an HTML page with a time slider")
    command.add_argument("folder", type=Path)
    command.add_argument("-o", "--out", type=Path, required=True)
    command.set_defaults(run=run_replay)
    return parser


def _source_options() -> argparse.ArgumentParser:
    """Build the parser of the options that specify a snapshot."""
    options = argparse.ArgumentParser(add_help=False)
    options.add_argument(
        "--from",
        dest="source",
        default="",
        metavar="MEMBERS|FILE|FOLDER",
        help="members (HOST:PORT,.. or @FILE), a snapshot file, logs or a folder of logs; "
        "default: $LB_MANAGEMENT",
    )
    options.add_argument("--until", type=float, default=0.0, help="ignore later log lines; Unix seconds")
    return options


def main(arguments: list[str]) -> int:
    """Run a command from the arguments after `onyxhollow topology`; return its exit code."""
    args = build_parser().parse_args(arguments)
    console = Console() if sys.stdout.isatty() else Console(width=PLAIN_WIDTH_COLUMNS)
    try:
        code: ExitCode = args.run(args, console)
    except (TopologyError, GatherError, snapshot_file.SnapshotError, logs.LogError) as error:
        sys.stderr.write(f"onyxhollow: {sanitize(str(error), MAX_ERROR_CHARS)}\n")
        return ExitCode.FAILED
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    return code
