"""Follows the server list over HTTP: a watch as long as it holds, a new one when the module asks."""

from __future__ import annotations

import math
from collections.abc import Callable, Generator
from dataclasses import dataclass
from random import Random
from typing import Any

import h11
import orjson

from onyxhollow.counters import Counters
from onyxhollow.interface import Endpoint, EndpointListKind, EndpointState
from onyxhollow.loop import Loop
from onyxhollow.wire.buffers import BufferPool
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.remote_clock import RemoteClock
from onyxhollow.wire.tables import Address, EndpointAddresses

READY = {"active": EndpointState.IN_SERVICE, "leaving": EndpointState.DRAINING, "left": EndpointState.REMOVED}
ANSWER = 3.5  # seconds for an answer that is due at once: a busy service works through calls in turn
SILENT_AFTER = 1.0  # seconds past its wait after which a watch counts as silent; protocol: 2 s
CONNECTED_WITHIN = 1.5  # seconds for a connection to the service to come up before another one is tried
APART = (0.75, 1.25)  # parts of the wait: watches that began together end, and are opened anew, one by one
ASK_AGAIN = 0.5  # seconds after a call turned away, where the list is pushed and asking is left to the host
DOWN_AGAIN = (
    0.1  # the same after one that nobody took: what is told at its return counts at once, less the grace
)
CALLS = 2.0  # calls a second that the watches of a fleet make together while there is no news
GOES_ON, BUSY_FOR = 0.2, 5  # seconds within which a watch goes on (protocol); answers after a failure, below
SHORTEST_WAIT, LONGEST_WAIT = 0.001, 60.0  # seconds: the longest is the protocol's
LARGEST = 4 * 1024 * 1024  # bytes of one list


def watch_wait(ask_within: float, balancers: int) -> float:
    """How long a watch waits for news. The service works through the calls of all in turn: short waits of
    many keep it busy with calls that have nothing to tell, and what it has to tell comes late."""
    return min(LONGEST_WAIT, max(ask_within / 2, balancers / CALLS))


class EndpointListError(Exception):
    """An answer that is not a list of servers."""


class DiscoveryTimeoutError(EndpointListError):
    """Nothing came in time."""


class DiscoveryStatusError(EndpointListError):
    """Another status than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


@dataclass(slots=True)
class EndpointList:
    version: int
    is_snapshot: bool
    endpoints: list[Endpoint]
    addresses: dict[str, Address]


def decode_address(text: Any) -> Address:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise EndpointListError(f"address: impossible value {text!r}")
    return host, int(port)


def decode_endpoint_list(told: Any, clock: RemoteClock, now: float) -> EndpointList:
    """clock: that of the machines which the list names. ListError says what is no good."""
    if not isinstance(told, dict) or not isinstance(told.get("hosts"), list):
        raise EndpointListError("not an object with hosts")
    version = told.get("seq")
    if isinstance(version, bool) or not isinstance(version, int):
        raise EndpointListError(f"seq: impossible value {version!r}")
    entries: list[Endpoint] = []
    addresses: dict[str, Address] = {}
    latest = max((start_of(row) for row in told["hosts"]), default=0.0)
    if latest:
        clock.observe(latest, now)
    for row in told["hosts"]:
        if not isinstance(row, dict) or not isinstance(row.get("host"), str) or not row["host"]:
            raise EndpointListError(f"host: impossible value {row!r}")
        name, ready = row["host"], READY.get(row.get("health", ""))
        if ready is None:
            raise EndpointListError(f"health: impossible value {row.get('health')!r}")
        if ready is not EndpointState.REMOVED or row.get("dial"):
            addresses[name] = decode_address(row.get("dial"))
        size, cell, born = row.get("share", 1.0), row.get("block") or 0, start_of(row)
        for value in (size, cell):
            if not is_figure(value):
                raise EndpointListError(f"{name}: impossible figure {value!r}")
        entries.append(
            Endpoint(
                name=name,
                state=ready,
                weight=float(size),
                started_at=clock.start_time(name, born, now) if born else None,
                zone=str(row.get("site") or ""),
                cell=int(cell),
                machine_type=str(row.get("class") or ""),
            )
        )
    return EndpointList(version, told.get("whole") is True, entries, addresses)


def is_figure(value: Any) -> bool:
    """Whether a value of the list is a finite number from 0."""
    return not isinstance(value, bool) and isinstance(value, int | float) and 0 <= value < math.inf


def start_of(row: Any) -> float:
    """When a server started, in seconds of wall time; 0 for long ago."""
    told = row.get("born_ms") or 0 if isinstance(row, dict) else 0
    if not is_figure(told):
        raise EndpointListError(f"{row.get('host')}: impossible figure {told!r}")
    return float(told) / 1000


class DiscoveryConnection:
    """One HTTP connection to discovery, used for one call after another while it lives."""

    def __init__(self, loop: Loop, address: Address, pool: BufferPool, wake: Callable[[], None]) -> None:
        self.loop = loop
        self.channel = Channel.connect(loop, address, pool, wake)
        self.http = h11.Connection(h11.CLIENT)
        self.host = f"{address[0]}:{address[1]}"

    @property
    def reusable(self) -> bool:
        return not self.channel.ended and self.http.our_state is h11.IDLE

    def get(
        self, target: str, until: float, superseded: Callable[[], bool], method: str = "GET"
    ) -> Generator[float, None, bytes]:
        headers = [("Host", self.host), ("Accept", "application/json")]
        request = h11.Request(method=method, target=target, headers=headers)
        for part in (request, h11.EndOfMessage()):
            self.channel.write(self.http.send(part) or b"")
        body = bytearray()
        connected_by = min(until, self.loop.now + CONNECTED_WITHIN)
        while True:
            event = self.http.next_event()
            if event is h11.NEED_DATA:
                if len(self.channel.inbox):
                    self.http.receive_data(self.channel.inbox.take_rest())
                    self.channel.set_paused(False)
                elif superseded():
                    # What was written before counts as told, also where it is more than one read brings.
                    if not self.channel.ended and not self.channel.connecting:
                        self.channel.read()
                        if len(self.channel.inbox):
                            continue
                    raise EndpointListError("left for another address")
                elif self.channel.ended:
                    if self.channel.broken:
                        raise EndpointListError("reset")
                    self.http.receive_data(b"")
                elif self.loop.now >= (connected_by if self.channel.connecting else until):
                    raise DiscoveryTimeoutError("silence")
                else:
                    yield connected_by if self.channel.connecting else until
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise DiscoveryStatusError(event.status_code)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > LARGEST:
                    raise EndpointListError("list too long")
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                raise EndpointListError("half an answer")
        if self.http.our_state is h11.DONE and self.http.their_state is h11.DONE:
            self.http.start_next_cycle()
        return bytes(body)


class EndpointListWatch:
    def __init__(
        self,
        loop: Loop,
        pool: BufferPool,
        counters: Counters,
        address: Address,
        wait: float,
        clock: RemoteClock,
        version: int,
        pushed: bool,
        addresses: EndpointAddresses,
        told: Callable[[EndpointListKind, list[Endpoint]], None],
        log: Callable[..., None],
        seed: int,
        soon: bool = False,
    ) -> None:
        self.loop, self.pool, self.counters, self.address = loop, pool, counters, address
        self.poll_wait, self.clock, self.version = wait, clock, version
        self.addresses, self.on_update, self.log = addresses, told, log
        self.pushed = self.poll_requested = (
            pushed  # pushed: the module expects to be told without having asked
        )
        self.staggered_polls, self.rng = (
            0,
            Random(seed),
        )  # answers until the service no longer counts as a busy one
        self.timeouts = 0  # calls in a row that nothing came on
        self.interrupted = True  # no call has been answered yet, or not since one failed
        self.backoff = ASK_AGAIN  # before the next call, after a failure
        self.answer_at_once = soon  # the first answer is waited for, news or none
        self.records: dict[str, Any] = {}  # the list as it was told, for a successor
        self.connection: DiscoveryConnection | None = None
        self.next_address: Address | None = None  # to be followed from now on
        self.suspended = False  # another member of the fleet follows the list for this proxy
        self.task = loop.spawn(self.run())

    def poll(self) -> None:
        """The module wants to be told from now on."""
        self.poll_requested = True
        self.task.wake()

    def snapshot(self) -> dict[str, Any]:
        """The list as last told, in discovery's form."""
        return {"seq": self.version, "whole": True, "hosts": list(self.records.values())}

    def set_suspended(self, does: bool) -> None:
        """The fleet tells the list, or this proxy asks for itself again, at once."""
        self.suspended, self.poll_requested = does, self.poll_requested or not does
        self.task.wake()

    def apply_settings(self, wait: float, pushed: bool) -> None:
        self.poll_wait, self.pushed = wait, pushed

    def switch_to(self, address: Address, anew: bool = False) -> None:
        """After a reload the list is another's to tell, which is asked at once; anew: or the same one's, as
        its weights mean another thing now. What the old one has written by now counts as told and is still
        used; what it would say later must not come after the new list."""
        if (
            self.connection is not None
            and not self.connection.channel.ended
            and not self.connection.channel.connecting
        ):
            self.connection.channel.read()
        self.next_address = address if anew or self.next_address or address != self.address else None
        self.poll_requested = self.poll_requested or self.next_address is not None
        self.task.wake()

    def run(self) -> Generator[float, None, None]:
        while True:
            while not self.poll_requested or self.suspended:
                yield math.inf
            # A call is a watch from the first on: one that only asks for news would take a second turn at the
            # service, and would be given up in a queue in which a watch waits its time.
            while (yield from self.poll_once()):
                # The service has turned calls away of late: all that were told the same news just now would
                # come again within a millisecond, and most would be turned away once more. No later than a
                # watch goes on: what changes within that time of an answer counts as told, also to one who
                # comes later, and that one dialled servers that drained in it. Another address: at once.
                if self.staggered_polls:
                    self.staggered_polls, until = (
                        self.staggered_polls - 1,
                        self.loop.now + self.rng.random() * GOES_ON / 2,
                    )
                    while self.loop.now < until and self.next_address is None:
                        yield until
                if self.suspended:
                    break
            if self.pushed and not self.suspended:
                yield from self.loop.sleep(self.backoff)
                self.poll_requested = True

    def poll_once(self) -> Generator[float, None, bool]:
        if self.next_address is not None:
            # The versions of one service may mean nothing at the other: it is asked for the whole list.
            self.disconnect()
            self.address, self.next_address, self.version = self.next_address, None, -1
        target, patience = self.next_request()
        self.counters.add("list calls")
        try:
            if self.connection is None or not self.connection.reusable:
                self.disconnect()
                self.connection = DiscoveryConnection(
                    self.loop, self.address, self.pool, lambda: self.task.wake()
                )
            until = self.loop.now + patience
            body = yield from self.connection.get(
                target, until, lambda: self.next_address is not None or self.suspended
            )
            told = orjson.loads(body)
            if not self.interrupted:  # what has changed since the last answer is told at once
                self.clock.known_until = self.loop.now
            news = decode_endpoint_list(told, self.clock, self.loop.now)
        except (EndpointListError, OSError, ValueError, h11.ProtocolError) as error:
            self.disconnect()
            if self.next_address is not None:
                return True  # it failed because it is left, or just before: the new one is asked at once
            if self.suspended:
                return False  # left because the fleet tells the list: no failure
            self.counters.add("list failures")
            self.interrupted = True
            if isinstance(error, DiscoveryTimeoutError):
                # What a silent watch missed counts as told 2 s after its wait: the next one is opened at
                # once, however often. All watches may fall silent at once and the service be well; from the
                # second in a row on it is told as a failure all the same.
                self.timeouts += 1
                self.log("list silent", version=self.version, in_a_row=self.timeouts)
                if self.timeouts > 1:
                    self.on_update(EndpointListKind.FAILED, [])
                return True
            self.staggered_polls = BUSY_FOR
            self.backoff = ASK_AGAIN if isinstance(error, DiscoveryStatusError) else DOWN_AGAIN
            self.poll_requested = (
                False  # asked for while the call was out: when to ask again is said anew now
            )
            self.log("list failed", why=str(error)[:200], version=self.version)
            self.version = -1 if isinstance(error, ValueError) else self.version
            self.on_update(EndpointListKind.FAILED, [])
            return False
        self.poll_requested, self.answer_at_once, self.timeouts, self.interrupted = False, False, 0, False
        self.clock.known_until = self.loop.now
        self.apply(told["hosts"], news)
        return True

    def next_request(self) -> tuple[str, float]:
        """What to ask for, and for how long the answer is waited for."""
        if self.version < 0:
            return "/v1/endpoints", ANSWER
        wait, late = SHORTEST_WAIT, ANSWER
        if not self.answer_at_once:
            wait = min(LONGEST_WAIT, self.poll_wait * self.rng.uniform(*APART))
            late = SILENT_AFTER
        return f"/v1/endpoints?index={self.version}&wait={round(wait * 1000)}", wait + late

    def apply(self, rows: list[Any], news: EndpointList) -> None:
        """What the list service has said, to this proxy or to another of the fleet; rows in its own form."""
        for name, address in news.addresses.items():
            self.addresses.store(name, address)
        if news.is_snapshot:
            self.records.clear()
        self.records.update((row["host"], row) for row in rows)
        if news.endpoints or news.is_snapshot or news.version != self.version:
            lines = [f"{e.name} {e.state.value}" + self.age(e) for e in news.endpoints]
            self.log("list", version=news.version, whole=news.is_snapshot, rows=lines[:24])
        self.version = news.version
        self.on_update(
            EndpointListKind.SNAPSHOT if news.is_snapshot else EndpointListKind.DELTA, news.endpoints
        )

    def age(self, entry: Endpoint) -> str:
        return "" if entry.started_at is None else f", started {self.loop.now - entry.started_at:.1f} s ago"

    def disconnect(self) -> None:
        if self.connection is not None:
            self.connection.channel.close()
            self.connection = None
