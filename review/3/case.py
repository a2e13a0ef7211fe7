"""A pushed list: the list service is down for 4 s, and has a drain to tell at its return."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from standins import BROKEN, HELD, UNUSABLE, Client, Discovery, Proxy, Server  # noqa: E402
from standins import free_address, make_config, run_case, until_ready  # noqa: E402

GRACE = 0.250 + 0.050  # rules.drainGraceNs, and 50 ms on sockets
OUTAGE = 4.0  # seconds; the pages name "some seconds" and 8 s
ROUNDS = 4
GROUP = 8  # sessions that come together, twice a second
SESSION_SECONDS = 2.0


async def case(record, scratch, processes, trouble) -> int:
    """Play the outages, each with one drain at its end; return the exit code."""
    discovery = Discovery(record)
    await discovery.start()
    servers = [Server(record, f"s{number}") for number in range(4)]
    for server in servers:
        await server.start()
        discovery.put(server)
    listen = free_address()
    config = make_config(listen, discovery, discovery.snapshot(), discovery="pushed")
    processes.append(Proxy(record, scratch, config))
    if not await until_ready(listen):
        return UNUSABLE
    clients: list[Client] = []
    told: list[tuple[float, float, Server]] = []  # told at, back in service at, server

    def come() -> None:
        for _ in range(GROUP):
            client = Client(record, listen).start()
            clients.append(client)
            asyncio.get_running_loop().call_later(SESSION_SECONDS, client.leave)

    async def come_for(seconds: float) -> None:
        """Let groups of sessions come, the first one 0.35 s from now."""
        end = record.now() + seconds
        await asyncio.sleep(0.35)
        while record.now() < end:
            come()
            await asyncio.sleep(0.5)

    await come_for(2)
    for number in range(ROUNDS):
        server = servers[number % len(servers)]
        if trouble:
            discovery.go_down()
            await come_for(OUTAGE)
            discovery.refused.clear()
            await asyncio.wait_for(discovery.refused.wait(), 10)
            await asyncio.sleep(0.02)  # the service comes back between two calls
            discovery.come_back()
        else:
            await come_for(OUTAGE)
        server.draining = True
        discovery.put(server, "leaving")
        start = record.now()
        await come_for(3)
        told.append((start, record.now(), server))
        server.draining = False
        discovery.put(server, "active")
        await come_for(2)
    late = 0
    for start, end, server in told:
        after = [round(at - start, 3) for at, _ in server.opens if start < at < end]
        over = [delay for delay in after if delay > GRACE]
        late += len(over)
        record.say("judge", f"{server.name} drains, told at {start:.3f}: OPEN lines after {after} s; over {GRACE:.3f} s: {over}")
    answers = [client.answer for client in clients]
    record.say("judge", f"clients {len(clients)}, UP {answers.count('UP')}, late sends {late}")
    if answers.count("UP") < len(clients) / 2:
        return UNUSABLE
    return BROKEN if late else HELD


sys.exit(run_case(FOLDER, case))
