"""Pytest plugin for known failing tests, which are listed in KNOWN-RED.txt.

Each line of the file has the form `test id, cause, issue`, with the test id as printed by pytest. A listed
test may fail and is reported. The run fails if the file has more than three entries or a malformed line, or
if a listed test does not exist or passes.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

import pytest

FILE = "KNOWN-RED.txt"
MAX_ENTRIES = 3


class KnownRedError(ValueError):
    """The list is malformed or too long."""


@dataclass(frozen=True)
class KnownRed:
    """Entry of the list: a test that is expected to fail."""

    test: str
    cause: str
    issue: str


def read_known_red(text: str) -> list[KnownRed]:
    """Parse the list; raise KnownRedError if it is malformed or too long."""
    rows: list[KnownRed] = []
    for number, line in enumerate(text.splitlines(), 1):
        if not line.strip() or line.startswith("#"):
            continue
        parts = [part.strip() for part in line.split(",")]
        if len(parts) < 3 or not all(parts) or "::" not in parts[0]:
            raise KnownRedError(f"{FILE}:{number}: expected 'test id, cause, issue', got {line!r}")
        rows.append(KnownRed(parts[0], ", ".join(parts[1:-1]), parts[-1]))
    if len(rows) > MAX_ENTRIES:
        raise KnownRedError(f"{FILE}: expected at most {MAX_ENTRIES} tests, got {len(rows)}")
    return rows


def pytest_collection_modifyitems(config: pytest.Config, items: list[pytest.Item]) -> None:
    """Mark the listed tests as strict expected failures."""
    path = Path(config.rootpath) / FILE
    if not path.exists():
        return
    try:
        rows = read_known_red(path.read_text())
    except KnownRedError as error:
        raise pytest.UsageError(str(error)) from None
    items_by_id = {item.nodeid: item for item in items}
    for row in rows:
        if row.test in items_by_id:
            reason = f"known red: {row.cause} (issue {row.issue})"
            items_by_id[row.test].add_marker(pytest.mark.xfail(reason=reason, strict=True))
        elif config.args_source is pytest.Config.ArgsSource.TESTPATHS and not config.option.keyword:
            raise pytest.UsageError(f"{FILE}: expected the id of an existing test, got {row.test}")


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests that failed."""
    for report in terminalreporter.stats.get("xfailed", []):
        if str(getattr(report, "wasxfail", "")).startswith("known red"):
            terminalreporter.write_line(f"KNOWN RED {report.nodeid}: {report.wasxfail}")
