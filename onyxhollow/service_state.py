"""The service phase of this process, which determines PING answers, readiness, accepting and migration."""

from __future__ import annotations

from enum import Enum


class ServicePhase(Enum):
    """How this process handles clients. The values appear in logs and in the answer of /control/ready."""

    STARTING = "starting"  # has not received the endpoint list yet
    IN_SERVICE = "in service"
    DRAINING = "leaving"  # drained by an operator: new sessions are served, open connections are migrated
    OUT_OF_SERVICE = "out of service"  # drained: new sessions are rejected
    HANDING_OVER = "making way"  # stopping while a successor serves the clients
    STOPPING = "stopping"  # stopping without a successor


class ServiceState:
    """The service phase of this process, and whether a successor accepts its clients."""

    def __init__(self, phase: ServicePhase) -> None:
        self.phase = phase
        self.awaiting_list = phase is ServicePhase.STARTING  # the list known so far must not place clients
        self.drained_before_stop = False  # an operator had drained this process when it was told to stop
        self.replaced = False  # a successor accepts clients; if it dies, this process accepts them again

    def is_any(self, *phases: ServicePhase) -> bool:
        """Return whether the phase is one of `phases`."""
        return self.phase in phases

    @property
    def ready(self) -> bool:
        """Whether new clients can be routed to this process.

        Stays true for a replaced process until it stops, because it can accept clients again.
        """
        return self.is_any(ServicePhase.IN_SERVICE)

    @property
    def answers_pings(self) -> bool:
        """Whether a PING is answered with PONG.

        True while the process stops, because it still serves connections that the front end routes to it.
        """
        if self.drained_before_stop:
            return False
        return not self.is_any(ServicePhase.STARTING, ServicePhase.DRAINING, ServicePhase.OUT_OF_SERVICE)

    @property
    def rejects_requests(self) -> bool:
        """Whether new requests are rejected, on connections that were accepted before or are kept open."""
        return self.is_any(ServicePhase.STARTING, ServicePhase.OUT_OF_SERVICE)

    @property
    def stopping(self) -> bool:
        """Whether the process is stopping, with or without a successor."""
        return self.is_any(ServicePhase.STOPPING, ServicePhase.HANDING_OVER)

    def end_start(self) -> None:
        """Go into service after the start, unless the process was drained or stopped meanwhile."""
        self.awaiting_list = False
        if self.is_any(ServicePhase.STARTING):
            self.phase = ServicePhase.IN_SERVICE

    def end_drain(self) -> None:
        """Go back into service after a drain, or back to the start if that has not ended yet."""
        self.phase = ServicePhase.STARTING if self.awaiting_list else ServicePhase.IN_SERVICE

    def begin_stop(self) -> None:
        """Stop without a successor, and remember whether the front end was told to send no clients."""
        self.drained_before_stop = self.is_any(ServicePhase.DRAINING, ServicePhase.OUT_OF_SERVICE)
        self.phase = ServicePhase.STOPPING

    @property
    def accepts(self) -> bool:
        """Whether the process accepts connections on the clients' listening socket."""
        return not self.replaced and not self.is_any(ServicePhase.STARTING)
