"""The demo: a small fleet on sockets, shown live, then told in plain words. Ends by itself."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

from rich.console import Console
from rich.live import Live
from rich.table import Table
from rich.text import Text

from onyxhollow.lab import scenario
from onyxhollow.lab.sockets.engine import Sockets
from onyxhollow.lab.world.servers import ServerState

BAR = 40
STATES = {ServerState.RUNNING: "in service", ServerState.DRAINING: "draining", ServerState.STOPPED: "stopped"}


def told_now(engine: Sockets) -> list[str]:
    """What goes wrong at the moment, and what the proxies do about it."""
    now, said = engine.now, []
    for begin, _, kind in engine.world.fault_spans:
        if begin <= now < begin + 3.0:
            said.append(
                {
                    "reconnect": "all clients drop their connections and come again",
                    "deploy": "a server is told to drain: the proxies hand its clients off in stages",
                    "proxy_crash": "a proxy is killed: its clients come again through the other",
                }[kind]
            )
    return said


def picture(engine: Sockets) -> Table:
    world = engine.world
    outer = Table.grid()
    table = Table("server", "state", "connections", "", box=None)
    for server in world.servers:
        held = len(server.sessions)
        cold = " (cold)" if server.is_running and server.warm_up_factor(engine.now) < 1 else ""
        bar = "#" * min(BAR, held) + ("+" if held > BAR else "")
        table.add_row(server.name, STATES[server.state] + cold, str(held), bar)
    proxies = Table("proxy", "", "clients", "", box=None)
    for proxy in world.proxies:
        held = sum(end.sess.proxy == proxy.number for end in engine.ends.values())
        proxies.add_row(f"n{proxy.number}", "up" if proxy.alive else "dead", str(held), "#" * min(BAR, held))
    outer.add_row(Text(f"{engine.now:5.1f} s of {engine.scenario.seconds:g} s"))
    outer.add_row(table)
    outer.add_row(proxies)
    outer.add_row(Text("\n".join(told_now(engine)) or " "))
    return outer


def show(console: Console) -> int:
    """Plays the demo. 0 if all went as it should."""
    day = scenario.read("demo")
    console.print("A fleet on this machine: three servers (stand-ins), two onyxhollow proxies, and clients.")
    began = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="onyxhollow-demo-") as folder:
        engine = Sockets(day, 1, Path(folder))
        with Live(console=console, refresh_per_second=4) as live:
            if console.is_terminal:
                live.update(picture(engine))
            shown = [""]

            def progress(now: float, _: float) -> None:
                if console.is_terminal:
                    live.update(picture(engine))
                elif (said := "; ".join(told_now(engine))) and said != shown[0]:
                    shown[0] = said
                    console.print(f"{now:5.1f} s: {said}")

            world = engine.run(progress)
    counts, figures, found = world.metrics.counts, world.metrics.figures(), engine.findings()
    sound = world.checker.is_clean and not found["crashes"] and not found["failures"]
    again = counts.get("cut: dropped", 0) + counts.get("cut: unreachable", 0)
    moved, cut = counts.get("moves", 0), counts.get("cut: torn down", 0)
    if sound:
        kept = (
            "All four rules were kept: one answer in time for each session, nothing twice, nothing new to "
            "the drained server, no cold server pushed over."
        )
    else:
        kept = f"Something went wrong: {world.checker.summary()} {found}"
    console.print(f"""
{len(world.clients)} clients wanted a connection; for {figures["service"]:.1%} of the time \
that they wanted one they had it and were answered in time.
The drained server's clients were moved one after another: {moved} moves by the proxies, \
{figures["lost"]["moved"]:.1%} of the time lost by it, {cut} connections cut off without a word.
{again} connections were dropped by their clients or died with a proxy, and came again.
{found["bad_clients"]} clients that do not follow the protocol came too, and harmed nobody.
{kept}
{time.monotonic() - began:.0f} s in all. All processes are ended. Next: onyxhollow lab list""")
    return 0 if sound else 1
