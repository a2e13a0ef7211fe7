"""Check the four rules against the events of a run, independently of the policy and the proxy.

1. Every session that a running proxy has received gets exactly one final answer, in time.
2. No session runs twice. A session has one attempt in flight at a time. A once-only session is attempted
   again only if it is known not to have run, a referenced one only within its deduplication scope and window.
   Only a repeatable session is rejected after it may have run: a rejection says that any retry is harmless.
3. After the grace period, a proxy starts no attempt at a server of whose drain or removal it was notified.
4. Proxies respect the slow start: no warming-up server fails from overload while at least two thirds of its
   load come from proxies that were notified of its start.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass

MAX_RECORDED_VIOLATIONS = 50  # violations kept with their text; all are counted
INFORMED_LOAD_SHARE = 2.0 / 3.0


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule: its number, the time in seconds and a description."""

    rule: int
    at: float
    text: str


@dataclass(slots=True)
class TrackedSession:
    """A session at a proxy, with its attempts as far as the rules concern them."""

    proxy: int
    deadline: float
    repeat: str
    scope: str
    window: float
    current_attempt: int = -1  # number of the attempt in flight; -1: none
    answers: int = 0
    awaits_answer: bool = True
    ran_at: float = math.inf  # when the first attempt that may have run was sent
    ran_on: str = ""
    attempts: int = 0


class InvariantChecker:
    """Records the events of a run and reports each violation of the four rules.

    The grace periods and ask_within, the longest interval between polls of the list, are in seconds.
    """

    def __init__(self, drain_grace: float, answer_grace: float, ask_within: float) -> None:
        """Take the time limits of the rules, in seconds."""
        self.drain_grace, self.answer_grace, self.ask_within = drain_grace, answer_grace, ask_within
        self.sessions: dict[Hashable, TrackedSession] = {}
        self.server_locations: dict[str, tuple[int, int]] = {}  # zone and cell of each server
        self.violations: list[Violation] = []
        self.violation_counts = {1: 0, 2: 0, 3: 0, 4: 0}  # by rule
        # When a proxy was first notified that a server accepts no new sessions.
        self.out_of_service_since: dict[tuple[int, str], float] = {}
        self.notified_starts: dict[
            tuple[int, str], float
        ] = {}  # start time of a server that a proxy received
        # When the list last changed for a server, with the state and start time that it shows since then.
        self.listed: dict[str, tuple[float, str, float | None]] = {}
        self.watching_proxies: set[int] = set()
        self.last_polls: dict[int, float] = {}
        self.executions: dict[Hashable, int] = {}
        self.final_answers: dict[Hashable, tuple[int, str]] = {}  # proxy and outcome

    def add_violation(self, rule: int, at: float, text: str) -> None:
        """Count a violation and keep the text of the first ones."""
        self.violation_counts[rule] += 1
        if len(self.violations) < MAX_RECORDED_VIOLATIONS:
            self.violations.append(Violation(rule, at, text))

    # rules 1 and 2

    def record_session(
        self, now: float, proxy: int, sess: Hashable, deadline: float, repeat: str, scope: str, window: float
    ) -> None:
        """Record that a proxy has received a session."""
        if (other := self.sessions.get(sess)) is not None and other.awaits_answer and other.proxy != proxy:
            self.add_violation(2, now, f"session {sess} is held by proxies {other.proxy} and {proxy}")
        self.sessions[sess] = TrackedSession(proxy, deadline, repeat, scope, window)

    def record_client_gone(self, now: float, sess: Hashable) -> None:
        """Record that the client has left: no answer is due any more, unless it was already overdue."""
        if tracked := self.sessions.get(sess):
            if tracked.awaits_answer and now > tracked.deadline + self.answer_grace:
                self.add_violation(1, now, f"session {sess}: not answered in time by proxy {tracked.proxy}")
            tracked.awaits_answer = False
            self.discard_if_complete(sess, tracked)

    def record_answer(self, now: float, proxy: int, sess: Hashable, how: str) -> None:
        """Record a final answer; how is "up", "refused" or "failed".

        A session that is not tracked was answered before or never received.
        """
        earlier_answer = self.final_answers.get(sess)
        if earlier_answer is not None:
            earlier_proxy, earlier_how = earlier_answer
            detail = (
                f"answered {how} by proxy {proxy}, and before that {earlier_how} by proxy {earlier_proxy}"
            )
            self.add_violation(1, now, f"session {sess}: {detail}")
            return
        tracked = self.sessions.get(sess)
        self.final_answers[sess] = (proxy, how)
        if tracked is None:
            self.add_violation(
                1, now, f"session {sess}: answered {how} by proxy {proxy}, which never received it"
            )
            return
        if tracked.awaits_answer and now > tracked.deadline + self.answer_grace:
            self.add_violation(
                1, now, f"session {sess}: answered {how} {now - tracked.deadline:.3f} s past its deadline"
            )
        may_have_run = tracked.ran_at < math.inf or tracked.current_attempt >= 0
        if how == "refused" and may_have_run and tracked.repeat != "repeatable":
            self.add_violation(
                2, now, f"session {sess}: refused as never run, but it may have run on {tracked.ran_on}"
            )
        tracked.awaits_answer = False
        self.discard_if_complete(sess, tracked)

    def discard_if_complete(self, sess: Hashable, tracked: TrackedSession) -> None:
        """Stop tracking a session that neither awaits an answer nor has an attempt in flight."""
        if not tracked.awaits_answer and tracked.current_attempt < 0:
            self.sessions.pop(sess, None)

    def record_proxy_crash(self, proxy: int) -> None:
        """Discard the sessions and notifications of a dead proxy; it restarts without them."""
        for sess in [sess for sess, tracked in self.sessions.items() if tracked.proxy == proxy]:
            del self.sessions[sess]
        for table in (self.out_of_service_since, self.notified_starts):
            for key in [key for key in table if key[0] == proxy]:
                del table[key]
        self.watching_proxies.discard(proxy)
        self.last_polls.pop(proxy, None)

    def record_stall(self, proxy: int, until: float) -> None:
        """Extend the deadlines that fall into a stall of the proxy's machine to its end."""
        for tracked in self.sessions.values():
            if tracked.proxy == proxy and tracked.awaits_answer:
                tracked.deadline = max(tracked.deadline, until)

    def record_attempt(self, now: float, proxy: int, sess: Hashable, server: str) -> None:
        """Record that a proxy has sent an attempt to a server."""
        self.check_drain(now, proxy, sess, server)
        tracked = self.sessions.get(sess)
        if tracked is None or not tracked.awaits_answer:
            self.add_violation(1, now, f"session {sess}: attempted at {server} after its final answer")
            return
        if tracked.current_attempt >= 0:
            self.add_violation(
                2, now, f"session {sess}: attempted at {server} while another attempt was in flight"
            )
        if tracked.ran_at < math.inf:
            self._check_repeat(now, sess, tracked, server)
        tracked.attempts += 1
        tracked.current_attempt = tracked.attempts
        if tracked.ran_at == math.inf:
            tracked.ran_on = server

    def _check_repeat(self, now: float, sess: Hashable, tracked: TrackedSession, server: str) -> None:
        """Check that a session that may have run may be attempted again at a server."""
        if tracked.repeat == "once-only":
            self.add_violation(
                2, now, f"session {sess}: once-only, may have run on {tracked.ran_on}, sent to {server}"
            )
        elif tracked.repeat == "referenced":
            location = self.server_locations.get(server)
            first_location = self.server_locations.get(tracked.ran_on)
            compared = {"all": slice(0, 0), "zone": slice(0, 1), "cell": slice(1, 2)}[tracked.scope]
            if location is None or first_location is None or location[compared] != first_location[compared]:
                self.add_violation(
                    2,
                    now,
                    f"session {sess}: referenced in its {tracked.scope}, may have run on "
                    f"{tracked.ran_on}, sent to {server}",
                )
            elif now > tracked.ran_at + tracked.window:
                self.add_violation(2, now, f"session {sess}: sent to {server} after its deduplication window")

    def record_attempt_end(self, now: float, sess: Hashable, sent_at: float, never_ran: bool) -> None:
        """Record the end of an attempt; never_ran if the session certainly did not run."""
        if (tracked := self.sessions.get(sess)) is None:
            return
        tracked.current_attempt = -1
        if not never_ran and tracked.ran_at == math.inf:
            tracked.ran_at = sent_at
        self.discard_if_complete(sess, tracked)

    def record_execution(self, now: float, key: Hashable, repeat: str, server: str) -> None:
        """Record that a server has executed a session, whatever the proxy observed."""
        self.executions[key] = times = self.executions.get(key, 0) + 1
        if times > 1 and repeat == "once-only":
            self.add_violation(2, now, f"once-only session {key} ran {times} times, last on {server}")

    # rule 3

    def record_listing(self, now: float, server: str, state: str, started: float | None) -> None:
        """Record what the list shows for a server from now on."""
        self.listed[server] = (now, state, started)

    def record_notification(
        self, now: float, proxy: int, server: str, state: str, started: float | None
    ) -> None:
        """Record that a proxy has received the state and start time of a server."""
        if state == "in service":
            self.out_of_service_since.pop((proxy, server), None)
            if started is not None:
                self.notified_starts[proxy, server] = started
        else:
            self.out_of_service_since.setdefault((proxy, server), now)

    def record_return_to_service(self, server: str) -> None:
        """End every proxy's drain of a server that is in service again.

        In a fleet, the notified proxy passes this on to the others. Drains are not passed on: each proxy is
        held to its own notifications.
        """
        for proxy, name in [key for key in self.out_of_service_since if key[1] == server]:
            del self.out_of_service_since[proxy, name]

    def record_poll(self, now: float, proxy: int) -> None:
        """Record that a proxy has polled the list."""
        self.last_polls[proxy] = now

    def set_watching(self, proxy: int, watching: bool) -> None:
        """Record whether a proxy has a watch on the list."""
        if watching:
            self.watching_proxies.add(proxy)
        else:
            self.watching_proxies.discard(proxy)

    def check_drain(self, now: float, proxy: int, sess: Hashable, server: str) -> None:
        """Check rule 3 for an attempt at a server."""
        since = self.out_of_service_since.get((proxy, server), math.inf)
        if proxy not in self.watching_proxies and (row := self.listed.get(server)) and row[1] != "in service":
            # A proxy that neither watches nor polls counts as notified of a change after the poll interval.
            poll_due = self.last_polls.get(proxy, 0.0) + self.ask_within
            since = min(since, max(row[0] + self.ask_within, poll_due))
        if now > since + self.drain_grace:
            self.add_violation(
                3,
                now,
                f"session {sess}: proxy {proxy} sent to {server} {now - since:.3f} s after it was notified",
            )

    # rule 4

    def record_overload_failure(
        self, now: float, server: str, started: float, shares: dict[int, float]
    ) -> None:
        """Record that a warming-up server failed from overload; shares is the load from each proxy."""
        total = sum(shares.values())
        informed = sum(
            load for proxy, load in shares.items() if self.is_informed(now, proxy, server, started)
        )
        if total > 0 and informed >= INFORMED_LOAD_SHARE * total:
            self.add_violation(
                4,
                now,
                f"warming-up server {server} failed from overload, "
                f"{informed / total:.0%} of the load from proxies notified of its start",
            )

    def is_informed(self, now: float, proxy: int, server: str, started: float) -> bool:
        """Return whether a proxy was notified of the start of the server, or should have polled it."""
        if abs(self.notified_starts.get((proxy, server), -math.inf) - started) < 1e-6:
            return True
        row = self.listed.get(server)
        return proxy not in self.watching_proxies and row is not None and now > row[0] + self.ask_within

    # results

    def finish(self, now: float) -> None:
        """Report the sessions that are still unanswered past their deadline."""
        for sess, tracked in self.sessions.items():
            if tracked.awaits_answer and now > tracked.deadline + self.answer_grace:
                self.add_violation(1, now, f"session {sess}: never answered by proxy {tracked.proxy}")

    @property
    def is_clean(self) -> bool:
        """Whether no rule was broken."""
        return not any(self.violation_counts.values())

    def summary(self) -> dict[str, object]:
        """Return the violations by rule and the texts of the first ten."""
        first = [f"{row.at:.3f} s, rule {row.rule}: {row.text}" for row in self.violations[:10]]
        broken = {str(rule): count for rule, count in self.violation_counts.items() if count}
        return {"clean": self.is_clean, "broken": broken, "first": first}
