"""Context shared by the network code: the loop, buffers, counters, addresses and the log."""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from onyxhollow.counters import Counters
from onyxhollow.loop import Loop
from onyxhollow.wire.buffers import BufferPool
from onyxhollow.wire.endpoint_addresses import EndpointAddresses


class NetworkContext(NamedTuple):
    """Objects shared by all connections of one proxy; created once, at its start."""

    loop: Loop
    pool: BufferPool
    counters: Counters
    addresses: EndpointAddresses
    log: Callable[..., None]  # called with an event's name and its values by keyword
