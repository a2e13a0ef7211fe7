"""One simulated proxy: its decisions, the messages that reach it and the messages it sends."""

from __future__ import annotations

import math
from collections.abc import Callable, Hashable
from typing import Any

from onyxhollow.interface import AttemptOutcome
from onyxhollow.policy import Balancer, Session
from onyxhollow.settings import WireError, check_integer, read_settings
from onyxhollow.simulator_adapter.wire import (
    LIST_KINDS,
    MS_PER_S,
    NS_PER_S,
    US_PER_S,
    ChangeKind,
    encode_message,
    read_amount,
    read_endpoint,
    read_outcome,
    read_seconds,
    read_session,
    read_text,
)

MIN_TIMEOUT_NS = 1  # the wire has no attempt without time


class Instance:
    """One proxy: the host of its decisions, and the sessions by the id they have on the wire.

    Methods named `on_...` take the values of one message, in its order; further values are ignored. They
    raise WireError if a value is impossible.
    """

    def __init__(self, number: int, seed: int, options: Any, now: float, output: list[str]) -> None:
        """A proxy of its own; `now` in seconds, `output` takes the lines it sends.

        Raises:
            WireError: `options` isn't a complete settings object.
        """
        self.number = number
        self.now = now
        self.output = output
        self.sessions: dict[int, Session] = {}
        self.settings, self.report_fields = read_settings(options)
        self.balancer = Balancer(self, self.settings, seed)

    def _send(self, name: str, *values: object) -> None:
        self.output.append(encode_message(name, self.number, *values))

    # The decisions' requests to their host.

    def start_attempt(self, token: Hashable, endpoint: str, timeout: float) -> None:
        """Forwards a session to an endpoint; `timeout` in seconds."""
        self._send("forward", token, endpoint, max(MIN_TIMEOUT_NS, round(timeout * NS_PER_S)))

    def cancel_attempt(self, token: Hashable, attempt: int) -> None:
        """Withdraws an attempt, counted from 0 in its session."""
        self._send("recall", token, attempt)

    def reject(self, token: Hashable, retry_after: float) -> None:
        """Rejects a session; the client may come back after `retry_after` seconds."""
        self._forget(token)
        self._send("overloadReply", token, round(retry_after * NS_PER_S))

    def tear_down(self, token: Hashable) -> None:
        """Ends a session with an error."""
        self._forget(token)
        self._send("finishError", token)

    def migrate(self, token: Hashable) -> None:
        """Tells a client to come back, so that its session goes to another endpoint."""
        self._send("relocate", token)

    def check_health(self, endpoint: str) -> None:
        """Sends a health check to an endpoint."""
        self._send("soundOut", endpoint)

    def poll_endpoint_list(self) -> None:
        """Polls discovery for the endpoint list."""
        self._send("observe", True)

    def set_timer(self, when: float) -> None:
        """Sets the only timer; `when` in seconds, rounded up so that it never fires before."""
        self._send("wakeAt", math.ceil(when * NS_PER_S), 0)

    def log(self, line: str) -> None:
        """Writes a line to the simulator's log."""
        self._send("print", line)

    def _forget(self, token: Hashable) -> None:
        self.sessions.pop(token, None)  # type: ignore[call-overload]

    # What the wire reports.

    def on_endpoint_list(self, form: Any, _index: Any, rows: Any = None, *_: Any) -> None:
        """An answer of discovery: a snapshot, a delta, an old copy or a failure."""
        if form not in LIST_KINDS:
            raise WireError(f"form: impossible value {form!r}")
        if rows is not None and not isinstance(rows, list):
            raise WireError(f"membersList: impossible value {rows!r}")
        self.balancer.on_endpoint_list(LIST_KINDS[form], [read_endpoint(row) for row in rows or []])

    def on_session(self, *values: Any) -> None:
        """A client requests a session."""
        request = read_session(list(values), self.settings.listeners)
        session = self.balancer.admit(
            request.token,
            self.settings.listeners[request.listener],
            self.settings.tenants.get(request.tenant),
            request.group,
            request.time_left,
            request.load,
        )
        if not session.answered:
            self.sessions[request.token] = session

    def on_existing_session(self, *values: Any) -> None:
        """A connection that was open at an endpoint before this proxy began."""
        request = read_session(list(values[:8]), self.settings.listeners)
        endpoint = read_text(values[8] if len(values) > 8 else None, "server")
        session = self.balancer.adopt(
            request.token,
            self.settings.listeners[request.listener],
            self.settings.tenants.get(request.tenant),
            request.group,
            request.load,
            endpoint,
        )
        if session is not None:
            self.sessions[request.token] = session

    def on_established(self, token: Any, _attempt: Any, _endpoint: Any, took: Any, *_: Any) -> None:
        """An endpoint has accepted a session; `took` is the time of its set-up."""
        session = self.sessions.get(check_integer(token, "corr"))
        if session is not None:
            session.on_established(read_seconds(took, "tookNs"))

    def on_change(self, token: Any, _attempt: Any, _endpoint: Any, kind: Any, value: Any, *_: Any) -> None:
        """The load or the message delay of an established session has changed."""
        session = self.sessions.get(check_integer(token, "corr"))
        if session is None:
            return
        if kind == ChangeKind.LOAD:
            session.on_load(read_amount(value, "value") / US_PER_S)
        elif kind == ChangeKind.DELAY:
            session.on_message_delay(read_amount(value, "value") / MS_PER_S)

    def on_attempt_ended(self, token: Any, took: Any, how: Any, complete: Any, *rest: Any) -> None:
        """An attempt, or with `complete` the session, has ended; the third of `rest` is a load report."""
        token = check_integer(token, "corr")
        if not isinstance(complete, bool):
            raise WireError(f"complete: impossible value {complete!r}")
        session = self.sessions.get(token)
        if session is None:
            return
        if complete:
            del self.sessions[token]
        outcome = read_outcome(how)
        load = self._reported_load(rest[2] if len(rest) > 2 else None)
        if outcome is AttemptOutcome.CANCELLED and session.established:
            # This wire does not say whether the endpoint sent the client away or the client left.
            session.on_client_gone()
        session.on_attempt_ended(outcome, complete, read_seconds(took, "tookNs"), load)

    def on_client_gone(self, token: Any, *_: Any) -> None:
        """The client has left."""
        token = check_integer(token, "corr")
        session = self.sessions.get(token)
        if session is None:
            return
        if not session.attempt_in_flight:
            del self.sessions[token]
        session.on_client_gone()

    def on_timer(self, *_: Any) -> None:
        """The timer has fired."""
        self.balancer.tick()

    def on_health_check(self, endpoint: Any, how: Any, took: Any, report: Any = None, *_: Any) -> None:
        """A health check has ended."""
        outcome = read_outcome(how)
        seconds = read_seconds(took or 0, "tookNs")
        self.balancer.on_health_check(
            read_text(endpoint, "server"), outcome, seconds, self._reported_load(report)
        )

    def on_peer_message(self, *_: Any) -> None:
        """A message of another proxy: no decision here depends on one."""

    def _reported_load(self, report: Any) -> float | None:
        """The load in a report, by the field that the settings name; None if the report lacks it."""
        name = self.settings.load_field
        if not name or not isinstance(report, list) or len(report) != len(self.report_fields):
            return None
        value = report[self.report_fields.index(name)]
        return None if value is None else read_amount(value, name)


HANDLERS: dict[str, Callable[..., None]] = {
    "members": Instance.on_endpoint_list,
    "order": Instance.on_session,
    "existing": Instance.on_existing_session,
    "begun": Instance.on_established,
    "change": Instance.on_change,
    "answer": Instance.on_attempt_ended,
    "cancelledByClient": Instance.on_client_gone,
    "elapsed": Instance.on_timer,
    "probed": Instance.on_health_check,
    "neighbourSays": Instance.on_peer_message,
}
