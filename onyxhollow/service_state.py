"""Whether this process wants clients: the one state that PING, readiness, accepting and migration go by."""

from __future__ import annotations

from enum import Enum


class ServicePhase(Enum):
    """What this process does about clients; the values stand in logs and in the answer of /control/ready."""

    STARTING = "starting"  # it has not received the endpoint list yet
    IN_SERVICE = "in service"
    DRAINING = "leaving"  # an operator drains it: what still comes is served, open connections are migrated
    OUT_OF_SERVICE = "out of service"  # that is done: what comes is rejected
    HANDING_OVER = "making way"  # it stops, and a successor takes the clients
    STOPPING = "stopping"  # it stops, with no successor


class ServiceState:
    """The phase of this process, and whether a successor takes the clients."""

    def __init__(self, phase: ServicePhase) -> None:
        self.phase = phase
        self.replaced = False  # a successor takes the clients; if it dies, this process does again

    def is_any(self, *phases: ServicePhase) -> bool:
        """Whether the phase is one of these."""
        return self.phase in phases

    @property
    def ready(self) -> bool:
        """Whether operators may send clients here.

        A replaced process says yes until its stop: it is still one that can take clients.
        """
        return self.is_any(ServicePhase.IN_SERVICE)

    @property
    def answers_pings(self) -> bool:
        """Whether a PING gets PONG; at a stop too, as the front's connections that still come are served."""
        return not self.is_any(ServicePhase.DRAINING, ServicePhase.OUT_OF_SERVICE)

    @property
    def stopping(self) -> bool:
        """Whether the process ends."""
        return self.is_any(ServicePhase.STOPPING, ServicePhase.HANDING_OVER)

    @property
    def accepts(self) -> bool:
        """Whether the clients' listening socket is accepted from."""
        return not self.replaced and not self.is_any(ServicePhase.STARTING)
