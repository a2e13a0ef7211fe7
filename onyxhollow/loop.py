"""The one loop: select.epoll, generators as coroutines, all due times in one heap.

A coroutine yields the time until which it waits (math.inf: for ever) and goes on when that has come or
something wakes it; it then looks at what has changed. Descriptors are served by callbacks, which wake.
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
READ, WRITE = select.EPOLLIN, select.EPOLLOUT
STALL = 0.005  # seconds late that a due time may come on a core that others use
LONGEST_NAP = 1.0  # seconds: a lost wake-up costs no more than this
POLL_PAUSE = 0.01  # seconds after a poll that failed: the loop must not spin on it
SOON = 0.02  # seconds of one turn after which descriptors in a hurry are looked at between its callbacks


def listen_for(epoll: select.epoll, fd: int, before: int, events: int) -> None:
    """From what it was told to listen for on a descriptor to what it shall from now on; 0: nothing."""
    if not before and events:
        epoll.register(fd, events)
    elif before and not events:
        with contextlib.suppress(OSError):  # it is not listened for, whatever the system says
            epoll.unregister(fd)
    elif before != events:
        epoll.modify(fd, events)


class Task:
    __slots__ = ("loop", "steps", "until", "armed", "queued", "done")

    def __init__(self, loop: Loop, steps: Coroutine) -> None:
        self.loop, self.steps = loop, steps
        self.until = self.armed = math.inf
        self.queued = self.done = False

    def wake(self) -> None:
        if not self.queued and not self.done:
            self.queued = True
            self.loop.runnable.append(self)


class Loop:
    def __init__(self, failed: Callable[[str, BaseException], None]) -> None:
        self.report_failure = failed
        self.epoll = select.epoll()
        self.watched: dict[int, tuple[int, Callable[[int], None]]] = {}
        self.runnable: deque[Task] = deque()
        self.due: list[tuple[float, int, Task]] = []
        self.counter, self.running, self.now = 0, True, time.monotonic()
        self.stalled = 0.0  # seconds for which this process stood still, by how late its timers came
        self.urgent: UrgentDescriptors | None = None

    def read_clock(self) -> float:
        """The time at this moment, for what can't go by the time at which the turn began."""
        self.now = time.monotonic()
        return self.now

    def spawn(self, steps: Coroutine) -> Task:
        task = Task(self, steps)
        task.wake()
        return task

    def watch(self, fd: int, events: int, call: Callable[[int], None] | None) -> None:
        """What to listen for on a descriptor. With no events it is let go: the end of a connection is told
        again and again otherwise, and the loop would spin."""
        known = self.watched.get(fd)
        if events and call:
            listen_for(self.epoll, fd, known[0] if known else 0, events)
            self.watched[fd] = (events, call)
        elif known:
            del self.watched[fd]
            listen_for(self.epoll, fd, known[0], 0)

    def step(self, task: Task) -> None:
        task.queued = False
        try:
            task.until = next(task.steps)
        except StopIteration:
            task.done = True
            return
        except Exception as error:  # the failure of one coroutine is its own, not the proxy's
            task.done = True
            self.report_failure("coroutine", error)
            return
        self.arm(task)

    def arm(self, task: Task) -> None:
        if task.until < task.armed:
            task.armed = task.until
            self.counter += 1
            heapq.heappush(self.due, (task.until, self.counter, task))

    def sleep(self, span: float) -> Coroutine:
        until = self.now + span
        while self.now < until:
            yield until

    def fire_due(self) -> None:
        if self.due and (late := self.now - self.due[0][0]) > STALL:
            self.stalled += late
        while self.due and self.due[0][0] <= self.now:
            when, _, task = heapq.heappop(self.due)
            if task.done or when != task.armed:
                continue
            task.armed = math.inf
            if task.until <= self.now:
                task.wake()
            else:  # it waits for longer by now
                self.arm(task)

    def turn(self, longest: float = LONGEST_NAP) -> None:
        nap = longest
        if self.runnable:
            nap = 0.0
        elif self.due:
            nap = min(longest, max(0.0, self.due[0][0] - time.monotonic()))
        events = self.poll(nap)
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

    def poll(self, nap: float) -> list[tuple[int, int]]:
        """What has come within that time; nothing, a moment later, where the system can't tell."""
        try:
            return self.epoll.poll(nap)
        except InterruptedError:
            return []
        except OSError as error:
            self.report_failure("poll", error)
            time.sleep(POLL_PAUSE)
            return []

    def call(self, fd: int, what: int) -> None:
        if fd not in self.watched:
            return  # let go by one served before it
        try:
            self.watched[fd][1](what)
        except Exception as error:
            self.report_failure("descriptor", error)

    def run(self) -> None:
        while self.running:
            self.turn()


class UrgentDescriptors:
    """A few descriptors of the loop that are owed an answer soon: looked at in the middle of a long turn too.
    It stands in for the loop where a channel is given one."""

    def __init__(self, loop: Loop) -> None:
        self.loop, self.epoll, self.served_at = loop, select.epoll(), 0.0
        self.spawn = loop.spawn
        loop.urgent = self

    @property
    def now(self) -> float:
        return self.loop.now

    def watch(self, fd: int, events: int, call: Callable[[int], None] | None) -> None:
        known = self.loop.watched.get(fd)
        listen_for(self.epoll, fd, known[0] if known else 0, events if call else 0)
        self.loop.watch(fd, events, call)

    def serve_ready(self) -> None:
        now = time.monotonic()
        if now - max(self.served_at, self.loop.now) >= SOON:
            self.served_at = now
            for fd, what in self.epoll.poll(0):
                self.loop.call(fd, what)
