"""The list, told by one proxy of a zone to the others: telling.py put between the fleet and the proxy's own
watch."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec

from onyxhollow.fleet import clock, telling
from onyxhollow.interface import EndpointListKind
from onyxhollow.membership.swim import Member
from onyxhollow.wire.endpoint_list import EndpointListError, decode_endpoint_list

if TYPE_CHECKING:
    from onyxhollow.fleet.node import Node

LIST = 2  # kind of what is carried
WANTS_EVERY = 0.2  # seconds before one member is told the whole list again
SENDS = 0.02  # seconds from one group of datagrams to the next ...
GROUP = 24  # ... and how many each has
MOST_WAITING = 16384


class Lists:
    def __init__(self, node: Node, duty: str, zone: str | None, every: float, service: str) -> None:
        self.node, self.duty, self.zone, self.every, self.service = node, duty, zone, every, service
        self.discovery = node.proxy.discovery
        self.address = self.discovery.address  # after a reload with another one, `service` says nothing of it
        within = node.proxy.config.settings.max_poll_interval
        self.listener = telling.Listener(duty, self.source, every, within / 4, node.rng, clock.now())
        self.teller: telling.Teller | None = None
        self.still: Callable[[], bool] = lambda: False
        self.last_progress_at, self.superseded = node.loop.now, False
        self.waiting: deque[tuple[Member, telling.Said]] = deque()
        self.sends_at = math.inf
        self.answered: dict[str, float] = {}
        self.drains_told: set[tuple[str, Any]] = set()
        self.taking = False  # while something told by the fleet goes to the proxy

    @property
    def source(self) -> str:
        """Which list service is followed: versions of two mean nothing to each other."""
        address = (
            self.discovery.next_address or self.discovery.address
        )  # next: named by a reload, not asked yet
        return self.service if self.service and address == self.address else ":".join(map(str, address))

    # as a duty's work

    def start(self, term: int, still: Callable[[], bool]) -> None:
        self.last_progress_at = self.node.loop.now
        self.teller, self.still = telling.Teller(self.duty, term, self.source, self.every), still
        self.listener.resting = False
        self.discovery.set_suspended(False)
        if self.discovery.version >= 0 and self.discovery.records:
            self.teller.told(self.discovery.records, self.discovery.version)
        self.teller.next_beat = clock.now()
        self.node.task.wake()

    def stop(self) -> None:
        self.teller = None
        self.still = lambda: False

    def zone_members(self) -> list[Member]:
        return [member for member in self.node.membership.live_members() if self.zone in (None, member.zone)]

    def own_list(self, kind: EndpointListKind) -> None:
        """The list service has answered this proxy, or has not."""
        if kind is EndpointListKind.CACHED or self.taking:
            return
        listener = self.listener
        if kind is not EndpointListKind.FAILED:
            self.last_progress_at = self.node.loop.now
            listener.asked_itself()
            self.tell_drains()
        if self.teller is None:
            return
        if kind is EndpointListKind.FAILED:
            self.teller.lost = True
            self.teller.next_beat = clock.now()
        else:
            if self.teller.source != self.source:  # another list service, after a reload
                self.teller = telling.Teller(self.duty, self.teller.term, self.source, self.every)
            for rows in self.teller.told(self.discovery.records, self.discovery.version):
                for member in self.zone_members():
                    self.queue(member, rows)
        self.node.task.wake()

    def take(self, told: telling.Take) -> bool:
        body = {
            "seq": self.discovery.version if told.version is None else told.version,
            "whole": told.whole,
            "hosts": told.rows,
        }
        self.taking = True
        try:
            self.discovery.apply(
                told.rows, decode_endpoint_list(body, self.discovery.clock, self.node.loop.now)
            )
        except EndpointListError:
            return False
        finally:
            self.taking = False
        return True

    def tell_drains(self) -> None:
        """What an own call has told of servers that drain: all are to know, whoever tells their list."""
        rows = telling.drains(list(self.discovery.records.values()))
        fresh = [row for row in rows if (row["host"], row.get("health")) not in self.drains_told]
        self.drains_told = {(row["host"], row.get("health")) for row in rows}
        self.drains_told |= {(row["host"], "left") for row in rows if row.get("health") == "left"}
        while fresh:
            some, fresh = fresh[:8], fresh[8:]
            body = telling.pack(some)
            if len(body) == 1:
                told = telling.Rows(self.duty, 0, self.source, self.discovery.version, 0, 0, 1, body[0])
                self.node.membership.broadcast(LIST, telling.encode(told))

    # heard

    def on_message(self, member: Member, body: bytes, now: float) -> None:
        try:
            told = telling.MESSAGES.decode(body)
        except msgspec.DecodeError:
            self.node.counts["list: rubbish"] += 1
            return
        if told.duty != self.duty:
            return
        if isinstance(told, telling.Want | telling.Doubt):
            self.asked(member, told, now)
            return
        self.listener.source = self.source
        if self.teller and self.still():
            if told.term > self.teller.term:
                self.superseded = True
            return
        rested = self.listener.resting
        answer: telling.Take | telling.Want | None
        if isinstance(told, telling.Beat):
            members = 1 + len(self.zone_members())
            answer = self.listener.beat(told, now, self.discovery.version, members)
            if self.listener.distrusted == told.term and not self.listener.resting:
                self.say(member, telling.Doubt(self.duty, told.term, self.source, self.discovery.version))
        else:
            answer = self.listener.rows(told, now, self.discovery.version)
        if isinstance(answer, telling.Want):
            self.say(member, answer)
        elif isinstance(answer, telling.Take) and not self.take(answer):
            self.listener.unreadable(now, "rows")
        elif isinstance(answer, telling.Take):
            self.node.counts["list: told versions"] += 1
        if self.listener.resting and not rested:
            self.discovery.set_suspended(True)
            self.node.log_event(
                "list rests", duty=self.duty, term=self.listener.term, version=self.discovery.version
            )

    def asked(self, member: Member, told: telling.Want | telling.Doubt, now: float) -> None:
        if self.teller is None or not self.still():
            return
        if isinstance(told, telling.Doubt):
            if told.version > self.discovery.version and told.version > self.teller.doubted:
                self.teller.doubted = told.version
                self.discovery.switch_to(self.discovery.address, resync=True)
            return
        if now - self.answered.get(member.name, -math.inf) >= WANTS_EVERY:
            self.answered[member.name] = now
            for rows in self.teller.wanted():
                self.queue(member, rows)

    def on_broadcast(self, body: bytes, now: float) -> None:
        """A drain told by anyone counts at once; the version stays, for other changes may be missing."""
        try:
            told = telling.MESSAGES.decode(body)
            if not isinstance(told, telling.Rows) or told.source != self.source:
                return
            rows = telling.drains(telling.unpack([told.body]))
        except (msgspec.DecodeError, telling.BadRowsError):
            self.node.counts["list: rubbish"] += 1
            return
        if told.version > self.discovery.version >= 0:
            known = self.discovery.records
            fresh = [
                row
                for row in rows
                if row["host"] in known and known[row["host"]].get("health") not in (row["health"], "left")
            ]
            if fresh and self.take(telling.Take(fresh, None, False)):
                self.node.log_event(
                    "drains told", hosts=[row["host"] for row in fresh][:24], version=told.version
                )

    # sending

    def say(self, member: Member, told: telling.Said) -> None:
        self.node.membership.send_payload(member, LIST, telling.encode(told))

    def queue(self, member: Member, told: telling.Said) -> None:
        """Paced: a whole list to a whole zone is thousands of datagrams."""
        if len(self.waiting) >= MOST_WAITING:
            self.node.counts["list: not sent, too much waits"] += 1
            return
        self.waiting.append((member, told))
        self.sends_at = min(self.sends_at, clock.now())

    def tick(self, now: float) -> None:
        if self.teller and now >= self.teller.next_beat:
            self.teller.next_beat = now + self.every
            for member in self.zone_members():
                if not self.still():
                    break
                self.say(member, self.teller.beat())
            if self.discovery.connection is not None and not self.teller.lost:
                self.last_progress_at = self.node.loop.now  # its watch is open
        if self.waiting and now >= self.sends_at:
            self.sends_at = now + SENDS
            for _ in range(min(GROUP, len(self.waiting))):
                member, told = self.waiting.popleft()
                if self.teller and told.term == self.teller.term and self.still():
                    self.say(member, told)
        if not self.waiting:
            self.sends_at = math.inf
        # a reload names another list service: its list is not told yet
        if self.listener.source != self.source:
            self.listener.source, self.listener.resting = self.source, False
            self.discovery.set_suspended(False)
        if self.listener.tick(now):
            # answered at once, news or none: no watch is left open
            self.discovery.answer_at_once = self.listener.auditing
            self.discovery.set_suspended(False)
            self.node.log_event(
                "list asks", duty=self.duty, why=self.listener.why, version=self.discovery.version
            )

    def next_due(self) -> float:
        beat = self.teller.next_beat if self.teller else math.inf
        return min(beat, self.sends_at, self.listener.due())

    def state(self) -> dict[str, Any]:
        return {
            "duty": self.duty,
            "version": self.discovery.version,
            "rests": self.discovery.suspended,
            "tells": self.teller is not None and self.still(),
        }
