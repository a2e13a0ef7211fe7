"""The decision module's Host, seen in blocking style: pick, report, tick.

A session's coroutine waits in Handle.pick for a server, a refusal or a teardown, and reports what came of
the dial. Nothing of what the module is told or asks for is seen outside this file.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Generator, Hashable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from onyxhollow.counters import Counters
from onyxhollow.interface import (
    AttemptOutcome,
    Endpoint,
    EndpointListKind,
    EndpointState,
    Listener,
    Settings,
    Tenant,
)
from onyxhollow.policy import Balancer, Session
from onyxhollow.policy.load_reports import FULL_LOAD, SHED_LOAD
from onyxhollow.state_snapshot import avoided, describe, take_back

NOT_FAILURES = (
    AttemptOutcome.OK,
    AttemptOutcome.CANCELLED,
    AttemptOutcome.NOT_SENT,
    AttemptOutcome.OVERLOADED,
)  # they say nothing bad of a server


class SharedEstimate(Protocol):
    """What the members of a fleet know together of an endpoint, as onyxhollow.gossip estimates it."""

    @property
    def endpoint(self) -> str: ...
    @property
    def load(self) -> float | None: ...  # over capacity; None: only the rest is new
    @property
    def load_age(self) -> float: ...  # seconds since that load was reported
    @property
    def connections(self) -> int: ...  # open connections of all members
    @property
    def outlier_score(self) -> float: ...  # that the members' failures there are worth


@dataclass(frozen=True, slots=True)
class Selection:
    """What is to be done for a session: dial a server for so long, or (server is None) answer it."""

    server: str | None = None
    time: float = 0.0
    refused: bool = False
    retry_after: float = 0.0


class SessionHandle:
    """One session as the network code sees it."""

    def __init__(self, decisions: DecisionAdapter, wake: Callable[[], None]) -> None:
        self.decisions, self.wake = decisions, wake
        self.sess: Session | None = None
        self.chosen: Selection | None = None
        self.call_back = self.move = False  # the dial out is to be given up; the client is to be moved
        self.dialling = self.answered = False

    def choose(self, chosen: Selection) -> None:
        must = self.decisions.counters.must
        if not must(not self.answered, "nothing is decided after the answer"):
            return
        must(self.chosen is None and not self.dialling, "one dial at a time")
        self.chosen = chosen
        self.wake()

    def pick(self, gone: Callable[[], bool]) -> Generator[float, None, Selection | None]:
        """Waits for the decision; None when the client has gone meanwhile."""
        while self.chosen is None:
            if gone():
                return None
            yield math.inf
        chosen, self.chosen = self.chosen, None
        self.dialling, self.answered = chosen.server is not None, chosen.server is None
        return chosen

    def may_send(self) -> bool:
        """Whether the dial that is out may still be written to its server."""
        return self.sess is not None and self.sess.may_send()

    def report(
        self, end: AttemptOutcome, took: float, final: bool = False, load: float | None = None
    ) -> None:
        """How a dial, or the connection that came of it, has ended."""
        self.decisions.counters.must(self.dialling, "an end belongs to a dial that is out")
        self.dialling = self.call_back = False
        self.answered = self.answered or final
        if self.sess:
            if end not in NOT_FAILURES and not final and self.sess.endpoint:
                self.decisions.dial_failed(self.sess.endpoint.name)
            self.sess.on_attempt_ended(end, final, took, load)

    def report_accepted(self, took: float) -> None:
        self.answered = True
        if self.sess:
            self.sess.on_established(took)

    def report_load(self, load: float) -> None:
        if self.sess:
            self.sess.on_load(load)

    def report_delay(self, delay: float) -> None:
        if self.sess:
            self.sess.on_message_delay(delay)

    def report_gone(self) -> None:
        """The client has left; a dial still out is called back where that is allowed."""
        self.answered = True
        if self.sess:
            self.sess.on_client_gone()

    def forget(self) -> None:
        """However its connection ended: the module must not count it among the open ones for ever."""
        self.report_gone()
        if self.dialling:
            self.report(AttemptOutcome.CANCELLED, 0.0, True)

    def give_up(
        self, end: AttemptOutcome | None = None, took: float = 0.0, load: float | None = None
    ) -> Selection:
        """Nothing more is tried for the session, and the module answers it by its own rules.

        end: how the dial that was out has ended; None if it waits for one."""
        if self.sess is not None:
            self.sess.deadline = -math.inf
            if end is None:
                self.sess.balancer.attempt(self.sess)
            else:
                self.report(end, took, load=load)
        chosen, self.chosen, self.answered = self.chosen, None, True
        return chosen or Selection()


def report_shared(balancer: Balancer, estimate: SharedEstimate) -> None:
    """What the fleet's members know together of a server. Evidence of failure turns traffic away from it, and
    bars it only with what this balancer has seen itself."""
    load = estimate.load
    if load is not None and load >= SHED_LOAD and balancer.rng.random() * load >= load - FULL_LOAD:
        load = SHED_LOAD - 0.01  # all are told at once: as many as are too much move theirs, the others wait
    balancer.on_health_check(
        estimate.endpoint, AttemptOutcome.OK, 0.0, load, estimate.load_age, estimate.connections
    )
    server = balancer.tracked.get(estimate.endpoint)
    if server and (more := estimate.outlier_score - server.outlier_score(balancer.host.now)) > 0.0:
        balancer.record_failure(server, more)


class DecisionAdapter:
    """Carries the module. Its clock is the loop's, its one timer the caller's of tick."""

    def __init__(
        self,
        clock: Callable[[], float],
        settings: Settings,
        seed: int,
        counters: Counters,
        log: Callable[[str], None],
        probe: Callable[[str], None],
        watch: Callable[[], None],
    ) -> None:
        self.clock, self.counters, self.log = clock, counters, log
        self.check_health, self.poll_endpoint_list = probe, watch
        self.due = math.inf
        self.dial_failed: Callable[[str], None] = lambda server: None  # heard by who shares such evidence
        self.balancer = Balancer(self, settings, seed)

    @property
    def now(self) -> float:
        return self.clock()

    # seen by the network code
    def take(
        self,
        wake: Callable[[], None],
        listener: Listener,
        tenant: Tenant | None,
        group: Hashable,
        left: float,
        load: float | None,
    ) -> SessionHandle:
        handle = SessionHandle(self, wake)
        handle.sess = self.balancer.admit(handle, listener, tenant, group, left, load)
        return handle

    def adopt(
        self,
        wake: Callable[[], None],
        listener: Listener,
        tenant: Tenant | None,
        group: Hashable,
        load: float | None,
        server: str,
        placed: bool = False,
    ) -> SessionHandle:
        """A connection that was open before this process started; placed: by the one before it."""
        handle = SessionHandle(self, wake)
        handle.sess = self.balancer.adopt(handle, listener, tenant, group, load, server)
        if handle.sess and placed:
            handle.sess.placed_here = True
            if handle.sess.endpoint:  # the load that its server has told of holds this one already
                handle.sess.endpoint.connections_at_report += 1
        handle.dialling = handle.answered = True
        return handle

    def all_adopted(self) -> None:
        """Servers that drain were told of before their connections came."""
        for server in self.balancer.tracked.values():
            if server.state is EndpointState.DRAINING and not server.migration:
                self.balancer.start_migration(server, "drain", forced=True)

    def describe(self) -> tuple[dict[str, Any], list[dict[str, Any]]]:
        """What the module knows, as plain values for a successor."""
        return describe(self.balancer)

    def take_back(self, common: dict[str, Any], records: list[dict[str, Any]]) -> int:
        return take_back(self.balancer, common, records)

    def report_list(self, kind: EndpointListKind, entries: Iterable[Endpoint] = ()) -> None:
        self.balancer.on_endpoint_list(kind, entries)

    def report_probe(self, server: str, end: AttemptOutcome, took: float, load: float | None) -> None:
        self.balancer.on_health_check(server, end, took, load)

    def report_shared(self, estimate: SharedEstimate) -> None:
        report_shared(self.balancer, estimate)

    def own(self) -> dict[str, int]:
        """Open connections and dials out, by server."""
        return {s.name: len(s.connections) for s in self.balancer.tracked.values() if s.connections}

    def room(self, zone: str) -> tuple[int, int]:
        """Servers in service, and those that take something new; of a zone if it has any. What this balancer
        passes over for a moment by chance, as it does with few connections, has room all the same."""
        balancer, now = self.balancer, self.clock()
        servers = [s for s in balancer.endpoints if s.zone == zone] or balancer.endpoints
        room = [
            s
            for s in servers
            if balancer.load_of(s) < FULL_LOAD and s.outlier_score(now) <= balancer.ejection_threshold
        ]
        return len(servers), len(room)

    def reconfigure(self, settings: Settings) -> None:
        self.balancer.reconfigure(settings)

    def avoided(self) -> tuple[int, int]:
        return avoided(self.balancer)

    def tick(self) -> None:
        self.balancer.tick()

    # asked by the module
    def start_attempt(self, token: Hashable, server: str, timeout: float) -> None:
        assert isinstance(token, SessionHandle)
        token.choose(Selection(server, timeout))

    def cancel_attempt(self, token: Hashable, dial: int) -> None:
        assert isinstance(token, SessionHandle)
        token.call_back = True
        token.wake()

    def reject(self, token: Hashable, retry_after: float) -> None:
        assert isinstance(token, SessionHandle)
        token.choose(Selection(refused=True, retry_after=retry_after))

    def tear_down(self, token: Hashable) -> None:
        assert isinstance(token, SessionHandle)
        token.choose(Selection())

    def migrate(self, token: Hashable) -> None:
        assert isinstance(token, SessionHandle)
        token.move = True
        token.wake()

    def set_timer(self, when: float) -> None:
        self.due = when
