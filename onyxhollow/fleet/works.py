"""What a duty's holder does. A work knows its term and `still()`, and nothing of voters or members.

`still` looks at the clock: it is called just before each act, after whatever may have taken time.
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

ANSWER = 1.0  # seconds for a called address to answer


class LeaderTask(Protocol):
    last_progress_at: float  # when it last got something done, on the loop's clock
    superseded: bool  # what it acts on has seen a newer term

    def start(self, term: int, still: Callable[[], bool]) -> None: ...

    def stop(self) -> None: ...


class Caller:
    """One connection to an address, and the coroutine that uses it."""

    def __init__(self) -> None:
        self.pool = BufferPool()
        self.running = 0  # which of its runs is the present one
        self.caller: DiscoveryConnection | None = None
        self.task: Task | None = None

    def stop(self) -> None:
        self.running += 1
        self.hang_up()

    def hang_up(self) -> None:
        if self.caller:
            self.caller.channel.close()
            self.caller = None

    def wake(self) -> None:
        if self.task:
            self.task.wake()


class WebhookTask(Caller):
    """Calls an address over and over while the duty is held: POST PATH?duty=..&term=..&member=..&number=...

    200: done. 409: it has seen a newer term, and this holder gives up. Anything else, and silence: no
    progress.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        path: str,
        duty: str,
        member: str,
        every: float,
        count: Callable[[str], None],
    ) -> None:
        self.loop, self.address, self.every, self.count = loop, address, every, count
        self.target = f"{path}?duty={quote(duty)}&member={quote(member)}"
        super().__init__()
        self.last_progress_at, self.superseded = loop.now, False

    def start(self, term: int, still: Callable[[], bool]) -> None:
        self.running += 1
        self.last_progress_at, self.superseded = self.loop.now, False
        self.task = self.loop.spawn(self.run(self.running, term, still))

    def run(self, this: int, term: int, still: Callable[[], bool]) -> Generator[float, None, None]:
        number = 0
        while self.running == this:
            due, number = self.loop.now + self.every, number + 1
            try:
                yield from self.act(this, f"{self.target}&term={term}&number={number}", still)
            except DiscoveryStatusError as error:
                self.hang_up()
                self.superseded = error.status == 409
            except (EndpointListError, OSError, h11.ProtocolError):
                if self.running == this:
                    self.hang_up()
            while self.running == this and self.loop.now < due:
                yield due

    def act(self, this: int, target: str, still: Callable[[], bool]) -> Generator[float, None, None]:
        until = self.loop.now + ANSWER
        if self.caller is None or not self.caller.reusable:
            self.hang_up()
            self.caller = DiscoveryConnection(self.loop, self.address, self.pool, self.wake)
        caller = self.caller
        while caller.channel.connecting:  # written before it is up, an act would go out unlooked at
            if self.loop.now >= until or self.running != this:
                raise EndpointListError("not up")
            yield until
        if not still():  # the last thing before the act
            self.count("acts not done: the lease had ended")
            return
        yield from caller.get(target, until, lambda: self.running != this, "POST")
        self.last_progress_at = self.loop.now
