"""Stand-ins for a small deployment on loopback: list service, servers, clients, and the proxy's processes.

They follow the protocol pages: clients and servers speak lines of text that end in CRLF, the list service
speaks HTTP/1.1. All of them run on one asyncio loop; the proxy is a separate process, started by the `run`
command of deploy/balancer.toml. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import resource
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
NS = 1_000_000_000
HELD, BROKEN, UNUSABLE = 0, 1, 2  # exit codes of a case
logging.getLogger("asyncio").setLevel(logging.CRITICAL)  # tasks that are cancelled at the end of a case


class Record:
    """Writes what was sent, answered and run, with seconds since the start, to record.txt."""

    def __init__(self, folder: Path) -> None:
        self.start = time.monotonic()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self.start

    def say(self, who: str, text: str) -> None:
        """Write one line."""
        self.file.write(f"{self.now():8.3f}  {who:<10} {text}\n")
        self.file.flush()


def free_address() -> str:
    """Return a free loopback address."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return f"{HOST}:{sock.getsockname()[1]}"


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    with contextlib.suppress(OSError, AttributeError):
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """A server: takes sessions, brings each line back at once, answers PING and STATS.

    `draining` makes it turn new sessions away with BUSY; `silent` makes it answer nothing at all.
    """

    def __init__(self, record: Record, name: str, load: float = 0.1) -> None:
        self.record = record
        self.name = name
        self.load = load
        self.draining = False
        self.takes_while_draining = False
        self.silent = False
        self.answer_delay = 0.0
        self.opens: list[tuple[float, str]] = []  # time of the first byte of an OPEN line, session id
        self.ran: list[tuple[float, str]] = []  # sessions that it has taken (UP)
        self.open: dict[str, asyncio.StreamWriter] = {}
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    async def stop(self) -> None:
        """End as a process does: open connections are reset, new ones refused."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)
        self.record.say(self.name, f"stops; open sessions cut off: {sorted(self.open)}")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        session = ""
        try:
            while line := await reader.readline():
                arrived = self.record.now()
                if self.silent:
                    continue
                word = line.split(b" ", 1)[0].strip()
                if session:
                    writer.write(line)
                elif word == b"PING":
                    writer.write(b"PONG\r\n")
                elif word == b"STATS":
                    writer.write(b"PONG x0=%.3f\r\n" % self.load)
                elif word == b"OPEN":
                    identity = line.split(b" ")[1].decode()
                    self.opens.append((arrived, identity))
                    self.record.say(self.name, f"got {line.decode().strip()}")
                    if self.answer_delay:
                        await asyncio.sleep(self.answer_delay)
                    if identity in self.open:
                        self.record.say(self.name, f"ERR {identity}: that session is open here")
                        writer.write(b"ERR\r\n")
                        break
                    if self.draining and not self.takes_while_draining:
                        self.record.say(self.name, f"BUSY {identity}: draining")
                        writer.write(b"BUSY\r\n")
                        break
                    session = identity
                    self.open[identity] = writer
                    self.ran.append((self.record.now(), identity))
                    self.record.say(self.name, f"UP {identity}")
                    writer.write(f"UP {self.name}-{identity}\r\n".encode())
                else:
                    writer.write(b"SYNTAX\r\n")
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            if session and self.open.get(session) is writer:
                del self.open[session]
            self.writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


class Discovery:
    """The list service. `answer_after` delays each answer that is due at once."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.version = 40
        self.hosts: dict[str, tuple[int, dict]] = {}  # name: version of the last change, entry
        self.changed = asyncio.Event()
        self.answer_after = 0.0
        self.down = False  # calls are answered 503, and open watches end
        self.refused = asyncio.Event()  # set anew by each 503
        self.calls = 0
        self.told: list[tuple[float, int]] = []
        self.server: asyncio.Server | None = None
        self.address = ""

    async def start(self) -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, HOST, 0)
        self.address = f"{HOST}:{self.server.sockets[0].getsockname()[1]}"

    def put(self, server: Server, health: str = "active", born_ms: int = 0, site: str = "a") -> None:
        """Add a server or change its entry."""
        self.version += 1
        entry = {
            "host": server.name, "dial": server.address, "site": site, "class": "m2", "block": 1,
            "health": health, "share": 1.0, "born_ms": born_ms,
        }
        self.hosts[server.name] = (self.version, entry)
        self.record.say("discovery", f"version {self.version}: {server.name} {health}")
        self.changed.set()
        self.changed = asyncio.Event()

    def go_down(self) -> None:
        """Go down: open watches end, and each call is answered 503."""
        self.record.say("discovery", "goes down")
        self.down = True
        self.changed.set()
        self.changed = asyncio.Event()

    def come_back(self) -> None:
        """Answer calls again."""
        self.record.say("discovery", "is back")
        self.down = False

    def snapshot(self) -> dict:
        """Return the whole list, as the configuration holds it too."""
        hosts = [entry for _, entry in self.hosts.values() if entry["health"] != "left"]
        return {"seq": self.version, "whole": True, "hosts": hosts}

    def changes(self, seen: int) -> dict:
        """Return what has changed since a version."""
        hosts = [entry for version, entry in self.hosts.values() if version > seen]
        return {"seq": self.version, "whole": False, "hosts": hosts}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer the calls of one connection, one after another."""
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                target = head.split(b" ")[1].decode()
                query = parse_qs(urlsplit(target).query)
                self.calls += 1
                self.record.say("discovery", f"called: {target}")
                if self.answer_after:
                    await asyncio.sleep(self.answer_after)
                seen = int(query.get("index", ["-1"])[0])
                if not self.down and 0 <= self.version <= seen:
                    wait = min(60.0, int(query.get("wait", ["0"])[0]) / 1000)
                    with contextlib.suppress(asyncio.TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), wait)
                if self.down:
                    writer.write(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                    self.record.say("discovery", "answered: 503")
                    self.refused.set()
                    continue
                document = self.changes(seen) if seen >= 0 else self.snapshot()
                body = json.dumps(document).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                await writer.drain()
                self.told.append((self.record.now(), document["seq"]))
                self.record.say("discovery", f"answered: version {document['seq']}, {len(document['hosts'])} entries")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()


class Proxy:
    """One process of the proxy, started by the deploy file's `run`."""

    def __init__(self, record: Record, folder: Path, config: dict, extra: dict | None = None, log: str = "proxy.log",
                 pass_fds: tuple[int, ...] = ()) -> None:
        self.record = record
        self.folder = folder
        self.config = config
        self.path = folder / "config.json"
        self.write_config(config)
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        scratch = folder / "tmp"
        scratch.mkdir(exist_ok=True)
        environment = {
            **{name: value for name, value in os.environ.items() if not name.startswith("LB_")},
            "LB_NAME": config["name"], "LB_LISTEN": config["listen"], "LB_DISCOVERY": config["discovery"],
            "LB_CONFIG": str(self.path), "TMPDIR": str(scratch), **(extra or {}),
        }
        self.log = (folder / log).open("ab")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", run], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
            stdout=self.log, stderr=self.log, pass_fds=pass_fds, start_new_session=True,
        )
        record.say("platform", f"starts proxy {config['name']}, process {self.process.pid}")

    def write_config(self, config: dict) -> None:
        """Write the configuration file in one rename."""
        new = self.path.with_suffix(".new")
        new.write_text(json.dumps(config, indent=1))
        os.replace(new, self.path)

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        self.record.say("platform", f"{number.name} to process {self.process.pid}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it still runs."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


class Client:
    """One client: sends an OPEN line, waits for the answer, then a line every 2 s."""

    count = 0

    def __init__(self, record: Record, address: str, listener: str = "chat", wait_ms: int = 2000, identity: str = "",
                 group: str = "g1", period: float = 2.0) -> None:
        Client.count += 1
        self.record = record
        self.address = address
        self.identity = identity or f"{os.getpid():x}{Client.count:06x}"
        self.line = f"OPEN {self.identity} 7f3a9c21 c={listener},t=acme,d={wait_ms},g={group}\r\n".encode()
        self.wait_ms = wait_ms
        self.period = period
        self.sent_at = 0.0
        self.answer = ""  # first word, or "reset", "closed", "refused", "late"
        self.answered_at = 0.0
        self.end = ""  # after UP: "MOVE", "BYE", "closed", "reset"
        self.ended_at = 0.0
        self.slowest = 0.0  # echo, in seconds
        self.task: asyncio.Task | None = None
        self.writer: asyncio.StreamWriter | None = None

    async def run(self) -> None:
        """Run the client to the end of its connection."""
        host, port = self.address.split(":")
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            self.answer = "refused"
            return
        self.writer = writer
        try:
            writer.write(self.line)
            self.sent_at = self.record.now()
            line = await reader.readline()
            self.answered_at = self.record.now()
            self.answer = line.split(b" ")[0].strip().decode() if line else "closed"
            self.record.say("client", f"{self.identity}: {line.decode().strip() or 'closed without an answer'}")
            if self.answer == "UP":
                await self.talk(reader, writer)
        except ConnectionError:
            if not self.answer:
                self.answer, self.answered_at = "reset", self.record.now()
            else:
                self.end, self.ended_at = self.end or "reset", self.record.now()
            self.record.say("client", f"{self.identity}: connection reset")
        except asyncio.CancelledError:
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Send lines and read them back until the proxy ends the connection."""
        number = 0
        due = self.record.now()
        waiting: list[float] = []
        while True:
            timeout = max(0.0, due - self.record.now())
            try:
                line = await asyncio.wait_for(reader.readline(), timeout)
            except asyncio.TimeoutError:
                number += 1
                writer.write(b"LINE %d %s\r\n" % (number, self.identity.encode()))
                waiting.append(self.record.now())
                due = self.record.now() + self.period
                continue
            if not line:
                self.end, self.ended_at = self.end or "closed", self.record.now()
                self.record.say("client", f"{self.identity}: end, {self.end}")
                return
            word = line.split(b" ")[0].strip().decode()
            if word in ("MOVE", "BYE", "ERR"):
                self.end = word
            elif word == "LINE" and waiting:
                self.slowest = max(self.slowest, self.record.now() - waiting.pop(0))

    def leave(self) -> None:
        """Close the connection, as a client does that needs no more."""
        if self.writer is not None:
            self.writer.close()

    def start(self) -> Client:
        """Run as a task."""
        self.task = asyncio.get_running_loop().create_task(self.run())
        return self


async def ping(address: str) -> bool:
    """Ask a proxy as the front does; return whether it answers PONG."""
    host, port = address.split(":")
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 0.5)
    except (OSError, asyncio.TimeoutError):
        return False
    try:
        writer.write(b"PING\r\n")
        return (await asyncio.wait_for(reader.readline(), 1.0)).strip() == b"PONG"
    except (OSError, asyncio.TimeoutError):
        return False
    finally:
        writer.close()


async def until_ready(address: str, seconds: float = 15.0) -> bool:
    """Wait until a proxy answers PONG."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await ping(address):
            return True
        await asyncio.sleep(0.02)
    return False


async def call(address: str, path: str, method: str = "GET", seconds: float = 1.0) -> int:
    """Make an operators' call; return its status, 0 without an answer."""
    host, port = address.split(":")

    async def talk() -> int:
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            writer.write(f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Length: 0\r\n\r\n".encode())
            head = await reader.readline()
            await reader.read()
            return int(head.split()[1]) if head else 0
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(talk(), seconds)
    except (OSError, asyncio.TimeoutError):
        return 0


def make_config(listen: str, service: Discovery, known: dict | None, **changes) -> dict:
    """Return a configuration like that of a small deployment; `changes` replace settings."""
    settings = {
        "discovery": "on_request", "weightKind": "nominal", "domainType": "conn",
        "charges": {"probe": 0.0015, "crossZone": 0.0067, "moves": 0.01},
        "clients": {"marksRetry": False},
        "goal": {"whole": 0.45, "worstClass": 0.2, "worstTenant": 0.1, "worstWindow": 0.25},
        "peersTotal": 1, "me": 0, "zone": "a", "zones": ["a"], "kinds": ["m2"], "tier": 0, "tiers": ["raters"],
        "listeners": [
            {"name": "chat", "semantics": "read_like", "group": "all", "handshakeTargetNs": 300_000_000,
             "dialTimeoutNs": 2 * NS, "utility": 1.0, "lateUtility": 0.0, "stream": True, "windowNs": 5 * NS},
        ],
        "tenants": [{"name": "acme", "quotaRps": 3.0, "share": 1.0}],
        "ceilings": {"mostDials": 4, "probes": True, "cancelling": True, "connectTimeoutNs": 250_000_000,
                     "retryAfter": False, "secondCopies": False, "peers": False, "maxRetryAfterNs": 2 * NS},
        "report": {"how": "probe", "fields": ["x0", "throughput", "outstanding"]},
        "extra": {"groups": False, "mode": "proxy", "reportX0": "load asked of the server over what it can do",
                  "messageAimNs": [250_000_000], "tenantQuotaConnections": [100.0], "tellsLoad": False},
        "rules": {"askWithinNs": 10 * NS, "coldShare": 0.32, "coldNs": 8_900_000_000, "fallMultiple": 3.0,
                  "fallNs": 2 * NS, "drainGraceNs": 250_000_000, "graceToAnswerNs": 16_000_000},
        "overageUtility": 0.2, "tickNs": 4_000_000, "utilityBy": "request",
        **changes,
    }
    return {
        "name": "n0", "listen": listen, "discovery": service.address, "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known or {"seq": -1, "whole": True, "hosts": []}, "settings": settings,
    }


def run_case(folder: Path, case, seconds: float = 100.0) -> int:
    """Run a case in a temporary folder and return the exit code; all its processes end with it."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(UNUSABLE))  # the processes end in any case
    resource.setrlimit(resource.RLIMIT_NOFILE, (resource.getrlimit(resource.RLIMIT_NOFILE)[1],) * 2)
    scratch = Path(tempfile.mkdtemp(prefix="review-"))
    processes: list[Proxy] = []
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.say("case", f"trouble {'on' if trouble else 'off'}")

    async def limited() -> int:
        return await asyncio.wait_for(case(record, scratch, processes, trouble), seconds)

    try:
        code = asyncio.run(limited())
    except Exception as error:  # noqa: BLE001 -- the case could not run
        record.say("case", f"could not run: {error!r}")
        code = UNUSABLE
    finally:
        for process in processes:
            process.end()
        shutil.rmtree(scratch, ignore_errors=True)
    record.say("case", {HELD: "the rule held", BROKEN: "THE RULE WAS BROKEN"}.get(code, "the case could not run"))
    sys.stdout.write(f"{folder.name}: {['held', 'broken', 'could not run'][code]}\n")
    return code
