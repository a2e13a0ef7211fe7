"""The second phase of a client's connection: attempts at endpoints, until one is up or all is over."""

from __future__ import annotations

import math
from collections.abc import Generator

from onyxhollow.counters import ACCEPTED
from onyxhollow.decision_adapter import Selection, SessionHandle
from onyxhollow.interface import AttemptOutcome, Listener, Tenant
from onyxhollow.service_state import ServicePhase
from onyxhollow.wire.attempts import AttemptResult
from onyxhollow.wire.connection_states import ConnectionEvent
from onyxhollow.wire.messages import MalformedError, OpenRequest
from onyxhollow.wire.session_core import SessionCore
from onyxhollow.wire.session_registry import ADOPTION_PERIOD

ANSWER_MARGIN = (
    0.03  # seconds of the client's wait, a tenth at most, for the answer's own way and a busy core
)
ADOPTION_RETRY_INTERVAL = 0.25  # seconds between attempts for a connection that was open before the run


class Placement:
    """Finds an endpoint for one request. It is the `AttemptOwner` of the attempts that it makes."""

    __slots__ = ("counters", "error_answers", "loop", "registry", "request", "session", "taken_at", "wake")

    def __init__(self, session: SessionCore, request: OpenRequest) -> None:
        self.session = session
        self.request = request
        self.registry = session.registry
        self.loop = session.loop
        self.counters = session.counters
        self.wake = session.wake
        self.taken_at = self.loop.now
        self.error_answers = 0  # endpoints that answered an attempt with ERR

    def run(self) -> Generator[float, None, SessionHandle | None]:
        """Places the request; None when the connection was answered or ended instead.

        Raises:
            MalformedError: The request can't be taken.
        """
        listener = self.take_request()
        tenant = self.registry.find_tenant(self.request.tenant)
        self.counters.add("sessions taken")
        if self.request.open_at is not None:
            return (yield from self.adopt(self.request.open_at, listener, tenant))
        self.registry.adoption_deadline = -math.inf  # the run has begun: all from before it are up
        if not self.registry.free_descriptors():
            # An attempt without a descriptor would fail here and be held against the endpoint.
            self.counters.add("sessions refused for want of descriptors")
            self.session.answer(True)
            return None
        self.taken_at = self.loop.now
        handle = self.registry.decisions.admit(
            self.wake, listener, tenant, self.request.group, self.time_for_decisions(), self.request.load
        )
        self.session.handle = handle
        return (yield from self.attempt_until_up(handle))

    def take_request(self) -> Listener:
        """Checks the request against what this process knows, and takes it."""
        request = self.request
        client = self.session.client
        listener = self.registry.find_listener(request.listener)
        if listener is None:
            raise MalformedError(f"no such listener {request.listener[:40]!r}")
        if request.open_at is not None and not self.registry.may_adopt(request.open_at):
            raise MalformedError(f"at: not due at {request.open_at[:40]!r}")
        if not client.ended:
            client.read()  # what was sent behind the line may be there already
        if len(client.inbox):
            raise MalformedError("bytes before UP")
        if not self.registry.table.claim_id(request.session_id):
            raise MalformedError("the id of another session")
        self.session.request = request
        self.session.advance(ConnectionEvent.REQUEST_TAKEN)
        self.registry.active_count += 1
        return listener

    def time_for_decisions(self) -> float:
        """Seconds that the decisions have; none where the process is out of service: they reject it."""
        if self.registry.service.is_any(ServicePhase.OUT_OF_SERVICE):
            return -math.inf
        time_left = self.request.time_left
        return time_left - min(ANSWER_MARGIN, time_left / 10)

    def attempt_until_up(self, handle: SessionHandle) -> Generator[float, None, SessionHandle | None]:
        """Makes the attempts that the decisions choose; None when the session was answered instead."""
        session = self.session
        while True:
            selection = yield from handle.wait_for_selection(session.is_abandoned)
            if selection is None:
                session.conclude(handle, handle.give_up().rejected)
                return None
            if selection.endpoint is None:
                session.answer(selection.rejected, selection.retry_after)
                return None
            if session.is_disconnected():
                session.conclude(handle, handle.give_up(AttemptOutcome.NOT_SENT).rejected)
                return None
            started_at = self.loop.now
            session.endpoint = selection.endpoint
            session.attempt_count += 1
            self.counters.add("dials")
            result = yield from self.attempt(selection.endpoint, selection.timeout)
            duration = self.loop.now - started_at
            if session.is_open:
                self.counters.add("sessions accepted")
                handle.report_established(duration)
                return handle
            self.log_failure(selection, result, duration)
            if session.is_abandoned():
                refused = handle.give_up(result.outcome, duration, result.load).rejected
                session.conclude(handle, refused)
                return None
            handle.report_ended(self.blameless_outcome(result.outcome), duration, False, result.load)

    def log_failure(self, selection: Selection, result: AttemptResult, duration: float) -> None:
        """Counts and logs an attempt that did not come up."""
        outcome = result.outcome.value
        self.counters.add(f"dials {outcome}")
        self.registry.log(
            "dial",
            id=self.request.session_id,
            server=selection.endpoint,
            end=outcome,
            took=round(duration, 4),
            given=round(selection.timeout, 3),
            since=round(self.loop.now - self.taken_at, 4),
        )

    def blameless_outcome(self, outcome: AttemptOutcome) -> AttemptOutcome:
        """The outcome, but CANCELLED for the second endpoint that answers with ERR.

        Two endpoints that both fail it: what this client sent is at fault (the id of a session open at
        another proxy, say), which says nothing of them. It may have run all the same.
        """
        if outcome is not AttemptOutcome.ERROR:
            return outcome
        self.error_answers += 1
        return AttemptOutcome.CANCELLED if self.error_answers > 1 else outcome

    def attempt(self, endpoint: str, wait: float) -> Generator[float, None, AttemptResult]:
        """Makes one attempt, and forwards the endpoint's UP if the client is still there."""
        session = self.session
        session.advance(ConnectionEvent.ATTEMPT_STARTED)
        result = yield from self.registry.attempts.run(endpoint, wait, self)
        if result.channel is None:
            session.advance(ConnectionEvent.ATTEMPT_FAILED)
            return result
        if session.is_disconnected():
            result.channel.close()
            session.advance(ConnectionEvent.ATTEMPT_FAILED)
            return AttemptResult(AttemptOutcome.CANCELLED)
        session.server = result.channel
        session.advance(ConnectionEvent.UP_FORWARDED)
        session.count_outcome(ACCEPTED)
        session.client.write(result.up_line)
        return result

    def adopt(
        self, endpoint: str, listener: Listener, tenant: Tenant | None
    ) -> Generator[float, None, SessionHandle | None]:
        """A connection that was open before the run: to that endpoint and no other, until it is up."""
        session = self.session
        until = self.loop.now + ADOPTION_PERIOD
        session.endpoint = endpoint
        while True:
            yield from self.attempt(endpoint, until - self.loop.now)
            if session.is_open:
                break
            deadline = min(until, self.registry.adoption_deadline)
            if session.is_abandoned() or self.loop.now >= deadline:
                self.end_adoption()
                return None
            yield from self.loop.sleep(ADOPTION_RETRY_INTERVAL)
        self.counters.add("sessions adopted")
        session.handle = self.registry.decisions.adopt(
            self.wake, listener, tenant, self.request.group, self.request.load, endpoint
        )
        return session.handle

    def end_adoption(self) -> None:
        """Tears down a connection from before the run that did not come up."""
        if not self.session.end_reason:
            self.session.answer(False)

    # what its attempts need to know

    def opening_line(self, wait: float) -> bytes:
        """The client's own line with the wait in it; one from before the run is forwarded to the letter."""
        request = self.request
        return request.line if request.open_at is not None else request.forwarded_line(wait)

    def may_send(self) -> bool:
        """Whether the line may still be written.

        The client's connection is read first: its end may not have been served in this turn yet.
        """
        session = self.session
        if not session.client.ended:
            session.client.read()
        if session.is_abandoned():
            return False
        return session.handle is None or session.handle.may_send()

    def abort_outcome(self) -> AttemptOutcome | None:
        """Whether the attempt in flight is to end now, and as what."""
        handle = self.session.handle
        if handle is None:
            cancelled = self.session.is_disconnected()
        else:
            if self.session.is_disconnected() and not handle.answered:
                handle.report_client_gone()  # where it is allowed, the decisions call the attempt back
            cancelled = handle.cancel_requested
        return AttemptOutcome.CANCELLED if cancelled or self.session.stopping else None
