"""Benchmark of shared addresses on real processes: time from a loss to the withdrawal, and service meanwhile.

    python benchmarks/addresses.py [--quick] [--out FILE] [--sites N] [--each N] [--addresses N]

The last line is one JSON object. A full run has 12 sites, 6 addresses and 204 processes; --quick has 4, 2 and
24 and takes about ten minutes on 8 cores. Run it on an otherwise idle machine. Delays are the short ones of
lab/fleet/sites.py (QUICK), 1 s for a dead site. A full run doubles them, because 204 processes on one machine
are slower.

A site's proxies use only the site's own servers, and a server over its capacity responds too late to serve.
The two baselines are policies of the same program. `at once` withdraws without a delay and without a limit on
simultaneous withdrawals, and its route guards act after half a second. `never` does not withdraw, and neither
do its route guards. Both keep the last site.
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
NEVER_SECONDS = 3600.0  # longer than any run
# Policy, action of a site that is cut off, and seconds without an announcer after which its route guard acts.
POLICIES: dict[str, tuple[dict[str, Any], str, float]] = {
    "ours": ({}, "withdraw", 2.5),
    "at once": (AT_ONCE, "withdraw", 0.5),
    "never": (NEVER, "keep", NEVER_SECONDS),
}
SAMPLE_INTERVAL_SECONDS = 0.1
RECOVERY_SECONDS = 6.0  # for which a case is sampled after its fault has ended


def percentile(values: list[float], share: float) -> float:
    rows = sorted(values)
    return rows[min(len(rows) - 1, int(share * len(rows)))] if rows else 0.0


class Run:
    """Runs all cases with one policy on one cluster."""

    def __init__(self, folder: Path, policy_name: str, args: argparse.Namespace) -> None:
        self.policy_name, self.args = policy_name, args
        policy, cut_off, orphaned_after = POLICIES[policy_name]
        self.slower = args.slower
        # A site has capacity for three times its normal sessions, so one site nearly fits the sessions of two
        # others that fail at the same time.
        normal_sessions = args.partners * args.addresses / args.sites
        self.sites = Sites(
            folder,
            sites=args.sites,
            members_per_site=args.each,
            addresses=args.addresses,
            servers=1,
            capacity=3.0 * normal_sessions,
            policy=policy,
            cut_off=cut_off,
            own_servers=True,
            load_per_session=0.5 / (3.0 * normal_sessions),
            orphaned_after=min(NEVER_SECONDS, orphaned_after * args.slower),
            partners=args.partners,
            time_scale=args.slower,
            period=0.4 * args.slower,
            lease=args.slower,
        )
        self.each = self.sites.echo_servers[0].load_per_session
        self.served: dict[str, list[float]] = {}  # samples of the share of served clients, by case
        self.withdrawal_times: list[float] = []  # seconds from a loss to the routing daemon's withdrawal
        self.move_times: list[float] = []  # seconds from a loss until the last client uses another site
        self.min_advertising = 99  # sites that advertise the same address
        self.false_withdrawals = self.faults = self.healthy_gaps = self.over_budget = 0
        self.lost_orders = 0
        self.errors: list[str] = []
        self.rng = Random(7)

    def play_and_sample(self, case: str, duration: float) -> None:
        """Run for the duration (seconds, times `slower`) and sample the service."""
        deadline = time.monotonic() + duration * self.slower
        while time.monotonic() < deadline:
            self.sites.cluster.run_for(SAMPLE_INTERVAL_SECONDS)
            self.sample(case)

    def sample(self, case: str) -> None:
        self.served.setdefault(case, []).append(self.sites.served_share())
        self.update_min_advertising()

    def update_min_advertising(self) -> None:
        for index in range(self.args.addresses):
            preferences = [self.sites.route_states(zone)[index] for zone in self.sites.zones]
            self.min_advertising = min(self.min_advertising, sum(state > 0 for state in preferences))

    def repair(self, case: str) -> None:
        """End all faults and sample until all sites advertise, because the recovery moves clients too."""
        sites = self.sites
        for zone in sites.zones:
            for server in sites.servers_at(zone):
                server.base_load, server.load_per_session = 0.1, self.each
        for name, process in sites.cluster.current.items():
            if process.stopped:
                sites.cluster.resume(name)
        ended = [name for name, process in sites.cluster.current.items() if not process.alive]
        if ended:
            sites.cluster.start(*ended)
        sampled_at = 0.0

        def is_recovered() -> bool:
            nonlocal sampled_at
            if time.monotonic() - sampled_at >= SAMPLE_INTERVAL_SECONDS:
                sampled_at = time.monotonic()
                self.sample(case)
            all_advertised = all(set(sites.route_states(zone)) == {2} for zone in sites.zones)
            return all_advertised and sites.served_share() == 1.0

        sites.cluster.wait(
            is_recovered, 90 * self.slower, "all sites advertise all addresses, all clients are served"
        )
        sites.cluster.wait_members(within=90)
        self.play_and_sample(case, RECOVERY_SECONDS)

    def run_case(
        self, name: str, zone: str, cause: Callable[[], None], is_lost: bool, duration: float = 8.0
    ) -> None:
        """Run one case; with `is_lost`, the site serves no clients and must be withdrawn."""
        sites, started_at = self.sites, time.monotonic()
        self.faults += 1
        cause()
        self.play_and_sample(name, duration)
        if is_lost and self.policy_name == "ours":
            changes = sites.routing_daemons[zone].changes
            withdrawals = [change.at for change in changes if change.at >= started_at and not change.state]
            if withdrawals:
                self.withdrawal_times.append(max(withdrawals[: self.args.addresses]) - started_at)
                moves = [
                    moved_at
                    for partner in sites.internet.partners
                    for moved_at, target in partner.site_changes
                    if moved_at >= started_at and target != zone
                ]
                self.move_times.append(max(moves, default=started_at) - started_at)
            else:
                self.errors.append(
                    f"{name} at {zone}: expected a withdrawal within {duration * self.slower:g} s, got none"
                )
        self.end_case(name)

    def end_case(self, name: str) -> None:
        try:
            self.repair(name)
        except ClusterError as error:
            self.errors.append(f"{name}: {str(error)[:300]}")

    def run(self) -> None:
        sites = self.sites
        sites.start()
        sites.wait_for_route_states(90.0 * self.slower, **{zone: 2 for zone in sites.zones})
        sites.cluster.wait(lambda: sites.served_share() == 1.0, 60, "all clients are served")
        # Until every route guard has been informed that it is not the last.
        sites.cluster.run_for(1.5 * self.slower)
        cluster, zones = sites.cluster, sites.zones

        def stop_site(zone: str) -> None:
            for name in sites.members(zone):
                cluster.stop(name)

        cases: dict[str, Callable[[int], None]] = {
            "site stopped": lambda n: self.run_case(
                "site stopped", zones[n], lambda: stop_site(zones[n]), True
            ),
            "site killed": lambda n: self.run_case(
                "site killed", zones[n + 1], lambda: cluster.kill(*sites.members(zones[n + 1])), True, 10.0
            ),
            "servers full": lambda n: self.run_case(
                "servers full", zones[n], lambda: self.fill(zones[n]), False
            ),
            "all look ill": lambda n: self.run_case(
                "all look ill", "", lambda: self.fill(*zones), False, 5.0
            ),
            "half the sites full": lambda n: self.run_case(
                "half the sites full", "", lambda: self.fill(*zones[: len(zones) // 2]), False
            ),
            "a wave": lambda n: self.run_cascade(),
            "flapping": lambda n: self.run_flapping("flapping", lambda: stop_site(zones[n]), zones[n]),
            "servers flap": lambda n: self.run_flapping(
                "servers flap", lambda: self.fill(zones[n]), zones[n]
            ),
            "short troubles": lambda n: self.run_short_overloads(),
        }
        for name, run_round in cases.items():
            if self.args.cases and name not in self.args.cases:
                continue
            for number in range(self.args.rounds):
                run_round(number % (len(zones) - 1))
        if self.policy_name == "ours":
            self.check_orders()
            self.count_false_withdrawals(self.args.short)
        cluster.read_logs()

    def fill(self, *zones: str) -> None:
        """Load the servers of the zones beyond their capacity; all processes stay healthy."""
        for zone in zones:
            for server in self.sites.servers_at(zone):
                server.base_load = 1.2

    def run_cascade(self) -> None:
        """Overload one site; its sessions overload the next site, and so on."""
        normal_sessions = self.args.partners * self.args.addresses / self.args.sites
        for server in self.sites.echo_servers:
            server.load_per_session = 0.8 / (2.0 * normal_sessions)
        self.run_case("a wave", "", lambda: self.fill(self.sites.zones[0]), False)

    def run_flapping(self, name: str, cause: Callable[[], None], zone: str) -> None:
        """Cause and repair a fault four times, for 1.5 s each."""
        self.faults += 1
        sites = self.sites
        for _ in range(4):
            cause()
            self.play_and_sample(name, 1.5)
            for member in sites.members(zone):
                sites.cluster.resume(member)
            for server in sites.servers_at(zone):
                server.base_load = 0.1
            self.play_and_sample(name, 1.5)
        self.end_case(name)

    def run_short_overloads(self) -> None:
        """Overload one site after another for a shorter time than any delay of the policy."""
        self.faults += 1
        for number in range(6):
            zone = self.sites.zones[number % len(self.sites.zones)]
            self.fill(zone)
            self.play_and_sample("short troubles", 0.5)
            for server in self.sites.servers_at(zone):
                server.base_load = 0.1
            self.play_and_sample("short troubles", 1.5)
        self.end_case("short troubles")

    def count_false_withdrawals(self, count: int) -> None:
        """Cause faults that are shorter than any delay of the policy; no address may be withdrawn."""
        cluster, sites = self.sites.cluster, self.sites
        cluster.run_for(sites.config["policy"]["window"])
        for _ in range(count):
            self.faults += 1
            zone = self.rng.choice(sites.zones)
            kind = self.rng.choice(("stop", "full", "speaker", "one"))
            before = self.count_withdrawals()
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
            self.false_withdrawals += self.count_withdrawals() > before
        sites.wait_for_route_states(60.0, **{zone: 2 for zone in sites.zones})

    def count_withdrawals(self) -> int:
        return sum(row["standing"] == "withdrawn" for row in self.sites.decisions())

    def check_orders(self) -> None:
        """Give overrides to random members while killing controllers; count those not in the history once."""
        cluster, sites = self.sites.cluster, self.sites
        stored: list[str] = []
        for number in range(6):
            name = self.rng.choice([name for name in cluster.names if cluster.current[name].alive])
            verb = "drain" if number % 2 == 0 else "undrain"
            query = f"verb={verb}&site={sites.zones[0]}&who=bench&why=trial+{number}&until=30"
            order_id = sites.request(name, "/order", query, "POST")["id"]
            if number % 3 == 1:
                controller = cluster.wait_holder("addresses", within=30)
                if controller != name:
                    cluster.kill(controller)
                    cluster.start(controller)
            state_query = f"id={order_id}"
            is_stored = lambda n=name, q=state_query: sites.request(n, "/order", q).get("done")  # noqa: E731
            cluster.wait(is_stored, 20, "an override is stored")
            stored.append(order_id)
        cluster.wait_members(within=60)
        voter = next(name for name in cluster.names if name in cluster.voters)
        history = [row["id"] for row in sites.query(voter, "/history")["orders"]]
        self.lost_orders = sum(history.count(order_id) != 1 for order_id in stored)
        sites.wait_for_route_states(90.0, **{zone: 2 for zone in sites.zones})

    def count_stale_commands(self) -> int:
        """Count the commands that reached a routing daemon under an older term than an earlier command."""
        count = 0
        for gate in self.sites.route_guards.values():
            terms = [row["term"] for row in gate.events("set")]
            count += sum(later < earlier for earlier, later in zip(terms, terms[1:], strict=False))
            count += self.sites.routing_daemons[gate.site].max_connections > 1
        return count

    def count_budget_violations(self) -> int:
        """Count the windows in which more sites were withdrawn for health than the policy allows."""
        rows = [
            (row["at"], row["site"])
            for row in self.sites.decisions()
            if row["standing"] == "withdrawn" and row["cause"] == "health"
        ]
        window, most = self.sites.config["policy"]["window"], self.sites.config["policy"]["most_at_once"]
        return sum(
            len({site for at, site in rows if start <= at < start + 0.95 * window}) > most
            for start, _ in rows
        )


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--quick", action="store_true")
    parser.add_argument("--out", type=Path)
    parser.add_argument("--sites", type=int)
    parser.add_argument("--each", type=int, help="members of a site")
    parser.add_argument("--addresses", type=int)
    parser.add_argument("--rounds", type=int, help="repetitions of each case")
    parser.add_argument("--slower", type=float, help="factor for all periods and delays")
    parser.add_argument("--cases", nargs="*", help="run only these cases")
    parser.add_argument("--short", type=int, help="number of faults shorter than any delay")
    args = parser.parse_args()
    defaults = (4, 6, 2, 1, 30, 1.0) if args.quick else (12, 17, 6, 1, 200, 2.0)
    names = ("sites", "each", "addresses", "rounds", "short", "slower")
    for name, value in zip(names, defaults, strict=True):
        if getattr(args, name) is None:
            setattr(args, name, value)
    args.partners = 2 * args.sites
    started_at, runs = time.monotonic(), {}
    for policy_name in POLICIES:
        with tempfile.TemporaryDirectory() as folder:
            run = runs[policy_name] = Run(Path(folder), policy_name, args)
            try:
                run.run()
            finally:
                stale, over_budget = run.count_stale_commands(), run.count_budget_violations()
                crashes = list(run.sites.cluster.crashes)
                run.sites.close()
            run.over_budget = over_budget
            print(
                policy_name,
                {case: round(statistics.fmean(rows), 4) for case, rows in run.served.items()},
                "withdrawal times",
                [round(seconds, 2) for seconds in run.withdrawal_times],
                "move times",
                [round(seconds, 2) for seconds in run.move_times],
                "fewest advertising",
                run.min_advertising,
                "false withdrawals",
                run.false_withdrawals,
                "stale commands",
                stale,
                run.errors,
                crashes,
                flush=True,
            )
            if policy_name == "ours":
                ours_stale, ours_crashes = stale, crashes
    ours = runs["ours"]
    case_means = {
        policy_name: {case: statistics.fmean(rows) for case, rows in run.served.items()}
        for policy_name, run in runs.items()
    }
    found_bugs = {name: wander.found(name, range(400)) for name in wander.BUGS}
    stride = 23 if args.quick else 1
    with ProcessPoolExecutor(mp_context=multiprocessing.get_context("spawn")) as pool:
        explorations = list(
            pool.map(address_explorer.explore, address_explorer.SCENARIOS, [1] * 99, [stride] * 99)
        )
    for exploration in explorations:
        print(f"explored: {exploration}", flush=True)
    result = {
        "loss_to_withdrawn_s_p99": round(percentile(ours.withdrawal_times, 0.99), 3),
        "loss_to_withdrawn_s_median": round(percentile(ours.withdrawal_times, 0.5), 3),
        "loss_to_last_client_s_p99": round(percentile(ours.move_times, 0.99), 3),
        "false_withdrawals": ours.false_withdrawals,
        "below_least": int(ours.min_advertising < 1),
        "least_advertising": ours.min_advertising,
        "stale_terms_at_speaker": ours_stale,
        "budget_exceeded": ours.over_budget,
        "healthy_gaps": len(ours.errors),
        "service": {
            policy_name: round(statistics.fmean(rows.values()), 4) for policy_name, rows in case_means.items()
        },
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
        "processes": args.sites * args.each,
        "times_slower": args.slower,
        "faults": ours.faults,
        "explored_runs": sum(exploration.runs for exploration in explorations),
        "explored_breaches": sum(len(exploration.broken) for exploration in explorations),
        "seeded_bugs": len(found_bugs),
        "seeded_bugs_found": sum(bool(finding) for finding in found_bugs.values()),
        "seconds": round(time.monotonic() - started_at, 1),
    }
    if args.out:
        args.out.write_text(json.dumps(result))
    print(json.dumps(result))


if __name__ == "__main__":
    main()
