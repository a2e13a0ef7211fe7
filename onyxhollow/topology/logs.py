"""Snapshots built from proxy logs, as of a given time.

A log is a file of JSON lines written by one or more proxies; the order of the files does not matter. A log
has less detail than the report of a running member: no links, no open connections, and only the first two
dozen rows of the endpoint list. A process that has shut down, or that all others report as dead, has no view
and is listed as unreachable.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from onyxhollow.topology.log_replay import LoggedProcess
from onyxhollow.topology.model import MemberState, Snapshot, UnreachableMember

# Renamed log events: name in earlier versions, current name. Both are accepted, so that logs of earlier
# versions remain readable.
EVENT_ALIASES: dict[str, str] = {
    "address alone": "address cut off",
    "address leaves": "address drain",
    "gate": "route guard",
    "gate disk": "route guard disk",
    "order": "override",
    "refused": "stale term",
    "speaker": "routing daemon",
    "store waits": "store unavailable",
    "told": "routing command",
    "sharing": "gossip",
    "list rests": "list polling suspended",
    "list asks": "list polling resumed",
    "drains told": "drains received",
    "voter remembers": "voter recovered",
    "voter waits": "voter log unavailable",
}
MAX_FILE_BYTES = 1 << 30
MAX_PLACE_CHARS = 200  # of the file names in an error


class LogError(Exception):
    """A log cannot be read or has no line of a proxy; the message is one line."""


class LogLine(NamedTuple):
    """One line of a proxy's log."""

    time: float  # Unix seconds
    path: str
    event: str  # current name
    process: str
    fields: dict[str, Any]


def read_lines(paths: Iterable[Path], until: float) -> list[LogLine]:
    """Read the lines of all files up to `until` (Unix seconds), sorted by time; skip invalid lines.

    Raises:
        LogError: a file cannot be read or is larger than MAX_FILE_BYTES.
    """
    lines: list[LogLine] = []
    for path in paths:
        try:
            if path.stat().st_size > MAX_FILE_BYTES:
                raise LogError(f"{path}: expected at most {MAX_FILE_BYTES >> 20} MiB, got a larger file")
            content = path.read_bytes()
        except OSError as error:
            raise LogError(f"{path}: {error.strerror}") from None
        for row in content.splitlines():
            line = _parse_line(row, str(path))
            if line is not None and line.time <= until:
                lines.append(line)
    lines.sort(key=lambda line: line.time)
    return lines


def _parse_line(row: bytes, path: str) -> LogLine | None:
    try:
        fields = json.loads(row)
        time = float(fields["t"])
        event, process = fields["event"], fields["proxy"]
    except (ValueError, TypeError, KeyError, RecursionError):
        return None
    if not isinstance(event, str) or not isinstance(process, str):
        return None
    return LogLine(time, path, EVENT_ALIASES.get(event, event), process, fields)


def read(paths: Iterable[Path], until: float = math.inf) -> Snapshot:
    """Build the snapshot at `until` (Unix seconds), or at the last line before it.

    Raises:
        LogError: a file cannot be read, or no line is at or before `until`.
    """
    files = list(paths)
    lines = read_lines(files, until)
    if not lines:
        place = ", ".join(map(str, files))[:MAX_PLACE_CHARS]
        raise LogError(f"{place}: expected lines of a proxy's log, got none")
    processes = _replay(lines)
    now = lines[-1].time
    views = []
    unreachable = []
    for process in processes.values():
        reason = _find_unreachable_reason(process, processes.values())
        if reason is None:
            views.append(process.view(now))
        else:
            target = f"{process.name} ({process.path})"
            age = f"{now - process.last_line_at:.0f} s since its last line"
            unreachable.append(UnreachableMember(target, f"{reason}, {age}"))
    return Snapshot(now, views, unreachable)


def _replay(lines: Iterable[LogLine]) -> dict[str, LoggedProcess]:
    """Rebuild the last process of each name from its lines."""
    processes: dict[str, LoggedProcess] = {}
    for line in lines:
        process = processes.get(line.process)
        is_restart = line.event == "start" and process is not None and process.has_started
        if process is None or line.event == "fleet" or is_restart:
            process = LoggedProcess(line.process, line.path, line.time)
            processes[line.process] = process
        if line.event == "start":
            process.has_started = True
        try:
            process.apply(line.time, line.event, line.fields)
        except (ValueError, TypeError, KeyError):
            continue  # other builds may write other fields
    return processes


def _find_unreachable_reason(process: LoggedProcess, others: Iterable[LoggedProcess]) -> str | None:
    """Return why a process has no view; None if it has one."""
    if process.has_stopped:
        return "stopped in order"
    reports = [
        other.members[process.name]
        for other in others
        if process.name in other.members and other.members[process.name].incarnation == process.incarnation
    ]
    if reports and all(row.state in (MemberState.DEAD, MemberState.LEFT) for row in reports):
        return "held for dead by all that speak of it"
    return None
