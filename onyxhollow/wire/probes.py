"""Asks servers for their load, on one standing connection to each."""

from __future__ import annotations

from collections.abc import Callable, Generator

from onyxhollow.interface import DialEnd
from onyxhollow.lifecycle.loop import Loop, Task
from onyxhollow.memory.buffers import BufferPool, LongLineError
from onyxhollow.memory.counters import Counters
from onyxhollow.memory.tables import Address, Addresses
from onyxhollow.wire.channel import Channel
from onyxhollow.wire.messages import read_report, rest, word

MOST = 64  # standing connections for probes; the one unused for longest makes room


class Probes:
    def __init__(self, loop: Loop, pool: BufferPool, counters: Counters, addresses: Addresses, field: str,
                 patience: float,
                 told: Callable[[str, DialEnd, float, float | None], None]) -> None:  # fmt: skip
        self.loop, self.pool, self.counters, self.addresses = loop, pool, counters, addresses
        self.field, self.patience, self.told = field, patience, told
        self.standing: dict[str, tuple[Address, Channel]] = {}

    def probe(self, server: str) -> None:
        holder: list[Task] = []
        holder.append(self.loop.spawn(self.ask(server, lambda: holder[0].wake())))

    def connection(self, server: str, wake: Callable[[], None]) -> Channel:
        address = self.addresses.find(server)
        if address is None:
            raise OSError("no address")
        known = self.standing.pop(server, None)
        if known:
            channel = known[1]
            if known[0] == address and not channel.ended and not len(channel.inbox):
                channel.wake = wake
                return channel
            channel.close()
        return Channel.dial(self.loop, address, self.pool, wake)

    def ask(self, server: str, wake: Callable[[], None]) -> Generator[float, None, None]:
        started = self.loop.now
        until = started + self.patience
        end, load, channel = DialEnd.CONNECT_FAILED, None, None
        self.counters.add("probes sent")
        try:
            channel = self.connection(server, wake)
            channel.write(b"STATS\r\n" if self.field else b"PING\r\n")
            while True:
                if (line := channel.line()) is not None:
                    end = {b"PONG": DialEnd.OK, b"ERR": DialEnd.ERROR, b"BUSY": DialEnd.FULL}.get(
                        word(line), DialEnd.UNKNOWN
                    )
                    load = read_report(rest(line), self.field)
                    channel.settle(False)
                    break
                if channel.ended:
                    end = DialEnd.RESET if channel.wrote else DialEnd.CONNECT_FAILED
                    break
                if self.loop.now >= until:
                    end = DialEnd.CONNECT_FAILED if channel.connecting else DialEnd.TIMEOUT
                    break
                yield until
        except OSError:
            end = DialEnd.CONNECT_FAILED
        except LongLineError:
            end = DialEnd.UNKNOWN
        if channel is not None:
            if end in (DialEnd.OK, DialEnd.ERROR) and server not in self.standing:
                self.keep(server, channel)
            else:
                channel.close()
        self.counters.add(f"probes {end.value}")
        self.told(server, end, self.loop.now - started, load)

    def keep(self, server: str, channel: Channel) -> None:
        address = self.addresses.find(server)
        if address is None or channel.ended:
            channel.close()
            return
        channel.wake = lambda: self.lapse(server, channel)
        self.standing[server] = (address, channel)
        if len(self.standing) > MOST:
            oldest = next(iter(self.standing))
            self.standing.pop(oldest)[1].close()

    def lapse(self, server: str, channel: Channel) -> None:
        """A standing connection that its server ends is closed then, not at the next probe: a server that is
        gone for good gets none, and its descriptor would be held for ever."""
        if channel.ended and self.standing.get(server, (None, None))[1] is channel:
            del self.standing[server]
            channel.close()
