"""Tasks that the holder of a role runs while it holds the lease.

A task receives its term and a function that checks the lease; it is independent of voters and members. The
check reads the clock. A task must call it immediately before each action, after any operation that may block.
A process can still be suspended between the check and the system call. The server therefore rejects an action
whose term is older than the newest that it has received.
"""

from __future__ import annotations

from collections.abc import Callable, Generator
from typing import Protocol
from urllib.parse import quote

import h11

from onyxhollow.loop import Loop, Task
from onyxhollow.membership.messages import Address
from onyxhollow.wire.buffers import BufferPool
from onyxhollow.wire.discovery_connection import (
    DiscoveryConnection,
    DiscoveryStatusError,
    RequestWithheldError,
)
from onyxhollow.wire.endpoint_list import EndpointListError

CALL_TIMEOUT_SECONDS = 1.0
STALE_TERM_STATUS = 409  # HTTP status of a server that has received a newer term


class LeaderTask(Protocol):
    """Task of one role at one member.

    Attributes:
        last_progress_at: Time of the last successful action, on the loop's clock.
        superseded: Whether the server that the task acts on has received a newer term.
    """

    last_progress_at: float
    superseded: bool

    def start(self, term: int, holds_lease: Callable[[], bool], /) -> None:
        """Start acting under `term`; call `holds_lease` immediately before each action."""

    def stop(self) -> None:
        """Stop acting because the lease has ended or is about to end."""


class HttpRequestTask:
    """Base of tasks that send HTTP requests to one address over one connection.

    Attributes:
        buffers: Buffers of the connection.
        run_number: Number of the current run; a coroutine of an earlier run ends when the number differs from
            its own.
        connection: The connection; None if there is none.
        task: Coroutine of the current run.
    """

    def __init__(self) -> None:
        self.buffers = BufferPool()
        self.run_number = 0
        self.connection: DiscoveryConnection | None = None
        self.task: Task | None = None

    def stop(self) -> None:
        """End the current run."""
        self.run_number += 1
        self.close_connection()

    def close_connection(self) -> None:
        """Close the connection if there is one."""
        if self.connection:
            self.connection.channel.close()
            self.connection = None

    def wake(self) -> None:
        """Resume the coroutine after an event on the connection."""
        if self.task:
            self.task.wake()


class WebhookTask(HttpRequestTask):
    """Calls an address periodically: POST PATH?duty=..&member=..&term=..&number=...

    Status 200 counts as progress. With status 409 the server has received a newer term, and this holder hands
    over. Any other status and a timeout count as no progress.
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
        """Create a task that is inactive until `start`.

        Args:
            loop: Event loop of the proxy.
            address: Address of the server.
            path: Path of the requests.
            role: Name of the role, sent with each request.
            process_id: Id of this process, sent with each request.
            interval: Seconds between calls.
            count: Increments the named counter.
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
        """Start a run under `term`."""
        self.run_number += 1
        self.last_progress_at = self.loop.now
        self.superseded = False
        self.task = self.loop.spawn(self._run(self.run_number, term, holds_lease))

    def _run(self, this_run: int, term: int, holds_lease: Callable[[], bool]) -> Generator[float, None, None]:
        call_number = 0
        while self.run_number == this_run:
            next_call_at = self.loop.now + self.interval
            call_number += 1
            try:
                yield from self._send_request(
                    this_run, f"{self.target}&term={term}&number={call_number}", holds_lease
                )
            except DiscoveryStatusError as error:
                self.close_connection()
                self.superseded = error.status == STALE_TERM_STATUS
            except RequestWithheldError:
                self.count("acts not done: the lease had ended")
                if self.run_number == this_run:
                    self.close_connection()
            except (EndpointListError, OSError, h11.ProtocolError):
                if self.run_number == this_run:
                    self.close_connection()
            while self.run_number == this_run and self.loop.now < next_call_at:
                yield next_call_at

    def _send_request(
        self, this_run: int, target: str, holds_lease: Callable[[], bool]
    ) -> Generator[float, None, None]:
        deadline = self.loop.now + CALL_TIMEOUT_SECONDS
        if self.connection is None or not self.connection.is_reusable:
            self.close_connection()
            self.connection = DiscoveryConnection(self.loop, self.address, self.buffers, self.wake)
        connection = self.connection
        # A request written while the connection is pending would be sent later, without a check of the lease.
        while connection.channel.connecting:
            if self.loop.now >= deadline or self.run_number != this_run:
                raise EndpointListError("webhook: expected an established connection, got a pending one")
            yield deadline
        yield from connection.get(
            target, deadline, lambda: self.run_number != this_run, "POST", may_send=holds_lease
        )
        self.last_progress_at = self.loop.now
