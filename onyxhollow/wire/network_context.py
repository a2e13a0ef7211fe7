"""What every part of the network code works with: the loop, the buffers, counters, addresses and the log."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from onyxhollow.counters import Counters
from onyxhollow.loop import Loop
from onyxhollow.wire.buffers import BufferPool
from onyxhollow.wire.endpoint_addresses import EndpointAddresses


class NetworkContext(NamedTuple):
    """Shared by all connections of one proxy; made once at its start."""

    loop: Loop
    pool: BufferPool
    counters: Counters
    addresses: EndpointAddresses
    log: Callable[..., None]  # an event's name, and its values by keyword
