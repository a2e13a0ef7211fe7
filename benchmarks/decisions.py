"""What the decisions cost a session, and a proxy's start: of this clone, and of another beside it.

    python benchmarks/decisions.py [--against CLONE] [--pairs N] [--sessions N]

The decisions are driven over the simulator's wire (python -m onyxhollow.simulator_adapter, in older clones
onyxhollow.benchlink), whose lines stay the same whatever the code's names are; its reading and writing of
JSON counts in, alike for both. CPU is what the system has counted for that process from its first session to
its last. A start lasts from the call of `python -O -m onyxhollow serve` until /control/ready says yes, and
its memory is the most until then.

Each run is a process of its own, with one clone's code. Pairs of runs alternate, the other clone first in
every second, after one run of each that only compiles. Said beside the medians is whether both have decided
the same, line by line. The last line is one JSON object.
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

ROOT = Path(__file__).resolve().parents[1]
FLEETS = (20, 1000)  # servers
STEP, A_STEP, LIVES = 10_000_000, 10, 400  # virtual ns of a step; sessions that come in one; steps they live
WITHIN = 20.0  # seconds for a proxy to start
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
COMPILED = tempfile.TemporaryDirectory()  # nothing is written into a clone


def start(clone: Path, *words: str, **more: Any) -> subprocess.Popen[bytes]:
    kept = {name: value for name, value in os.environ.items() if not name.startswith(("LB_", "PYTHON"))}
    env = {**kept, "PYTHONPATH": str(clone), "PYTHONPYCACHEPREFIX": COMPILED.name, "PYTHONHASHSEED": "0"}
    return subprocess.Popen([sys.executable, *words], env=env, cwd="/", **more)


class Link:
    """One process of the decisions."""

    def __init__(self, clone: Path) -> None:
        renamed = (clone / "onyxhollow" / "simulator_adapter").is_dir()
        words = ("-O", "-m", "onyxhollow.simulator_adapter" if renamed else "onyxhollow.benchlink")
        self.process = start(clone, *words, stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.digest = hashlib.sha256()

    def batch(self, now: int, rows: Iterable[Row]) -> list[Row]:
        told = [["sync", now], *rows, ["go"]]
        assert self.process.stdin and self.process.stdout
        self.process.stdin.write("".join(json.dumps(row) + "\n" for row in told).encode())
        self.process.stdin.flush()
        found = []
        while (line := self.process.stdout.readline()) != b'["ok"]\n':
            if not line:
                raise SystemExit("the link has ended")
            self.digest.update(line)
            found.append(json.loads(line))
        if failed := [row for row in found if row[0] == "internalError"]:
            raise SystemExit(f"the decisions failed: {failed[0]}")
        return found

    def cpu(self) -> float:
        """Seconds, of all its threads."""
        tasks = Path(f"/proc/{self.process.pid}/task").iterdir()
        return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / 1e9


def decide(clone: Path, servers: int, sessions: int) -> dict[str, Any]:
    """Sessions come, are set up, live for some seconds and end, beside as many that stood before; servers are
    probed as asked for."""
    link, now, due, opened, placed = Link(clone), 1_000_000_000, 0, 0, 0
    names = [f"10.0.{n // 250}.{n % 250}:80" for n in range(servers)]
    entries = [["in_service", name, 1, "k", 0, "z", n % 7] for n, name in enumerate(names)]
    held, full = Counter[str](), A_STEP * LIVES / servers  # connections by server; of each, in the middle
    later: defaultdict[int, list[Row]] = defaultdict(list)

    def load(name: str) -> list[float]:
        return [round(0.5 * held[name] / full, 3)]

    said = link.batch(now, [["provision", 1, 17, OPTIONS], ["members", 1, "cached", 1, entries]])
    standing = []
    for n in range(A_STEP * LIVES):  # as many as will be open all the while
        held[name := names[n % servers]] += 1
        order = [sessions + 1 + n, "calls", None, "s", 2_000_000_000, None, None, 0]
        standing.append(["existing", 1, *order, name])
        later[1 + n // A_STEP].append(["answer", 1, order[0], LIVES * STEP, 0, True, name, 0, load(name)])
    said += link.batch(now, standing)
    said += link.batch(now, [["probed", 1, name, 0, 1_000_000, load(name)] for name in names])
    before, step = link.cpu(), 0
    while opened < sessions or any(later.values()):
        for row in said:
            if row[0] == "forward":
                later[step + 1].append(["begun", 1, row[2], 0, row[3], 5_000_000])
                end = ["answer", 1, row[2], LIVES * STEP, 0, True, row[3], 0, load(row[3])]
                later[step + 1 + LIVES].append(end)
                held[row[3]] += 1
                placed += 1
            elif row[0] == "soundOut":
                later[step + 1].append(["probed", 1, row[2], 0, 1_000_000, load(row[2])])
            elif row[0] == "wakeAt":
                due = row[2]
        step, now = step + 1, now + STEP
        rows = later.pop(step, [])
        held.subtract(row[6] for row in rows if row[0] == "answer")
        if due <= now:
            rows.append(["elapsed", 1])
        for _ in range(min(A_STEP, sessions - opened)):
            opened += 1
            rows.append(["order", 1, opened, "calls", None, "s", 2_000_000_000, None, None, 0])
        said = link.batch(now, rows)
    spent = link.cpu() - before
    assert link.process.stdin
    link.process.stdin.close()
    if link.process.wait(10) or placed < 0.9 * sessions:
        raise SystemExit(f"{placed} of {sessions} sessions were placed, status {link.process.returncode}")
    return {f"us_{servers}": spent / sessions * 1e6, f"said_{servers}": link.digest.hexdigest()}


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return int(sock.getsockname()[1])


def ready(port: int) -> bool:
    with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", port), 1.0) as caller:
        caller.sendall(b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        return b" 200 " in caller.recv(4096)
    return False


def serve(clone: Path) -> dict[str, Any]:
    told = json.loads((clone / "example" / "config.json").read_bytes())
    port = free_port()
    told |= {"listen": f"127.0.0.1:{free_port()}", "management": f"127.0.0.1:{port}"}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(told))
        began = time.perf_counter()
        words = ("-O", "-m", "onyxhollow", "serve", "--config", str(path))
        process = start(clone, *words, stdout=subprocess.DEVNULL)
        try:
            while not ready(port):
                if process.poll() is not None or time.perf_counter() > began + WITHIN:
                    raise SystemExit("the proxy did not start")
                time.sleep(0.002)
            took = time.perf_counter() - began
            status = Path(f"/proc/{process.pid}/status").read_text()
        finally:
            process.kill()
            process.wait()
    peak = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmHWM"))
    return {"ready_ms": took * 1e3, "peak_mib": peak / 1024}


def measure(clone: Path, sessions: int) -> dict[str, Any]:
    found = serve(clone)
    for servers in FLEETS:
        found |= decide(clone, servers, sessions)
    return found


def code_of(clone: Path) -> Path:
    """Where such a process finds its code: no other installed copy may come first."""
    words = ("-c", "import onyxhollow; print(onyxhollow.__file__)")
    out, _ = start(clone, *words, stdout=subprocess.PIPE).communicate()
    return Path(out.decode().strip()).resolve().parents[1]


def main() -> int:
    parser = argparse.ArgumentParser(description=(__doc__ or "").partition("\n")[0])
    parser.add_argument("--against", type=Path, help="another clone")
    parser.add_argument("--pairs", type=int, default=7)
    parser.add_argument("--sessions", type=int, default=8000)
    told = parser.parse_args()
    clones = {"here": ROOT} | ({"there": told.against.resolve()} if told.against else {})
    for clone in clones.values():
        if code_of(clone) != clone:
            raise SystemExit(f"{clone}: expected code of its own")
    runs: dict[str, list[dict[str, Any]]] = {name: [] for name in clones}
    for clone in clones.values():
        measure(clone, A_STEP)  # compiles; its figures are dropped
    for number in range(told.pairs):
        for name in list(clones) if number % 2 == 0 else reversed(clones):
            runs[name].append(measure(clones[name], told.sessions))
    out: dict[str, Any] = {"pairs": told.pairs, "sessions": told.sessions}
    for what, words in (
        *((f"us_{servers}", f"CPU a session, {servers} servers, us") for servers in FLEETS),
        ("ready_ms", "until ready, ms"),
        ("peak_mib", "peak memory, MiB"),
    ):
        medians = {name: statistics.median(run[what] for run in rows) for name, rows in runs.items()}
        out[what] = {name: round(value, 3) for name, value in medians.items()}
        line = "  ".join(f"{name} {value:8.2f}" for name, value in medians.items())
        if told.against:
            ratios = [a[what] / b[what] for a, b in zip(runs["here"], runs["there"], strict=True)]
            out[what] |= {"ratio": round(statistics.median(ratios), 4)}
            line += f"  here over there {statistics.median(ratios):.3f} ({min(ratios):.3f}-{max(ratios):.3f})"
        print(f"{words:34}{line}")
    for servers in FLEETS:
        words = {run[f"said_{servers}"] for rows in runs.values() for run in rows}
        out[f"same_{servers}"] = len(words) == 1
        print(f"decisions with {servers} servers: {'the same' if len(words) == 1 else 'NOT the same'}")
    print(json.dumps(out))
    return 0


if __name__ == "__main__":
    sys.exit(main())
