"""The replacement of one process by another: state and clients go to the successor."""

from __future__ import annotations

from collections.abc import Callable, Generator
from functools import partial

from onyxhollow.counters import Counters
from onyxhollow.decision_adapter import DecisionAdapter
from onyxhollow.interface import EndpointListKind
from onyxhollow.lifecycle.accepting import ClientAcceptor
from onyxhollow.lifecycle.first_list import FirstList
from onyxhollow.lifecycle.handover import STARTING, STOPPING, TAKING, Handover, StateError
from onyxhollow.service_state import ServicePhase, ServiceState
from onyxhollow.wire.client_session import accept_handoff
from onyxhollow.wire.endpoint_addresses import Address
from onyxhollow.wire.endpoint_list import EndpointList, decode_endpoint_list
from onyxhollow.wire.endpoint_list_watch import EndpointListWatch
from onyxhollow.wire.handoff_channel import HandoffReceiver, HandoffSender
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.session_registry import SessionRegistry

LIST_TIMEOUT_SECONDS = 2.0  # seconds for which a successor waits for the list before it takes clients without
STATE_TIMEOUT_SECONDS = 0.5  # seconds for which it waits for what the one before it knows
STATE_POLL_INTERVAL = 0.02  # seconds between checks whether that is there
POLL_INTERVAL = 0.1  # seconds between checks what the other process of this proxy does
HANDOFF_STEP = 0.005  # seconds from one group of connections handed off to the next
MAX_LOGGED_REASON = 200  # characters


class Replacement:
    """This process's part in a replacement, first as the successor and later as the predecessor."""

    def __init__(
        self,
        context: NetworkContext,
        handover: Handover,
        sessions: SessionRegistry,
        service: ServiceState,
        acceptor: ClientAcceptor,
        discovery: EndpointListWatch,
        decisions: DecisionAdapter,
        first_list: FirstList,
    ) -> None:
        self.loop = context.loop
        self.log = context.log
        self.counters: Counters = context.counters
        self.addresses = context.addresses
        self.handover = handover
        self.sessions = sessions
        self.service = service
        self.acceptor = acceptor
        self.discovery = discovery
        self.decisions = decisions
        self.first_list = first_list
        self.handoff_path = ""  # where the successor takes open connections

    def run(self, configured_discovery: Callable[[], Address]) -> Generator[float, None, None]:
        """The coroutine of the replacement: follows a predecessor to its end, then looks out for a successor.

        Args:
            configured_discovery: The list service of the configuration in force.
        """
        if self.handover.has_no_role:
            self.log("nothing handed over", why="two other processes of this proxy are there")
        if self.handover.follows:
            started_at = self.loop.now
            yield from self.start_as_successor(configured_discovery, started_at)
            if self.service.stopping:
                return
            yield from self.take_clients(started_at)
        while not self.service.stopping:
            self.check_successor()
            yield from self.loop.sleep(POLL_INTERVAL)

    # as the successor

    def start_as_successor(
        self, configured_discovery: Callable[[], Address], started_at: float
    ) -> Generator[float, None, None]:
        """Restores the predecessor's state if there is any, and waits for the list."""
        self.discovery.poll()
        yield from self.restore_state(configured_discovery, started_at + STATE_TIMEOUT_SECONDS)
        while not self.first_list.received and self.loop.now < started_at + LIST_TIMEOUT_SECONDS:
            yield started_at + LIST_TIMEOUT_SECONDS

    def take_clients(self, started_at: float) -> Generator[float, None, None]:
        """Takes new clients from now on, and open connections until the predecessor has ended."""
        receiver = self.open_receiver()
        self.service.phase = ServicePhase.IN_SERVICE
        self.acceptor.update()
        self.handover.announce(TAKING, receiver.path if receiver else "")
        self.log("successor", list_heard=self.first_list.received, took=round(self.loop.now - started_at, 3))
        while not self.handover.take_over():
            yield from self.loop.sleep(POLL_INTERVAL)
        taken = self.counters.counts["connections taken over"]
        self.log("predecessor ended", after=round(self.loop.now - started_at, 2), taken_over=taken)
        if receiver is not None:
            receiver.close()

    def restore_state(
        self, configured_discovery: Callable[[], Address], until: float
    ) -> Generator[float, None, None]:
        """Begins with what the predecessor knows, or without it."""
        why = "nothing written"
        while self.loop.now < until:
            yield from self.loop.sleep(STATE_POLL_INTERVAL)
            try:
                self.apply_state(configured_discovery())
            except StateError as error:
                why = str(error)
            except Exception as error:  # noqa: BLE001 -- written by a build that goes wrong: it starts without
                why = repr(error)
                break
            else:
                return
        self.log("started without", why=why[:MAX_LOGGED_REASON])

    def apply_state(self, configured_discovery: Address) -> None:
        """Reads and applies the predecessor's state; StateError if it is not there or can't be used."""
        common, records = self.handover.read_state()
        clock = self.discovery.clock
        clock.restore(common["starts"])
        if not self.first_list.received and common["discovery"] == list(configured_discovery):
            self.apply_list(decode_endpoint_list(common["list"], clock, self.loop.now))
        servers = self.decisions.restore_snapshot(common, records)
        self.log("taken over", servers=servers, version=common["list"]["seq"])

    def apply_list(self, endpoint_list: EndpointList) -> None:
        """Begins with the list as the predecessor had it; the next poll goes on from there."""
        if not endpoint_list.endpoints:
            return
        for name, address in endpoint_list.addresses.items():
            self.addresses.store(name, address)
        self.discovery.version = endpoint_list.version
        self.decisions.report_list(EndpointListKind.CACHED, endpoint_list.endpoints)

    def open_receiver(self) -> HandoffReceiver | None:
        """Listens for the predecessor's open connections; None where that can't be."""
        take_over = partial(accept_handoff, self.sessions)
        try:
            return HandoffReceiver(
                self.loop, self.handover.handoff_path, take_over, self.decisions.on_all_adopted
            )
        except OSError as error:  # a path too long, perhaps: its clients are migrated then
            self.log("nothing passed on", why=str(error))
            return None

    # as the predecessor

    def check_successor(self) -> None:
        """Accepts nothing while a successor takes clients.

        Of two that place new sessions side by side each would need its part of every budget. If the successor
        dies, all is as before.
        """
        announcement = self.handover.successor_announcement()
        state = announcement.get("state", "")
        token = str(announcement.get("token", ""))
        if state == STARTING and token != self.handover.written_for:
            self.write_state(token)
        self.handoff_path = str(announcement.get("path", ""))
        is_taking = state == TAKING
        if is_taking is not self.service.replaced:
            self.service.replaced = is_taking
            self.log("replaced" if is_taking else "successor gone", live=self.sessions.active_count)
            self.acceptor.update()

    def write_state(self, token: str) -> None:
        """Writes what this process knows, for the successor of that token."""
        try:
            common, records = self.decisions.take_snapshot()
            common |= {"discovery": self.discovery.address, "list": self.discovery.snapshot()}
            common["starts"] = self.discovery.clock.starts
            self.handover.write_state(token, common, records)
            self.log("handed over", servers=len(records))
        except Exception as error:  # noqa: BLE001 -- a successor without it is better than no successor
            self.loop.report_failure("hand-over", error)

    def begin_stop(self) -> None:
        """Says that this process stops: called off as a successor, it gives the clients back."""
        self.handover.announce(STOPPING)
        self.check_successor()

    def hand_off_connections(self, path: str, until: float) -> Generator[float, None, None]:
        """Hands open connections off to the successor while it is there, also those that come up later.

        What it does not take is migrated.
        """
        try:
            sender = HandoffSender(self.loop, path)
        except OSError as error:
            self.log("nothing passed on", why=str(error))
            return
        while self.sessions.table.live and self.loop.now < until and not sender.broken:
            self.offer_connections(sender)
            yield from self.loop.sleep(HANDOFF_STEP)
        sender.close()
        self.log("passed on", connections=self.counters.counts["connections passed on"])

    def offer_connections(self, sender: HandoffSender) -> None:
        """Lets as many open connections be sent as there are free slots."""
        slots = sender.free_slots
        for connection in self.sessions.table.live:
            if slots <= 0:
                break
            is_new = connection.handoff_accepted is None and connection.handoff_sender is None
            if connection.is_open and is_new:
                connection.handoff_sender = sender
                slots -= 1
                connection.wake()
