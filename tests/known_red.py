"""Tests that fail for a known fault: listed in KNOWN-RED.txt, passed over and printed.

One line each: `test id, cause, issue`, the id as pytest prints it. More than three lines, a line of another
form, a test that is not there and a listed test that passes fail the run.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MOST = 3


class KnownRedError(ValueError):
    """A list that can't be used."""


@dataclass(frozen=True)
class KnownRed:
    """One test that may fail."""

    test: str
    cause: str
    issue: str


def read_known_red(text: str) -> list[KnownRed]:
    """The tests of a list; KnownRedError if it is no good."""
    rows: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(",")]
        if len(parts) < 3 or not all(parts) or "::" not in parts[0]:
            raise KnownRedError(f"{FILE}:{number}: expected 'test id, cause, issue', got {line!r}")
        rows.append(KnownRed(parts[0], ", ".join(parts[1:-1]), parts[-1]))
    if len(rows) > MOST:
        raise KnownRedError(f"{FILE}: expected {MOST} tests at the most, got {len(rows)}")
    return rows


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected to fail, strictly."""
    path = Path(config.rootpath) / FILE
    if not path.exists():
        return
    try:
        rows = read_known_red(path.read_text())
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None
    found = {item.nodeid: item for item in items}
    for row in rows:
        if row.test in found:
            reason = f"known red: {row.cause} (issue {row.issue})"
            found[row.test].add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif config.args_source is pytest.Config.ArgsSource.TESTPATHS and not config.option.keyword:
            raise pytest.UsageError(f"{FILE}: no such test: {row.test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Prints what was passed over."""
    for report in terminalreporter.stats.get("xfailed", []):
        if str(getattr(report, "wasxfail", "")).startswith("known red"):
            terminalreporter.write_line(f"KNOWN RED {report.nodeid}: {report.wasxfail}")
