"""Fleet member: creates its parts and runs them on the event loop of the proxy.

The transport receives and authenticates datagrams, the membership protocol decodes them, and this module
passes each payload to the part that handles its kind. Datagrams that the parts queue are sent at the end of
each step. Only this module imports all parts. The parts depend on `onyxhollow.fleet.context.MemberContext`.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Callable, Generator
from random import Random
from typing import Any

from onyxhollow import __version__
from onyxhollow.fleet import clock
from onyxhollow.fleet.datagram_transport import DatagramTransport
from onyxhollow.fleet.file import FleetConfig, RoleScope, RoleTable, TaskKind
from onyxhollow.fleet.gossip_service import GOSSIP_PAYLOAD, GossipService
from onyxhollow.fleet.identity import MAY_HOLD_ROLES, VOTES, make_process_id, split_process_id
from onyxhollow.fleet.leader_tasks import LeaderTask, WebhookTask
from onyxhollow.fleet.leasing import Leasing
from onyxhollow.fleet.list_replication import LIST_PAYLOAD, ListReplication
from onyxhollow.fleet.shared_addresses.messenger import ADDRESS_PAYLOAD
from onyxhollow.fleet.shared_addresses.service import SharedAddresses
from onyxhollow.fleet.status_api import StatusApi
from onyxhollow.interface import Endpoint, EndpointListKind
from onyxhollow.leases.messages import VOTERS_ROLE, VoterSet
from onyxhollow.lifecycle.proxy import Proxy
from onyxhollow.loop import READ, Task
from onyxhollow.membership.datagram_authenticator import DatagramAuthenticator
from onyxhollow.membership.member_table import Member
from onyxhollow.membership.messages import MemberState, MemberUpdate
from onyxhollow.membership.swim import SwimMembership

CHECK_INTERVAL_SECONDS = 0.1  # between checks of state that changes without a message
MIN_LOGGED_STALL_SECONDS = 0.5
MIN_STEP_INTERVAL_SECONDS = 0.001  # between two steps of the member's coroutine


class Node:
    """Fleet member of this process: the `MemberContext` of its parts and an extension of the proxy."""

    def __init__(self, proxy: Proxy, fleet: FleetConfig) -> None:
        """Create the member and register it with the proxy.

        Raises:
            ListenError: The fleet's listen address cannot be bound.
        """
        self.proxy = proxy
        self.fleet = fleet
        self.loop = proxy.loop
        self.name = proxy.config.name
        self.zone = proxy.config.settings.zone
        self.epoch = clock.new_epoch()
        self.process_id = make_process_id(self.name, self.epoch)
        self.rng = Random(proxy.config.seed ^ self.epoch)
        self.counts: Counter[str] = Counter()
        self.closed = False
        authenticator = DatagramAuthenticator(fleet.file.fleet, self.name, self.epoch, fleet.keys)
        self.transport = DatagramTransport(fleet.listen, authenticator, self.counts)
        now = clock.now()
        self.membership = self._make_membership(now)
        self._logged_stall_seconds = 0.0
        self._check_due_at = now
        self.leasing = Leasing(self, self.may_hold_roles, self._on_holder_announced, now)
        gossip_config = fleet.file.gossip_config()
        self.list_replication: ListReplication | None = None
        self.load_gossip = GossipService(self, gossip_config) if gossip_config else None
        self.addresses: SharedAddresses | None = None
        self._add_roles()
        self._join_proxy(authenticator)

    @property
    def voters(self) -> VoterSet:
        """Newest voter set that this member has received."""
        return self.leasing.voter_sets.voter_set

    def log_event(self, event: str, **values: Any) -> None:
        """Write an event to the proxy's log, with the monotonic time in `at`."""
        self.proxy.log.event(event, at=round(time.monotonic(), 4), **values)

    def find_member(self, process: str) -> Member | None:
        """Return the member entry of a process id; None if it is unknown."""
        member_key = split_process_id(process)
        return self.membership.members.get(member_key) if member_key else None

    def may_hold_roles(self) -> bool:
        """Return whether this process may hold roles: it serves clients and has no successor."""
        service = self.proxy.service
        return service.ready and not service.replaced and not self.closed

    # Construction.

    def _make_membership(self, now: float) -> SwimMembership:
        fleet = self.fleet
        local = MemberUpdate(self.name, self.epoch, 0, MemberState.ALIVE, fleet.advertise, self.zone, 0)
        return SwimMembership(local, fleet.file.protocol_config(), self.rng, fleet.seeds, now)

    def _on_holder_announced(self, role: str, term: int, process_id: str) -> None:
        if self.addresses:
            self.addresses.record_holder(role, term, process_id)

    def _add_roles(self) -> None:
        self.leasing.leases.add(VOTERS_ROLE, None, None)
        for role in self.fleet.file.roles:
            self._add_role(role)
        if self.fleet.addresses:
            self.addresses = SharedAddresses(self, self.fleet.addresses)
            for address_role in self.addresses.roles():
                self.leasing.leases.add(address_role.name, address_role.zone, address_role.task)

    def _add_role(self, role: RoleTable) -> None:
        zone = self.zone if role.scope is RoleScope.ZONE else None
        name = f"{role.name}/{zone}" if zone is not None else role.name
        task: LeaderTask
        if role.task is TaskKind.LIST:
            self.list_replication = ListReplication(self, name, zone, role.interval, role.service)
            task = self.list_replication
        else:
            task = self._make_webhook_task(name, role)
        self.leasing.leases.add(name, zone, task)

    def _make_webhook_task(self, name: str, role: RoleTable) -> WebhookTask:
        host, _, port = role.call_address.rpartition(":")
        add_to_counter = self.proxy.counters.add
        address = host, int(port)
        return WebhookTask(
            self.loop, address, role.path, name, self.process_id, role.interval, add_to_counter
        )

    def _join_proxy(self, authenticator: DatagramAuthenticator) -> None:
        proxy = self.proxy
        proxy.extensions.append(self)
        status = StatusApi(
            self,
            self.leasing,
            authenticator.dropped,
            self.list_replication,
            self.load_gossip,
        )
        proxy.routes |= status.routes()
        proxy.routes |= self.addresses.routes() if self.addresses else {}
        self.loop.watch(self.transport.descriptor, READ, self._on_readable)
        self.task: Task = self.loop.spawn(self._run())
        self.log_event(
            "fleet",
            listen=self.fleet.listen,
            advertise=self.fleet.advertise,
            epoch=self.epoch,
            voters=self.fleet.file.voters,
            zone=self.zone,
            version=__version__,
        )

    # Event loop.

    def _on_readable(self, _: int) -> None:
        now = clock.now()
        for packet, source in self.transport.receive():
            self.membership.on_message(now, packet, source)
        self._step()

    def _run(self) -> Generator[float, None, None]:
        while not self.closed:
            try:
                self._step()
            # A failed step must not stop membership or the other roles. Leases expire by their timeout.
            except Exception as error:  # noqa: BLE001
                self.proxy.report_failure("fleet", error)
                yield self.loop.now + CHECK_INTERVAL_SECONDS
            yield self.loop.now + max(MIN_STEP_INTERVAL_SECONDS, self._next_due() - clock.now())

    def _next_due(self) -> float:
        due_times = [self.membership.next_due, self._check_due_at, self.leasing.next_due()]
        if self.list_replication:
            due_times.append(self.list_replication.next_due())
        if self.load_gossip:
            due_times.append(self.load_gossip.next_due)
        if self.addresses:
            due_times.append(self.addresses.next_due())
        return min(due_times)

    def _step(self) -> None:
        """Run expired timers, then process queued changes and messages until none is left."""
        if self.closed:
            return
        now = clock.now()
        self._tick(now)
        while self._has_pending_input():
            self._process_membership_changes(now)
            self._process_payloads(now)
            self._process_broadcasts(now)
            self.leasing.router.route_local(now)
        self.leasing.leases.apply_transitions(now)
        self._flush()

    def _tick(self, now: float) -> None:
        if now >= self.membership.next_due:
            self.membership.tick(now)
            self._log_stalls()
        if now >= self._check_due_at:
            self._check_due_at = now + CHECK_INTERVAL_SECONDS
            self._check_state(now)
        self.leasing.tick(now)
        if self.list_replication:
            self.list_replication.tick(now)
        if self.load_gossip:
            self.load_gossip.tick(now)
        if self.addresses:
            self.addresses.tick(now)

    def _check_state(self, now: float) -> None:
        """Update the flags of this member and check the lease services."""
        flags = (MAY_HOLD_ROLES if self.may_hold_roles() else 0) | (
            VOTES if self.leasing.voter_service.voter else 0
        )
        if flags != self.membership.local.flags:
            self.membership.set_flags(flags)
            self.leasing.ranking.clear()
        self.leasing.check(now)

    def _has_pending_input(self) -> bool:
        membership = self.membership
        return bool(
            self.leasing.messenger.local_messages
            or membership.changes
            or membership.received_payloads
            or membership.received_broadcasts
        )

    def _process_membership_changes(self, now: float) -> None:
        for change in self.membership.take_changes():
            member = change.member
            self.leasing.ranking.clear()
            if self.load_gossip:
                self.load_gossip.on_members_changed()
            if member.state in (MemberState.SUSPECT, MemberState.DEAD):
                self.leasing.leases.last_fault_at = now
            self.log_event(
                "member",
                member=member.name,
                epoch=member.epoch,
                life=member.state.name.lower(),
                why=change.cause,
                there=self.membership.live_count(),
            )

    def _process_payloads(self, now: float) -> None:
        for member, payload in self.membership.take_payloads():
            self._on_payload(member, payload.kind, payload.body, now)

    def _on_payload(self, member: Member, kind: int, body: bytes, now: float) -> None:
        if kind == LIST_PAYLOAD:
            if self.list_replication:
                self.list_replication.on_message(member, body, now)
        elif kind == GOSSIP_PAYLOAD:
            if self.load_gossip:
                self.load_gossip.on_message(member, body, now)
        elif kind == ADDRESS_PAYLOAD:
            if self.addresses:
                self.addresses.on_message(member, body, now)
        else:
            self.leasing.router.on_payload(member, body, now)

    def _process_broadcasts(self, now: float) -> None:
        for broadcast in self.membership.take_broadcasts():
            self._on_broadcast(broadcast.kind, broadcast.body, now)

    def _on_broadcast(self, kind: int, body: bytes, now: float) -> None:
        if kind == LIST_PAYLOAD:
            if self.list_replication:
                self.list_replication.on_broadcast(body)
        elif kind == ADDRESS_PAYLOAD:
            if self.addresses:
                self.addresses.on_broadcast(body)
        else:
            self.leasing.router.on_broadcast(body, now)

    def _log_stalls(self) -> None:
        stalled = self.membership.stalled_seconds
        if stalled - self._logged_stall_seconds >= MIN_LOGGED_STALL_SECONDS:
            self.log_event("stalled", seconds=round(stalled - self._logged_stall_seconds, 3))
            self._logged_stall_seconds = stalled

    def _flush(self) -> None:
        self.transport.send_all(self.membership.take_outbox())

    # Extension of the proxy.

    def on_endpoint_list(self, kind: EndpointListKind, _: list[Endpoint]) -> None:
        """Pass a new endpoint list of the proxy to the list replication."""
        if self.list_replication:
            self.list_replication.on_endpoint_list(kind)

    def close(self) -> None:
        """Hand over all leases, leave the fleet and close the socket and the voter log."""
        if self.closed:
            return
        self.leasing.leases.hand_over_all("stopped")
        self._step()
        self.membership.leave()
        self._flush()
        self.closed = True
        self.loop.watch(self.transport.descriptor, 0, None)
        self.transport.close()
        self.leasing.voter_service.close()
        if self.addresses:
            self.addresses.close()


def attach(fleet: FleetConfig) -> Callable[[Proxy], None]:
    """Return a function that creates a member of this fleet in a proxy."""

    def create_member(proxy: Proxy) -> None:
        Node(proxy, fleet)

    return create_member
