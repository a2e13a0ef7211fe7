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

    def __init__(self, phase: ServicePhase, accepts_while_starting: bool = True) -> None:
        self.phase = phase
        self.accepts_while_starting = accepts_while_starting  # False while a predecessor accepts clients
        self.awaiting_list = phase is ServicePhase.STARTING  # the list known so far must not place clients
        # An operator has taken this process out of service; a stop does not cancel that.
        self.drain_requested = False
        self.drain_complete = False  # all clients of the drain have been migrated or answered
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
        return not self.drain_requested and not self.awaiting_list

    @property
    def rejects_requests(self) -> bool:
        """Whether new requests are rejected unless the first list arrives in time for them.

        A stop does not end the wait for that list: the list known so far must not place clients.
        """
        return self.drain_complete or self.awaiting_list

    @property
    def holds_requests(self) -> bool:
        """Whether new requests wait for the first list."""
        return self.awaiting_list and not self.drain_complete

    @property
    def stopping(self) -> bool:
        """Whether the process is stopping, with or without a successor."""
        return self.is_any(ServicePhase.STOPPING, ServicePhase.HANDING_OVER)

    def end_start(self) -> None:
        """Go into service after the start, unless the process was drained or stopped meanwhile."""
        self.awaiting_list = False
        if self.is_any(ServicePhase.STARTING):
            self.phase = ServicePhase.IN_SERVICE

    def begin_drain(self) -> None:
        """Begin to migrate all clients."""
        self.drain_requested = True
        self.phase = ServicePhase.DRAINING

    def complete_drain(self) -> None:
        """Reject new requests from now on, also while the process stops."""
        self.drain_requested = True
        self.drain_complete = True
        if not self.stopping:
            self.phase = ServicePhase.OUT_OF_SERVICE

    def end_drain(self) -> None:
        """Go back into service after a drain, or back to the start if that has not ended yet."""
        self.drain_requested = False
        self.drain_complete = False
        self.phase = ServicePhase.STARTING if self.awaiting_list else ServicePhase.IN_SERVICE

    @property
    def accepts(self) -> bool:
        """Whether the process accepts connections on the clients' listening socket."""
        return not self.replaced and (self.accepts_while_starting or not self.is_any(ServicePhase.STARTING))
