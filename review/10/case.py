"""After an outage of discovery one call waits in its queue in vain: the proxies ask again too late to hear of a drain."""

from __future__ import annotations

import asyncio
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-2"))
from standins import BROKEN, HELD, Discovery, Proxy, Record, Server, free_port, main, new_id, open_session, settings

PROXIES = 6  # of a fleet of 40, the others are not played
FLEET = 40  # "about 40 proxies"
SERVERS = 4
OUTAGE_SECONDS = 12.0  # "out of reach for 6.4 to 25 s"; "longer outages of discovery"
QUEUE_SECONDS = 3.0  # after which a call that waits for its turn fails (timeout_ms = 3000 of the site file)
AFTER_SECONDS = 13.0
TOLD_SECONDS = 6.0  # "at the latest 6 s after discovery had it and could be reached"
GRACE_SECONDS = 0.25 + 0.05  # the settings' grace, and 50 ms more on sockets
INTERVAL_SECONDS = 0.1


async def client(address: tuple[str, int], record: Record) -> None:
    """Open a session of a group of its own, send a line every 2 s and leave after some seconds."""
    answer = await open_session(address, record, "rate-lookup", 3000, fields=f",g={new_id()}", keep=True)
    if answer.writer is not None:
        for _ in range(3):
            answer.writer.write(b"line\r\n")
            await asyncio.sleep(2.0)
        answer.writer.close()


async def case(record: Record, scratch: str, trouble: bool) -> int:
    servers = [Server(f"s-{n}", record) for n in range(SERVERS)]
    for server in servers:
        await server.start()
    phase = "up"
    services: list[Discovery] = []  # one service, with an address for each proxy
    proxies: list[Proxy] = []
    waited: set[int] = set()  # proxies of which one call has waited in vain
    for number in range(PROXIES):
        discovery = Discovery(servers, record)

        async def before_answer(call: int, wait: float, number: int = number) -> int:
            if phase == "down":
                return 503
            if phase == "crowded" and number not in waited:
                waited.add(number)
                await asyncio.sleep(QUEUE_SECONDS)
                record(f"discovery: a call of n{number} has waited too long")
                return 503
            return 200

        discovery.before_answer = before_answer
        await discovery.start()
        services.append(discovery)
        config = {
            "name": f"n{number}", "listen": f"127.0.0.1:{free_port()}", "discovery": discovery.address,
            "seed": f"8c1f30d27a5be96{number}", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": discovery.known(), "settings": settings() | {"me": number, "peersTotal": FLEET},
        }
        proxies.append(Proxy(scratch, record, config, f"n{number}"))
    leaving = servers[0]
    clients: list[asyncio.Task] = []
    back_at = 0.0
    try:
        for proxy in proxies:
            await proxy.start()
        for proxy in proxies:
            await proxy.wait_until_ready()
        await asyncio.sleep(6.0)
        if trouble:
            record("discovery goes down: watches end, calls are answered 503")
            phase = "down"
            for discovery in services:
                for writer in list(discovery.writers):
                    writer.transport.abort()
        started_at = time.monotonic()
        while time.monotonic() < started_at + OUTAGE_SECONDS + AFTER_SECONDS:
            if not back_at and time.monotonic() >= started_at + OUTAGE_SECONDS:
                for discovery in services:
                    await discovery.change(leaving, "leaving")
                back_at = time.monotonic()
                phase = "crowded" if trouble else "up"
                record("discovery is back")
            if time.monotonic() >= started_at + OUTAGE_SECONDS - 2.0:
                clients += [asyncio.create_task(client(proxy.address, record)) for proxy in proxies]
            await asyncio.sleep(INTERVAL_SECONDS)
        await asyncio.gather(*clients)
    finally:
        for proxy in proxies:
            await proxy.kill()
    for number, discovery in enumerate(services):
        told = min((at for at, version in discovery.told if version >= 2), default=float("inf"))
        record(f"n{number} was answered {told - back_at:.3f} s after discovery was back")
    late = [(at, identity) for at, identity, _ in leaving.opens if at > back_at + TOLD_SECONDS + GRACE_SECONDS]
    for at, identity in late:
        record(f"{leaving.name} got {identity} {at - back_at:.3f} s after discovery had the drain and was back")
    sent = sum(at > back_at for at, _, _ in leaving.opens)
    record(f"sent to {leaving.name} after discovery was back: {sent}, later than {TOLD_SECONDS + GRACE_SECONDS} s: {len(late)}")
    print(f"sent later than {TOLD_SECONDS + GRACE_SECONDS} s: {len(late)}")
    return BROKEN if late else HELD


main(case, FOLDER)
