"""The wire itself: lines of JSON in, calls on the instances; what they ask of their host, lines out."""

from __future__ import annotations

import json
import math
from collections.abc import Callable, Hashable
from typing import IO, Any, BinaryIO

from onyxhollow.interface import AttemptOutcome, Endpoint, EndpointListKind, EndpointState
from onyxhollow.policy import Balancer, Session
from onyxhollow.settings import WireError, read_settings, whole

ENDS = {
    0: AttemptOutcome.OK,
    5: AttemptOutcome.ERROR,
    11: AttemptOutcome.OVERLOADED,
    110: AttemptOutcome.TIMEOUT,
    111: AttemptOutcome.CONNECT_FAILED,
    104: AttemptOutcome.RESET,
    125: AttemptOutcome.CANCELLED,
    114: AttemptOutcome.NOT_SENT,
}
LISTS = {
    "cached": EndpointListKind.CACHED,
    "full": EndpointListKind.SNAPSHOT,
    "delta": EndpointListKind.DELTA,
    "failed": EndpointListKind.FAILED,
}
READY = {
    "in_service": EndpointState.IN_SERVICE,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
NOTE_LOAD, NOTE_DELAY = 1, 2
COST_KNOWN = 1


def word(value: Any, what: str) -> str:
    if not isinstance(value, str) or not value:
        raise WireError(f"{what}: impossible value {value!r}")
    return value


def figure(value: Any, what: str) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not math.isfinite(value) or value < 0:
        raise WireError(f"{what}: impossible value {value!r}")
    return float(value)


def read_entry(row: Any) -> Endpoint:
    if not isinstance(row, list) or len(row) < 2:
        raise WireError(f"list entry: impossible value {row!r}")
    readiness, name, size, kind, started, zone, cell = (row + [None] * 7)[:7]
    if readiness not in READY:
        raise WireError(f"readiness: impossible value {readiness!r}")
    start = whole(started or 0, "startTimeNs")
    size = 1.0 if size is None else figure(size, "powerHint")
    return Endpoint(
        name=word(name, "server"),
        state=READY[readiness],
        weight=size,
        started_at=start / 1e9 if start else None,
        zone=zone or "",
        cell=cell or 0,
        machine_type=kind or "",
    )


class Instance:
    """One proxy: carries a Balancer, is its Host, and keeps the handles of its sessions by wire id."""

    def __init__(self, number: int, seed: int, options: Any, now: float, out: list[str]) -> None:
        self.number, self.now, self.out = number, now, out
        self.sessions: dict[int, Session] = {}
        self.settings, self.fields = read_settings(options)
        self.balancer = Balancer(self, self.settings, seed)

    def put(self, *values: Any) -> None:
        self.out.append(json.dumps(values, separators=(",", ":")))

    # what the decision module asks of its host
    def start_attempt(self, token: Hashable, server: str, timeout: float) -> None:
        self.put("forward", self.number, token, server, max(1, round(timeout * 1e9)))

    def cancel_attempt(self, token: Hashable, dial: int) -> None:
        self.put("recall", self.number, token, dial)

    def reject(self, token: Hashable, retry_after: float) -> None:
        self.sessions.pop(token, None)  # type: ignore[call-overload]
        self.put("overloadReply", self.number, token, round(retry_after * 1e9))

    def tear_down(self, token: Hashable) -> None:
        self.sessions.pop(token, None)  # type: ignore[call-overload]
        self.put("finishError", self.number, token)

    def migrate(self, token: Hashable) -> None:
        self.put("relocate", self.number, token)

    def check_health(self, server: str) -> None:
        self.put("soundOut", self.number, server)

    def poll_endpoint_list(self) -> None:
        self.put("observe", self.number, True)

    def set_timer(self, when: float) -> None:
        self.put("wakeAt", self.number, math.ceil(when * 1e9), 0)

    def log(self, line: str) -> None:
        self.put("print", self.number, line)

    # what the wire tells
    def members(self, form: Any, _index: Any, entries: Any = None, *_: Any) -> None:
        if form not in LISTS:
            raise WireError(f"form: impossible value {form!r}")
        if entries is not None and not isinstance(entries, list):
            raise WireError(f"membersList: impossible value {entries!r}")
        self.balancer.on_endpoint_list(LISTS[form], [read_entry(row) for row in entries or []])

    def report(self, stats: Any) -> float | None:
        """The load over capacity in a load report, by the field name the settings give; None if not there."""
        name = self.settings.load_field
        if not name or not isinstance(stats, list) or len(stats) != len(self.fields):
            return None
        value = stats[self.fields.index(name)]
        return None if value is None else figure(value, name)

    def describe(self, values: tuple[Any, ...]) -> tuple[int, Any, Any, float, float | None, Any]:
        band, tenant, _, left, work, group, bits = (values[1:] + (None,) * 7)[:7]
        if band not in self.settings.listeners:
            raise WireError(f"band: impossible value {band!r}")
        bits = whole(bits or 0, "bitmap")
        load = figure(work, "workNs") / 1e9 if work is not None and bits & COST_KNOWN else None
        left = whole(left or 0, "expiresInNs") / 1e9
        return whole(values[0] if values else None, "corr"), band, tenant or None, left, load, group

    def order(self, *values: Any) -> None:
        token, band, tenant, left, load, group = self.describe(values)
        listener = self.settings.listeners[band]
        who = self.settings.tenants.get(tenant)
        sess = self.balancer.admit(token, listener, who, group, left, load)
        if not sess.answered:
            self.sessions[token] = sess

    def existing(self, *values: Any) -> None:
        token, band, tenant, _, load, group = self.describe(values[:8])
        server = word(values[8] if len(values) > 8 else None, "server")
        who = self.settings.tenants.get(tenant)
        sess = self.balancer.adopt(token, self.settings.listeners[band], who, group, load, server)
        if sess is not None:
            self.sessions[token] = sess

    def begun(self, corr: Any, _no: Any, _server: Any, took: Any, *_: Any) -> None:
        if sess := self.sessions.get(whole(corr, "corr")):
            sess.on_established(whole(took, "tookNs") / 1e9)

    def change(self, corr: Any, _no: Any, _server: Any, what: Any, value: Any, *_: Any) -> None:
        if sess := self.sessions.get(whole(corr, "corr")):
            if what == NOTE_LOAD:
                sess.on_load(figure(value, "value") / 1e6)
            elif what == NOTE_DELAY:
                sess.on_message_delay(figure(value, "value") / 1e3)

    def answer(self, corr: Any, took: Any, how: Any, complete: Any, *rest: Any) -> None:
        corr = whole(corr, "corr")
        if not isinstance(complete, bool):
            raise WireError(f"complete: impossible value {complete!r}")
        sess = self.sessions.get(corr)
        if sess is None:
            return
        if complete:
            del self.sessions[corr]
        end = ENDS.get(whole(how, "how"), AttemptOutcome.UNKNOWN)
        load = self.report(rest[2] if len(rest) > 2 else None)
        if end is AttemptOutcome.CANCELLED and sess.established:
            sess.on_client_gone()  # this wire does not say whether its server sent it away or the client left
        sess.on_attempt_ended(end, complete, whole(took, "tookNs") / 1e9, load)

    def cancelledByClient(self, corr: Any, *_: Any) -> None:  # noqa: N802 - the wire's own word
        if sess := self.sessions.get(whole(corr, "corr")):
            if not sess.attempt_in_flight:
                del self.sessions[corr]
            sess.on_client_gone()

    def elapsed(self, *_: Any) -> None:
        self.balancer.tick()

    def probed(self, server: Any, how: Any, took: Any, stats: Any = None, *_: Any) -> None:
        end = ENDS.get(whole(how, "how"), AttemptOutcome.UNKNOWN)
        took = whole(took or 0, "tookNs") / 1e9
        self.balancer.on_health_check(word(server, "server"), end, took, self.report(stats))

    def neighbourSays(self, *_: Any) -> None:  # noqa: N802 - the wire's own word
        """Peers' messages: nothing here is decided by them."""


EVENTS: dict[str, Callable[..., None]] = {
    name: getattr(Instance, name)
    for name in (
        "members",
        "order",
        "existing",
        "begun",
        "change",
        "answer",
        "cancelledByClient",
        "elapsed",
        "probed",
        "neighbourSays",
    )
}


class Link:
    """All instances of this process; they share nothing but the stream they are written to."""

    def __init__(self) -> None:
        self.instances: dict[int, Instance] = {}
        self.out: list[str] = []
        self.now: float | None = None

    def feed(self, line: bytes) -> str | None:
        """One line in; the reply, once a batch is complete."""
        try:
            message = json.loads(line)
        except ValueError as error:
            raise WireError(f"not JSON: {error}") from None
        if not isinstance(message, list) or not message or not isinstance(message[0], str):
            raise WireError("not an array that begins with a name")
        name, values = message[0], message[1:]
        if name == "sync":
            if self.now is not None:
                raise WireError("sync inside a batch")
            self.now = whole(values[0] if values else None, "clock") / 1e9
            return None
        if self.now is None:
            raise WireError(f"{name} outside a batch")
        if name == "go":
            reply, self.now = "".join(f"{row}\n" for row in [*self.out, '["ok"]']), None
            self.out.clear()
            return reply
        number = whole(values[0] if values else None, "proxy")
        if name == "provision":
            if len(values) < 3:
                raise WireError("provision: too few values")
            seed = whole(values[1], "initSeed")
            self.guard(number, lambda: self.start(number, seed, values[2]))
        elif name == "killed":
            self.instances.pop(number, None)
        elif name in EVENTS:
            if (instance := self.instances.get(number)) is not None:
                instance.now = self.now
                self.guard(number, lambda: EVENTS[name](instance, *values[1:]))
        else:
            raise WireError(f"unknown message {name}")
        return None

    def start(self, number: int, seed: int, options: Any) -> None:
        assert self.now is not None
        self.instances[number] = Instance(number, seed, options, self.now, self.out)

    def guard(self, number: int, call: Callable[[], None]) -> None:
        """A failure of the decision code is reported for its instance, with its text, and never hidden."""
        try:
            call()
        except WireError:
            raise
        except Exception as error:
            tail = error.__traceback__
            while tail and tail.tb_next:
                tail = tail.tb_next
            place = tail.tb_frame.f_code.co_name if tail else "?"
            if isinstance(error, TypeError) and place == "<lambda>":
                raise WireError(f"wrong number of values: {error}") from None
            self.instances.pop(number, None)
            said = f"{type(error).__name__}: {error} in {place}, line {tail.tb_lineno if tail else 0}"
            self.out.append(json.dumps(["internalError", number, said]))


def main(source: BinaryIO, sink: IO[str], errors: IO[str]) -> int:
    link = Link()
    for place, line in enumerate(source, 1):
        if not line.strip():
            continue
        try:
            reply = link.feed(line)
        except WireError as error:
            errors.write(f"line {place}: {error}\n")
            return 1
        if reply is not None:
            sink.write(reply)
            sink.flush()
    return 0
