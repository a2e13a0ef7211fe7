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
from onyxhollow.wire.tables import Address, Addresses

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


class ListError(Exception):
    """An answer that is not a list of servers."""


class SilentError(ListError):
    """Nothing came in time."""


class StatusError(ListError):
    """Another status than 200."""

    def __init__(self, status: int) -> None:
        super().__init__(f"status {status}")
        self.status = status


@dataclass(slots=True)
class ServerList:
    version: int
    whole: bool
    entries: list[Endpoint]
    addresses: dict[str, Address]


def read_address(text: Any) -> Address:
    host, _, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        raise ListError(f"address: impossible value {text!r}")
    return host, int(port)


def read_list(told: Any, clock: RemoteClock, now: float) -> ServerList:
    """clock: that of the machines which the list names. ListError says what is no good."""
    if not isinstance(told, dict) or not isinstance(told.get("hosts"), list):
        raise ListError("not an object with hosts")
    version = told.get("seq")
    if isinstance(version, bool) or not isinstance(version, int):
        raise ListError(f"seq: impossible value {version!r}")
    entries: list[Endpoint] = []
    addresses: dict[str, Address] = {}
    latest = max((start_of(row) for row in told["hosts"]), default=0.0)
    if latest:
        clock.hear(latest, now)
    for row in told["hosts"]:
        if not isinstance(row, dict) or not isinstance(row.get("host"), str) or not row["host"]:
            raise ListError(f"host: impossible value {row!r}")
        name, ready = row["host"], READY.get(row.get("health", ""))
        if ready is None:
            raise ListError(f"health: impossible value {row.get('health')!r}")
        if ready is not EndpointState.REMOVED or row.get("dial"):
            addresses[name] = read_address(row.get("dial"))
        size, cell, born = row.get("share", 1.0), row.get("block") or 0, start_of(row)
        for value in (size, cell):
            if not is_figure(value):
                raise ListError(f"{name}: impossible figure {value!r}")
        entries.append(
            Endpoint(
                name=name,
                state=ready,
                weight=float(size),
                started_at=clock.start(name, born, now) if born else None,
                zone=str(row.get("site") or ""),
                cell=int(cell),
                machine_type=str(row.get("class") or ""),
            )
        )
    return ServerList(version, told.get("whole") is True, entries, addresses)


def is_figure(value: Any) -> bool:
    """Whether a value of the list is a finite number from 0."""
    return not isinstance(value, bool) and isinstance(value, int | float) and 0 <= value < math.inf


def start_of(row: Any) -> float:
    """When a server started, in seconds of wall time; 0 for long ago."""
    told = row.get("born_ms") or 0 if isinstance(row, dict) else 0
    if not is_figure(told):
        raise ListError(f"{row.get('host')}: impossible figure {told!r}")
    return float(told) / 1000


class Call:
    """One HTTP connection to discovery, used for one call after another while it lives."""

    def __init__(self, loop: Loop, address: Address, pool: BufferPool, wake: Callable[[], None]) -> None:
        self.loop = loop
        self.channel = Channel.dial(loop, address, pool, wake)
        self.speaker = h11.Connection(h11.CLIENT)
        self.host = f"{address[0]}:{address[1]}"

    @property
    def reusable(self) -> bool:
        return not self.channel.ended and self.speaker.our_state is h11.IDLE

    def get(
        self, target: str, until: float, superseded: Callable[[], bool], method: str = "GET"
    ) -> Generator[float, None, bytes]:
        headers = [("Host", self.host), ("Accept", "application/json")]
        request = h11.Request(method=method, target=target, headers=headers)
        for part in (request, h11.EndOfMessage()):
            self.channel.write(self.speaker.send(part) or b"")
        body = bytearray()
        connected_by = min(until, self.loop.now + CONNECTED_WITHIN)
        while True:
            event = self.speaker.next_event()
            if event is h11.NEED_DATA:
                if len(self.channel.inbox):
                    self.speaker.receive_data(self.channel.inbox.rest())
                    self.channel.settle(False)
                elif superseded():
                    # What was written before counts as told, also where it is more than one read brings.
                    if not self.channel.ended and not self.channel.connecting:
                        self.channel.read()
                        if len(self.channel.inbox):
                            continue
                    raise ListError("left for another address")
                elif self.channel.ended:
                    if self.channel.broken:
                        raise ListError("reset")
                    self.speaker.receive_data(b"")
                elif self.loop.now >= (connected_by if self.channel.connecting else until):
                    raise SilentError("silence")
                else:
                    yield connected_by if self.channel.connecting else until
            elif isinstance(event, h11.Response):
                if event.status_code != 200:
                    raise StatusError(event.status_code)
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > LARGEST:
                    raise ListError("list too long")
            elif isinstance(event, h11.EndOfMessage):
                break
            else:
                raise ListError("half an answer")
        if self.speaker.our_state is h11.DONE and self.speaker.their_state is h11.DONE:
            self.speaker.start_next_cycle()
        return bytes(body)


class Discovery:
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
        addresses: Addresses,
        told: Callable[[EndpointListKind, list[Endpoint]], None],
        log: Callable[..., None],
        seed: int,
        soon: bool = False,
    ) -> None:
        self.loop, self.pool, self.counters, self.address = loop, pool, counters, address
        self.wait, self.clock, self.version = wait, clock, version
        self.addresses, self.told, self.log = addresses, told, log
        self.pushed = self.asked = pushed  # pushed: the module expects to be told without having asked
        self.busy, self.rng = 0, Random(seed)  # answers until the service no longer counts as a busy one
        self.silences = 0  # calls in a row that nothing came on
        self.interrupted = True  # no call has been answered yet, or not since one failed
        self.pause = ASK_AGAIN  # before the next call, after a failure
        self.soon = soon  # the first answer is waited for, news or none
        self.rows: dict[str, Any] = {}  # the list as it was told, for a successor
        self.call: Call | None = None
        self.next: Address | None = None  # to be followed from now on
        self.resting = False  # another member of the fleet follows the list for this proxy
        self.task = loop.spawn(self.follow())

    def ask(self) -> None:
        """The module wants to be told from now on."""
        self.asked = True
        self.task.wake()

    def known(self) -> dict[str, Any]:
        """The list as last told, in discovery's form."""
        return {"seq": self.version, "whole": True, "hosts": list(self.rows.values())}

    def rest(self, does: bool) -> None:
        """The fleet tells the list, or this proxy asks for itself again, at once."""
        self.resting, self.asked = does, self.asked or not does
        self.task.wake()

    def settle(self, wait: float, pushed: bool) -> None:
        self.wait, self.pushed = wait, pushed

    def move_to(self, address: Address, anew: bool = False) -> None:
        """After a reload the list is another's to tell, which is asked at once; anew: or the same one's, as
        its weights mean another thing now. What the old one has written by now counts as told and is still
        used; what it would say later must not come after the new list."""
        if self.call is not None and not self.call.channel.ended and not self.call.channel.connecting:
            self.call.channel.read()
        self.next = address if anew or self.next or address != self.address else None
        self.asked = self.asked or self.next is not None
        self.task.wake()

    def follow(self) -> Generator[float, None, None]:
        while True:
            while not self.asked or self.resting:
                yield math.inf
            # A call is a watch from the first on: one that only asks for news would take a second turn at the
            # service, and would be given up in a queue in which a watch waits its time.
            while (yield from self.ask_once()):
                # The service has turned calls away of late: all that were told the same news just now would
                # come again within a millisecond, and most would be turned away once more. No later than a
                # watch goes on: what changes within that time of an answer counts as told, also to one who
                # comes later, and that one dialled servers that drained in it. Another address: at once.
                if self.busy:
                    self.busy, until = self.busy - 1, self.loop.now + self.rng.random() * GOES_ON / 2
                    while self.loop.now < until and self.next is None:
                        yield until
                if self.resting:
                    break
            if self.pushed and not self.resting:
                yield from self.loop.sleep(self.pause)
                self.asked = True

    def ask_once(self) -> Generator[float, None, bool]:
        if self.next is not None:
            # The versions of one service may mean nothing at the other: it is asked for the whole list.
            self.hang_up()
            self.address, self.next, self.version = self.next, None, -1
        target, patience = self.next_call()
        self.counters.add("list calls")
        try:
            if self.call is None or not self.call.reusable:
                self.hang_up()
                self.call = Call(self.loop, self.address, self.pool, lambda: self.task.wake())
            until = self.loop.now + patience
            body = yield from self.call.get(target, until, lambda: self.next is not None or self.resting)
            told = orjson.loads(body)
            if not self.interrupted:  # what has changed since the last answer is told at once
                self.clock.known_until = self.loop.now
            news = read_list(told, self.clock, self.loop.now)
        except (ListError, OSError, ValueError, h11.ProtocolError) as error:
            self.hang_up()
            if self.next is not None:
                return True  # it failed because it is left, or just before: the new one is asked at once
            if self.resting:
                return False  # left because the fleet tells the list: no failure
            self.counters.add("list failures")
            self.interrupted = True
            if isinstance(error, SilentError):
                # What a silent watch missed counts as told 2 s after its wait: the next one is opened at
                # once, however often. All watches may fall silent at once and the service be well; from the
                # second in a row on it is told as a failure all the same.
                self.silences += 1
                self.log("list silent", version=self.version, in_a_row=self.silences)
                if self.silences > 1:
                    self.told(EndpointListKind.FAILED, [])
                return True
            self.busy = BUSY_FOR
            self.pause = ASK_AGAIN if isinstance(error, StatusError) else DOWN_AGAIN
            self.asked = False  # asked for while the call was out: when to ask again is said anew now
            self.log("list failed", why=str(error)[:200], version=self.version)
            self.version = -1 if isinstance(error, ValueError) else self.version
            self.told(EndpointListKind.FAILED, [])
            return False
        self.asked, self.soon, self.silences, self.interrupted = False, False, 0, False
        self.clock.known_until = self.loop.now
        self.take(told["hosts"], news)
        return True

    def next_call(self) -> tuple[str, float]:
        """What to ask for, and for how long the answer is waited for."""
        if self.version < 0:
            return "/v1/endpoints", ANSWER
        wait, late = SHORTEST_WAIT, ANSWER
        if not self.soon:
            wait = min(LONGEST_WAIT, self.wait * self.rng.uniform(*APART))
            late = SILENT_AFTER
        return f"/v1/endpoints?index={self.version}&wait={round(wait * 1000)}", wait + late

    def take(self, rows: list[Any], news: ServerList) -> None:
        """What the list service has said, to this proxy or to another of the fleet; rows in its own form."""
        for name, address in news.addresses.items():
            self.addresses.learn(name, address)
        if news.whole:
            self.rows.clear()
        self.rows.update((row["host"], row) for row in rows)
        if news.entries or news.whole or news.version != self.version:
            lines = [f"{e.name} {e.state.value}" + self.age(e) for e in news.entries]
            self.log("list", version=news.version, whole=news.whole, rows=lines[:24])
        self.version = news.version
        self.told(EndpointListKind.SNAPSHOT if news.whole else EndpointListKind.DELTA, news.entries)

    def age(self, entry: Endpoint) -> str:
        return "" if entry.started_at is None else f", started {self.loop.now - entry.started_at:.1f} s ago"

    def hang_up(self) -> None:
        if self.call is not None:
            self.call.channel.close()
            self.call = None
