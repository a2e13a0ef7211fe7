"""Three toy servers and a toy server list, to try a proxy with.

    python example/toy.py                      # servers on 127.0.0.1:7101 to 7103, the list on 127.0.0.1:8500
    python -m onyxhollow serve --config example/config.json
    python example/toy.py talk                 # a client: opens a connection, says a line every second

Type the name of a server (s1, s2, s3) where the servers run, and it drains: its clients are moved.
"""

from __future__ import annotations

import json
import socket
import sys
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from socketserver import StreamRequestHandler, ThreadingTCPServer
from urllib.parse import parse_qs, urlsplit

SERVERS = {"s1": 7101, "s2": 7102, "s3": 7103}


class Fleet:
    """The server list: its version, who drains, and who waits for a change."""

    def __init__(self) -> None:
        self.version, self.leaving, self.changed = 1, set[str](), threading.Condition()

    def drain(self, name: str) -> None:
        with self.changed:
            self.leaving.add(name)
            self.version += 1
            self.changed.notify_all()

    def told(self) -> bytes:
        rows = [
            {"host": name, "dial": f"127.0.0.1:{port}", "site": "here", "class": "toy", "block": 0,
             "health": "leaving" if name in self.leaving else "active", "share": 1.0, "born_ms": 0}
            for name, port in SERVERS.items()
        ]  # fmt: skip
        return json.dumps({"seq": self.version, "whole": True, "hosts": rows}).encode()


FLEET = Fleet()


class ListCall(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:  # noqa: N802 - the library's own word
        asked = parse_qs(urlsplit(self.path).query)
        seen, wait = int(asked.get("index", ["-1"])[0]), int(asked.get("wait", ["0"])[0])
        with FLEET.changed:
            FLEET.changed.wait_for(lambda: FLEET.version > seen, timeout=wait / 1000)
            body = FLEET.told()
        self.send_response(200)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Quiet: the proxy's own log is what is to be seen."""


class ToyServer(StreamRequestHandler):
    """Accepts every connection and brings each line back."""

    def handle(self) -> None:
        for line in self.rfile:
            word = line.split(b" ")[0].strip()
            if word == b"OPEN":
                print(f"port {self.server.server_address[1]}: {line.decode().strip()}", flush=True)
                self.wfile.write(b"UP 1\r\n")
            elif word == b"STATS":
                self.wfile.write(b"PONG x0=0.1\r\n")
            else:
                self.wfile.write(line)


class Server(ThreadingTCPServer):
    allow_reuse_address = daemon_threads = True
    request_queue_size = 128


def serve() -> None:
    for port in SERVERS.values():
        threading.Thread(target=Server(("127.0.0.1", port), ToyServer).serve_forever, daemon=True).start()
    calls = ThreadingHTTPServer(("127.0.0.1", 8500), ListCall)
    threading.Thread(target=calls.serve_forever, daemon=True).start()
    print(f"servers {', '.join(SERVERS)} are up; type a name to drain it, end with Ctrl-D", flush=True)
    for line in sys.stdin:
        if line.strip() in SERVERS:
            FLEET.drain(line.strip())
    calls.shutdown()


def talk() -> None:
    key = f"{time.time_ns():016x}"[-16:]
    with socket.create_connection(("127.0.0.1", 7070), timeout=5) as client, client.makefile("rb") as lines:
        client.sendall(f"OPEN {key} {key} c=chat,d=2000\r\n".encode())
        count = 0
        while line := lines.readline():
            print(line.decode().strip(), flush=True)
            if line.split()[0] in (b"MOVE", b"BUSY", b"BYE", b"ERR"):
                return
            time.sleep(1)
            count += 1
            client.sendall(b"hello %d\r\n" % count)


if __name__ == "__main__":
    talk() if sys.argv[1:] == ["talk"] else serve()
