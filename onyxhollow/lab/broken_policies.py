"""Policies that each break one rule on purpose, to test the invariant checker. They can't be selected."""

from __future__ import annotations

from typing import Any

from onyxhollow.interface import EndpointState
from onyxhollow.lab.scenario import Scenario, decode
from onyxhollow.policy import Balancer, Session
from onyxhollow.policy.tracked import TrackedEndpoint

SCENARIO_TEMPLATE = """
title = "{title}"
seconds = 16.0
[fleet]
servers = 6
proxies = 2
cold_time = 8.0
drain = "keeps"
[clients]
load = 0.4
{more}
"""


class DroppingBalancer(Balancer):
    """Breaks rule 1: leaves every other session unanswered that may not be attempted again."""

    finished_count = 0

    def finish(self, sess: Session) -> None:
        """Answer every second session only."""
        self.finished_count += 1
        if self.finished_count % 2:
            super().finish(sess)


class RetryingBalancer(Balancer):
    """Breaks rule 2: retries sessions that may have run."""

    def attempt(self, sess: Session) -> None:
        """Forget where the session may have run, and attempt it."""
        sess.may_have_run_on = None
        super().attempt(sess)

    def attempt_timeout(self, sess: Session, left: float) -> float:
        """Give up an attempt early, so that there is time for another."""
        return min(left, sess.listener.handshake_objective)


class DrainIgnoringBalancer(Balancer):
    """Breaks rule 3: places sessions on draining servers."""

    def withdraw(self, server: TrackedEndpoint, new_state: EndpointState) -> None:
        """Keep draining servers in use; withdraw removed ones only."""
        if new_state is EndpointState.REMOVED:
            super().withdraw(server, new_state)

    def on_endpoint_list(self, kind: Any, entries: Any) -> None:
        """Apply the list, and make all known servers eligible."""
        entries = list(entries)
        super().on_endpoint_list(kind, entries)
        self.endpoints = list(self.tracked.values())
        self.redraw_subset()


class RushingBalancer(Balancer):
    """Breaks rule 4: sends all sessions to the server that started last."""

    def within_slow_start(self, server: TrackedEndpoint, sess: Session) -> bool:
        """Allow every session, whatever the slow-start budget."""
        return True

    def select(self, sess: Session) -> TrackedEndpoint | None:
        """Return the server that started last, if any has a start time."""
        arriving = [server for server in self.endpoints if server.started_at is not None]
        return (
            max(arriving, key=lambda server: server.started_at or 0.0) if arriving else super().select(sess)
        )


def make_scenario(title: str, more: str) -> Scenario:
    """Return the small scenario with more TOML sections."""
    return decode(SCENARIO_TEMPLATE.format(title=title, more=more).encode(), title)


ONCE_ONLY_LISTENER = '[[listeners]]\nname = "charge"\nrepeat = "once-only"\n'


def scenarios_by_rule() -> dict[int, tuple[type[Balancer], Scenario]]:
    """Return, for each rule, a policy that breaks it and a scenario in which that has consequences."""
    failing = (
        ONCE_ONLY_LISTENER
        + '[[faults]]\nkind = "fast_errors"\nat = 4.0\nlasts = 8.0\npart = 0.5\nshare = 1.0\n'
    )
    shrinking = '[[faults]]\nkind = "shrink"\nat = 4.0\nlasts = 2.0\npart = 0.3\ndrain = 8.0\n'
    growing = (
        '[[faults]]\nkind = "grow"\nat = 3.0\nlasts = 0.5\nservers = 1\n'
        '[[faults]]\nkind = "reconnect"\nat = 6.0\nlasts = 0.5\nshare = 0.7\n'
    )
    return {
        1: (DroppingBalancer, make_scenario("failing", failing)),
        2: (RetryingBalancer, make_scenario("failing", failing)),
        3: (DrainIgnoringBalancer, make_scenario("drained", shrinking)),
        4: (RushingBalancer, make_scenario("grown", growing)),
    }
