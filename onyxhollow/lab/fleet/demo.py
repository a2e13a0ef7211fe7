"""A demo on real processes: three sites with two shared addresses, of which one fails and recovers."""

from __future__ import annotations

import shutil
import tempfile
import time
from pathlib import Path

from rich.console import Console
from rich.live import Live
from rich.table import Table

from onyxhollow.lab.fleet.sites import Sites

STATE_NAMES = ("withdrawn", "lesser", "advertised")
FAILURE_SECONDS, RECOVERY_SECONDS, END_SECONDS = 6.0, 14.0, 26.0


def state_table(sites: Sites, title: str) -> Table:
    """Return the route states, clients and latest decisions of all addresses."""
    shown = Table(title=title, title_justify="left", box=None)
    shown.add_column("address")
    for zone in sites.zones:
        shown.add_column(f"site {zone}")
    shown.add_column("partners served")
    for index, (name, prefix) in enumerate(sites.prefixes.items()):
        rows = [STATE_NAMES[sites.route_states(zone)[index]] for zone in sites.zones]
        counts = {
            zone: sum(one.site == zone and one.prefix == prefix for one in sites.internet.partners)
            for zone in sites.zones
        }
        cells = [f"{row}, {counts[zone]} partners" for zone, row in zip(sites.zones, rows, strict=True)]
        shown.add_row(name, *cells, f"{sites.served_share(prefix):.0%}")
    last = [row for row in sites.decisions() if row["standing"]][-4:]
    caption = "\n".join(f"{row['address']} at {row['site']}: {row['standing']}, {row['why']}" for row in last)
    shown.caption, shown.caption_justify = caption, "left"
    return shown


def show(console: Console) -> int:
    """Run the demo, and return 0 if all sites advertise all addresses at its end."""
    folder = Path(tempfile.mkdtemp(prefix="onyxhollow-addresses-"))
    with Sites(folder, partners=6, cut_off="withdraw", orphaned_after=2.5) as sites:
        console.print(
            "three sites, six processes, three route guards, and an emulated internet with partners"
        )
        sites.start()
        start, has_failed, has_recovered = time.monotonic(), False, False
        with Live(state_table(sites, ""), console=console, auto_refresh=False) as live:
            while (elapsed := time.monotonic() - start) < END_SECONDS:
                if elapsed > FAILURE_SECONDS and not has_failed:
                    has_failed = True
                    sites.cluster.kill(*sites.members("a"))
                if elapsed > RECOVERY_SECONDS and not has_recovered:
                    has_recovered = True
                    sites.cluster.start(*sites.members("a"))
                state = (
                    "all sites are up"
                    if not has_failed
                    else "site a is down"
                    if not has_recovered
                    else "site a has restarted"
                )
                sites.cluster.run_for(0.3)
                live.update(state_table(sites, f"{elapsed:4.1f} s: {state}"), refresh=True)
        all_advertised = all(set(sites.route_states(zone)) == {2} for zone in sites.zones)
    shutil.rmtree(folder, ignore_errors=True)
    console.print("all sites advertise again" if all_advertised else "expected all sites to advertise again")
    return 0 if all_advertised else 1
