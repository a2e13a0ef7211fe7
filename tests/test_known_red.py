"""Tests of the list of known failing tests, in separate pytest runs."""

import subprocess
import sys
from pathlib import Path

import pytest
from known_red import KnownRedError, read_known_red

TESTS = """
def test_red():
    assert False

def test_green():
    pass
"""
RED = "test_some.py::test_red, the reason of it, 43"


@pytest.fixture
def run(tmp_path):
    """Run a small test suite with a list; return the exit status and the output."""

    def start(known, tests=TESTS, arguments=()):
        (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\ntestpaths = ["."]\n')
        (tmp_path / "test_some.py").write_text(tests)
        (tmp_path / "KNOWN-RED.txt").write_text(known)
        command = [
            sys.executable,
            "-m",
            "pytest",
            "-q",
            "-p",
            "known_red",
            "-p",
            "no:cacheprovider",
            *arguments,
        ]
        folder = str(Path(__file__).parent)
        completed = subprocess.run(
            command, cwd=tmp_path, env={"PYTHONPATH": folder}, capture_output=True, text=True, timeout=60
        )
        return completed.returncode, completed.stdout + completed.stderr

    return start


def test_only_a_listed_failing_test_is_tolerated_and_it_is_printed(run):
    status, printed = run(f"# a comment\n{RED}\n")
    assert (
        status == 0 and "KNOWN RED test_some.py::test_red: known red: the reason of it (issue 43)" in printed
    )
    assert run("")[0] == 1


def test_the_list_applies_to_runs_with_several_workers(run):
    status, printed = run(f"{RED}\n", arguments=("-n", "2"))
    assert status == 0 and "KNOWN RED test_some.py::test_red" in printed
    assert run("test_some.py::test_gone, cause, 43\n", arguments=("-n", "2"))[0] != 0


def test_a_listed_test_that_passes_fails_the_run(run):
    status, printed = run("test_some.py::test_green, cause, 43\n" + RED)
    assert status == 1 and "XPASS(strict)" in printed


def test_an_unknown_test_fails_a_full_run_but_not_a_run_of_selected_tests(run):
    status, printed = run(f"{RED}\ntest_some.py::test_gone, cause, 43\n")
    assert status != 0 and "expected the id of an existing test, got test_some.py::test_gone" in printed
    assert run(f"{RED}\ntest_some.py::test_gone, cause, 43\n", arguments=("test_some.py",))[0] == 0


def test_more_than_three_lines_fail_the_run(run):
    names = [f"test_{n}" for n in range(4)]
    tests = "".join(f"def {name}():\n    assert False\n\n" for name in names)
    rows = [f"test_some.py::{name}, cause, 43\n" for name in names]
    assert run("".join(rows[:3]) + "# the fourth is not listed", tests.replace("test_3", "no_test"))[0] == 0
    status, printed = run("".join(rows), tests)
    assert status != 0 and "expected at most 3 tests, got 4" in printed


@pytest.mark.parametrize("line", ["test_some.py::test_red", "a, b, 43", "test_some.py::test_red, , 43", "x"])
def test_a_malformed_line_is_reported_with_its_line_number(line):
    with pytest.raises(KnownRedError, match="KNOWN-RED.txt:2: expected 'test id, cause, issue', got"):
        read_known_red(f"\n{line}\n")
