"""Whether this process wants clients: one state that PING, readiness, accepting and the mover go by."""

from __future__ import annotations

from enum import Enum


class ServicePhase(Enum):
    STARTING = "starting"  # a successor that has not heard the list yet
    IN_SERVICE = "in service"
    DRAINING = "leaving"  # sent out of service: what still comes is served, open connections are moved
    OUT_OF_SERVICE = "out of service"  # that is done: what comes is refused
    HANDING_OVER = "making way"  # told to stop, and a successor takes the clients
    STOPPING = "stopping"  # told to stop, with no successor


class ServiceState:
    def __init__(self, state: ServicePhase) -> None:
        self.phase = state
        self.replaced = False  # a successor takes the clients; if it dies, this process does again

    def is_any(self, *states: ServicePhase) -> bool:
        return self.phase in states

    @property
    def ready(self) -> bool:
        """A replaced process says yes until it is told to stop: it is still one that can take clients."""
        return self.is_any(ServicePhase.IN_SERVICE)

    @property
    def answers_pings(self) -> bool:
        """At a stop too: the front's connections that still come are served."""
        return not self.is_any(ServicePhase.DRAINING, ServicePhase.OUT_OF_SERVICE)

    @property
    def stopping(self) -> bool:
        return self.is_any(ServicePhase.STOPPING, ServicePhase.HANDING_OVER)

    @property
    def accepts(self) -> bool:
        return not self.replaced and not self.is_any(ServicePhase.STARTING)
