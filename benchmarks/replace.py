"""Replaces a proxy under load, over and over: real processes, busy connections, stand-in servers and list.

    python benchmarks/replace.py [--quick] [--connections N] [--replacements K]

Every connection sends numbered lines, some of them in two pieces, and checks each echo; new clients come all
the while. Every fourth successor is killed after its yes: the old one must go on. The last line is one JSON
object.
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

ROOT = Path(__file__).resolve().parents[1]
EVERY = 0.02  # seconds from a line's echo to the next line of its connection
NEW_EVERY = 0.02  # seconds from one new client to the next
KILLED = 4  # each so-maniest successor is
WITHIN = 10.0  # seconds for a process to start or end, and for the last echoes


class Peer:
    """One end of a connection, with its lines."""

    def __init__(self, bench: Bench, sock: socket.socket) -> None:
        sock.setblocking(False)
        self.bench, self.sock, self.rest = bench, sock, b""
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
        *lines, self.rest = (self.rest + data).split(b"\r\n")
        for line in lines:
            self.got(line)

    def got(self, line: bytes) -> None:
        raise NotImplementedError

    def say(self, data: bytes) -> None:
        try:
            self.sock.sendall(data)
        except OSError:
            self.close()

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.bench.selector.unregister(self.sock)
            self.sock.close()


class Serving(Peer):
    """A server's end: takes every session, echoes every line."""

    def got(self, line: bytes) -> None:
        if line.startswith(b"OPEN"):
            self.say(b"UP r\r\n")
        elif line == b"STATS":
            self.say(b"PONG x0=0.2\r\n")
        else:
            self.say(line + b"\r\n")


class Client(Peer):
    """Sends a numbered line, waits for its echo, sends the next."""

    def __init__(self, bench: Bench, lasting: bool) -> None:
        self.count, self.sent_at, self.tail, self.up, self.lasting = 0, time.monotonic(), b"", False, lasting
        super().__init__(bench, socket.create_connection(bench.listener.getsockname()))
        bench.opened += 1
        self.say(b"OPEN b%d k c=calls,d=2000\r\n" % bench.opened)

    def got(self, line: bytes) -> None:
        now = time.monotonic()
        if not self.up:
            self.up = line.startswith(b"UP")
            self.bench.wrong += not self.up
            if not self.lasting:
                self.close()
        elif line == b"MOVE":
            self.bench.moved += 1
            self.close()
        else:
            self.bench.lines += 1
            self.bench.wrong += line != b"m %d" % self.count
            self.bench.pauses.append(now - self.sent_at)
            self.count += 1
        self.bench.later.append((now + EVERY, self))

    def next(self) -> None:
        line, self.sent_at = b"m %d\r\n" % self.count, time.monotonic()
        if self.count % 3:
            self.say(line)
        else:  # in two pieces, the second a turn later
            self.say(line[:3])
            self.tail = line[3:]
            self.bench.later.append((self.sent_at, self))

    def due(self) -> None:
        if self.sock.fileno() < 0:
            return
        if self.tail:
            data, self.tail = self.tail, b""
            self.say(data)
        else:
            self.next()

    def close(self) -> None:
        if self.sock.fileno() >= 0 and (not self.up or self.lasting and not self.bench.over):
            self.bench.cut += 1  # refused, reset, or ended without a word
        super().close()


class Bench:
    def __init__(self, folder: Path) -> None:
        self.folder, self.selector = folder, selectors.DefaultSelector()
        self.opened = self.lines = self.wrong = self.moved = self.cut = 0
        self.pauses: list[float] = []
        self.later: list[tuple[float, Client]] = []  # in order of time: all wait for the same span
        self.over = False
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.doors = [socket.create_server(("127.0.0.1", 0), backlog=1024) for _ in range(3)]
        for door in self.doors:
            door.setblocking(False)
            self.selector.register(door, selectors.EVENT_READ, lambda d=door: Serving(self, d.accept()[0]))
        hosts = [
            {"host": f"s{number}", "dial": f"127.0.0.1:{door.getsockname()[1]}", "health": "active"}
            for number, door in enumerate(self.doors)
        ]
        self.known = {"seq": 1, "whole": True, "hosts": hosts}
        self.list = serve_list(self.known)
        self.next_new = time.monotonic()

    def turn(self) -> None:
        for key, _ in self.selector.select(0.002):
            key.data()
        now = time.monotonic()
        due = [client for at, client in self.later if at <= now]
        self.later = [(at, client) for at, client in self.later if at > now]
        for client in due:
            client.due()
        if now >= self.next_new and not self.over:
            self.next_new = now + NEW_EVERY
            Client(self, lasting=False)

    def until(self, seen: Any, what: str) -> float:
        began = time.monotonic()
        while not seen():
            if time.monotonic() > began + WITHIN:
                raise SystemExit(f"replace: {what}: not within {WITHIN:g} s")
            self.turn()
        return time.monotonic() - began

    def start(self, number: int) -> tuple[subprocess.Popen[bytes], int]:
        with socket.create_server(("127.0.0.1", 0)) as free:
            port = free.getsockname()[1]
        config = json.loads((ROOT / "example" / "config.json").read_text())
        config["discovery"], config["known"] = f"127.0.0.1:{self.list.server_address[1]}", self.known
        config["settings"]["listeners"][0]["name"] = "calls"
        config["limits"]["sockets"] = 8192
        path = self.folder / f"{number}.json"
        path.write_text(json.dumps(config))
        own = {
            "LB_LISTEN_FD": str(self.listener.fileno()),
            "LB_MANAGEMENT": f"127.0.0.1:{port}",
            "TMPDIR": str(self.folder),
        }
        with (self.folder / "log").open("ab") as log:
            child = subprocess.Popen(
                [sys.executable, "-O", "-m", "onyxhollow", "serve", "--config", str(path)],
                cwd=ROOT,
                env={**os.environ, **own},
                pass_fds=[self.listener.fileno()],
                stdout=log,
                stderr=log,
            )
        return child, port

    def ready(self, child: subprocess.Popen[bytes], port: int) -> bool:
        if child.poll() is not None:
            raise SystemExit(f"replace: exit {child.returncode}: {(self.folder / 'log').read_text()[-500:]}")
        try:
            with socket.create_connection(("127.0.0.1", port), timeout=1.0) as sock:
                sock.sendall(b"GET /control/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                return b" 200 " in sock.recv(200)
        except OSError:
            return False


def serve_list(told: dict[str, Any]) -> ThreadingHTTPServer:
    class Desk(BaseHTTPRequestHandler):
        protocol_version = "HTTP/1.1"

        def do_GET(self) -> None:  # noqa: N802
            if "index" in self.path:
                time.sleep(min(1.0, int(self.path.rpartition("=")[2]) / 1000))
            body = json.dumps(
                {
                    **told,
                    "whole": "index" not in self.path,
                    "hosts": [] if "index" in self.path else told["hosts"],
                }
            ).encode()
            self.send_response(200)
            self.send_header("Content-Length", str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_: Any) -> None:
            pass

    server = ThreadingHTTPServer(("127.0.0.1", 0), Desk)
    server.daemon_threads = True
    server.handle_error = lambda *_: None  # a process that ends leaves its watch
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


def play(connections: int, replacements: int, folder: Path) -> dict[str, Any]:
    bench = Bench(folder)
    child, port = bench.start(0)
    children, ready, ended, killed, by_kills = [child], [], [], 0, 0
    try:
        bench.next_new = time.monotonic() + WITHIN
        bench.until(lambda: bench.ready(child, port), "the first start")
        clients = [Client(bench, lasting=True) for _ in range(connections)]
        bench.until(lambda: all(client.up for client in clients), "connections up")
        bench.next_new = time.monotonic()
        settle = time.monotonic() + 1.0
        bench.until(lambda: time.monotonic() >= settle, "a second of plain traffic")
        plain, bench.pauses = sorted(bench.pauses), []
        for number in range(1, replacements + 1):
            old, (child, port) = child, bench.start(number)
            children.append(child)
            ready.append(bench.until(lambda c=child, p=port: bench.ready(c, p), "a successor's yes"))
            if number % KILLED == 0:
                killed, before = killed + 1, bench.cut
                child.kill()
                settle = time.monotonic() + 0.5
                bench.until(lambda s=settle: time.monotonic() >= s, "traffic after a kill")
                by_kills += bench.cut - before  # those that it had accepted
                child = old
                continue
            old.send_signal(signal.SIGTERM)
            ended.append(bench.until(lambda o=old: o.poll() is not None, "the old one's end"))
            settle = time.monotonic() + 0.3
            bench.until(lambda s=settle: time.monotonic() >= s, "traffic between")
        lost = sum(client.sock.fileno() < 0 for client in clients)
        counts = [client.count for client in clients]
        bench.until(lambda: all(c.count > n for c, n in zip(clients, counts, strict=True)), "an echo at each")
    finally:
        bench.over = True
        for one in children:
            if one.poll() is None:
                one.kill()
            one.wait()
        bench.list.shutdown()
    pauses = sorted(bench.pauses)
    return {
        "connections": connections,
        "replacements": replacements,
        "lines": bench.lines,
        "lines_wrong": bench.wrong,
        "clients_moved": bench.moved,
        "connections_lost": lost,
        "successors_killed": killed,
        "cut_with_them": by_kills,
        "cut_at_the_door": bench.cut - by_kills,
        "new_clients": bench.opened - connections,
        "ready_s": [round(min(ready), 2), round(max(ready), 2)],
        "old_ended_s_max": round(max(ended), 2),
        "pause_ms_max": round(pauses[-1] * 1000, 1),
        "pause_ms_p99": round(pauses[len(pauses) * 99 // 100] * 1000, 1),
        "plain_ms_p99": round(plain[len(plain) * 99 // 100] * 1000, 1),
    }


def main() -> int:
    parser = argparse.ArgumentParser(description="Replaces a proxy under load, over and over.")
    parser.add_argument("--quick", action="store_true", help="100 connections, 4 replacements")
    parser.add_argument("--connections", type=int, default=500)
    parser.add_argument("--replacements", type=int, default=10)
    told = parser.parse_args()
    size = (100, 4) if told.quick else (told.connections, told.replacements)
    with tempfile.TemporaryDirectory() as folder:
        result = play(*size, Path(folder))
    print(json.dumps(result))
    bad = ("lines_wrong", "clients_moved", "connections_lost", "cut_at_the_door")
    return int(any(result[name] for name in bad))


if __name__ == "__main__":
    sys.exit(main())
