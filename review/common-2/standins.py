"""Stand-ins and helpers of the cases 6 to 10: a record, servers, discovery, clients and the proxy's process.

Only the standard library is used. All addresses are loopback addresses.
"""

from __future__ import annotations

import asyncio
import contextlib
import copy
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HELD = 0
BROKEN = 1
NOT_RUN = 2
NS = 1_000_000_000
READY_SECONDS = 10.0  # for a proxy to answer PING with PONG

# The settings of the wire page's example (section 5), with the names of that page.
SETTINGS = {
    "ceilings": {
        "cancelling": True, "connIdleNs": 60 * NS, "connectTimeoutNs": 250_000_000, "cpuUsPerRequest": 0.0,
        "cpuUsPerS": 400000, "maxOpen": 1000000, "maxRetryAfterNs": 2 * NS, "mostDials": 4, "peers": False,
        "probes": True, "retryAfter": False, "secondCopies": False, "streamsPerConn": 1048576,
    },
    "charges": {
        "connection": 0.034, "crossZone": 0.0067, "discovery": 0.0, "handshake": 0.034, "lateFail": 0.037,
        "moves": 0.01, "origin": 0.0, "peer": 0.0, "probe": 0.0015, "waste": 0.05,
    },
    "clients": {"marksRetry": False},
    "discovery": "on_request",
    "domainType": "conn",
    "extra": {
        "groups": True, "hint": "usual load of the connection", "messageAimNs": [250_000_000, 250_000_000, 60_000_000],
        "mode": "proxy", "notes": "", "parkNs": 0, "reportX0": "load asked of the server over what it can do",
        "reportX1": "seconds of work piled up", "tellsDelay": True, "tellsLoad": True,
        "tenantQuotaConnections": [159.0, 153.0],
    },
    "goal": {"whole": 0.45, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.25},
    "kinds": ["std-4c", "wide-5c"],
    "listeners": [
        {"dialTimeoutNs": 1_800_000_000, "group": "all", "handshakeTargetNs": 300_000_000, "lateUtility": 0.0,
         "name": "balance-check", "semantics": "read_like", "stream": True, "utility": 2.0, "windowNs": 5 * NS},
        {"dialTimeoutNs": 3_000_000_000, "group": "all", "handshakeTargetNs": 500_000_000, "lateUtility": 0.0,
         "name": "rate-lookup", "semantics": "read_like", "stream": True, "utility": 1.0, "windowNs": 5 * NS},
        {"dialTimeoutNs": 4_800_000_000, "group": "all", "handshakeTargetNs": 800_000_000, "lateUtility": 0.0,
         "name": "usage-update", "semantics": "read_like", "stream": True, "utility": 5.0, "windowNs": 5 * NS},
    ],
    "me": 0,
    "overageUtility": 0.2,
    "peersTotal": 1,
    "report": {"fields": ["x0", "throughput", "outstanding"], "how": "probe"},
    "rules": {
        "askWithinNs": 10 * NS, "coldNs": 8_900_000_000, "coldShare": 0.32, "drainGraceNs": 250_000_000,
        "fallMultiple": 3.0, "fallNs": 2 * NS, "graceToAnswerNs": 16_000_000,
    },
    "tenants": [
        {"name": "hanbit-mobile", "quotaRps": 3.0, "share": 0.24},
        {"name": "nuri-tel", "quotaRps": 3.0, "share": 0.23},
    ],
    "tickNs": 4_000_000,
    "tier": 0,
    "tiers": ["raters"],
    "utilityBy": "request",
    "weightKind": "nominal",
    "zone": "busan",
    "zones": ["busan"],
}


def settings() -> dict:
    """Return a copy of the settings that a case may change."""
    return copy.deepcopy(SETTINGS)


class Record:
    """The record of one run: what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: str) -> None:
        self.file = open(path, "w", encoding="utf-8")
        self.started_at = time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.monotonic() - self.started_at:8.3f} {text}\n")
        self.file.flush()


def new_id() -> str:
    """Return a new connection id."""
    return os.urandom(8).hex()


async def read_line(reader: asyncio.StreamReader) -> bytes:
    """Return the next line, or b'' at the end or after an error."""
    try:
        return await reader.readline()
    except (OSError, ValueError):
        return b""


class Server:
    """A server of the protocol page. Subclasses change `on_open`."""

    def __init__(self, name: str, record: Record, host: str = "127.0.0.1") -> None:
        self.name = name
        self.record = record
        self.host = host
        self.port = 0
        self.health = "active"
        self.opens: list[tuple[float, str, str]] = []  # time, id and key of each OPEN line
        self.open_connections = 0
        self.tasks: set[asyncio.Task] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def row(self) -> dict:
        return {
            "host": self.name, "dial": f"{self.host}:{self.port}", "site": "busan", "class": "std-4c", "block": 0,
            "health": self.health, "share": 1.0, "born_ms": 0,
        }

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self.converse(reader, writer)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def converse(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await read_line(reader):
            word = line.split(b" ")[0].strip()
            if word == b"PING":
                writer.write(b"PONG\r\n")
            elif word == b"STATS":
                writer.write(b"PONG x0=%.3f,throughput=1,outstanding=%d\r\n" % (0.1, self.open_connections))
            elif word == b"OPEN" and line.endswith(b"\r\n"):
                _, identity, key, fields = line.decode().split()
                self.opens.append((time.monotonic(), identity, key))
                self.record(f"{self.name} got OPEN {identity} {key} {fields}")
                if await self.on_open(identity, key, reader, writer):
                    await self.echo(identity, reader, writer)
                return
            else:
                writer.write(b"SYNTAX\r\n")
                return

    async def on_open(self, identity: str, key: str, reader, writer) -> bool:
        """Answer an OPEN line; return whether the connection is up."""
        if self.health != "active":
            self.record(f"{self.name} answers BUSY to {identity}")
            writer.write(b"BUSY\r\n")
            return False
        self.record(f"{self.name} answers UP to {identity}")
        writer.write(b"UP %s-%s\r\n" % (self.name.encode(), identity.encode()))
        return True

    async def echo(self, identity: str, reader, writer) -> None:
        self.open_connections += 1
        try:
            while line := await read_line(reader):
                writer.write(line)
                await writer.drain()
        finally:
            self.open_connections -= 1


class Discovery:
    """The discovery service of the protocol page; `before_answer` may delay a call or return a status."""

    def __init__(self, servers: list[Server], record: Record, host: str = "127.0.0.1") -> None:
        self.servers = servers
        self.record = record
        self.host = host
        self.port = 0
        self.seq = 1
        self.changed_at: dict[str, int] = {server.name: 1 for server in servers}
        self.changed = asyncio.Condition()
        self.before_answer: Callable[[int, float], Awaitable[int]] | None = None
        self.calls = 0
        self.told: list[tuple[float, int]] = []  # time and version of each answer
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, self.host, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def known(self) -> dict:
        return {"seq": self.seq, "whole": True, "hosts": [server.row() for server in self.servers]}

    async def change(self, server: Server, health: str) -> None:
        server.health = health
        async with self.changed:
            self.seq += 1
            self.changed_at[server.name] = self.seq
            self.record(f"discovery: {server.name} is {health}, version {self.seq}")
            self.changed.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.CancelledError, asyncio.IncompleteReadError):
            while request := await read_line(reader):
                while (await read_line(reader)).strip():
                    pass
                await self.answer(request.split()[1].decode(), reader, writer)
        self.writers.discard(writer)
        writer.close()

    async def answer(self, target: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.calls += 1
        number = self.calls
        query = parse_qs(urlsplit(target).query)
        index = int(query.get("index", ["-1"])[0])
        wait = int(query.get("wait", ["0"])[0]) / 1000
        self.record(f"discovery got call {number}: {target}")
        status = 200
        if self.before_answer is not None:
            status = await self.before_answer(number, wait)
        if status == 200 and index >= self.seq:
            async with self.changed:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.changed.wait_for(lambda: self.seq > index), wait)
        if reader.at_eof() or writer.is_closing():
            self.record(f"discovery: the proxy has left call {number}")
            return
        rows = [s.row() for s in self.servers if index < 0 or self.changed_at[s.name] > index]
        body = json.dumps({"seq": self.seq, "whole": index < 0, "hosts": rows}).encode()
        if status != 200:
            body = b"busy"
        writer.write(
            b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body
        )
        await writer.drain()
        self.record(f"discovery answered call {number}: {status}, version {self.seq}, {len(rows)} rows")
        if status == 200:
            self.told.append((time.monotonic(), self.seq))


class Proxy:
    """One proxy process, started as the deploy file says."""

    def __init__(self, folder: str, record: Record, config: dict, name: str = "n0", env: dict | None = None) -> None:
        self.folder = folder
        self.record = record
        self.config = config
        self.name = name
        self.env = env or {}
        self.process: asyncio.subprocess.Process | None = None
        self.config_path = os.path.join(folder, f"{name}.json")

    @property
    def address(self) -> tuple[str, int]:
        host, _, port = self.config["listen"].rpartition(":")
        return host, int(port)

    def write_config(self) -> None:
        path = f"{self.config_path}.new"
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(path, self.config_path)

    async def start(self, label: str = "", pass_fds: tuple[int, ...] = ()) -> None:
        self.write_config()
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        tmp = os.path.join(self.folder, f"tmp-{self.name}")
        os.makedirs(tmp, exist_ok=True)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        environment |= {
            "LB_NAME": self.name, "LB_LISTEN": self.config["listen"], "LB_DISCOVERY": self.config["discovery"],
            "LB_CONFIG": self.config_path, "TMPDIR": tmp, "PYTHONDONTWRITEBYTECODE": "1", **self.env,
        }
        self.log_path = os.path.join(self.folder, f"log-{self.name}{label}")
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=asyncio.subprocess.DEVNULL,
                pass_fds=pass_fds,
            )
        self.record(f"proxy {self.name}{label} started, process {self.process.pid}")

    async def wait_until_ready(self) -> None:
        deadline = time.monotonic() + READY_SECONDS
        while time.monotonic() < deadline:
            if self.process.returncode is not None:
                raise RuntimeError(f"the proxy ended with {self.process.returncode}: see {self.log_path}")
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(0.5):
                    reader, writer = await asyncio.open_connection(*self.address)
                    writer.write(b"PING\r\n")
                    line = await reader.readline()
                    writer.close()
                    if line == b"PONG\r\n":
                        self.record(f"proxy {self.name} answers PONG")
                        return
            await asyncio.sleep(0.1)
        raise RuntimeError("the proxy did not become ready")

    def signal(self, number: int) -> None:
        if self.process is not None and self.process.returncode is None:
            self.record(f"proxy {self.name}: signal {signal.Signals(number).name}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
        if self.process is not None:
            await self.process.wait()


def free_port(host: str = "127.0.0.1") -> int:
    """Return a port that is free now."""
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, 0))
        return sock.getsockname()[1]


class Answer:
    """What a client saw: the first line, when its last byte was sent and when the answer came."""

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.line = b""  # b"" for an end without a line
        self.sent_at = 0.0
        self.answered_at: float | None = None
        self.ended = False
        self.error = ""
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None

    @property
    def took(self) -> float:
        return (self.answered_at or float("inf")) - self.sent_at


async def open_session(
    address: tuple[str, int], record: Record, listener: str, wait_ms: int, key: str = "", extra_wait: float = 0.6,
    fields: str = "", keep: bool = False,
) -> Answer:
    """Open a session as a usual client; wait for its answer until its time is up and `extra_wait` seconds more."""
    answer = Answer(new_id())
    writer = None
    try:
        reader, writer = await asyncio.open_connection(*address)
        key = key or new_id()
        line = f"OPEN {answer.identity} {key} c={listener},t=hanbit-mobile,d={wait_ms}{fields}\r\n"
        writer.write(line.encode())
        await writer.drain()
        answer.sent_at = time.monotonic()
        record(f"client {answer.identity} sent {line.strip()}")
        async with asyncio.timeout(wait_ms / 1000 + extra_wait):
            answer.line = await reader.readline()
        answer.answered_at = time.monotonic()
        answer.ended = not answer.line
    except TimeoutError:
        answer.error = "no answer"
    except OSError as error:
        answer.error = f"{error}"
        answer.answered_at = time.monotonic()
        answer.ended = True
    shown = answer.line.decode(errors="replace").strip() or ("end" if answer.ended else "nothing")
    took = f"after {answer.took:.3f} s" if answer.answered_at else f"in {wait_ms / 1000 + extra_wait:.2f} s"
    record(f"client {answer.identity} got {shown} {took} {answer.error}")
    if keep and answer.line.startswith(b"UP"):
        answer.reader, answer.writer = reader, writer
    elif writer is not None:
        writer.close()
    return answer


def main(case: Callable[[Record, str, bool], Awaitable[int]], folder: str) -> None:
    """Run a case and exit with its status; end all processes in any event."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"disruption: {'yes' if trouble else 'no'}")
    status = NOT_RUN

    async def run() -> int:
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory(prefix="case-") as scratch:
            async with asyncio.timeout(110):
                return await case(record, scratch, trouble)

    try:
        status = asyncio.run(run())
    except (Exception, asyncio.CancelledError):  # noqa: BLE001 -- a case that could not run
        record(traceback.format_exc())
        traceback.print_exc()
    text = {HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[status]
    record(f"the rule {text}" if status != NOT_RUN else "the case could not run")
    print(text)
    sys.stdout.flush()
    os._exit(status)
