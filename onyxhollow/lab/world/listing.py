"""The emulated list service: shows changes of servers late, answers calls one at a time, notifies watchers.

It does no I/O. The world schedules the changes of servers, the engine passes on the calls of proxies, and the
service calls back with answers and changes. Its rate of lines per second is limited.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from onyxhollow.lab.specs import ListServiceSettings
from onyxhollow.lab.world.event_queue import EventQueue

IN_SERVICE, DRAINING, GONE = "in service", "draining", "gone"
MAX_CHANGES = 4096  # changes kept; a proxy that missed more gets the whole list


@dataclass(frozen=True, slots=True)
class ListedServer:
    """A server as the list shows it."""

    name: str
    state: str
    weight: float
    started: float | None
    zone: str
    cell: int


class ListService:
    """The list of servers with its recent changes and its watchers."""

    def __init__(self, event_queue: EventQueue, settings: ListServiceSettings) -> None:
        """Begin with an empty list, which the world fills before the start."""
        self.event_queue, self.settings = event_queue, settings
        self.rows: dict[str, ListedServer] = {}
        self.changes: list[tuple[int, ListedServer]] = []
        self.version = self.last_serial = 0
        self.newest_serials: dict[str, int] = {}
        self.watchers: dict[int, Callable[[list[ListedServer], int], None]] = {}
        self.watch_ended_callbacks: dict[int, Callable[[], None]] = {}
        self.down_by: set[int] = set()  # faults that keep the service down
        self.delay_by_fault: dict[int, float] = {}  # seconds added until a change shows
        self.free_at = 0.0
        self.lines_sent = self.calls = self.failed_calls = 0
        self.publish_callbacks: list[Callable[[ListedServer], None]] = []

    def schedule_change(self, row: ListedServer, notice: float) -> None:
        """Show a change of a server after notice seconds plus the delays that faults add."""
        self.last_serial += 1
        self.event_queue.schedule_after(
            notice + sum(self.delay_by_fault.values()), self.publish, row, self.last_serial
        )

    def publish(self, row: ListedServer, serial: int) -> None:
        """Show a change and notify the watchers."""
        # A delayed removal must not hide a server that has come back since.
        if serial < self.newest_serials.get(row.name, 0):
            return
        self.newest_serials[row.name] = serial
        self.version += 1
        if row.state == GONE:
            if self.rows.pop(row.name, None) is None:
                return
        else:
            self.rows[row.name] = row
        self.changes.append((self.version, row))
        del self.changes[:-MAX_CHANGES]
        for on_publish in self.publish_callbacks:
            on_publish(row)
        if self.down_by:
            return  # all watches have ended
        version = self.version
        for index, (proxy, on_change) in enumerate(list(self.watchers.items())):
            # Watchers are notified one after another, each within the spread.
            wait = self.settings.spread * (0.2 + 0.8 * (index + 1) / len(self.watchers))
            self.lines_sent += 1
            self.event_queue.schedule_after(wait, self.deliver, proxy, on_change, [row], version)

    def deliver(
        self,
        proxy: int,
        on_change: Callable[[list[ListedServer], int], None],
        rows: list[ListedServer],
        version: int,
    ) -> None:
        """Notify a watcher, unless its watch has ended meanwhile."""
        if self.watchers.get(proxy) is on_change:
            on_change(rows, version)

    def watch(
        self,
        proxy: int,
        seen: int,
        on_change: Callable[[list[ListedServer], int], None],
        on_answer: Callable[[list[ListedServer] | None, bool, int], None],
        on_watch_ended: Callable[[], None],
    ) -> None:
        """Handle a call that continues as a watch.

        on_answer receives the rows (None if the call failed), whether they are the whole list, and the
        version. on_change receives later changes. on_watch_ended is called when the watch breaks.
        """
        now = self.event_queue.now
        self.calls += 1
        lines = len(self.changes_since(seen)[0])
        begins = max(now, self.free_at)
        takes = (self.settings.call_lines + lines) / self.settings.lines
        if self.down_by or begins + takes - now > self.settings.timeout:
            self.failed_calls += 1
            wait = 0.002 if self.down_by else self.settings.timeout  # refused at once, or timed out
            self.event_queue.schedule_after(wait, on_answer, None, False, seen)
            return
        self.free_at = begins + takes
        self.lines_sent += lines
        self.event_queue.schedule_at(
            self.free_at, self.answer, proxy, seen, on_change, on_answer, on_watch_ended
        )

    def answer(
        self,
        proxy: int,
        seen: int,
        on_change: Callable[[list[ListedServer], int], None],
        on_answer: Callable[[list[ListedServer] | None, bool, int], None],
        on_watch_ended: Callable[[], None],
    ) -> None:
        """Answer a call and begin its watch."""
        if self.down_by:
            self.failed_calls += 1
            on_answer(None, False, seen)
            return
        self.watchers[proxy], self.watch_ended_callbacks[proxy] = on_change, on_watch_ended
        rows, complete = self.changes_since(seen)
        on_answer(rows, complete, self.version)

    def changes_since(self, seen: int) -> tuple[list[ListedServer], bool]:
        """Return the changes since a version with False, or the whole list with True."""
        if seen < 0 or (bool(self.changes) and self.changes[0][0] > seen + 1):
            return list(self.rows.values()), True
        return [row for version, row in self.changes if version > seen], False

    def remove_watch(self, proxy: int) -> None:
        """Drop the watch of a proxy that has died."""
        self.watchers.pop(proxy, None)
        self.watch_ended_callbacks.pop(proxy, None)

    def take_down(self, fault: int) -> None:
        """Stop answering calls, and end all watches."""
        self.down_by.add(fault)
        callbacks, self.watchers, self.watch_ended_callbacks = (
            list(self.watch_ended_callbacks.values()),
            {},
            {},
        )
        for on_watch_ended in callbacks:
            on_watch_ended()

    def bring_up(self, fault: int) -> None:
        """Answer calls again, once no other fault keeps the service down."""
        self.down_by.discard(fault)
