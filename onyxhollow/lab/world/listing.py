"""The server list as a service: it learns late, answers calls in turn with limited lines a second, tells
changes.

Pure: the world tells it what has become of servers, proxies' calls come in with the time, and it
returns when an answer comes and what it holds.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from onyxhollow.lab.specs import ListSource
from onyxhollow.lab.world.event_queue import EventQueue

IN_SERVICE, DRAINING, GONE = "in service", "draining", "gone"
KEPT = 4096  # changes remembered; a proxy that missed more gets the whole list


@dataclass(frozen=True, slots=True)
class Row:
    name: str
    readiness: str
    size: float
    started: float | None
    zone: str
    cell: int


class ServerList:
    def __init__(self, event_queue: EventQueue, settings: ListSource) -> None:
        self.event_queue, self.settings = event_queue, settings
        self.rows: dict[str, Row] = {}
        self.changes: list[tuple[int, Row]] = []
        self.version = self.learned = 0
        self.newest: dict[str, int] = {}
        self.watchers: dict[int, Callable[[list[Row], int], None]] = {}
        self.ended: dict[int, Callable[[], None]] = {}
        self.down: set[int] = set()  # faults that hold it down
        self.late: dict[int, float] = {}  # seconds added, by fault
        self.free_at = 0.0
        self.lines_sent = self.calls = self.failed_calls = 0
        self.published: list[Callable[[Row], None]] = []

    def learn(self, row: Row, notice: float) -> None:
        """A server has changed; the list shows it after notice and what faults add."""
        self.learned += 1
        self.event_queue.schedule_after(notice + sum(self.late.values()), self.publish, row, self.learned)

    def publish(self, row: Row, serial: int) -> None:
        # Word of an end that was slow to come must not hide a server that has come back since.
        if serial < self.newest.get(row.name, 0):
            return
        self.newest[row.name] = serial
        self.version += 1
        if row.readiness == GONE:
            if self.rows.pop(row.name, None) is None:
                return
        else:
            self.rows[row.name] = row
        self.changes.append((self.version, row))
        del self.changes[:-KEPT]
        for told in self.published:
            told(row)
        if self.down:
            return  # watches have ended; nobody is told
        version = self.version
        for place, (proxy, tell) in enumerate(list(self.watchers.items())):
            # Watchers are told one after another, each within the spread.
            wait = self.settings.spread * (0.2 + 0.8 * (place + 1) / len(self.watchers))
            self.lines_sent += 1
            self.event_queue.schedule_after(wait, self.deliver, proxy, tell, [row], version)

    def deliver(
        self, proxy: int, tell: Callable[[list[Row], int], None], rows: list[Row], version: int
    ) -> None:
        if self.watchers.get(proxy) is tell:
            tell(rows, version)

    def watch(
        self,
        proxy: int,
        seen: int,
        tell: Callable[[list[Row], int], None],
        answered: Callable[[list[Row] | None, bool, int], None],
        ended: Callable[[], None],
    ) -> None:
        """A call that then goes on as a watch. answered: rows (None: it failed), whether it is the whole
        list, and the version; tell: later changes; ended: the watch was broken."""
        now = self.event_queue.now
        self.calls += 1
        lines = len(self.since(seen)[0])
        begins = max(now, self.free_at)
        takes = (self.settings.call_lines + lines) / self.settings.lines
        if self.down or begins + takes - now > self.settings.timeout:
            self.failed_calls += 1
            wait = 0.002 if self.down else self.settings.timeout  # refused at once, or waited for in vain
            self.event_queue.schedule_after(wait, answered, None, False, seen)
            return
        self.free_at = begins + takes
        self.lines_sent += lines
        self.event_queue.schedule_at(self.free_at, self.answer, proxy, seen, tell, answered, ended)

    def answer(
        self,
        proxy: int,
        seen: int,
        tell: Callable[[list[Row], int], None],
        answered: Callable[[list[Row] | None, bool, int], None],
        ended: Callable[[], None],
    ) -> None:
        if self.down:
            self.failed_calls += 1
            answered(None, False, seen)
            return
        self.watchers[proxy], self.ended[proxy] = tell, ended
        rows, complete = self.since(seen)
        answered(rows, complete, self.version)

    def since(self, seen: int) -> tuple[list[Row], bool]:
        """What a proxy that has seen a version is told: the changes since, or (True) the whole list."""
        if seen < 0 or (bool(self.changes) and self.changes[0][0] > seen + 1):
            return list(self.rows.values()), True
        return [row for version, row in self.changes if version > seen], False

    def forget(self, proxy: int) -> None:
        """The proxy has died; its watch with it."""
        self.watchers.pop(proxy, None)
        self.ended.pop(proxy, None)

    def go_down(self, fault: int) -> None:
        self.down.add(fault)
        ended, self.watchers, self.ended = list(self.ended.values()), {}, {}
        for call in ended:
            call()

    def come_up(self, fault: int) -> None:
        self.down.discard(fault)
