"""One member of the fleet: the assembly of its parts on the proxy's loop.

A datagram comes in by the transport, is decoded by the membership protocol, and its payload becomes a call on
the part that it is for; what the parts leave to be sent goes out at the end of each step. Only this module
knows all parts; they know `onyxhollow.fleet.context.MemberContext`.
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

CHECK_INTERVAL = 0.1  # seconds between checks of what changes outside: the service state, a task's progress
STALL_LOGGED = 0.5  # seconds of standing still from which it is logged
SHORTEST_WAIT = 0.001  # seconds between two steps of the member's coroutine


class Node:
    """One member. Implements `MemberContext` for its parts, and is itself a part of the proxy."""

    def __init__(self, proxy: Proxy, fleet: FleetConfig) -> None:
        """Puts a member on a proxy.

        Raises:
            ListenError: The fleet's address can't be bound.
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
        self._logged_stalls = 0.0
        self._check_at = now
        self.leasing = Leasing(self, self.may_hold_roles, self._on_holder, now)
        gossip_config = fleet.file.gossip_config()
        self.list_replication: ListReplication | None = None
        self.load_gossip = GossipService(self, gossip_config) if gossip_config else None
        self.addresses: SharedAddresses | None = None
        self._add_roles()
        self._join_proxy(authenticator)

    @property
    def voters(self) -> VoterSet:
        """The newest voter set that this member knows of."""
        return self.leasing.voter_sets.voter_set

    def log_event(self, event: str, **values: Any) -> None:
        """Writes one line to the proxy's log, with the monotonic time in `at`."""
        self.proxy.log.event(event, at=round(time.monotonic(), 4), **values)

    def find_member(self, process: str) -> Member | None:
        """The member of that process id; None if it is not known."""
        key = split_process_id(process)
        return self.membership.members.get(key) if key else None

    def may_hold_roles(self) -> bool:
        """Whether this process may hold roles: it serves clients, and no successor does."""
        service = self.proxy.service
        return service.ready and not service.replaced and not self.closed

    # Assembly.

    def _make_membership(self, now: float) -> SwimMembership:
        fleet = self.fleet
        local = MemberUpdate(self.name, self.epoch, 0, MemberState.ALIVE, fleet.advertise, self.zone, 0)
        return SwimMembership(local, fleet.file.protocol_config(), self.rng, fleet.seeds, now)

    def _on_holder(self, role: str, term: int, process_id: str) -> None:
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
            task = self._make_webhook(name, role)
        self.leasing.leases.add(name, zone, task)

    def _make_webhook(self, name: str, role: RoleTable) -> WebhookTask:
        host, _, port = role.call_address.rpartition(":")
        count = self.proxy.counters.add
        address = host, int(port)
        return WebhookTask(self.loop, address, role.path, name, self.process_id, role.interval, count)

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

    # The loop.

    def _on_readable(self, _: int) -> None:
        now = clock.now()
        for packet, source in self.transport.receive():
            self.membership.on_message(now, packet, source)
        self._step()

    def _run(self) -> Generator[float, None, None]:
        while not self.closed:
            try:
                self._step()
            # Leases run out by themselves; membership and the other roles must go on.
            except Exception as error:  # noqa: BLE001
                self.proxy.report_failure("fleet", error)
                yield self.loop.now + CHECK_INTERVAL
            yield self.loop.now + max(SHORTEST_WAIT, self._next_due() - clock.now())

    def _next_due(self) -> float:
        times = [self.membership.next_due, self._check_at, self.leasing.next_due()]
        if self.list_replication:
            times.append(self.list_replication.next_due())
        if self.load_gossip:
            times.append(self.load_gossip.next_due)
        if self.addresses:
            times.append(self.addresses.next_due())
        return min(times)

    def _step(self) -> None:
        """Does all that is due, and all that follows from it."""
        if self.closed:
            return
        now = clock.now()
        self._tick(now)
        while self._something_waits():
            self._take_membership_changes(now)
            self._take_payloads(now)
            self._take_broadcasts(now)
            self.leasing.router.route_local(now)
        self.leasing.leases.apply_transitions(now)
        self._flush()

    def _tick(self, now: float) -> None:
        if now >= self.membership.next_due:
            self.membership.tick(now)
            self._log_stalls()
        if now >= self._check_at:
            self._check_at = now + CHECK_INTERVAL
            self._check(now)
        self.leasing.tick(now)
        if self.list_replication:
            self.list_replication.tick(now)
        if self.load_gossip:
            self.load_gossip.tick(now)
        if self.addresses:
            self.addresses.tick(now)

    def _check(self, now: float) -> None:
        """Checks what changes without a message."""
        flags = (MAY_HOLD_ROLES if self.may_hold_roles() else 0) | (
            VOTES if self.leasing.voter_service.voter else 0
        )
        if flags != self.membership.local.flags:
            self.membership.set_flags(flags)
            self.leasing.ranking.clear()
        self.leasing.check(now)

    def _something_waits(self) -> bool:
        membership = self.membership
        return bool(
            self.leasing.messenger.local_messages
            or membership.changes
            or membership.received_payloads
            or membership.received_broadcasts
        )

    def _take_membership_changes(self, now: float) -> None:
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

    def _take_payloads(self, now: float) -> None:
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

    def _take_broadcasts(self, now: float) -> None:
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
        if stalled - self._logged_stalls >= STALL_LOGGED:
            self.log_event("stalled", seconds=round(stalled - self._logged_stalls, 3))
            self._logged_stalls = stalled

    def _flush(self) -> None:
        self.transport.send_all(self.membership.take_outbox())

    # A part of the proxy.

    def on_endpoint_list(self, kind: EndpointListKind, _: list[Endpoint]) -> None:
        """The proxy's own endpoint list has changed."""
        if self.list_replication:
            self.list_replication.on_own_list(kind)

    def close(self) -> None:
        """The process ends: its leases are handed over at once."""
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
    """A function that puts a member of this fleet on a proxy."""

    def put_on(proxy: Proxy) -> None:
        Node(proxy, fleet)

    return put_on
