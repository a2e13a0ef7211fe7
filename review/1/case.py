"""A second process of the proxy starts beside the first, while silent clients connect by hundreds."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from standins import BROKEN, HELD, HOST, UNUSABLE, Client, Discovery, Proxy, Server, call  # noqa: E402
from standins import free_address, make_config, run_case, until_ready  # noqa: E402

SOCKETS = 256  # the limit, by the configuration; the pages name 256 to 1,024
STANDING = 40  # usual clients with an open connection: under a third of the descriptors
SILENT = 400  # "by hundreds"
LISTEN_FD = 7  # as the platform passes it on
SAY_YES = 6.0  # seconds that the new process has
KILL_AFTER = 2.0 + 0.7  # seconds from SIGTERM to SIGKILL: the longest deadline and 0.7 s


def count_sockets(processes: list[Proxy]) -> tuple[int, list[int]]:
    """Return the number of different sockets that the processes hold, and that of each one."""
    found: list[set[str]] = []
    for process in processes:
        held = set()
        folder = f"/proc/{process.process.pid}/fd"
        with contextlib.suppress(OSError):  # it has ended
            for name in os.listdir(folder):
                with contextlib.suppress(OSError):
                    target = os.readlink(f"{folder}/{name}")
                    if target.startswith("socket:"):
                        held.add(target)
        found.append(held)
    return len(set().union(*found)), [len(held) for held in found]


def hold_listener() -> str:
    """Open the clients' listening socket as descriptor 7, as the platform does; return its address.

    Called before anything else may have taken that number.
    """
    with socket.socket() as listener:
        listener.bind((HOST, 0))
        listener.listen(1024)
        os.dup2(listener.fileno(), LISTEN_FD)
        return f"{HOST}:{listener.getsockname()[1]}"


async def case(record, scratch, processes, trouble) -> int:
    """Replace the process once, and count its sockets all the while; return the exit code."""
    discovery = Discovery(record)
    await discovery.start()
    servers = [Server(record, f"s{number}") for number in range(3)]
    for server in servers:
        await server.start()
        discovery.put(server)
    known = discovery.snapshot()
    managements = [free_address(), free_address()]

    def start(number: int) -> Proxy:
        config = make_config(listen, discovery, known)
        config["limits"]["sockets"] = SOCKETS
        config["management"] = managements[number]
        environment = {"LB_MANAGEMENT": managements[number], "LB_LISTEN_FD": str(LISTEN_FD)}
        processes.append(Proxy(record, scratch, config, environment, f"proxy{number}.log", (LISTEN_FD,)))
        return processes[-1]

    old = start(0)
    if not await until_ready(listen):
        return UNUSABLE
    standing = []
    for _ in range(STANDING):
        standing.append(Client(record, listen).start())
        await asyncio.sleep(0.02)
    most, over, ending = 0, [], False

    async def watch() -> None:
        nonlocal most
        while not ending:
            total, each = count_sockets(processes)
            if total > most:
                most = total
                record.say("platform", f"sockets held: {total}, by process {each}")
            if total > SOCKETS:
                over.append((record.now(), total))
            await asyncio.sleep(0.01)

    async def be_silent() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as sock:
            sock.setblocking(False)
            with contextlib.suppress(OSError):
                host, port = listen.split(":")
                await loop.sock_connect(sock, (host, int(port)))
                while await loop.sock_recv(sock, 64):
                    pass

    watching = asyncio.create_task(watch())
    await asyncio.sleep(1)
    record.say("silent", f"{SILENT} clients connect and say nothing")
    silent = [asyncio.create_task(be_silent()) for _ in range(SILENT)]
    await asyncio.sleep(0.1)
    if trouble:
        new = start(1)
        end = record.now() + SAY_YES
        while await call(managements[1], "/control/ready") != 200:
            if record.now() > end or new.process.poll() is not None:
                return UNUSABLE
            await asyncio.sleep(0.02)
        record.say("platform", "the new process has said yes")
        old.send(signal.SIGTERM)
        end = record.now() + KILL_AFTER
        while old.process.poll() is None and record.now() < end:
            await asyncio.sleep(0.02)
        record.say("platform", f"the old process: {'ended' if old.process.poll() is not None else 'SIGKILL'}")
        if old.process.poll() is None:
            old.process.kill()
    await asyncio.sleep(4)
    ending = True
    await watching
    for task in silent:
        task.cancel()
    up = sum(client.answer == "UP" for client in standing)
    if over:
        record.say("judge", f"over the limit of {SOCKETS} from {over[0][0]:.3f} to {over[-1][0]:.3f}")
    record.say("judge", f"most sockets held together: {most}, limit {SOCKETS}; standing clients up: {up} of {STANDING}")
    if up < STANDING or not most:
        return UNUSABLE
    return BROKEN if over else HELD


listen = hold_listener()
sys.exit(run_case(FOLDER, case))
