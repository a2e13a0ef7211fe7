"""Shared addresses on real processes: how long from loss to withdrawal, what clients are served meanwhile.

    python benchmarks/addresses.py [--quick] [--out FILE] [--sites N] [--each N] [--addresses N]

The last line is one JSON object. Full: 12 sites, 6 addresses, 204 processes; quick: 4, 2, 24, some ten
minutes on 8 cores. Nothing else should run beside it. Times are those of the short dwells of
lab/fleet/sites.py (QUICK), 1 s for a dead site; in full twice as long, as 204 processes on one machine need.
A site's proxies know its own servers only, and a server over its capacity answers too late to serve. The two
baselines are policies of the same program: `at once` (no dwell, no bound on how many at a time, gates that
act after half a second) and `never` (nor do its gates); both keep the last site.
"""

from __future__ import annotations

import argparse
import json
import multiprocessing
import statistics
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from random import Random
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))

from onyxhollow.lab.fleet import address_explorer, wander  # noqa: E402
from onyxhollow.lab.fleet.process_cluster import ClusterError  # noqa: E402
from onyxhollow.lab.fleet.sites import Sites  # noqa: E402

AT_ONCE = {"ill_for": 0.0, "dead_for": 0.0, "well_for": 0.0, "step": 0.0, "most_at_once": 1000, "fill": 1.0}
NEVER = {"ill": 0.0, "dead": 0.0}
FOR_EVER = 3600.0
# Policy, what a site does that is cut off, and seconds without an announcer after which its gate acts.
WAYS: dict[str, tuple[dict[str, Any], str, float]] = {
    "ours": ({}, "withdraw", 2.5),
    "at once": (AT_ONCE, "withdraw", 0.5),
    "never": (NEVER, "keep", FOR_EVER),
}
SAMPLE = 0.1  # seconds between looks at who is served
AFTER = 6.0  # seconds for which a case is watched beyond its fault


def percentile(values: list[float], share: float) -> float:
    rows = sorted(values)
    return rows[min(len(rows) - 1, int(share * len(rows)))] if rows else 0.0


class Run:
    """One policy through all cases on one rig."""

    def __init__(self, folder: Path, way: str, told: argparse.Namespace) -> None:
        self.way, self.told = way, told
        policy, cut_off, orphaned_after = WAYS[way]
        self.slower = told.slower
        # A site bears three times the sessions that it has of the partners near it: two that fail at once
        # fit beside those of a third, all but.
        usual = told.partners * told.addresses / told.sites
        self.sites = Sites(
            folder,
            sites=told.sites,
            members_per_site=told.each,
            addresses=told.addresses,
            servers=1,
            capacity=3.0 * usual,
            policy=policy,
            cut_off=cut_off,
            own_servers=True,
            load_per_session=0.5 / (3.0 * usual),
            orphaned_after=min(FOR_EVER, orphaned_after * told.slower),
            partners=told.partners,
            time_scale=told.slower,
            period=0.4 * told.slower,
            lease=told.slower,
        )
        self.each = self.sites.echo_servers[0].load_per_session
        self.served: dict[str, list[float]] = {}
        self.gone: list[float] = []  # seconds from loss to the speaker's withdrawal
        self.moved: list[float] = []  # seconds from loss to the last client elsewhere
        self.least = 99
        self.false = self.faults = self.healthy_gaps = self.budget = 0
        self.lost_orders = 0
        self.notes: list[str] = []
        self.rng = Random(7)

    def watch(self, case: str, span: float) -> None:
        """Lets the fault last, and looks who is served meanwhile."""
        end = time.monotonic() + span * self.slower
        while time.monotonic() < end:
            self.sites.cluster.run_for(SAMPLE)
            self.sample(case)

    def sample(self, case: str) -> None:
        self.served.setdefault(case, []).append(self.sites.served_share())
        self.look()

    def look(self) -> None:
        for place in range(self.told.addresses):
            stands = [self.sites.route_states(zone)[place] for zone in self.sites.zones]
            self.least = min(self.least, sum(state > 0 for state in stands))

    def well(self, case: str) -> None:
        """All faults are over; who is served is looked at until all are: coming back moves clients too."""
        sites = self.sites
        for zone in sites.zones:
            for server in sites.servers_at(zone):
                server.base_load, server.load_per_session = 0.1, self.each
        for name, process in sites.cluster.current.items():
            if process.stopped:
                sites.cluster.resume(name)
        gone = [name for name, process in sites.cluster.current.items() if not process.alive]
        if gone:
            sites.cluster.start(*gone)
        looked = 0.0

        def back() -> bool:
            nonlocal looked
            if time.monotonic() - looked >= SAMPLE:
                looked = time.monotonic()
                self.sample(case)
            stand = all(set(sites.route_states(zone)) == {2} for zone in sites.zones)
            return stand and sites.served_share() == 1.0

        sites.cluster.wait(back, 90 * self.slower, "all sites advertise all, all are served")
        sites.cluster.wait_members(within=90)
        self.watch(case, AFTER)

    def case(self, name: str, zone: str, begin: Callable[[], None], lost: bool, span: float = 8.0) -> None:
        """lost: clients of the site get nothing meanwhile, so that it has to go."""
        sites, began = self.sites, time.monotonic()
        self.faults += 1
        begin()
        self.watch(name, span)
        if lost and self.way == "ours":
            changes = sites.routing_daemons[zone].changes
            out = [change.at for change in changes if change.at >= began and not change.state]
            if out:
                self.gone.append(max(out[: self.told.addresses]) - began)
                moves = [
                    at
                    for one in sites.internet.partners
                    for at, to in one.site_changes
                    if at >= began and to != zone
                ]
                self.moved.append(max(moves, default=began) - began)
            else:
                self.notes.append(f"{name} at {zone}: not withdrawn within {span * self.slower:g} s")
        self.end(name)

    def end(self, name: str) -> None:
        try:
            self.well(name)
        except ClusterError as error:
            self.notes.append(f"{name}: {str(error)[:300]}")

    def play(self) -> None:
        sites = self.sites
        sites.start()
        sites.wait_for_route_states(90.0 * self.slower, **{zone: 2 for zone in sites.zones})
        sites.cluster.wait(lambda: sites.served_share() == 1.0, 60, "all are served")
        sites.cluster.run_for(1.5 * self.slower)  # the gates have been told that none is the last
        cluster, zones = sites.cluster, sites.zones

        def stopped(zone: str) -> None:
            for name in sites.members(zone):
                cluster.stop(name)

        kinds: dict[str, Callable[[int], None]] = {
            "site stopped": lambda n: self.case("site stopped", zones[n], lambda: stopped(zones[n]), True),
            "site killed": lambda n: self.case(
                "site killed", zones[n + 1], lambda: cluster.kill(*sites.members(zones[n + 1])), True, 10.0
            ),
            "servers full": lambda n: self.case("servers full", zones[n], lambda: self.fill(zones[n]), False),
            "all look ill": lambda n: self.case("all look ill", "", lambda: self.fill(*zones), False, 5.0),
            "half the sites full": lambda n: self.case(
                "half the sites full", "", lambda: self.fill(*zones[: len(zones) // 2]), False
            ),
            "a wave": lambda n: self.wave(),
            "flapping": lambda n: self.flap("flapping", lambda: stopped(zones[n]), zones[n]),
            "servers flap": lambda n: self.flap("servers flap", lambda: self.fill(zones[n]), zones[n]),
            "short troubles": lambda n: self.service_in_short(),
        }
        for name, play in kinds.items():
            if self.told.cases and name not in self.told.cases:
                continue
            for number in range(self.told.rounds):
                play(number % (len(zones) - 1))
        if self.way == "ours":
            self.orders()
            self.short(self.told.short)
        cluster.read_logs()

    def fill(self, *zones: str) -> None:
        """Servers there have no room; all processes are well."""
        for zone in zones:
            for server in self.sites.servers_at(zone):
                server.base_load = 1.2

    def wave(self) -> None:
        """One site fails, and its sessions are too much for the next, and theirs for the one after it."""
        usual = self.told.partners * self.told.addresses / self.told.sites
        for server in self.sites.echo_servers:
            server.load_per_session = 0.8 / (2.0 * usual)
        self.case("a wave", "", lambda: self.fill(self.sites.zones[0]), False)

    def flap(self, name: str, harm: Callable[[], None], zone: str) -> None:
        """Harmed for half of every three seconds."""
        self.faults += 1
        sites = self.sites
        for _ in range(4):
            harm()
            self.watch(name, 1.5)
            for member in sites.members(zone):
                sites.cluster.resume(member)
            for server in sites.servers_at(zone):
                server.base_load = 0.1
            self.watch(name, 1.5)
        self.end(name)

    def service_in_short(self) -> None:
        """Servers of one site after another are full for a moment: over before any dwell."""
        self.faults += 1
        for number in range(6):
            zone = self.sites.zones[number % len(self.sites.zones)]
            self.fill(zone)
            self.watch("short troubles", 0.5)
            for server in self.sites.servers_at(zone):
                server.base_load = 0.1
            self.watch("short troubles", 1.5)
        self.end("short troubles")

    def short(self, count: int) -> None:
        """Troubles that are over before any dwell: nothing may be withdrawn."""
        cluster, sites = self.sites.cluster, self.sites
        cluster.run_for(sites.config["policy"]["window"])
        for _ in range(count):
            self.faults += 1
            zone = self.rng.choice(sites.zones)
            kind = self.rng.choice(("stop", "full", "speaker", "one"))
            before = self.withdrawn()
            if kind == "stop":
                names = sites.members(zone)
            elif kind == "one":
                names = sites.members(zone)[:1]
            else:
                names = []
            for name in names:
                cluster.stop(name)
            if kind == "full":
                for server in sites.servers_at(zone):
                    server.base_load = 1.2
            cluster.run_for((0.3 if kind != "one" else 2.0) * self.slower)
            for name in names:
                cluster.resume(name)
            for server in sites.servers_at(zone):
                server.base_load = 0.1
            cluster.run_for(0.9 * self.slower)
            cluster.read_logs()
            self.false += self.withdrawn() > before
        sites.wait_for_route_states(60.0, **{zone: 2 for zone in sites.zones})

    def withdrawn(self) -> int:
        return sum(row["standing"] == "withdrawn" for row in self.sites.decisions())

    def orders(self) -> None:
        """Given at any member while keepers are killed: each that is kept is in the history, once."""
        cluster, sites = self.sites.cluster, self.sites
        given: list[str] = []
        for number in range(6):
            name = self.rng.choice([name for name in cluster.names if cluster.current[name].alive])
            verb = "drain" if number % 2 == 0 else "undrain"
            words = f"verb={verb}&site={sites.zones[0]}&who=bench&why=trial+{number}&until=30"
            id = sites.request(name, "/order", words, "POST")["id"]
            if number % 3 == 1:
                keeper = cluster.wait_holder("addresses", within=30)
                if keeper != name:
                    cluster.kill(keeper)
                    cluster.start(keeper)
            state = f"id={id}"
            kept = lambda n=name, s=state: sites.request(n, "/order", s).get("done")  # noqa: E731
            cluster.wait(kept, 20, "an order is kept")
            given.append(id)
        cluster.wait_members(within=60)
        voter = next(name for name in cluster.names if name in cluster.voters)
        told = [row["id"] for row in sites.query(voter, "/history")["orders"]]
        self.lost_orders = sum(told.count(id) != 1 for id in given)
        sites.wait_for_route_states(90.0, **{zone: 2 for zone in sites.zones})

    def stale(self) -> int:
        """Commands that reached a speaker under a term older than one before."""
        found = 0
        for gate in self.sites.route_guards.values():
            terms = [row["term"] for row in gate.events("set")]
            found += sum(b < a for a, b in zip(terms, terms[1:], strict=False))
            found += self.sites.routing_daemons[gate.site].max_connections > 1
        return found

    def over_budget(self) -> int:
        """Windows in which more sites were withdrawn for health than the policy says."""
        rows = [
            (row["at"], row["site"])
            for row in self.sites.decisions()
            if row["standing"] == "withdrawn" and row["cause"] == "health"
        ]
        window, most = self.sites.config["policy"]["window"], self.sites.config["policy"]["most_at_once"]
        return sum(
            len({site for at, site in rows if begin <= at < begin + 0.95 * window}) > most
            for begin, _ in rows
        )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--out", type=Path)
    parser.add_argument("--sites", type=int)
    parser.add_argument("--each", type=int, help="members of a site")
    parser.add_argument("--addresses", type=int)
    parser.add_argument("--rounds", type=int, help="how often each case is played")
    parser.add_argument("--slower", type=float, help="times by which all periods and dwells are longer")
    parser.add_argument("--cases", nargs="*", help="only these")
    parser.add_argument("--short", type=int, help="troubles that are over before any dwell")
    told = parser.parse_args()
    defaults = (4, 6, 2, 1, 30, 1.0) if told.quick else (12, 17, 6, 1, 200, 2.0)
    names = ("sites", "each", "addresses", "rounds", "short", "slower")
    for name, value in zip(names, defaults, strict=True):
        if getattr(told, name) is None:
            setattr(told, name, value)
    told.partners = 2 * told.sites
    began, runs = time.monotonic(), {}
    for way in WAYS:
        with tempfile.TemporaryDirectory() as folder:
            run = runs[way] = Run(Path(folder), way, told)
            try:
                run.play()
            finally:
                stale, over = run.stale(), run.over_budget()
                crashes = list(run.sites.cluster.crashes)
                run.sites.close()
            run.budget = over
            print(
                way,
                {case: round(statistics.fmean(rows), 4) for case, rows in run.served.items()},
                "gone",
                [round(x, 2) for x in run.gone],
                "moved",
                [round(x, 2) for x in run.moved],
                "least",
                run.least,
                "false",
                run.false,
                "stale",
                stale,
                run.notes,
                crashes,
                flush=True,
            )
            if way == "ours":
                ours_stale, ours_crashes = stale, crashes
    ours = runs["ours"]
    case_means = {
        way: {case: statistics.fmean(rows) for case, rows in run.served.items()} for way, run in runs.items()
    }
    found = {name: wander.found(name, range(400)) for name in wander.BUGS}
    every = 23 if told.quick else 1
    with ProcessPoolExecutor(mp_context=multiprocessing.get_context("spawn")) as pool:
        at_places = list(
            pool.map(address_explorer.explore, address_explorer.SCENARIOS, [1] * 99, [every] * 99)
        )
    for tried in at_places:
        print(f"places: {tried}", flush=True)
    result = {
        "loss_to_withdrawn_s_p99": round(percentile(ours.gone, 0.99), 3),
        "loss_to_withdrawn_s_median": round(percentile(ours.gone, 0.5), 3),
        "loss_to_last_client_s_p99": round(percentile(ours.moved, 0.99), 3),
        "false_withdrawals": ours.false,
        "below_least": int(ours.least < 1),
        "least_advertising": ours.least,
        "stale_terms_at_speaker": ours_stale,
        "budget_exceeded": ours.budget,
        "healthy_gaps": len(ours.notes),
        "service": {way: round(statistics.fmean(rows.values()), 4) for way, rows in case_means.items()},
        "service_vs_always": round(
            statistics.fmean(case_means["ours"].values()) - statistics.fmean(case_means["at once"].values()),
            4,
        ),
        "service_vs_never": round(
            statistics.fmean(case_means["ours"].values()) - statistics.fmean(case_means["never"].values()), 4
        ),
        "worst_case_vs_always": round(
            min(case_means["ours"][case] - case_means["at once"][case] for case in case_means["ours"]), 4
        ),
        "worst_case_vs_never": round(
            min(case_means["ours"][case] - case_means["never"][case] for case in case_means["ours"]), 4
        ),
        "orders_lost": ours.lost_orders,
        "crashes": len(ours_crashes),
        "processes": told.sites * told.each,
        "times_slower": told.slower,
        "faults": ours.faults,
        "explored_runs": sum(tried.runs for tried in at_places),
        "explored_breaches": sum(len(tried.broken) for tried in at_places),
        "seeded_bugs": len(found),
        "seeded_bugs_found": sum(bool(one) for one in found.values()),
        "seconds": round(time.monotonic() - began, 1),
    }
    if told.out:
        told.out.write_text(json.dumps(result))
    print(json.dumps(result))


if __name__ == "__main__":
    main()
