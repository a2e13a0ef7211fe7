"""Replacement of one process by another: state, new clients and open connections go to the successor."""

from __future__ import annotations

from collections.abc import Callable, Generator
from functools import partial

from onyxhollow.counters import Counters
from onyxhollow.decision_adapter import DecisionAdapter
from onyxhollow.interface import EndpointListKind
from onyxhollow.lifecycle.accepting import ClientAcceptor
from onyxhollow.lifecycle.first_list import FirstList
from onyxhollow.lifecycle.handover import STARTING, STOPPING, TAKING, Handover, StateError
from onyxhollow.service_state import ServiceState
from onyxhollow.wire.client_session import accept_handoff
from onyxhollow.wire.endpoint_addresses import Address
from onyxhollow.wire.endpoint_list import EndpointList, decode_endpoint_list
from onyxhollow.wire.endpoint_list_watch import EndpointListWatch
from onyxhollow.wire.handoff_channel import HandoffReceiver, HandoffSender
from onyxhollow.wire.network_context import NetworkContext
from onyxhollow.wire.session_registry import SessionRegistry

LIST_TIMEOUT_SECONDS = 2.0  # after which a successor takes clients without a list of its own
NOTIFICATION_GRACE_SECONDS = 2.0  # from then on, until the list counts as known to the successor
STATE_TIMEOUT_SECONDS = 0.5  # for the predecessor to write its state
STATE_POLL_INTERVAL_SECONDS = 0.02  # between attempts to read that state
POLL_INTERVAL_SECONDS = 0.1  # between checks of the other process of this proxy
HANDOFF_INTERVAL_SECONDS = 0.005  # between two batches of connections handed off
MAX_LOGGED_REASON_CHARACTERS = 200


class Replacement:
    """Runs this process's side of a replacement, first as the successor and later as the predecessor."""

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
        self.handoff_path = ""  # of the socket where the successor receives open connections

    def run(self, configured_discovery: Callable[[], Address]) -> Generator[float, None, None]:
        """Replace the predecessor if there is one, then watch for a successor.

        Args:
            configured_discovery: Returns the list service of the configuration in use.
        """
        if self.handover.has_no_role:
            self.log("nothing handed over", why="expected at most one other process of this proxy, got two")
        if self.handover.is_successor:
            started_at = self.loop.now
            yield from self.start_as_successor(configured_discovery, started_at)
            if self.service.stopping:
                return
            yield from self.take_clients(started_at)
        while not self.service.stopping:
            self.check_successor()
            yield from self.loop.sleep(POLL_INTERVAL_SECONDS)

    # as the successor

    def start_as_successor(
        self, configured_discovery: Callable[[], Address], started_at: float
    ) -> Generator[float, None, None]:
        """Restore the predecessor's state if there is one, and wait for the first list."""
        self.discovery.poll()
        self.decisions.report_list_requested(LIST_TIMEOUT_SECONDS + NOTIFICATION_GRACE_SECONDS)
        yield from self.restore_state(configured_discovery, started_at + STATE_TIMEOUT_SECONDS)
        deadline = started_at + LIST_TIMEOUT_SECONDS
        while not self.first_list.is_received and self.loop.now < deadline:
            self.accept_if_alone()
            yield min(deadline, self.loop.now + POLL_INTERVAL_SECONDS)

    def accept_if_alone(self) -> None:
        """Accept clients already while waiting for the list, if the predecessor has ended."""
        if not self.service.accepts_while_starting and self.handover.take_over():
            self.service.accepts_while_starting = True
            self.log("predecessor ended", before="the first list")
            self.acceptor.update()

    def take_clients(self, started_at: float) -> Generator[float, None, None]:
        """Accept new clients, and receive open connections until the predecessor has ended."""
        receiver = self.open_receiver()
        self.service.end_start()
        self.acceptor.update()
        self.handover.announce(TAKING, receiver.path if receiver else "")
        self.log(
            "successor", list_heard=self.first_list.is_received, took=round(self.loop.now - started_at, 3)
        )
        while not self.handover.take_over():
            yield from self.loop.sleep(POLL_INTERVAL_SECONDS)
        taken = self.counters.counts["connections taken over"]
        self.log("predecessor ended", after=round(self.loop.now - started_at, 2), taken_over=taken)
        if receiver is not None:
            receiver.close()

    def restore_state(
        self, configured_discovery: Callable[[], Address], deadline: float
    ) -> Generator[float, None, None]:
        """Apply the predecessor's state once it is written, or log why this process starts without it."""
        reason = "expected a state file of the predecessor, got none"
        while self.loop.now < deadline:
            yield from self.loop.sleep(STATE_POLL_INTERVAL_SECONDS)
            try:
                self.apply_state(configured_discovery())
            except StateError as error:
                reason = str(error)
            except Exception as error:  # noqa: BLE001 -- invalid state must not prevent the start
                reason = repr(error)
                break
            else:
                return
        self.log("started without", why=reason[:MAX_LOGGED_REASON_CHARACTERS])

    def apply_state(self, configured_discovery: Address) -> None:
        """Read and apply the predecessor's state.

        Raises:
            StateError: The state file is missing or cannot be used.
        """
        common, records = self.handover.read_state()
        clock = self.discovery.clock
        clock.restore(common["starts"])
        if not self.first_list.is_received and common["discovery"] == list(configured_discovery):
            self.apply_list(decode_endpoint_list(common["list"], clock, self.loop.now))
        servers = self.decisions.restore_snapshot(common, records)
        self.log("taken over", servers=servers, version=common["list"]["seq"])

    def apply_list(self, endpoint_list: EndpointList) -> None:
        """Start with the predecessor's endpoint list; the next poll continues from its version."""
        if not endpoint_list.endpoints:
            return
        for name, address in endpoint_list.addresses.items():
            self.addresses.store(name, address)
        self.discovery.restore(endpoint_list)
        self.decisions.report_list(EndpointListKind.CACHED, endpoint_list.endpoints)

    def open_receiver(self) -> HandoffReceiver | None:
        """Return a receiver for the predecessor's open connections, or None if it cannot listen."""
        accept = partial(accept_handoff, self.sessions)
        try:
            return HandoffReceiver(
                self.loop, self.handover.handoff_path, accept, self.decisions.on_all_adopted
            )
        except OSError as error:  # for example, the path is too long; the predecessor migrates its clients
            self.log("nothing passed on", why=str(error))
            return None

    # as the predecessor

    def check_successor(self) -> None:
        """Stop accepting while a successor takes clients, and accept again if the successor dies.

        Two processes that place new sessions at the same time would each have to limit itself to its part of
        every budget.
        """
        announcement = self.handover.read_successor_announcement()
        state = announcement.get("state", "")
        token = str(announcement.get("token", ""))
        if state == STARTING and token != self.handover.state_recipient:
            self.write_state(token)
        self.handoff_path = str(announcement.get("path", ""))
        is_taking = state == TAKING
        if is_taking is not self.service.replaced:
            self.service.replaced = is_taking
            self.log("replaced" if is_taking else "successor gone", live=self.sessions.active_count)
            self.acceptor.update()
        if is_taking:
            self.sessions.yield_descriptors()

    def write_state(self, token: str) -> None:
        """Write this process's state for the successor with this token."""
        try:
            common, records = self.decisions.take_snapshot()
            common |= {"discovery": self.discovery.address, "list": self.discovery.snapshot()}
            common["starts"] = self.discovery.clock.starts
            self.handover.write_state(token, common, records)
            self.log("handed over", servers=len(records))
        except Exception as error:  # noqa: BLE001 -- the successor can start without this state
            self.loop.report_failure("hand-over", error)

    def begin_stop(self) -> None:
        """Announce the shutdown; if this process is a successor, its predecessor accepts clients again."""
        self.handover.announce(STOPPING)
        self.check_successor()

    def hand_off_connections(self, path: str, deadline: float) -> Generator[float, None, None]:
        """Hand open connections off to the successor, including those established in the meantime.

        The caller migrates connections that the successor does not accept.

        Args:
            path: Of the successor's socket.
            deadline: On the loop's clock.
        """
        try:
            sender = HandoffSender(self.loop, path)
        except OSError as error:
            self.log("nothing passed on", why=str(error))
            return
        while self.sessions.table.live and self.loop.now < deadline and not sender.broken:
            self.offer_connections(sender)
            self.sessions.yield_descriptors()
            yield from self.loop.sleep(HANDOFF_INTERVAL_SECONDS)
        sender.close()
        self.log("passed on", connections=self.counters.counts["connections passed on"])

    def offer_connections(self, sender: HandoffSender) -> None:
        """Offer as many open connections to the sender as it has free slots."""
        slots = sender.free_slots
        for connection in self.sessions.table.live:
            if slots <= 0:
                break
            is_new = connection.handoff_accepted is None and connection.handoff_sender is None
            if connection.is_open and is_new:
                connection.handoff_sender = sender
                slots -= 1
                connection.wake()
