"""Event loop of the process: select.epoll, generators as coroutines, and a heap of their due times.

A coroutine yields the time until which it waits; math.inf waits without a limit. It is resumed at that time,
or earlier if it is woken, and then checks what has changed. Events of descriptors are handled by callbacks,
which wake coroutines. All times are in seconds of the machine's monotonic clock.
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
STALL_TOLERANCE_SECONDS = 0.005  # lateness of a timer that is normal on a shared core
MAX_POLL_SECONDS = 1.0  # limits the delay that a lost wake-up causes
POLL_RETRY_SECONDS = 0.01  # pause after a failed poll, so that the loop does not spin
URGENT_INTERVAL_SECONDS = 0.02  # within a turn, between two checks of the urgent descriptors


def update_epoll(epoll: select.epoll, fd: int, registered_events: int, events: int) -> None:
    """Change the registered events of a descriptor; 0 events mean that it is not registered."""
    if not registered_events and events:
        epoll.register(fd, events)
    elif registered_events and not events:
        with contextlib.suppress(OSError):  # even after an error the descriptor is no longer watched
            epoll.unregister(fd)
    elif registered_events != events:
        epoll.modify(fd, events)


class Task:
    """A coroutine that runs on the loop."""

    __slots__ = ("armed_for", "done", "loop", "queued", "steps", "until")

    def __init__(self, loop: Loop, steps: Coroutine) -> None:
        self.loop = loop
        self.steps = steps
        self.until = math.inf  # time until which the coroutine waits, unless it is woken
        self.armed_for = math.inf  # time of the valid heap entry; inf if there is none
        self.queued = False
        self.done = False

    def wake(self) -> None:
        """Resume the coroutine in the next turn of the loop."""
        if not self.queued and not self.done:
            self.queued = True
            self.loop.runnable.append(self)


class Loop:
    """Runs callbacks and coroutines on one thread.

    An exception in a callback or coroutine does not stop the loop. `report_failure` is called with the place
    and the exception.
    """

    def __init__(self, report_failure: Callable[[str, BaseException], None]) -> None:
        self.report_failure = report_failure
        self.epoll = select.epoll()
        self.watched: dict[int, tuple[int, Callable[[int], None]]] = {}  # events and callback by descriptor
        self.runnable: deque[Task] = deque()
        self.due: list[tuple[float, int, Task]] = []  # a heap, ordered by time and then by insertion
        self.armed_count = 0
        self.running = True
        self.now = time.monotonic()  # when the present turn began, or `read_clock` was called in it
        self.stalled = 0.0  # total seconds for which this process did not run, as far as its late timers show
        self.urgent: UrgentDescriptors | None = None

    def read_clock(self) -> float:
        """Update `now` in the middle of a turn and return it, for decisions that need the exact time."""
        self.now = time.monotonic()
        return self.now

    def spawn(self, steps: Coroutine) -> Task:
        """Start a coroutine; its first step runs in the next turn."""
        task = Task(self, steps)
        task.wake()
        return task

    def watch(self, fd: int, events: int, callback: Callable[[int], None] | None) -> None:
        """Call the callback on these events of a descriptor; 0 events stop watching it.

        Raises:
            OSError: epoll can't watch the descriptor, as memory or descriptors are short.
        """
        registered = self.watched.get(fd)
        if events and callback:
            update_epoll(self.epoll, fd, registered[0] if registered else 0, events)
            self.watched[fd] = (events, callback)
        elif registered:
            # Otherwise epoll would report the end of a connection again and again, and the loop would spin.
            del self.watched[fd]
            update_epoll(self.epoll, fd, registered[0], 0)

    def step(self, task: Task) -> None:
        """Run a coroutine to the point where it waits next."""
        task.queued = False
        try:
            task.until = next(task.steps)
        except StopIteration:
            task.done = True
            return
        except Exception as error:  # noqa: BLE001 -- one coroutine must not stop the proxy
            task.done = True
            self.report_failure("coroutine", error)
            return
        self.arm(task)

    def arm(self, task: Task) -> None:
        """Add the time until which a coroutine waits to the heap, unless it has an earlier entry."""
        if task.until < task.armed_for:
            task.armed_for = task.until
            self.armed_count += 1
            heapq.heappush(self.due, (task.until, self.armed_count, task))

    def sleep(self, duration: float) -> Coroutine:
        """Wait for `duration` seconds, even if the coroutine is woken."""
        until = self.now + duration
        while self.now < until:
            yield until

    def fire_due(self) -> None:
        """Wake the coroutines that are due."""
        if self.due:
            lateness = self.now - self.due[0][0]
            if lateness > STALL_TOLERANCE_SECONDS:
                self.stalled += lateness
        while self.due and self.due[0][0] <= self.now:
            due_time, _, task = heapq.heappop(self.due)
            if task.done or due_time != task.armed_for:
                continue
            task.armed_for = math.inf
            if task.until <= self.now:
                task.wake()
            else:  # it waits for a later time by now
                self.arm(task)

    def turn(self, max_wait: float = MAX_POLL_SECONDS) -> None:
        """Run one turn: wait for events, call their callbacks, run the coroutines that are due or woken."""
        timeout = max_wait
        if self.runnable:
            timeout = 0.0
        elif self.due:
            timeout = min(max_wait, max(0.0, self.due[0][0] - time.monotonic()))
        events = self.poll(timeout)
        self.now = time.monotonic()
        for fd, ready_events in events:
            self.call(fd, ready_events)
            if self.urgent:
                self.urgent.serve_ready()
        self.fire_due()
        for _ in range(len(self.runnable)):
            self.step(self.runnable.popleft())
            if self.urgent:
                self.urgent.serve_ready()

    def poll(self, timeout: float) -> list[tuple[int, int]]:
        """Return the events within that time; none if the poll fails, after a short pause."""
        try:
            return self.epoll.poll(timeout)
        except InterruptedError:
            return []
        except OSError as error:
            self.report_failure("poll", error)
            time.sleep(POLL_RETRY_SECONDS)
            return []

    def call(self, fd: int, events: int) -> None:
        """Call the callback of a descriptor, unless an earlier callback stopped watching it."""
        if fd not in self.watched:
            return
        try:
            self.watched[fd][1](events)
        except Exception as error:  # noqa: BLE001 -- one connection must not stop the proxy
            self.report_failure("descriptor", error)

    def run(self) -> None:
        """Run turns until `running` is cleared."""
        while self.running:
            self.turn()


class UrgentDescriptors:
    """Descriptors that are also served in the middle of a long turn, as their requests need a fast answer.

    It has the loop's methods that a channel needs, and is passed to channels in its place.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.epoll = select.epoll()
        self.served_at = 0.0
        self.spawn = loop.spawn
        loop.urgent = self

    @property
    def now(self) -> float:
        """Time at which the present turn of the loop began."""
        return self.loop.now

    def watch(self, fd: int, events: int, callback: Callable[[int], None] | None) -> None:
        """Watch as `Loop.watch` does."""
        registered = self.loop.watched.get(fd)
        update_epoll(self.epoll, fd, registered[0] if registered else 0, events if callback else 0)
        self.loop.watch(fd, events, callback)

    def serve_ready(self) -> None:
        """Call the callbacks of ready descriptors, if the interval has passed since the last call or turn."""
        now = time.monotonic()
        if now - max(self.served_at, self.loop.now) >= URGENT_INTERVAL_SECONDS:
            self.served_at = now
            for fd, events in self.epoll.poll(0):
                self.loop.call(fd, events)
