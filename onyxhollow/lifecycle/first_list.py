"""The wait of a new process for its first endpoint list."""

from __future__ import annotations

from collections.abc import Generator

from onyxhollow.interface import EndpointListKind
from onyxhollow.lifecycle.accepting import ClientAcceptor
from onyxhollow.loop import Loop, Task
from onyxhollow.service_state import ServiceState
from onyxhollow.wire.endpoint_list_watch import ANSWER_TIMEOUT_SECONDS

FIRST_LIST_TIMEOUT_SECONDS = ANSWER_TIMEOUT_SECONDS  # wait before placing clients when the list is pushed


class FirstList:
    """Tracks whether the list service has answered this process."""

    def __init__(self) -> None:
        self.is_answered = False  # the first poll has been answered or has failed
        self.is_received = False  # a poll has returned a list
        self.accepting_task: Task | None = None  # woken by each answer
        self.replacement_task: Task | None = None  # woken by the first list

    def on_update(self, kind: EndpointListKind) -> None:
        """Record an answer of the list service and wake the tasks that wait for it."""
        self.is_answered = True
        if self.accepting_task is not None:
            self.accepting_task.wake()
        if not self.is_received and kind is not EndpointListKind.FAILED:
            self.is_received = True
            if self.replacement_task is not None:
                self.replacement_task.wake()

    def begin_service(
        self, loop: Loop, service: ServiceState, acceptor: ClientAcceptor
    ) -> Generator[float, None, None]:
        """Start placing clients once the first poll has been answered, has failed or has timed out.

        Used when the list is pushed. This process then counts as notified of every change from its start on.
        Endpoints of the configured list may be draining by now, so it must not place clients by that list.
        """
        deadline = loop.now + FIRST_LIST_TIMEOUT_SECONDS
        while not self.is_answered and loop.now < deadline:
            yield deadline
        service.end_start()
        acceptor.update()
