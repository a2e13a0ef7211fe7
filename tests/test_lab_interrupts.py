"""An interrupt (SIGINT) while the lab or a benchmark starts a child process."""

import importlib.util
import signal
import subprocess
import threading
from pathlib import Path

import pytest
from test_lab import small_scenario

from onyxhollow.lab.fleet.process_cluster import ProcessCluster
from onyxhollow.lab.fleet.sites import Sites
from onyxhollow.lab.interrupts import deferred_interrupts
from onyxhollow.lab.sockets.engine import SocketEngine

ROOT = Path(__file__).resolve().parents[1]


@pytest.fixture(autouse=True)
def interrupt_raises():
    """Raise KeyboardInterrupt on SIGINT, also where the tests were started with SIGINT ignored."""
    previous_handler = signal.signal(signal.SIGINT, signal.default_int_handler)
    yield
    signal.signal(signal.SIGINT, previous_handler)


@pytest.fixture
def interrupted_starts(monkeypatch):
    """Deliver SIGINT after each fork, before `Popen` returns; return the children started so far."""
    children = []
    start = subprocess.Popen

    def start_and_interrupt(*arguments, **options):
        children.append(start(*arguments, **options))
        signal.raise_signal(signal.SIGINT)
        return children[-1]

    monkeypatch.setattr(subprocess, "Popen", start_and_interrupt)
    yield children
    for child in children:
        child.kill()
        child.wait()


def load_benchmark(name):
    specification = importlib.util.spec_from_file_location(
        f"{name}_benchmark", ROOT / f"benchmarks/{name}.py"
    )
    module = importlib.util.module_from_spec(specification)
    specification.loader.exec_module(module)
    return module


def run_socket_engine(folder):
    SocketEngine(small_scenario(), 1, folder).run()


def start_cluster(folder):
    with ProcessCluster(folder) as cluster:
        cluster.start()


def start_sites(folder):
    with Sites(folder) as sites:
        sites.start()


def run_replace_benchmark(folder):
    load_benchmark("replace").run_benchmark(1, 1, folder)


def measure_start(_folder):
    load_benchmark("decisions").measure_start(ROOT)


@pytest.mark.parametrize(
    "run", [run_socket_engine, start_cluster, start_sites, run_replace_benchmark, measure_start]
)
def test_an_interrupt_during_the_start_of_a_child_leaves_no_process(run, tmp_path, interrupted_starts):
    """Guards against a child that is lost when SIGINT arrives between the fork and the return of `Popen`."""
    with pytest.raises(KeyboardInterrupt):
        run(tmp_path)
    assert len(interrupted_starts) == 1
    assert interrupted_starts[0].returncode is not None, "the child was not ended and waited for"


def test_a_child_started_with_interrupts_deferred_neither_blocks_nor_ignores_them():
    """Guards against children that inherit a blocked or ignored SIGINT and cannot be ended by it."""
    with deferred_interrupts():
        child = subprocess.Popen(["cat"], stdin=subprocess.PIPE)
    try:
        status = Path(f"/proc/{child.pid}/status").read_text().splitlines()
        masks = {
            row.partition(":")[0]: int(row.split()[1], 16)
            for row in status
            if row.startswith("Sig") and "/" not in row
        }
        interrupt = 1 << (signal.SIGINT - 1)
        assert not masks["SigBlk"] & interrupt and not masks["SigIgn"] & interrupt
    finally:
        child.kill()
        child.communicate()


def test_an_interrupt_is_handled_once_after_the_outermost_block():
    """Guards against an interrupt that is lost, handled in the block, or handled by a replaced handler."""
    steps = []
    with pytest.raises(KeyboardInterrupt), deferred_interrupts():
        with deferred_interrupts():
            signal.raise_signal(signal.SIGINT)
            steps.append("inner")
        steps.append("outer")
    assert steps == ["inner", "outer"]
    assert signal.getsignal(signal.SIGINT) is signal.default_int_handler


def test_an_ignored_interrupt_stays_ignored():
    """Guards against a child of a background job that is interrupted although SIGINT is ignored there."""
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    with deferred_interrupts():
        assert signal.getsignal(signal.SIGINT) is signal.SIG_IGN
        signal.raise_signal(signal.SIGINT)


def test_interrupts_can_be_deferred_in_any_thread():
    """Guards against a start in another thread failing, where Python allows no change of handlers."""
    errors = []

    def defer():
        try:
            with deferred_interrupts():
                pass
        except ValueError as error:
            errors.append(error)

    thread = threading.Thread(target=defer)
    thread.start()
    thread.join()
    assert not errors
