"""Policies that break a rule each on purpose: what the checker must catch. Never offered for use."""

from __future__ import annotations

from typing import Any

from onyxhollow.interface import EndpointState
from onyxhollow.lab.scenario import Scenario, decode
from onyxhollow.policy import Balancer, Session
from onyxhollow.policy.tracked import TrackedEndpoint

DAY = """
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


class Forgetful(Balancer):
    """Rule 1: of the sessions that may not be dialled again it forgets every other one."""

    forgotten = 0

    def finish(self, sess: Session) -> None:
        self.forgotten += 1
        if self.forgotten % 2:
            super().finish(sess)


class Repeating(Balancer):
    """Rule 2: dials again whatever may have run."""

    def attempt(self, sess: Session) -> None:
        sess.may_have_run_on = None
        super().attempt(sess)

    def attempt_timeout(self, sess: Session, left: float) -> float:
        return min(left, sess.listener.handshake_objective)


class DeafToDrains(Balancer):
    """Rule 3: goes on placing on servers told draining."""

    def withdraw(self, server: TrackedEndpoint, new_state: EndpointState) -> None:
        if new_state is EndpointState.REMOVED:
            super().withdraw(server, new_state)

    def on_endpoint_list(self, kind: Any, entries: Any) -> None:
        entries = list(entries)
        super().on_endpoint_list(kind, entries)
        self.endpoints = list(self.tracked.values())
        self.redraw_subset()


class Rushing(Balancer):
    """Rule 4: sends all to a server that has just come."""

    def within_slow_start(self, server: TrackedEndpoint, sess: Session) -> bool:
        return True

    def select(self, sess: Session) -> TrackedEndpoint | None:
        arriving = [server for server in self.endpoints if server.started_at is not None]
        return (
            max(arriving, key=lambda server: server.started_at or 0.0) if arriving else super().select(sess)
        )


def day(title: str, more: str) -> Scenario:
    return decode(DAY.format(title=title, more=more).encode(), title)


ONCE = '[[listeners]]\nname = "charge"\nrepeat = "once-only"\n'


def scenarios_by_rule() -> dict[int, tuple[type[Balancer], Scenario]]:
    """For each rule a policy that breaks it, and a day on which that shows."""
    failing = ONCE + '[[faults]]\nkind = "fast_errors"\nat = 4.0\nlasts = 8.0\npart = 0.5\nshare = 1.0\n'
    drained = '[[faults]]\nkind = "shrink"\nat = 4.0\nlasts = 2.0\npart = 0.3\ndrain = 8.0\n'
    grown = (
        '[[faults]]\nkind = "grow"\nat = 3.0\nlasts = 0.5\nservers = 1\n'
        '[[faults]]\nkind = "reconnect"\nat = 6.0\nlasts = 0.5\nshare = 0.7\n'
    )
    return {
        1: (Forgetful, day("failing", failing)),
        2: (Repeating, day("failing", failing)),
        3: (DeafToDrains, day("drained", drained)),
        4: (Rushing, day("grown", grown)),
    }
