"""Waits of a process that has just started for its first endpoint list."""

from __future__ import annotations

from collections.abc import Generator

from onyxhollow.interface import EndpointListKind
from onyxhollow.lifecycle.accepting import ClientAcceptor
from onyxhollow.loop import Loop, Task
from onyxhollow.service_state import ServicePhase, ServiceState

TIMEOUT = 0.5  # seconds for which the list is waited for at the start where it is pushed


class FirstList:
    """Whether the discovery service has answered this process yet."""

    def __init__(self) -> None:
        self.answered = False  # the first poll has been answered, or has failed
        self.received = False  # a list has come
        self.starter: Task | None = None  # woken at each answer
        self.follower: Task | None = None  # woken by the first list

    def on_update(self, kind: EndpointListKind) -> None:
        """Notes an answer, and wakes who waits for it."""
        self.answered = True
        if self.starter is not None:
            self.starter.wake()
        if not self.received and kind is not EndpointListKind.FAILED:
            self.received = True
            if self.follower is not None:
                self.follower.wake()

    def begin_service(
        self, loop: Loop, service: ServiceState, acceptor: ClientAcceptor
    ) -> Generator[float, None, None]:
        """Begins to accept once the list service has answered or failed, or has not in time.

        Where the list is pushed, what its service has counts as notified from this process's start on. The
        list from the file may name endpoints that drain since, and no client is placed by it.
        """
        until = loop.now + TIMEOUT
        while not self.answered and loop.now < until:
            yield until
        if service.is_any(ServicePhase.STARTING):
            service.phase = ServicePhase.IN_SERVICE
            acceptor.update()
