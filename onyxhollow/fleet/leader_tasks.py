"""What the holder of a role does while it holds the lease.

A task is given its term and a check of the lease, and knows nothing of voters or members. The check reads the
clock: it is called just before each act, after whatever may have taken time.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Protocol
from urllib.parse import quote

import h11

from onyxhollow.loop import Loop, Task
from onyxhollow.membership.messages import Address
from onyxhollow.wire.buffers import BufferPool
from onyxhollow.wire.discovery_connection import DiscoveryConnection, DiscoveryStatusError
from onyxhollow.wire.endpoint_list import EndpointListError

CALL_TIMEOUT = 1.0  # seconds for a called address to answer
STALE_TERM_STATUS = 409  # answer of a called address that has seen a newer term


class LeaderTask(Protocol):
    """The task of one role at one member.

    Attributes:
        last_progress_at: When it last got something done, on the loop's clock.
        superseded: What it acts on has seen a newer term.
    """

    last_progress_at: float
    superseded: bool

    def start(self, term: int, holds_lease: Callable[[], bool], /) -> None:
        """The lease of `term` has begun; `holds_lease` is called just before each act."""

    def stop(self) -> None:
        """The lease has ended, or is about to: no act follows."""


class HttpRequestTask:
    """The base of tasks that call one address over one connection.

    Attributes:
        buffers: For the connection.
        run_number: Number of the present run; a coroutine of an earlier run ends when it sees another.
        connection: None while there is none.
        task: The coroutine of the present run.
    """

    def __init__(self) -> None:
        self.buffers = BufferPool()
        self.run_number = 0
        self.connection: DiscoveryConnection | None = None
        self.task: Task | None = None

    def stop(self) -> None:
        """Ends the present run."""
        self.run_number += 1
        self.close_connection()

    def close_connection(self) -> None:
        """Closes the connection if there is one."""
        if self.connection:
            self.connection.channel.close()
            self.connection = None

    def wake(self) -> None:
        """Something has arrived on the connection."""
        if self.task:
            self.task.wake()


class WebhookTask(HttpRequestTask):
    """Calls an address over and over: POST PATH?duty=..&member=..&term=..&number=...

    200: progress. 409: it has seen a newer term, and this holder gives up. Anything else, and silence: no
    progress.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        path: str,
        role: str,
        process_id: str,
        interval: float,
        count: Callable[[str], None],
    ) -> None:
        """Makes a task that does nothing until `start`.

        Args:
            loop: The proxy's loop.
            address: That is called.
            path: That is called.
            role: Name of the role, sent along.
            process_id: Of this process, sent along.
            interval: Seconds from call to call.
            count: Adds one to the counter of that name.
        """
        super().__init__()
        self.loop = loop
        self.address = address
        self.interval = interval
        self.count = count
        self.target = f"{path}?duty={quote(role)}&member={quote(process_id)}"
        self.last_progress_at = loop.now
        self.superseded = False

    def start(self, term: int, holds_lease: Callable[[], bool]) -> None:
        """Begins a run under a term."""
        self.run_number += 1
        self.last_progress_at = self.loop.now
        self.superseded = False
        self.task = self.loop.spawn(self._run(self.run_number, term, holds_lease))

    def _run(self, this_run: int, term: int, holds_lease: Callable[[], bool]) -> Generator[float, None, None]:
        number = 0
        while self.run_number == this_run:
            due = self.loop.now + self.interval
            number += 1
            try:
                yield from self._act(this_run, f"{self.target}&term={term}&number={number}", holds_lease)
            except DiscoveryStatusError as error:
                self.close_connection()
                self.superseded = error.status == STALE_TERM_STATUS
            except (EndpointListError, OSError, h11.ProtocolError):
                if self.run_number == this_run:
                    self.close_connection()
            while self.run_number == this_run and self.loop.now < due:
                yield due

    def _act(
        self, this_run: int, target: str, holds_lease: Callable[[], bool]
    ) -> Generator[float, None, None]:
        until = self.loop.now + CALL_TIMEOUT
        if self.connection is None or not self.connection.reusable:
            self.close_connection()
            self.connection = DiscoveryConnection(self.loop, self.address, self.buffers, self.wake)
        connection = self.connection
        # A request written before the connection is up would go out later, without a check of the lease.
        while connection.channel.connecting:
            if self.loop.now >= until or self.run_number != this_run:
                raise EndpointListError("not up")
            yield until
        if not holds_lease():  # the last thing before the act
            self.count("acts not done: the lease had ended")
            return
        yield from connection.get(target, until, lambda: self.run_number != this_run, "POST")
        self.last_progress_at = self.loop.now
