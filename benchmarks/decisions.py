"""Benchmark of the CPU time per session and of a proxy's start, for this clone and optionally another one.

    python benchmarks/decisions.py [--against CLONE] [--pairs N] [--sessions N]

The decisions are driven over the simulator's protocol (python -m onyxhollow.simulator_adapter, in older
clones onyxhollow.benchlink), which does not depend on names in the code. Encoding and decoding JSON is
included, the same for both clones. CPU time is the scheduler's figure for the process from the first session
to the last. A start lasts from the launch of `python -O -m onyxhollow serve` until /control/ready returns
200; its memory is the peak until then.

Each run is a separate process with the code of one clone. After one warm-up run of each clone, which compiles
the code, pairs of runs alternate their order. Besides the medians, the benchmark reports whether all runs
have made the same decisions, line by line. The last line is one JSON object.
"""

from __future__ import annotations

import argparse
import contextlib
import hashlib
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections import Counter, defaultdict
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from onyxhollow.lab.interrupts import deferred_interrupts

ROOT = Path(__file__).resolve().parents[1]
SERVER_COUNTS = (20, 1000)
STEP_NS, SESSIONS_PER_STEP, SESSION_STEPS = 10_000_000, 10, 400  # in virtual time
START_TIMEOUT_SECONDS = 20.0  # of a proxy
OPTIONS = {
    "listeners": [
        {
            "name": "calls",
            "semantics": "read_like",
            "handshakeTargetNs": 300_000_000,
            "dialTimeoutNs": 2_000_000_000,
        }
    ],
    "rules": {"coldNs": 5_000_000_000, "coldShare": 0.3, "fallMultiple": 3.0, "fallNs": 2_000_000_000},
    "ceilings": {"mostDials": 3, "probes": True, "cancelling": True},
    "charges": {"probe": 0.001},
    "report": {"how": "probe", "fields": ["x0"]},
    "extra": {"reportX0": "load asked of the server over what it can do"},
}
Row = list[Any]
BYTECODE_FOLDER = tempfile.TemporaryDirectory()  # keeps bytecode files out of the clones


def start_python(clone: Path, *arguments: str, **options: Any) -> subprocess.Popen[bytes]:
    """Start Python with the clone's code, without settings from the environment."""
    inherited = {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "PYTHON"))}
    env = {
        **inherited,
        "PYTHONPATH": str(clone),
        "PYTHONPYCACHEPREFIX": BYTECODE_FOLDER.name,
        "PYTHONHASHSEED": "0",
    }
    return subprocess.Popen([sys.executable, *arguments], env=env, cwd="/", **options)


class Adapter:
    """One process of the simulator adapter."""

    def __init__(self, clone: Path) -> None:
        has_adapter = (clone / "onyxhollow" / "simulator_adapter").is_dir()
        arguments = ("-O", "-m", "onyxhollow.simulator_adapter" if has_adapter else "onyxhollow.benchlink")
        self.process = start_python(clone, *arguments, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.digest = hashlib.sha256()

    def send(self, now: int, rows: Iterable[Row]) -> list[Row]:
        """Send one batch at the virtual time `now` (ns); return the rows of the response."""
        requests = [["sync", now], *rows, ["go"]]
        assert self.process.stdin and self.process.stdout
        self.process.stdin.write("".join(json.dumps(row) + "\n" for row in requests).encode())
        self.process.stdin.flush()
        responses = []
        while (line := self.process.stdout.readline()) != b'["ok"]\n':
            if not line:
                raise SystemExit('simulator adapter: expected ["ok"], got the end of its output')
            self.digest.update(line)
            responses.append(json.loads(line))
        if failed := [row for row in responses if row[0] == "internalError"]:
            raise SystemExit(f"simulator adapter: internal error: {failed[0]}")
        return responses

    def cpu_seconds(self) -> float:
        """Return the CPU time of all threads."""
        tasks = Path(f"/proc/{self.process.pid}/task").iterdir()
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


def measure_decisions(clone: Path, servers: int, sessions: int) -> dict[str, Any]:
    """Measure the CPU time per session at a constant number of open sessions.

    As many sessions as will be open on average exist at the start. New ones are opened, established and ended
    a few seconds later. Servers are probed when the decisions request it.
    """
    adapter, now, wake_at, opened, placed = Adapter(clone), 1_000_000_000, 0, 0, 0
    names = [f"10.0.{n // 250}.{n % 250}:80" for n in range(servers)]
    entries = [["in_service", name, 1, "k", 0, "z", n % 7] for n, name in enumerate(names)]
    connections, mean_connections = Counter[str](), SESSIONS_PER_STEP * SESSION_STEPS / servers  # per server
    scheduled: defaultdict[int, list[Row]] = defaultdict(list)  # rows to send, by step

    def load_report(name: str) -> list[float]:
        return [round(0.5 * connections[name] / mean_connections, 3)]

    responses = adapter.send(now, [["provision", 1, 17, OPTIONS], ["members", 1, "cached", 1, entries]])
    existing = []
    for n in range(SESSIONS_PER_STEP * SESSION_STEPS):
        connections[name := names[n % servers]] += 1
        order = [sessions + 1 + n, "calls", None, "s", 2_000_000_000, None, None, 0]
        existing.append(["existing", 1, *order, name])
        scheduled[1 + n // SESSIONS_PER_STEP].append(
            ["answer", 1, order[0], SESSION_STEPS * STEP_NS, 0, True, name, 0, load_report(name)]
        )
    responses += adapter.send(now, existing)
    responses += adapter.send(now, [["probed", 1, name, 0, 1_000_000, load_report(name)] for name in names])
    cpu_before, step = adapter.cpu_seconds(), 0
    while opened < sessions or any(scheduled.values()):
        for row in responses:
            if row[0] == "forward":
                scheduled[step + 1].append(["begun", 1, row[2], 0, row[3], 5_000_000])
                end = ["answer", 1, row[2], SESSION_STEPS * STEP_NS, 0, True, row[3], 0, load_report(row[3])]
                scheduled[step + 1 + SESSION_STEPS].append(end)
                connections[row[3]] += 1
                placed += 1
            elif row[0] == "soundOut":
                scheduled[step + 1].append(["probed", 1, row[2], 0, 1_000_000, load_report(row[2])])
            elif row[0] == "wakeAt":
                wake_at = row[2]
        step, now = step + 1, now + STEP_NS
        rows = scheduled.pop(step, [])
        connections.subtract(row[6] for row in rows if row[0] == "answer")
        if wake_at <= now:
            rows.append(["elapsed", 1])
        for _ in range(min(SESSIONS_PER_STEP, sessions - opened)):
            opened += 1
            rows.append(["order", 1, opened, "calls", None, "s", 2_000_000_000, None, None, 0])
        responses = adapter.send(now, rows)
    cpu_used = adapter.cpu_seconds() - cpu_before
    assert adapter.process.stdin
    adapter.process.stdin.close()
    if adapter.process.wait(10) or placed < 0.9 * sessions:
        raise SystemExit(
            f"simulator adapter: expected {sessions} sessions placed and status 0, "
            f"got {placed} and {adapter.process.returncode}"
        )
    return {f"us_{servers}": cpu_used / sessions * 1e6, f"digest_{servers}": adapter.digest.hexdigest()}


def find_free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


def is_ready(port: int) -> bool:
    with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), 1.0) as sock:
        sock.sendall(b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        return b" 200 " in sock.recv(4096)
    return False


def end_process(process: subprocess.Popen[bytes]) -> None:
    process.kill()
    process.wait()


def measure_start(clone: Path) -> dict[str, Any]:
    """Measure the time until a proxy is ready and its peak memory until then."""
    config = json.loads((clone / "example" / "config.json").read_bytes())
    port = find_free_port()
    config |= {"listen": f"127.0.0.1:{find_free_port()}", "management": f"127.0.0.1:{port}"}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(config))
        started_at = time.perf_counter()
        arguments = ("-O", "-m", "onyxhollow", "serve", "--config", str(path))
        with contextlib.ExitStack() as exit_stack:
            with deferred_interrupts():
                process = start_python(clone, *arguments, stdout=subprocess.DEVNULL)
                exit_stack.callback(end_process, process)
            while not is_ready(port):
                if process.poll() is not None or time.perf_counter() > started_at + START_TIMEOUT_SECONDS:
                    raise SystemExit(f"{clone}: proxy not ready within {START_TIMEOUT_SECONDS:g} s, or ended")
                time.sleep(0.002)
            duration = time.perf_counter() - started_at
            status = Path(f"/proc/{process.pid}/status").read_text()
    peak = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
    return {"ready_ms": duration * 1e3, "peak_mib": peak / 1024}


def measure(clone: Path, sessions: int) -> dict[str, Any]:
    figures = measure_start(clone)
    for servers in SERVER_COUNTS:
        figures |= measure_decisions(clone, servers, sessions)
    return figures


def find_code(clone: Path) -> Path:
    """Return the folder from which a process of the clone imports the package."""
    arguments = ("-c", "import onyxhollow; print(onyxhollow.__file__)")
    output, _ = start_python(clone, *arguments, stdout=subprocess.PIPE).communicate()
    return Path(output.decode().strip()).resolve().parents[1]


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--against", type=Path, help="clone to compare with")
    parser.add_argument("--pairs", type=int, default=7)
    parser.add_argument("--sessions", type=int, default=8000)
    args = parser.parse_args()
    clones = {"here": ROOT} | ({"there": args.against.resolve()} if args.against else {})
    for clone in clones.values():
        if find_code(clone) != clone:  # an installed copy may take precedence
            raise SystemExit(f"{clone}: expected the package onyxhollow from this folder, got another copy")
    runs: dict[str, list[dict[str, Any]]] = {name: [] for name in clones}
    for clone in clones.values():
        measure(clone, SESSIONS_PER_STEP)  # warm-up: compiles the code
    for number in range(args.pairs):
        for name in list(clones) if number % 2 == 0 else reversed(clones):
            runs[name].append(measure(clones[name], args.sessions))
    result: dict[str, Any] = {"pairs": args.pairs, "sessions": args.sessions}
    for key, label in (
        *((f"us_{servers}", f"CPU per session, {servers} servers, us") for servers in SERVER_COUNTS),
        ("ready_ms", "until ready, ms"),
        ("peak_mib", "peak memory, MiB"),
    ):
        medians = {name: statistics.median(run[key] for run in rows) for name, rows in runs.items()}
        result[key] = {name: round(value, 3) for name, value in medians.items()}
        line = "  ".join(f"{name} {value:8.2f}" for name, value in medians.items())
        if args.against:
            ratios = [a[key] / b[key] for a, b in zip(runs["here"], runs["there"], strict=True)]
            result[key] |= {"ratio": round(statistics.median(ratios), 4)}
            line += (
                f"  ratio here/there {statistics.median(ratios):.3f} ({min(ratios):.3f}-{max(ratios):.3f})"
            )
        print(f"{label:34}{line}")
    for servers in SERVER_COUNTS:
        digests = {run[f"digest_{servers}"] for rows in runs.values() for run in rows}
        result[f"same_{servers}"] = len(digests) == 1
        print(f"decisions with {servers} servers: {'the same' if len(digests) == 1 else 'NOT the same'}")
    print(json.dumps(result))
    return 0


if __name__ == "__main__":
    sys.exit(main())
