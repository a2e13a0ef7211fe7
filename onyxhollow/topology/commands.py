"""topology: draw, show, diff, save, record, replay.

Exit codes: 0 done; 1 show and draw found a fault and --check was given; 2 nothing could be gathered, read or
written.
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

WATCH_INTERVAL = 1.0  # seconds
RECORD_INTERVAL = 1.0  # seconds
MIN_RECORD_INTERVAL = 0.1  # seconds
RING_CAPACITY = 600  # snapshots of `record`
PLAIN_WIDTH = 160  # columns where standard output is no terminal
MAX_LINE = 200  # characters
MAX_ERROR = 300  # characters
MAX_FILE_NAME = 60  # characters in an error
MANAGEMENT_VARIABLE = "LB_MANAGEMENT"
TEXT_FORMATS: dict[str, Callable[[Snapshot], str]] = {
    ".svg": draw.svg,
    ".html": draw.html,
    ".dot": export.dot,
    ".json": export.as_json,
}


class ExitCode(IntEnum):
    """How a command ended."""

    DONE = 0
    FAULT_FOUND = 1
    FAILED = 2
    INTERRUPTED = 130


class TopologyError(Exception):
    """A command can't be carried out; one line."""


def load_snapshot(args: argparse.Namespace) -> Snapshot:
    """The snapshot that --from names.

    It is a snapshot's file, logs (files by comma, or a folder of them), or members: addresses by comma, or
    @FILE with one a line. Without --from the environment's LB_MANAGEMENT counts.

    Raises:
        TopologyError, GatherError, snapshot_file.SnapshotError, logs.LogError: there is none.
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
    """Writes the picture to --out, in the format of its suffix, and prints the faults."""
    suffix = args.out.suffix
    if suffix != ".png" and suffix not in TEXT_FORMATS:
        name = args.out.name[:MAX_FILE_NAME]
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
        console.print(sanitize(fault.description, MAX_LINE), markup=False)
    return _check(args, snapshot)


def run_show(args: argparse.Namespace, console: Console) -> ExitCode:
    """Prints the table of zones; with --watch again and again, until interrupted."""
    snapshot = load_snapshot(args)
    if not args.watch:
        console.print(zone_table(snapshot))
        return _check(args, snapshot)
    with Live(zone_table(snapshot), console=console, auto_refresh=False) as live:
        while True:
            time.sleep(WATCH_INTERVAL)
            live.update(zone_table(load_snapshot(args)), refresh=True)


def _check(args: argparse.Namespace, snapshot: Snapshot) -> ExitCode:
    return ExitCode.FAULT_FOUND if args.check and find_faults(snapshot) else ExitCode.DONE


def run_save(args: argparse.Namespace, _console: Console) -> ExitCode:
    """Writes one snapshot file."""
    snapshot_file.save(args.out, load_snapshot(args))
    return ExitCode.DONE


def run_record(args: argparse.Namespace, _console: Console) -> ExitCode:
    """Adds a snapshot to a ring each --every seconds, --count times or until interrupted."""
    if args.every < MIN_RECORD_INTERVAL or args.most < 1:
        raise TopologyError(f"--every: expected {MIN_RECORD_INTERVAL} or more; --most: 1 or more")
    recorded = 0
    while not args.count or recorded < args.count:
        started = time.monotonic()
        snapshot_file.save_to_ring(args.folder, load_snapshot(args), args.most)
        recorded += 1
        if not args.count or recorded < args.count:
            time.sleep(max(0.0, args.every - (time.monotonic() - started)))
    return ExitCode.DONE


def run_diff(args: argparse.Namespace, console: Console) -> ExitCode:
    """Prints the differences of two snapshot files; with --out draws both into one page."""
    before = snapshot_file.read(args.before)
    after = snapshot_file.read(args.after)
    for row in compare.differences(before, after) or ["no difference"]:
        console.print(sanitize(row, MAX_LINE), markup=False)
    if args.out:
        _write(args.out, draw.replay([before, after]))
    return ExitCode.DONE


def run_replay(args: argparse.Namespace, _console: Console) -> ExitCode:
    """Draws a ring of snapshots into one page."""
    snapshots = snapshot_file.read_ring(args.folder)
    if not snapshots:
        raise TopologyError(f"{args.folder}: expected snapshots ({snapshot_file.SUFFIX}), got none")
    _write(args.out, draw.replay(snapshots))
    return ExitCode.DONE


def build_parser() -> argparse.ArgumentParser:
    """The sub-commands; each sets `run` to its function."""
    parser = argparse.ArgumentParser(prog="onyxhollow topology")
    commands = parser.add_subparsers(dest="part", required=True)
    source = _source_options()

    command = commands.add_parser("draw", parents=[source], help="a picture: .svg, .html, .png, .dot, .json")
    command.add_argument("--check", action="store_true", help="exit 1 if there is trouble")
    command.add_argument("-o", "--out", type=Path, required=True)
    command.set_defaults(run=run_draw)

    command = commands.add_parser("show", parents=[source], help="in the terminal")
    command.add_argument("--check", action="store_true", help="exit 1 if there is trouble")
    command.add_argument("--watch", action="store_true", help="again each second, until ended by hand")
    command.set_defaults(run=run_show)

    command = commands.add_parser("save", parents=[source], help="a snapshot")
    command.add_argument("-o", "--out", type=Path, required=True)
    command.set_defaults(run=run_save)

    command = commands.add_parser("record", parents=[source], help="a ring of snapshots, until ended by hand")
    command.add_argument("folder", type=Path)
    command.add_argument("--every", type=float, default=RECORD_INTERVAL, help="seconds")
    command.add_argument("--most", type=int, default=RING_CAPACITY)
    command.add_argument("--count", type=int, default=0, help="ends after so many; 0: by hand")
    command.set_defaults(run=run_record)

    command = commands.add_parser("diff", help="what came, went, changed between two snapshots")
    command.add_argument("before", type=Path)
    command.add_argument("after", type=Path)
    command.add_argument("-o", "--out", type=Path, help="both drawn, in one HTML file")
    command.set_defaults(run=run_diff)

    command = commands.add_parser("replay", help="a recorded ring as HTML with a slider")
    command.add_argument("folder", type=Path)
    command.add_argument("-o", "--out", type=Path, required=True)
    command.set_defaults(run=run_replay)
    return parser


def _source_options() -> argparse.ArgumentParser:
    """The options by which a command finds its snapshot."""
    options = argparse.ArgumentParser(add_help=False)
    options.add_argument(
        "--from",
        dest="source",
        default="",
        metavar="MEMBERS|FILE|FOLDER",
        help="HOST:PORT,.. or @FILE of them, a snapshot, logs or a folder of them; else $LB_MANAGEMENT",
    )
    options.add_argument("--until", type=float, default=0.0, help="of logs: as it was then, Unix seconds")
    return options


def main(words: list[str]) -> int:
    """Carries out a command line (without the program's name); returns its exit code."""
    args = build_parser().parse_args(words)
    console = Console() if sys.stdout.isatty() else Console(width=PLAIN_WIDTH)
    try:
        code: ExitCode = args.run(args, console)
    except (TopologyError, GatherError, snapshot_file.SnapshotError, logs.LogError) as error:
        sys.stderr.write(f"onyxhollow: {sanitize(str(error), MAX_ERROR)}\n")
        return ExitCode.FAILED
    except KeyboardInterrupt:
        return ExitCode.INTERRUPTED
    return code
