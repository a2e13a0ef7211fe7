"""Benchmark of repeated replacements of a proxy under load: real processes, stand-in servers and list.

    python benchmarks/replace.py [--quick] [--connections N] [--replacements K]

Every connection sends numbered lines, some of them in two pieces, and checks each echo. New clients connect
throughout the run. Every fourth successor is killed once it is ready; the predecessor must keep serving. The
last line is one JSON object.
"""

from __future__ import annotations

import argparse
import json
import os
import selectors
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Any

from onyxhollow.lab.interrupts import deferred_interrupts

ROOT = Path(__file__).resolve().parents[1]
LINE_INTERVAL_SECONDS = 0.02  # from an echo to the next line on the same connection
CLIENT_INTERVAL_SECONDS = 0.02  # between new clients
KILL_EVERY = 4  # every n-th successor is killed
WAIT_TIMEOUT_SECONDS = 10.0  # for a process to start or end, and for the last echoes


class Peer:
    """One end of a connection that carries lines."""

    def __init__(self, bench: Bench, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.bench, self.sock, self.partial_line = bench, sock, b""
        bench.selector.register(sock, selectors.EVENT_READ, self.read)

    def read(self) -> None:
        try:
            data = self.sock.recv(65536)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if not data:
            self.close()
            return
        *lines, self.partial_line = (self.partial_line + data).split(b"\r\n")
        for line in lines:
            self.handle_line(line)

    def handle_line(self, line: bytes) -> None:
        raise NotImplementedError

    def send(self, data: bytes) -> None:
        try:
            self.sock.sendall(data)
        except OSError:
            self.close()

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.bench.selector.unregister(self.sock)
            self.sock.close()


class ServerEnd(Peer):
    """A server's end: accepts every session and echoes every line."""

    def handle_line(self, line: bytes) -> None:
        if line.startswith(b"OPEN"):
            self.send(b"UP r\r\n")
        elif line == b"STATS":
            self.send(b"PONG x0=0.2\r\n")
        else:
            self.send(line + b"\r\n")


class Client(Peer):
    """Sends a numbered line, waits for its echo, sends the next; a client that is not lasting only opens."""

    def __init__(self, bench: Bench, lasting: bool) -> None:
        self.count, self.sent_at, self.unsent, self.established, self.lasting = (
            0,
            time.monotonic(),
            b"",
            False,
            lasting,
        )
        super().__init__(bench, socket.create_connection(bench.listener.getsockname()))
        bench.opened += 1
        self.send(b"OPEN b%d k c=calls,d=2000\r\n" % bench.opened)

    def handle_line(self, line: bytes) -> None:
        now = time.monotonic()
        if not self.established:
            self.established = line.startswith(b"UP")
            self.bench.wrong_lines += not self.established
            if not self.lasting:
                self.close()
        elif line == b"MOVE":
            self.bench.moved += 1
            self.close()
        else:
            self.bench.lines += 1
            self.bench.wrong_lines += line != b"m %d" % self.count
            self.bench.echo_times.append(now - self.sent_at)
            self.count += 1
        self.bench.scheduled.append((now + LINE_INTERVAL_SECONDS, self))

    def send_next_line(self) -> None:
        line, self.sent_at = b"m %d\r\n" % self.count, time.monotonic()
        if self.count % 3:
            self.send(line)
        else:  # in two pieces, the second one in the next iteration
            self.send(line[:3])
            self.unsent = line[3:]
            self.bench.scheduled.append((self.sent_at, self))

    def send_scheduled(self) -> None:
        if self.sock.fileno() < 0:
            return
        if self.unsent:
            data, self.unsent = self.unsent, b""
            self.send(data)
        else:
            self.send_next_line()

    def close(self) -> None:
        if self.sock.fileno() >= 0 and (not self.established or self.lasting and not self.bench.finished):
            self.bench.unexpected_closes += 1  # refused, reset, or closed without MOVE
        super().close()


class Bench:
    """Event loop of the clients and stand-in servers, with the counters of the run."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.selector = folder, selectors.DefaultSelector()
        self.opened = self.lines = self.wrong_lines = self.moved = self.unexpected_closes = 0
        self.echo_times: list[float] = []  # seconds from a line to its echo
        self.scheduled: list[tuple[float, Client]] = []  # due time, client
        self.finished = False
        self.children: list[subprocess.Popen[bytes]] = []  # all proxies that were started
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.server_sockets = [socket.create_server(("127.0.0.1", 0), backlog=1024) for _ in range(3)]
        for sock in self.server_sockets:
            sock.setblocking(False)
            self.selector.register(sock, selectors.EVENT_READ, lambda s=sock: ServerEnd(self, s.accept()[0]))
        hosts = [
            {"host": f"s{number}", "dial": f"127.0.0.1:{sock.getsockname()[1]}", "health": "active"}
            for number, sock in enumerate(self.server_sockets)
        ]
        self.endpoint_list = {"seq": 1, "whole": True, "hosts": hosts}
        self.list_server = serve_list(self.endpoint_list)
        self.next_client_at = time.monotonic()

    def run_once(self) -> None:
        for key, _ in self.selector.select(0.002):
            key.data()
        now = time.monotonic()
        due = [client for due_at, client in self.scheduled if due_at <= now]
        self.scheduled = [(due_at, client) for due_at, client in self.scheduled if due_at > now]
        for client in due:
            client.send_scheduled()
        if now >= self.next_client_at and not self.finished:
            self.next_client_at = now + CLIENT_INTERVAL_SECONDS
            Client(self, lasting=False)

    def run_until(self, condition: Any, description: str) -> float:
        """Run until the condition holds; return the duration in seconds."""
        started_at = time.monotonic()
        while not condition():
            if time.monotonic() > started_at + WAIT_TIMEOUT_SECONDS:
                raise SystemExit(f"replace: {description}: timeout after {WAIT_TIMEOUT_SECONDS:g} s")
            self.run_once()
        return time.monotonic() - started_at

    def start(self, number: int) -> tuple[subprocess.Popen[bytes], int]:
        with socket.create_server(("127.0.0.1", 0)) as sock:
            port = sock.getsockname()[1]
        config = json.loads((ROOT / "example" / "config.json").read_text())
        config["discovery"], config["known"] = (
            f"127.0.0.1:{self.list_server.server_address[1]}",
            self.endpoint_list,
        )
        config["settings"]["listeners"][0]["name"] = "calls"
        config["limits"]["sockets"] = 8192
        path = self.folder / f"{number}.json"
        path.write_text(json.dumps(config))
        environment = {
            "LB_LISTEN_FD": str(self.listener.fileno()),
            "LB_MANAGEMENT": f"127.0.0.1:{port}",
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "log").open("ab") as log, deferred_interrupts():
            child = subprocess.Popen(
                [sys.executable, "-O", "-m", "onyxhollow", "serve", "--config", str(path)],
                cwd=ROOT,
                env={**os.environ, **environment},
                pass_fds=[self.listener.fileno()],
                stdout=log,
                stderr=log,
            )
            self.children.append(child)
        return child, port

    def is_ready(self, child: subprocess.Popen[bytes], port: int) -> bool:
        if child.poll() is not None:
            raise SystemExit(
                f"replace: proxy exited with {child.returncode}: {(self.folder / 'log').read_text()[-500:]}"
            )
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=1.0) as sock:
                sock.sendall(b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in sock.recv(200)
        except OSError:
            return False


def serve_list(endpoint_list: dict[str, Any]) -> ThreadingHTTPServer:
    """Serve the endpoint list; each watch ends without a change."""

    class ListHandler(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self) -> None:  # noqa: N802
            if "index" in self.path:
                time.sleep(min(1.0, int(self.path.rpartition("=")[2]) / 1000))
            body = json.dumps(
                {
                    **endpoint_list,
                    "whole": "index" not in self.path,
                    "hosts": [] if "index" in self.path else endpoint_list["hosts"],
                }
            ).encode()
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_: Any) -> None:
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), ListHandler)
    server.daemon_threads = True
    server.handle_error = lambda *_: None  # a process that ends aborts its watch
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def run_benchmark(connections: int, replacements: int, folder: Path) -> dict[str, Any]:
    bench = Bench(folder)
    start_times, end_times, killed, closed_by_kills = [], [], 0, 0
    try:
        child, port = bench.start(0)
        bench.next_client_at = time.monotonic() + WAIT_TIMEOUT_SECONDS
        bench.run_until(lambda: bench.is_ready(child, port), "start of the first proxy")
        clients = [Client(bench, lasting=True) for _ in range(connections)]
        bench.run_until(lambda: all(client.established for client in clients), "established connections")
        bench.next_client_at = time.monotonic()
        settled_at = time.monotonic() + 1.0
        bench.run_until(lambda: time.monotonic() >= settled_at, "one second of traffic without a replacement")
        baseline, bench.echo_times = sorted(bench.echo_times), []
        for number in range(1, replacements + 1):
            predecessor, (child, port) = child, bench.start(number)
            start_times.append(
                bench.run_until(lambda c=child, p=port: bench.is_ready(c, p), "start of a successor")
            )
            if number % KILL_EVERY == 0:
                killed, closes_before = killed + 1, bench.unexpected_closes
                child.kill()
                settled_at = time.monotonic() + 0.5
                bench.run_until(lambda s=settled_at: time.monotonic() >= s, "traffic after a kill")
                closed_by_kills += bench.unexpected_closes - closes_before  # connections it had accepted
                child = predecessor
                continue
            predecessor.send_signal(signal.SIGTERM)
            end_times.append(
                bench.run_until(lambda p=predecessor: p.poll() is not None, "end of the predecessor")
            )
            settled_at = time.monotonic() + 0.3
            bench.run_until(lambda s=settled_at: time.monotonic() >= s, "traffic between replacements")
        lost = sum(client.sock.fileno() < 0 for client in clients)
        counts = [client.count for client in clients]
        bench.run_until(
            lambda: all(client.count > count for client, count in zip(clients, counts, strict=True)),
            "another echo on each connection",
        )
    finally:
        bench.finished = True
        for process in bench.children:
            if process.poll() is None:
                process.kill()
            process.wait()
        bench.list_server.shutdown()
    echo_times = sorted(bench.echo_times)
    return {
        "connections": connections,
        "replacements": replacements,
        "lines": bench.lines,
        "lines_wrong": bench.wrong_lines,
        "clients_moved": bench.moved,
        "connections_lost": lost,
        "successors_killed": killed,
        "cut_with_them": closed_by_kills,
        "cut_at_the_door": bench.unexpected_closes - closed_by_kills,
        "new_clients": bench.opened - connections,
        "ready_s": [round(min(start_times), 2), round(max(start_times), 2)],
        "old_ended_s_max": round(max(end_times), 2),
        "pause_ms_max": round(echo_times[-1] * 1000, 1),
        "pause_ms_p99": round(echo_times[len(echo_times) * 99 // 100] * 1000, 1),
        "plain_ms_p99": round(baseline[len(baseline) * 99 // 100] * 1000, 1),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description="Replace a proxy under load repeatedly.")
    parser.add_argument("--quick", action="store_true", help="100 connections, 4 replacements")
    parser.add_argument("--connections", type=int, default=500)
    parser.add_argument("--replacements", type=int, default=10)
    args = parser.parse_args()
    size = (100, 4) if args.quick else (args.connections, args.replacements)
    with tempfile.TemporaryDirectory() as folder:
        result = run_benchmark(*size, Path(folder))
    print(json.dumps(result))
    failures = ("lines_wrong", "clients_moved", "connections_lost", "cut_at_the_door")
    return int(any(result[name] for name in failures))


if __name__ == "__main__":
    sys.exit(main())
