"""The demo: a small fleet on sockets, shown live and then summarized. It ends by itself."""

from __future__ import annotations

import tempfile
import time
from pathlib import Path

from rich.console import Console
from rich.live import Live
from rich.table import Table
from rich.text import Text

from onyxhollow.lab import scenario
from onyxhollow.lab.sockets.engine import SocketEngine
from onyxhollow.lab.world.servers import ServerState

MAX_BAR_LENGTH = 40  # characters
STATES = {ServerState.RUNNING: "in service", ServerState.DRAINING: "draining", ServerState.STOPPED: "stopped"}


def active_faults(engine: SocketEngine) -> list[str]:
    """Return the current faults and what the proxies do about them."""
    now, faults = engine.now, []
    for begin, _, kind in engine.world.fault_spans:
        if begin <= now < begin + 3.0:
            faults.append(
                {
                    "reconnect": "all clients drop their connections and reconnect",
                    "deploy": "a server starts to drain: the proxies migrate its clients in stages",
                    "proxy_crash": "a proxy is killed: its clients reconnect through the other one",
                }[kind]
            )
    return faults


def render(engine: SocketEngine) -> Table:
    """Return the current state of servers, proxies and faults as a table."""
    world = engine.world
    outer = Table.grid()
    table = Table("server", "state", "connections", "", box=None)
    for server in world.servers:
        connections = len(server.sessions)
        cold = " (cold)" if server.is_running and server.warm_up_factor(engine.now) < 1 else ""
        bar = "#" * min(MAX_BAR_LENGTH, connections) + ("+" if connections > MAX_BAR_LENGTH else "")
        table.add_row(server.name, STATES[server.state] + cold, str(connections), bar)
    proxies = Table("proxy", "", "clients", "", box=None)
    for proxy in world.proxies:
        connections = sum(end.sess.proxy == proxy.number for end in engine.client_connections.values())
        proxies.add_row(
            f"n{proxy.number}",
            "up" if proxy.alive else "dead",
            str(connections),
            "#" * min(MAX_BAR_LENGTH, connections),
        )
    outer.add_row(Text(f"{engine.now:5.1f} s of {engine.scenario.seconds:g} s"))
    outer.add_row(table)
    outer.add_row(proxies)
    outer.add_row(Text("\n".join(active_faults(engine)) or " "))
    return outer


RULES_KEPT = (
    "All four rules were kept: one answer in time for each session, no session run twice, no new "
    "session on the drained server, no overload of a server that had just started."
)


def show(console: Console) -> int:
    """Play the demo; return 0 if no rule was broken and nothing failed."""
    demo_scenario = scenario.read("demo")
    console.print("A fleet on this machine: three servers (stand-ins), two onyxhollow proxies, and clients.")
    started_at = time.monotonic()
    with tempfile.TemporaryDirectory(prefix="onyxhollow-demo-") as folder:
        engine = SocketEngine(demo_scenario, 1, Path(folder))
        with Live(console=console, refresh_per_second=4) as live:
            if console.is_terminal:
                live.update(render(engine))
            shown = [""]

            def progress(now: float, _: float) -> None:
                if console.is_terminal:
                    live.update(render(engine))
                elif (faults := "; ".join(active_faults(engine))) and faults != shown[0]:
                    shown[0] = faults
                    console.print(f"{now:5.1f} s: {faults}")

            world = engine.run(progress)
    counts, figures, findings = world.metrics.counts, world.metrics.figures(), engine.findings()
    sound = world.checker.is_clean and not findings["crashes"] and not findings["failures"]
    reconnected = counts.get("cut: dropped", 0) + counts.get("cut: unreachable", 0)
    moved, cut = counts.get("moves", 0), counts.get("cut: torn down", 0)
    failure = f"Expected no broken rule and no failure, got: {world.checker.summary()} {findings}"
    verdict = RULES_KEPT if sound else failure
    console.print(f"""
{len(world.clients)} clients wanted a connection; for {figures["service"]:.1%} of the time \
that they wanted one, they had it and got answers in time.
The drained server's clients were migrated one after another: {moved} migrations by the proxies, \
{figures["lost"]["moved"]:.1%} of the time lost by them, {cut} connections closed without notice.
{reconnected} connections were dropped by their clients or ended with a proxy, and were opened again.
{findings["bad_clients"]} clients that violate the protocol connected too, without effect on the others.
{verdict}
{time.monotonic() - started_at:.0f} s in total. All processes have ended. Next: onyxhollow lab list""")
    return 0 if sound else 1
