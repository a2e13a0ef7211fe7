"""The one loop: select.epoll, generators as coroutines, all due times in one heap.

A coroutine yields the time until which it waits (math.inf: for ever) and goes on when that has come or
something wakes it; it then looks at what has changed. Descriptors are served by callbacks, which wake.
All times are seconds of the machine's monotonic clock.
"""

from __future__ import annotations

import contextlib
import heapq
import math
import select
import time
from collections import deque
from collections.abc import Callable, Generator

Coroutine = Generator[float, None, None]
READ = select.EPOLLIN
WRITE = select.EPOLLOUT
STALL_TOLERANCE = 0.005  # seconds late that a due time may come on a core that others use
MAX_POLL_TIME = 1.0  # seconds: a lost wake-up costs no more than this
POLL_RETRY_INTERVAL = 0.01  # seconds after a poll that failed: the loop must not spin on it
URGENT_INTERVAL_SECONDS = (
    0.02  # seconds of one turn after which urgent descriptors are served between its callbacks
)


def update_epoll(epoll: select.epoll, fd: int, before: int, events: int) -> None:
    """Changes the events that a descriptor is registered with; 0 means that it is not registered."""
    if not before and events:
        epoll.register(fd, events)
    elif before and not events:
        with contextlib.suppress(OSError):  # it is not watched, whatever the system says
            epoll.unregister(fd)
    elif before != events:
        epoll.modify(fd, events)


class Task:
    """One coroutine on the loop."""

    __slots__ = ("armed_for", "done", "loop", "queued", "steps", "until")

    def __init__(self, loop: Loop, steps: Coroutine) -> None:
        self.loop = loop
        self.steps = steps
        self.until = math.inf  # it waits for this time, unless woken
        self.armed_for = math.inf  # the heap has an entry for this time
        self.queued = False
        self.done = False

    def wake(self) -> None:
        """Lets the coroutine go on in the next turn of the loop."""
        if not self.queued and not self.done:
            self.queued = True
            self.loop.runnable.append(self)


class Loop:
    """Runs callbacks and coroutines on one thread.

    `report_failure` is called with a place and an error for each failure of a callback or coroutine: such a
    failure is its own, and the loop goes on.
    """

    def __init__(self, report_failure: Callable[[str, BaseException], None]) -> None:
        self.report_failure = report_failure
        self.epoll = select.epoll()
        self.watched: dict[int, tuple[int, Callable[[int], None]]] = {}  # events and callback by descriptor
        self.runnable: deque[Task] = deque()
        self.due: list[tuple[float, int, Task]] = []  # a heap by time, and then by order
        self.armed_count = 0
        self.running = True
        self.now = time.monotonic()  # when this turn began
        self.stalled = 0.0  # seconds for which this process stood still, by how late its timers came
        self.urgent: UrgentDescriptors | None = None

    def read_clock(self) -> float:
        """The time at this moment, for what can't go by the time at which the turn began."""
        self.now = time.monotonic()
        return self.now

    def spawn(self, steps: Coroutine) -> Task:
        """Begins a coroutine; its first step is made in the next turn."""
        task = Task(self, steps)
        task.wake()
        return task

    def watch(self, fd: int, events: int, call: Callable[[int], None] | None) -> None:
        """Sets which events of a descriptor call what; with no events it is let go.

        Raises:
            OSError: The system has no room for it.
        """
        known = self.watched.get(fd)
        if events and call:
            update_epoll(self.epoll, fd, known[0] if known else 0, events)
            self.watched[fd] = (events, call)
        elif known:
            # The end of a connection is reported again and again otherwise, and the loop would spin.
            del self.watched[fd]
            update_epoll(self.epoll, fd, known[0], 0)

    def step(self, task: Task) -> None:
        """Lets a coroutine go on to where it waits next."""
        task.queued = False
        try:
            task.until = next(task.steps)
        except StopIteration:
            task.done = True
            return
        except Exception as error:  # noqa: BLE001 -- the failure of one coroutine is its own, not the proxy's
            task.done = True
            self.report_failure("coroutine", error)
            return
        self.arm(task)

    def arm(self, task: Task) -> None:
        """Puts the time that a coroutine waits for into the heap, unless an earlier one is there."""
        if task.until < task.armed_for:
            task.armed_for = task.until
            self.armed_count += 1
            heapq.heappush(self.due, (task.until, self.armed_count, task))

    def sleep(self, span: float) -> Coroutine:
        """Waits for so many seconds, however often it is woken."""
        until = self.now + span
        while self.now < until:
            yield until

    def fire_due(self) -> None:
        """Wakes the coroutines whose time has come."""
        if self.due:
            late = self.now - self.due[0][0]
            if late > STALL_TOLERANCE:
                self.stalled += late
        while self.due and self.due[0][0] <= self.now:
            when, _, task = heapq.heappop(self.due)
            if task.done or when != task.armed_for:
                continue
            task.armed_for = math.inf
            if task.until <= self.now:
                task.wake()
            else:  # it waits for longer by now
                self.arm(task)

    def turn(self, longest: float = MAX_POLL_TIME) -> None:
        """One turn: waits for events, calls their callbacks, wakes what is due, runs what was woken."""
        timeout = longest
        if self.runnable:
            timeout = 0.0
        elif self.due:
            timeout = min(longest, max(0.0, self.due[0][0] - time.monotonic()))
        events = self.poll(timeout)
        self.now = time.monotonic()
        for fd, what in events:
            self.call(fd, what)
            if self.urgent:
                self.urgent.serve_ready()
        self.fire_due()
        for _ in range(len(self.runnable)):
            self.step(self.runnable.popleft())
            if self.urgent:
                self.urgent.serve_ready()

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        """The events that have come within that time; none, a moment later, where the system can't say."""
        try:
            return self.epoll.poll(timeout)
        except InterruptedError:
            return []
        except OSError as error:
            self.report_failure("poll", error)
            time.sleep(POLL_RETRY_INTERVAL)
            return []

    def call(self, fd: int, events: int) -> None:
        """Calls the callback of a descriptor, unless one called before it has let that go."""
        if fd not in self.watched:
            return
        try:
            self.watched[fd][1](events)
        except Exception as error:  # noqa: BLE001 -- the failure of one connection is its own, not the proxy's
            self.report_failure("descriptor", error)

    def run(self) -> None:
        """Turns until `running` is cleared."""
        while self.running:
            self.turn()


class UrgentDescriptors:
    """A few descriptors of the loop that are owed an answer soon: served in the middle of a long turn too.

    It stands in for the loop where a channel is given one.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.epoll = select.epoll()
        self.served_at = 0.0
        self.spawn = loop.spawn
        loop.urgent = self

    @property
    def now(self) -> float:
        """When this turn of the loop began."""
        return self.loop.now

    def watch(self, fd: int, events: int, call: Callable[[int], None] | None) -> None:
        """As `Loop.watch`."""
        known = self.loop.watched.get(fd)
        update_epoll(self.epoll, fd, known[0] if known else 0, events if call else 0)
        self.loop.watch(fd, events, call)

    def serve_ready(self) -> None:
        """Calls the callbacks of those that are ready, if the turn has gone on for long."""
        now = time.monotonic()
        if now - max(self.served_at, self.loop.now) >= URGENT_INTERVAL_SECONDS:
            self.served_at = now
            for fd, events in self.epoll.poll(0):
                self.loop.call(fd, events)
