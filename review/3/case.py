"""Planned restart of a proxy whose list is pushed; an operator sends clients away right after the start."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from standins import BROKEN, HELD, UNUSABLE, Client, Discovery, Proxy, Server, call, ping  # noqa: E402
from standins import free_address, make_config, run_case, until_ready  # noqa: E402

ALLOWED = 4.0  # seconds from the call of `out-of-service`, by the page
TOLERANCE = 0.2  # seconds, for this test's own delays


class Front:
    """The front: asks PING every 0.1 s, and sends clients until 0.2 s after the first no."""

    def __init__(self, record, listen: str) -> None:
        self.record = record
        self.listen = listen
        self.takes = False
        self.refused_since = 0.0
        self.clients: list[Client] = []

    async def ask(self) -> None:
        """Ask for ever."""
        while True:
            if await ping(self.listen):
                if not self.takes:
                    self.record.say("front", "PONG: takes the proxy in")
                self.takes, self.refused_since = True, 0.0
            elif self.takes:
                self.refused_since = self.refused_since or self.record.now()
                if self.record.now() - self.refused_since >= 0.2:
                    self.record.say("front", "no PONG: sends no more clients")
                    self.takes = False
            await asyncio.sleep(0.1)

    async def send(self) -> None:
        """Send a client every 0.2 s while the proxy is taken in."""
        while True:
            if self.takes:
                self.clients.append(Client(self.record, self.listen).start())
            await asyncio.sleep(0.2)


async def case(record, scratch, processes, trouble) -> int:
    """Restart the proxy, send clients away, and look 4 s later; return the exit code."""
    discovery = Discovery(record)
    await discovery.start()
    servers = [Server(record, f"s{number}") for number in range(3)]
    for server in servers:
        await server.start()
        discovery.put(server)
    listen, management = free_address(), free_address()
    config = make_config(listen, discovery, discovery.snapshot(), discovery="pushed")
    config["management"] = management
    environment = {"LB_MANAGEMENT": management}
    processes.append(Proxy(record, scratch, config, environment))
    if not await until_ready(listen):
        return UNUSABLE
    front = Front(record, listen)
    tasks = [asyncio.create_task(front.ask()), asyncio.create_task(front.send())]
    await asyncio.sleep(5)
    if trouble:
        processes[0].send(signal.SIGTERM)
        for _ in range(370):  # the longest deadline is 2 s: SIGKILL would come 2.7 s after SIGTERM
            if processes[0].process.poll() is not None:
                break
            await asyncio.sleep(0.01)
        else:
            return UNUSABLE
        record.say("platform", "the old process has ended")
        processes.append(Proxy(record, scratch, config, environment))
    status = 0
    end = record.now() + 10
    while not status and record.now() < end:  # as soon as the new process answers operators
        asked_at = record.now()
        status = await call(management, "/control/out-of-service", "POST")
        await asyncio.sleep(0 if status else 0.01)
    record.say("operator", f"POST /control/out-of-service: {status}, called at {asked_at:.3f}")
    if not 200 <= status < 300:
        return UNUSABLE  # a no is no promise
    while record.now() < asked_at + ALLOWED + TOLERANCE:
        await asyncio.sleep(0.02)
    ready = await call(management, "/control/ready")
    pong = await ping(listen)
    held = [client.identity for client in front.clients if client.answer == "UP" and not client.end]
    seconds = record.now() - asked_at
    record.say("judge", f"{seconds:.2f} s after the call: ready {ready}, PING answered PONG: {pong}")
    record.say("judge", f"{seconds:.2f} s after the call: held and not moved: {len(held)} {held}")
    for task in tasks:
        task.cancel()
    if not front.clients or not any(client.answer == "UP" for client in front.clients):
        return UNUSABLE
    return BROKEN if ready == 200 or pong or held else HELD


sys.exit(run_case(FOLDER, case))
