"""An operator takes a proxy out of service, and it is told to end during the drain: clients must be gone in time."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
from standins import BROKEN, HELD, Discovery, Proxy, Record, Server, free_port, main, new_id, open_session, settings

SERVERS = 4
CLIENTS = 40
STOP_SECONDS = 2.5  # from the operator's call to SIGTERM
HELD_SECONDS = 4.0  # "4 s after the call ... a client's connection is held that was not moved"
SLACK_SECONDS = 0.05  # "each time limit is 50 ms longer"


async def call(port: int, record: Record, method: str, path: str) -> str:
    """Make one call at the management address and return the status line."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n".encode())
    status = (await reader.readline()).decode().strip()
    writer.close()
    record(f"operator: {method} {path}: {status}")
    return status


class Client:
    """A usual client with an open connection: it sends a line every 2 s until it is moved."""

    def __init__(self) -> None:
        self.identity = ""
        self.moved_at: float | None = None
        self.ended_at: float | None = None

    async def run(self, address: tuple[str, int], record: Record) -> None:
        answer = await open_session(address, record, "usage-update", 4800, fields=f",g={new_id()}", keep=True)
        self.identity = answer.identity
        if answer.writer is None:
            raise RuntimeError("a client was not brought up before the disruption")
        sender = asyncio.create_task(self.send(answer.writer))
        while line := await answer.reader.readline():
            if line == b"MOVE\r\n":
                self.moved_at = time.monotonic()
                record(f"client {self.identity} was told MOVE")
                break
        self.ended_at = time.monotonic()
        sender.cancel()
        answer.writer.close()

    async def send(self, writer: asyncio.StreamWriter) -> None:
        while True:
            writer.write(b"line\r\n")
            await asyncio.sleep(2.0)


async def case(record: Record, scratch: str, trouble: bool) -> int:
    servers = [Server(f"s-{n}", record) for n in range(SERVERS)]
    for server in servers:
        await server.start()
    discovery = Discovery(servers, record)
    await discovery.start()
    port = free_port()
    config = {
        "name": "n0", "listen": f"127.0.0.1:{free_port()}", "discovery": discovery.address, "seed": "8c1f30d27a5be964",
        "management": f"127.0.0.1:{port}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.known(), "settings": settings(),
    }
    proxy = Proxy(scratch, record, config, env={"LB_MANAGEMENT": f"127.0.0.1:{port}"})
    await proxy.start()
    clients = [Client() for _ in range(CLIENTS)]
    tasks: list[asyncio.Task] = []
    try:
        await proxy.wait_until_ready()
        await asyncio.sleep(1.0)
        for client in clients:
            tasks.append(asyncio.create_task(client.run(proxy.address, record)))
            await asyncio.sleep(0.02)
        await asyncio.sleep(2.0)
        if any(task.done() for task in tasks):
            raise RuntimeError("a client left before the disruption")
        called_at = time.monotonic()
        if not (await call(port, record, "POST", "/control/out-of-service")).split()[1].startswith("2"):
            raise RuntimeError("the operator's call was refused")
        await asyncio.sleep(STOP_SECONDS)
        if trouble:
            proxy.signal(signal.SIGTERM)
        await asyncio.sleep(called_at + HELD_SECONDS + SLACK_SECONDS - time.monotonic())
        held = [client for client in clients if client.moved_at is None and client.ended_at is None]
        record(f"{HELD_SECONDS + SLACK_SECONDS} s after the call: {len(held)} of {CLIENTS} connections are held and were not moved")
        await asyncio.wait(tasks, timeout=4.0)
        for client in held:
            moved = f"moved {client.moved_at - called_at:.3f} s after the call" if client.moved_at else "never moved"
            record(f"client {client.identity}: {moved}")
    finally:
        await proxy.kill()
    print(f"held and not moved {HELD_SECONDS + SLACK_SECONDS} s after the call: {len(held)} of {CLIENTS}")
    return BROKEN if held else HELD


main(case, FOLDER)
