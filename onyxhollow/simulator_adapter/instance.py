"""One simulated proxy: passes received messages to its policy and sends the policy's requests."""

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

MIN_TIMEOUT_NS = 1  # the protocol does not allow an attempt timeout of 0


class Instance:
    """One simulated proxy: the host of its policy, and its sessions by their id in the protocol.

    Methods named `on_...` are given the values of one message in order and ignore additional values. They
    raise WireError if a value is invalid.
    """

    def __init__(self, number: int, seed: int, options: Any, now: float, output: list[str]) -> None:
        """Create a proxy; `now` is in seconds, and the lines that it sends are appended to `output`.

        Raises:
            WireError: `options` is not a complete settings object.
        """
        self.number = number
        self.now = now
        self.output = output
        self.sessions: dict[int, Session] = {}
        self.settings, self.report_fields = read_settings(options)
        self.balancer = Balancer(self, self.settings, seed)

    def _send(self, name: str, *values: object) -> None:
        self.output.append(encode_message(name, self.number, *values))

    # Requests of the policy; see interface.Host.

    def start_attempt(self, token: Hashable, endpoint: str, timeout: float) -> None:
        """Forward a session to an endpoint; `timeout` is in seconds."""
        self._send("forward", token, endpoint, max(MIN_TIMEOUT_NS, round(timeout * NS_PER_S)))

    def cancel_attempt(self, token: Hashable, attempt: int) -> None:
        """Cancel one attempt of a session; attempts are numbered from 0."""
        self._send("recall", token, attempt)

    def reject(self, token: Hashable, retry_after: float) -> None:
        """Reject a session; its client can retry after `retry_after` seconds."""
        self._remove_session(token)
        self._send("overloadReply", token, round(retry_after * NS_PER_S))

    def tear_down(self, token: Hashable) -> None:
        """Answer a session with an error."""
        self._remove_session(token)
        self._send("finishError", token)

    def migrate(self, token: Hashable) -> None:
        """Ask a client to reconnect, so that its session is placed on another endpoint."""
        self._send("relocate", token)

    def check_health(self, endpoint: str) -> None:
        """Send a health check to an endpoint."""
        self._send("soundOut", endpoint)

    def poll_endpoint_list(self) -> None:
        """Poll discovery for the endpoint list."""
        self._send("observe", True)

    def set_timer(self, when: float) -> None:
        """Set the only timer; `when` is in seconds and rounded up, so that the timer never fires early."""
        self._send("wakeAt", math.ceil(when * NS_PER_S), 0)

    def log(self, line: str) -> None:
        """Write a line to the simulator's log."""
        self._send("print", line)

    def _remove_session(self, token: Hashable) -> None:
        self.sessions.pop(token, None)  # type: ignore[call-overload]

    # Messages from the simulator.

    def on_endpoint_list(self, kind: Any, _index: Any, rows: Any = None, *_: Any) -> None:
        """Apply an answer of discovery: a snapshot, a delta, a cached copy or a failure."""
        if not isinstance(kind, str) or kind not in LIST_KINDS:
            raise WireError(f"form: expected cached, full, delta or failed, got {kind!r:.80}")
        if rows is not None and not isinstance(rows, list):
            raise WireError(f"membersList: expected a list, got {rows!r}")
        self.balancer.on_endpoint_list(LIST_KINDS[kind], [read_endpoint(row) for row in rows or []])

    def on_session(self, *values: Any) -> None:
        """Admit a session that a client requests."""
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
        """Adopt a connection that was open before this proxy started."""
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

    def on_established(self, token: Any, _attempt: Any, _endpoint: Any, duration_ns: Any, *_: Any) -> None:
        """Record that an endpoint accepted a session `duration_ns` after the attempt started."""
        session = self.sessions.get(check_integer(token, "corr"))
        if session is not None:
            session.on_established(read_seconds(duration_ns, "tookNs"))

    def on_change(self, token: Any, _attempt: Any, _endpoint: Any, kind: Any, value: Any, *_: Any) -> None:
        """Record a new load or message delay of an established session."""
        session = self.sessions.get(check_integer(token, "corr"))
        if session is None:
            return
        if kind == ChangeKind.LOAD:
            session.on_load(read_amount(value, "value") / US_PER_S)
        elif kind == ChangeKind.DELAY:
            session.on_message_delay(read_amount(value, "value") / MS_PER_S)

    def on_attempt_ended(
        self, token: Any, duration_ns: Any, outcome_code: Any, complete: Any, *others: Any
    ) -> None:
        """Record the end of an attempt, or with `complete` of the session; `others[2]` is a load report."""
        token = check_integer(token, "corr")
        if not isinstance(complete, bool):
            raise WireError(f"complete: expected true or false, got {complete!r}")
        session = self.sessions.get(token)
        if session is None:
            return
        if complete:
            del self.sessions[token]
        outcome = read_outcome(outcome_code)
        load = self._reported_load(others[2] if len(others) > 2 else None)
        if outcome is AttemptOutcome.CANCELLED and session.established:
            # The protocol has one code for a client that left and for one that the endpoint disconnected.
            session.on_client_gone()
        session.on_attempt_ended(outcome, complete, read_seconds(duration_ns, "tookNs"), load)

    def on_client_gone(self, token: Any, *_: Any) -> None:
        """Record that the client of a session left."""
        token = check_integer(token, "corr")
        session = self.sessions.get(token)
        if session is None:
            return
        if not session.attempt_in_flight:
            del self.sessions[token]
        session.on_client_gone()

    def on_timer(self, *_: Any) -> None:
        """Run the policy's expired timers."""
        self.balancer.tick()

    def on_health_check(
        self, endpoint: Any, outcome_code: Any, duration_ns: Any, report: Any = None, *_: Any
    ) -> None:
        """Record the result of a health check."""
        outcome = read_outcome(outcome_code)
        duration = read_seconds(duration_ns or 0, "tookNs")
        self.balancer.on_health_check(
            read_text(endpoint, "server"), outcome, duration, self._reported_load(report)
        )

    def on_peer_message(self, *_: Any) -> None:
        """Ignore a message of another proxy; the policy uses none."""

    def _reported_load(self, report: Any) -> float | None:
        """Return the load from the report field that the settings name; None if the report lacks it."""
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
