"""Second phase of a client connection: attempts at endpoints until one accepts or no more are made."""

from __future__ import annotations

import math
from collections.abc import Generator

from onyxhollow.counters import ACCEPTED
from onyxhollow.interface import AttemptOutcome, Listener, Tenant
from onyxhollow.session_handle import Selection, SessionHandle
from onyxhollow.wire.attempts import AttemptResult
from onyxhollow.wire.connection_states import ConnectionEvent
from onyxhollow.wire.messages import MalformedError, OpenRequest
from onyxhollow.wire.session_core import SessionCore
from onyxhollow.wire.session_registry import ADOPTION_PERIOD_SECONDS

# Part of the client's wait, at most a tenth of it, kept for sending the answer and for delays of a busy core.
ANSWER_MARGIN_SECONDS = 0.03
FIRST_LIST_CHECK_INTERVAL_SECONDS = 0.05  # of requests that wait for the first list of a process that starts
ADOPTION_RETRY_INTERVAL_SECONDS = 0.25  # between attempts for a connection that was open before the start


class Placement:
    """Finds an endpoint for one request; it is the `AttemptOwner` of its attempts."""

    __slots__ = (
        "counters",
        "error_answers",
        "loop",
        "registry",
        "request",
        "requested_at",
        "session",
        "wake",
    )

    def __init__(self, session: SessionCore, request: OpenRequest) -> None:
        self.session = session
        self.request = request
        self.registry = session.registry
        self.loop = session.loop
        self.counters = session.counters
        self.wake = session.wake
        self.requested_at = self.loop.now
        self.error_answers = 0  # endpoints that answered an attempt with ERR

    def run(self) -> Generator[float, None, SessionHandle | None]:
        """Place the request and return its handle; return None if it was answered or ended instead.

        Raises:
            MalformedError: The request is not valid here.
        """
        listener = self.register_request()
        if self.registry.service.holds_requests:
            yield from self.wait_for_first_list(listener)
        tenant = self.registry.find_tenant(self.request.tenant)
        self.counters.add("sessions taken")
        if self.request.previous_endpoint is not None:
            return (yield from self.adopt(self.request.previous_endpoint, listener, tenant))
        # The first new request means that all earlier sessions have reconnected.
        self.registry.adoption_deadline = -math.inf
        if not self.registry.free_descriptors():
            # An attempt without a free descriptor would fail and count as evidence against the endpoint.
            self.counters.add("sessions refused for want of descriptors")
            self.session.answer(True)
            return None
        handle = self.registry.decisions.admit(
            self.wake, listener, tenant, self.request.group, self.time_for_decisions(), self.request.load
        )
        self.session.handle = handle
        return (yield from self.attempt_until_up(handle))

    def register_request(self) -> Listener:
        """Validate the request against the settings and seen session ids, then register it."""
        request = self.request
        client = self.session.client
        listener = self.registry.find_listener(request.listener)
        if listener is None:
            raise MalformedError(f"c: expected the name of a listener, got {request.listener[:40]!r}")
        if request.previous_endpoint is not None and not self.registry.may_adopt(request.previous_endpoint):
            raise MalformedError(
                f"at: expected a listed endpoint soon after the start, got {request.previous_endpoint[:40]!r}"
            )
        if not client.ended:
            client.read()  # bytes sent after the line may have arrived already
        if len(client.inbox):
            raise MalformedError("bytes before UP")
        if not self.registry.table.claim_id(request.session_id):
            raise MalformedError("session id: expected a new one, got that of another session")
        self.session.request = request
        self.session.advance(ConnectionEvent.REQUEST_RECEIVED)
        self.registry.active_count += 1
        return listener

    def wait_for_first_list(self, listener: Listener) -> Generator[float, None, None]:
        """Wait for the first list of a process that starts, while the request can still be served in time."""
        last_attempt_at = self.requested_at + self.request.time_left - listener.handshake_objective
        if self.request.previous_endpoint is not None:
            last_attempt_at = math.inf
        while self.registry.service.holds_requests and self.loop.now < last_attempt_at:
            if self.session.is_abandoned():
                break
            yield min(last_attempt_at, self.loop.now + FIRST_LIST_CHECK_INTERVAL_SECONDS)

    def time_for_decisions(self) -> float:
        """Return the seconds left for placement; -inf if requests are rejected in this service phase."""
        if self.registry.service.rejects_requests:
            return -math.inf
        time_left = self.request.time_left
        waited = self.loop.now - self.requested_at
        return time_left - min(ANSWER_MARGIN_SECONDS, time_left / 10) - waited

    def attempt_until_up(self, handle: SessionHandle) -> Generator[float, None, SessionHandle | None]:
        """Make the attempts that the policy selects; return None if the session was answered instead."""
        session = self.session
        while True:
            selection = yield from handle.wait_for_selection(session.is_abandoned)
            if selection is None:
                session.end_without_endpoint(handle, handle.give_up().rejected)
                return None
            if selection.endpoint is None:
                session.answer(selection.rejected, selection.retry_after)
                return None
            if session.is_disconnected():
                session.end_without_endpoint(handle, handle.give_up(AttemptOutcome.NOT_SENT).rejected)
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
                rejected = handle.give_up(result.outcome, duration, result.load).rejected
                session.end_without_endpoint(handle, rejected)
                return None
            handle.report_ended(self.outcome_to_report(result.outcome), duration, False, result.load)

    def log_failure(self, selection: Selection, result: AttemptResult, duration: float) -> None:
        """Count and log a failed attempt."""
        outcome = result.outcome.value
        self.counters.add(f"dials {outcome}")
        self.registry.log(
            "dial",
            id=self.request.session_id,
            server=selection.endpoint,
            end=outcome,
            took=round(duration, 4),
            given=round(selection.timeout, 3),
            since=round(self.loop.now - self.requested_at, 4),
        )

    def outcome_to_report(self, outcome: AttemptOutcome) -> AttemptOutcome:
        """Return the outcome to report: CANCELLED in place of ERROR from the second ERR answer on.

        If two endpoints answer a request with ERR, the request is at fault, for example because its session
        id is open at another proxy. That is no evidence against the endpoints. The request may have run.
        """
        if outcome is not AttemptOutcome.ERROR:
            return outcome
        self.error_answers += 1
        return AttemptOutcome.CANCELLED if self.error_answers > 1 else outcome

    def attempt(self, endpoint: str, wait: float) -> Generator[float, None, AttemptResult]:
        """Make one attempt, and forward the endpoint's UP unless the client has left."""
        session = self.session
        session.advance(ConnectionEvent.ATTEMPT_STARTED)
        self.registry.free_descriptors()  # others may have been opened while this session waited
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
        """Reconnect a session that was open before the start, with attempts at its previous endpoint only."""
        session = self.session
        deadline = self.loop.now + ADOPTION_PERIOD_SECONDS
        session.endpoint = endpoint
        while True:
            yield from self.attempt(endpoint, deadline - self.loop.now)
            if session.is_open:
                break
            current_deadline = min(deadline, self.registry.adoption_deadline)
            if session.is_abandoned() or self.loop.now >= current_deadline:
                self.end_adoption()
                return None
            yield from self.loop.sleep(ADOPTION_RETRY_INTERVAL_SECONDS)
        self.counters.add("sessions adopted")
        session.handle = self.registry.decisions.adopt(
            self.wake, listener, tenant, self.request.group, self.request.load, endpoint
        )
        return session.handle

    def end_adoption(self) -> None:
        """Tear down a session from before the start whose endpoint did not accept it."""
        if not self.session.end_reason:
            self.session.answer(False)

    # Methods of AttemptOwner.

    def opening_line(self, wait: float) -> bytes:
        """Return the OPEN line with the wait in it; that of a reconnected session is forwarded unchanged."""
        request = self.request
        return request.line if request.previous_endpoint is not None else request.forwarded_line(wait)

    def may_send(self) -> bool:
        """Return whether the OPEN line may still be written.

        The client's connection is read first, because the loop may not have processed its end in this turn.
        """
        session = self.session
        if not session.client.ended:
            session.client.read()
        if session.is_abandoned():
            return False
        return session.handle is None or session.handle.may_send()

    def abort_outcome(self) -> AttemptOutcome | None:
        """Return the outcome with which the attempt in flight must end now, or None if it continues."""
        handle = self.session.handle
        if handle is None:
            cancelled = self.session.is_disconnected()
        else:
            if self.session.is_disconnected() and not handle.answered:
                handle.report_client_gone()  # the policy cancels the attempt if that is allowed
            cancelled = handle.cancel_requested
        return AttemptOutcome.CANCELLED if cancelled or self.session.stopping else None
