"""Judges the four rules from what happens in the world. Knows neither module nor proxy.

1. One final answer, in time, for every session taken by a proxy that lives.
2. Nothing runs twice: one dial at a time; once-only never again unless known not to have run; referenced only
   within scope and window.
3. Nothing new to a server told draining or gone, past the grace.
4. The cold budget: a cold server that falls over, two thirds of what came from proxies told of its start.
"""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass

MOST_KEPT = 50  # breaches kept with their words; all are counted
KNOWING = 2.0 / 3.0


@dataclass(frozen=True, slots=True)
class Breach:
    rule: int
    at: float
    text: str


@dataclass(slots=True)
class Taken:
    """One session as a proxy holds it."""

    proxy: int
    deadline: float
    repeat: str
    scope: str
    window: float
    out: int = -1  # number of the dial that is out; -1: none
    answers: int = 0
    owed: bool = True
    ran_at: float = math.inf  # when the first dial that may have run was sent
    ran_on: str = ""
    dials: int = 0


class Referee:
    def __init__(self, drain_grace: float, answer_grace: float, ask_within: float) -> None:
        self.drain_grace, self.answer_grace, self.ask_within = drain_grace, answer_grace, ask_within
        self.sessions: dict[Hashable, Taken] = {}
        self.places: dict[str, tuple[int, int]] = {}  # zone and cell of each server
        self.breaches: list[Breach] = []
        self.counts = {1: 0, 2: 0, 3: 0, 4: 0}
        self.told: dict[tuple[int, str], float] = {}  # since when a proxy knows that a server takes nothing
        self.knows: dict[tuple[int, str], float] = {}  # the start that a proxy was told of
        self.public: dict[str, tuple[float, str, float | None]] = {}  # what the list shows, since when
        self.subscribed: set[int] = set()
        self.asked: dict[int, float] = {}
        self.executed: dict[Hashable, int] = {}
        self.answered_by: dict[Hashable, tuple[int, str]] = {}

    def breach(self, rule: int, at: float, text: str) -> None:
        self.counts[rule] += 1
        if len(self.breaches) < MOST_KEPT:
            self.breaches.append(Breach(rule, at, text))

    # rules 1 and 2

    def took(
        self, now: float, proxy: int, sess: Hashable, deadline: float, repeat: str, scope: str, window: float
    ) -> None:
        if (other := self.sessions.get(sess)) is not None and other.owed and other.proxy != proxy:
            self.breach(2, now, f"session {sess} is held by proxies {other.proxy} and {proxy}")
        self.sessions[sess] = Taken(proxy, deadline, repeat, scope, window)

    def gone(self, now: float, sess: Hashable) -> None:
        """The client has left: nothing is owed any more, unless it was overdue by then."""
        if taken := self.sessions.get(sess):
            if taken.owed and now > taken.deadline + self.answer_grace:
                self.breach(1, now, f"session {sess}: not answered in time by proxy {taken.proxy}")
            taken.owed = False
            self.forget(sess, taken)

    def answered(self, now: float, proxy: int, sess: Hashable, how: str) -> None:
        """how: up, refused or failed. A session without an entry was answered, or never taken."""
        before = self.answered_by.get(sess)
        if before is not None:
            first, said = before
            told = f"answered {how} by proxy {proxy}, and before that {said} by proxy {first}"
            self.breach(1, now, f"session {sess}: {told}")
            return
        taken = self.sessions.get(sess)
        self.answered_by[sess] = (proxy, how)
        if taken is None:
            self.breach(1, now, f"session {sess}: answered {how} by proxy {proxy}, which did not take it")
            return
        if taken.owed and now > taken.deadline + self.answer_grace:
            self.breach(
                1, now, f"session {sess}: answered {how} {now - taken.deadline:.3f} s past its deadline"
            )
        if how == "refused" and taken.ran_at < math.inf or how == "refused" and taken.out >= 0:
            free = taken.repeat == "repeatable" or taken.repeat == "referenced" and taken.scope == "all"
            if not free:
                self.breach(
                    2, now, f"session {sess}: refused as never run, but it may have run on {taken.ran_on}"
                )
        taken.owed = False
        self.forget(sess, taken)

    def forget(self, sess: Hashable, taken: Taken) -> None:
        if not taken.owed and taken.out < 0:
            self.sessions.pop(sess, None)

    def proxy_died(self, proxy: int) -> None:
        """What a dead proxy held is void; it knows nothing when it comes back."""
        for sess in [sess for sess, taken in self.sessions.items() if taken.proxy == proxy]:
            del self.sessions[sess]
        for table in (self.told, self.knows):
            for key in [key for key in table if key[0] == proxy]:
                del table[key]
        self.subscribed.discard(proxy)
        self.asked.pop(proxy, None)

    def stalled(self, proxy: int, until: float) -> None:
        """The machine stands still: what was due meanwhile is due when it goes on."""
        for taken in self.sessions.values():
            if taken.proxy == proxy and taken.owed:
                taken.deadline = max(taken.deadline, until)

    def sent(self, now: float, proxy: int, sess: Hashable, server: str) -> None:
        """A dial has left the proxy."""
        self.check_drain(now, proxy, sess, server)
        taken = self.sessions.get(sess)
        if taken is None or not taken.owed:
            self.breach(1, now, f"session {sess}: dialled to {server} after its end")
            return
        if taken.out >= 0:
            self.breach(2, now, f"session {sess}: dialled to {server} while a dial was out")
        if taken.ran_at < math.inf:
            if taken.repeat == "once-only":
                self.breach(
                    2, now, f"session {sess}: once-only, may have run on {taken.ran_on}, sent to {server}"
                )
            elif taken.repeat == "referenced":
                here, there = self.places.get(server), self.places.get(taken.ran_on)
                part = {"all": slice(0, 0), "zone": slice(0, 1), "cell": slice(1, 2)}[taken.scope]
                if here is None or there is None or here[part] != there[part]:
                    self.breach(
                        2,
                        now,
                        f"session {sess}: referenced in its {taken.scope}, may have run on "
                        f"{taken.ran_on}, sent to {server}",
                    )
                elif now > taken.ran_at + taken.window:
                    self.breach(2, now, f"session {sess}: sent to {server} after its window")
        taken.dials += 1
        taken.out = taken.dials
        if taken.ran_at == math.inf:
            taken.ran_on = server

    def dial_ended(self, now: float, sess: Hashable, sent_at: float, never_ran: bool) -> None:
        if (taken := self.sessions.get(sess)) is None:
            return
        taken.out = -1
        if not never_ran and taken.ran_at == math.inf:
            taken.ran_at = sent_at
        self.forget(sess, taken)

    def ran(self, now: float, key: Hashable, repeat: str, server: str) -> None:
        """The truth of it: a server has carried out a session."""
        self.executed[key] = times = self.executed.get(key, 0) + 1
        if times > 1 and repeat == "once-only":
            self.breach(2, now, f"once-only session {key} ran {times} times, last on {server}")

    # rule 3

    def shown(self, now: float, server: str, readiness: str, started: float | None) -> None:
        """The list shows a server so from now on."""
        self.public[server] = (now, readiness, started)

    def heard(self, now: float, proxy: int, server: str, readiness: str, started: float | None) -> None:
        """A proxy was told."""
        if readiness == "in service":
            self.told.pop((proxy, server), None)
            if started is not None:
                self.knows[proxy, server] = started
        else:
            self.told.setdefault((proxy, server), now)

    def back(self, server: str) -> None:
        """One proxy of a fleet was told that it is in service again, and tells the others: a drain that they
        were told of before is over. Of drains each is held to what it was told itself, as ever."""
        for proxy, name in [key for key in self.told if key[1] == server]:
            del self.told[proxy, name]

    def asks(self, now: float, proxy: int) -> None:
        self.asked[proxy] = now

    def watching(self, proxy: int, does: bool) -> None:
        if does:
            self.subscribed.add(proxy)
        else:
            self.subscribed.discard(proxy)

    def check_drain(self, now: float, proxy: int, sess: Hashable, server: str) -> None:
        since = self.told.get((proxy, server), math.inf)
        if proxy not in self.subscribed and (row := self.public.get(server)) and row[1] != "in service":
            # One that neither watches nor asks is held to know what the list showed so long ago.
            silent = self.asked.get(proxy, 0.0) + self.ask_within
            since = min(since, max(row[0] + self.ask_within, silent))
        if now > since + self.drain_grace:
            self.breach(
                3,
                now,
                f"session {sess}: proxy {proxy} sent to {server} {now - since:.3f} s after it was told",
            )

    # rule 4

    def fell(self, now: float, server: str, started: float, shares: dict[int, float]) -> None:
        """A cold server was pushed over; shares: load that came from each proxy."""
        total = sum(shares.values())
        known = sum(load for proxy, load in shares.items() if self.informed(now, proxy, server, started))
        if total > 0 and known >= KNOWING * total:
            self.breach(
                4, now, f"cold server {server} fell over, {known / total:.0%} from proxies told of its start"
            )

    def informed(self, now: float, proxy: int, server: str, started: float) -> bool:
        if abs(self.knows.get((proxy, server), -math.inf) - started) < 1e-6:
            return True
        row = self.public.get(server)
        return proxy not in self.subscribed and row is not None and now > row[0] + self.ask_within

    # the end

    def finish(self, now: float) -> None:
        for sess, taken in self.sessions.items():
            if taken.owed and now > taken.deadline + self.answer_grace:
                self.breach(1, now, f"session {sess}: never answered by proxy {taken.proxy}")

    @property
    def clean(self) -> bool:
        return not any(self.counts.values())

    def verdict(self) -> dict[str, object]:
        first = [f"{row.at:.3f} s, rule {row.rule}: {row.text}" for row in self.breaches[:10]]
        broken = {str(rule): count for rule, count in self.counts.items() if count}
        return {"clean": self.clean, "broken": broken, "first": first}
