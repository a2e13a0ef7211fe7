"""Three sites, two shared addresses, one site lost and back: half a minute, shown live, on real processes."""

from __future__ import annotations

import shutil
import tempfile
import time
from pathlib import Path

from rich.console import Console
from rich.live import Live
from rich.table import Table

from onyxhollow.lab.fleet.sites import Sites

WORDS = ("withdrawn", "lesser", "advertised")
LOST, BACK, END = 6.0, 14.0, 26.0  # seconds


def table(sites: Sites, said: str) -> Table:
    shown = Table(title=said, title_justify="left", box=None)
    shown.add_column("address")
    for zone in sites.zones:
        shown.add_column(f"site {zone}")
    shown.add_column("partners served")
    for place, (name, prefix) in enumerate(sites.prefixes.items()):
        rows = [WORDS[sites.route_states(zone)[place]] for zone in sites.zones]
        counts = {
            zone: sum(one.site == zone and one.prefix == prefix for one in sites.internet.partners)
            for zone in sites.zones
        }
        cells = [f"{row}, {counts[zone]} partners" for zone, row in zip(sites.zones, rows, strict=True)]
        shown.add_row(name, *cells, f"{sites.served_share(prefix):.0%}")
    last = [row for row in sites.decisions() if row["standing"]][-4:]
    words = "\n".join(f"{row['address']} at {row['site']}: {row['standing']}, {row['why']}" for row in last)
    shown.caption, shown.caption_justify = words, "left"
    return shown


def show(console: Console) -> int:
    folder = Path(tempfile.mkdtemp(prefix="onyxhollow-addresses-"))
    with Sites(folder, partners=6, cut_off="withdraw", orphaned_after=2.5) as sites:
        console.print("three sites, six processes, three gates; a stand-in internet of partners")
        sites.start()
        began, lost, back = time.monotonic(), False, False
        with Live(table(sites, ""), console=console, auto_refresh=False) as live:
            while (at := time.monotonic() - began) < END:
                if at > LOST and not lost:
                    lost = True
                    sites.cluster.kill(*sites.members("a"))
                if at > BACK and not back:
                    back = True
                    sites.cluster.start(*sites.members("a"))
                state = "all is well" if not lost else "site a is lost" if not back else "site a is back"
                sites.cluster.run_for(0.3)
                live.update(table(sites, f"{at:4.1f} s: {state}"), refresh=True)
        ended = all(set(sites.route_states(zone)) == {2} for zone in sites.zones)
    shutil.rmtree(folder, ignore_errors=True)
    console.print("all sites advertise again" if ended else "expected all sites to advertise again")
    return 0 if ended else 1
