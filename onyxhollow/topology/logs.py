"""A snapshot from logs: what each process has written of itself and of the others, up to a given time.

Logs are lines of JSON, as the proxy writes them: one process a file or many in one, in any order of files.
A log has less than a running member reports: no links, no open connections, and endpoints by the first two
dozen rows of the list. A process that has stopped in order, or that all others report as dead, has no view of
its own and counts as unreachable.
"""

from __future__ import annotations

import json
import math
from collections.abc import Iterable
from pathlib import Path
from typing import Any, NamedTuple

from onyxhollow.topology.log_replay import LoggedProcess
from onyxhollow.topology.model import MemberState, Snapshot, UnreachableMember

# Log events that earlier versions wrote under another name: old name, present name. The reader accepts both,
# so that old logs remain readable.
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
MAX_FILE = 1 << 30  # bytes
MAX_PLACE = 200  # characters of the files' names in an error


class LogError(Exception):
    """Logs that can't be read or hold no line of a proxy; one line: where, and what was expected."""


class LogLine(NamedTuple):
    """One line of a proxy's log."""

    time: float  # Unix seconds
    path: str
    event: str  # by its present name
    process: str
    fields: dict[str, Any]


def read_lines(paths: Iterable[Path], until: float) -> list[LogLine]:
    """The lines of all files up to `until` (Unix seconds), sorted by time; other lines are skipped.

    Raises:
        LogError: a file can't be read or is larger than MAX_FILE.
    """
    lines: list[LogLine] = []
    for path in paths:
        try:
            if path.stat().st_size > MAX_FILE:
                raise LogError(f"{path}: expected at most {MAX_FILE >> 20} MiB")
            content = path.read_bytes()
        except OSError as error:
            raise LogError(f"{path}: {error.strerror}") from None
        for row in content.splitlines():
            line = _parse(row, str(path))
            if line is not None and line.time <= until:
                lines.append(line)
    lines.sort(key=lambda line: line.time)
    return lines


def _parse(row: bytes, path: str) -> LogLine | None:
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
    """The fleet as its logs describe it at `until` (Unix seconds), or at their last line.

    Raises:
        LogError: a file can't be read, or there is no line up to then.
    """
    files = list(paths)
    lines = read_lines(files, until)
    if not lines:
        place = ", ".join(map(str, files))[:MAX_PLACE]
        raise LogError(f"{place}: expected lines of a proxy's log, got none")
    processes = _replay(lines)
    now = lines[-1].time
    views = []
    unreachable = []
    for process in processes.values():
        reason = _why_unreachable(process, processes.values())
        if reason is None:
            views.append(process.view(now))
        else:
            target = f"{process.name} ({process.path})"
            age = f"{now - process.last_line_at:.0f} s since its last line"
            unreachable.append(UnreachableMember(target, f"{reason}, {age}"))
    return Snapshot(now, views, unreachable)


def _replay(lines: Iterable[LogLine]) -> dict[str, LoggedProcess]:
    """The last process of each name, as its lines describe it."""
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
            continue  # a line of another build
    return processes


def _why_unreachable(process: LoggedProcess, others: Iterable[LoggedProcess]) -> str | None:
    """Why a process has no view of its own; None if it has one."""
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
