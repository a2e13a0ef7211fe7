"""Replication of the endpoint list within a zone: one member watches the list service for the others.

Publishing is the leader task of a role, so the publisher is the lease holder; every member is a subscriber.
This module connects both to the membership protocol and to the proxy's watch of the list service.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from onyxhollow.fleet import clock
from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.drain_broadcast import DrainBroadcast
from onyxhollow.fleet.list_messages import (
    MESSAGE_DECODER,
    Heartbeat,
    ListMessage,
    ListRecordsError,
    ListTooLargeError,
    ListUpdate,
    Record,
    ResyncRequest,
    Suspicion,
    decode_records,
    draining_records,
    encode,
)
from onyxhollow.fleet.list_publisher import Publisher
from onyxhollow.fleet.list_subscriber import ListChange, Subscriber
from onyxhollow.fleet.paced_sender import PacedSender
from onyxhollow.interface import EndpointListKind
from onyxhollow.membership.member_table import Member
from onyxhollow.wire.endpoint_list import EndpointListError, decode_endpoint_list

LIST_PAYLOAD = 2  # kind of payloads and broadcasts that carry a list message
MIN_SNAPSHOT_INTERVAL_SECONDS = 0.2  # between two snapshots for the same member
MAX_RESUME_DELAY_FRACTION = 0.25  # of the maximum poll interval: longest random delay before polling again
MAX_LOGGED_HOSTS = 24

# Names of the counters in /control/fleet.
MALFORMED = "list: rubbish"
VERSIONS_RECEIVED = "list: told versions"
NOT_SENT_TOO_LARGE = "list: not sent, too large"
DROPPED_QUEUE_FULL = "list: not sent, too much waits"


@dataclass(frozen=True, slots=True)
class Publication:
    """Publisher of a term in which this member holds the lease."""

    publisher: Publisher
    holds_lease: Callable[[], bool]


class ListReplication:
    """Subscriber of one zone's endpoint list, and its publisher while this member holds the lease.

    Attributes:
        last_progress_at: Time of the list service's last answer, on the loop's clock.
        superseded: Whether another member has published under a newer term than that of the present start.
    """

    def __init__(
        self, context: MemberContext, role: str, zone: str | None, heartbeat_interval: float, service: str
    ) -> None:
        self.context = context
        self.role = role
        self.zone = zone
        self.heartbeat_interval = heartbeat_interval
        self.service = service
        self.watch = context.proxy.discovery
        self.service_address = self.watch.address  # `service` names this address, not one set by a reload
        max_resume_delay = context.proxy.config.settings.max_poll_interval * MAX_RESUME_DELAY_FRACTION
        self.subscriber = Subscriber(role, self.source, heartbeat_interval, max_resume_delay, context.rng)
        self.publication: Publication | None = None
        self.sender = PacedSender(self._send_if_current)
        self.last_progress_at = context.loop.now
        self.superseded = False
        self.is_too_large = False  # whether the latest list did not fit into an update
        self.snapshot_sent_at: dict[str, float] = {}  # time by member name
        self.drain_broadcast = DrainBroadcast(role)
        self.is_applying = False  # whether the watch is applying a change received from another member

    @property
    def source(self) -> str:
        """Name or address of the service of the present list; versions of services are not comparable.

        After a reload it is the former service until the first poll of the new one begins, at which the watch
        has no version.
        """
        address = self.watch.address
        if self.service and address == self.service_address:
            return self.service
        return ":".join(map(str, address))

    @property
    def is_switching(self) -> bool:
        """Whether a reload has configured another list service that the watch has not polled yet."""
        return self.watch.next_address not in (None, self.watch.address)

    # Leader task.

    def start(self, term: int, holds_lease: Callable[[], bool], /) -> None:
        """Start to publish under a term; `holds_lease` is called before each message."""
        self.last_progress_at = self.context.loop.now
        self.superseded = False
        publisher = Publisher(self.role, term, self.source)
        self.publication = Publication(publisher, holds_lease)
        self.subscriber.polling_suspended = False
        self.watch.set_suspended(False)
        if self.watch.version >= 0 and self.watch.records:
            self._update_publisher(publisher)
        publisher.next_heartbeat_at = clock.now()
        self.context.task.wake()

    def stop(self) -> None:
        """Stop publishing."""
        self.publication = None

    # Answers of the list service to this member.

    def on_endpoint_list(self, kind: EndpointListKind) -> None:
        """Process an answer, or a failure, of the list service."""
        if kind is EndpointListKind.CACHED or self.is_applying:
            return
        failed = kind is EndpointListKind.FAILED
        if not failed:
            self.last_progress_at = self.context.loop.now
            self.subscriber.on_own_answer()
            self._broadcast_drains()
        if self.publication is None:
            return
        if failed:
            self.publication.publisher.disconnected = True
            self.publication.publisher.next_heartbeat_at = clock.now()
        else:
            self._publish_list()
        self.context.task.wake()

    def _publish_list(self) -> None:
        publication = self.publication
        assert publication is not None
        if publication.publisher.source != self.source:  # a reload has changed the list service
            term = publication.publisher.term
            publication = Publication(Publisher(self.role, term, self.source), publication.holds_lease)
            self.publication = publication
        for update in self._update_publisher(publication.publisher):
            for receiver in self._zone_members():
                self._enqueue(receiver, update)

    def _update_publisher(self, publisher: Publisher) -> list[ListUpdate]:
        """Pass the present list to the publisher; return the updates, none if the list is too large."""
        try:
            updates = publisher.update(self.watch.records, self.watch.version)
        except ListTooLargeError as error:
            self._on_too_large_list(publisher, error)
            return []
        self.is_too_large = False
        return updates

    def _on_too_large_list(self, publisher: Publisher, error: ListTooLargeError) -> None:
        """Count an update that could not be sent, and tell the subscribers at once to poll for themselves."""
        self.context.counts[NOT_SENT_TOO_LARGE] += 1
        if self.is_too_large:
            return
        self.is_too_large = True
        publisher.next_heartbeat_at = clock.now()
        self.context.log_event("list too large", duty=self.role, why=str(error), version=self.watch.version)

    def _broadcast_drains(self) -> None:
        for update in self.drain_broadcast.updates(
            self.watch.records.values(), self.source, self.watch.version
        ):
            self.context.membership.broadcast(LIST_PAYLOAD, encode(update))

    # Messages from other members.

    def on_message(self, sender: Member, body: bytes, now: float) -> None:
        """Process a payload of another member; count and drop a malformed one."""
        try:
            message = MESSAGE_DECODER.decode(body)
        except msgspec.DecodeError:
            self.context.counts[MALFORMED] += 1
            return
        if message.role != self.role:
            return
        if isinstance(message, ResyncRequest | Suspicion):
            self._on_request(sender, message, now)
            return
        self.subscriber.source = self.source
        if self.publication and self.publication.holds_lease():
            if message.term > self.publication.publisher.term:
                self.superseded = True
            return
        if self.is_switching:  # a heartbeat must not suspend the first poll of the new service
            return
        self._on_publisher_message(sender, message, now)

    def on_broadcast(self, body: bytes) -> None:
        """Apply the drains that another member has broadcast.

        The version of the list does not change, because other changes of that version may be missing.
        """
        try:
            update = MESSAGE_DECODER.decode(body)
            if not isinstance(update, ListUpdate) or update.source != self.source:
                return
            drains = draining_records(decode_records([update.body]))
        except (msgspec.DecodeError, ListRecordsError):
            self.context.counts[MALFORMED] += 1
            return
        if not update.version > self.watch.version >= 0:
            return
        new_drains = [record for record in drains if self._is_new_drain(record)]
        if new_drains and self._apply(ListChange(new_drains, None, is_snapshot=False)):
            hosts = [record["host"] for record in new_drains][:MAX_LOGGED_HOSTS]
            self.context.log_event("drains received", hosts=hosts, version=update.version)

    def _on_request(self, sender: Member, request: ResyncRequest | Suspicion, now: float) -> None:
        """Answer a subscriber's request if this member is the publisher."""
        if self.publication is None or not self.publication.holds_lease():
            return
        publisher = self.publication.publisher
        if isinstance(request, Suspicion):
            if request.version > self.watch.version and request.version > publisher.suspected_version:
                publisher.suspected_version = request.version
                self.watch.switch_to(self.watch.address, resync=True)
            return
        if now - self.snapshot_sent_at.get(sender.name, -math.inf) >= MIN_SNAPSHOT_INTERVAL_SECONDS:
            self.snapshot_sent_at[sender.name] = now
            try:
                updates = publisher.snapshot()
            except ListTooLargeError as error:
                self._on_too_large_list(publisher, error)
                return
            for update in updates:
                self._enqueue(sender, update)

    def _on_publisher_message(self, sender: Member, message: Heartbeat | ListUpdate, now: float) -> None:
        """Process a message of the publisher as a subscriber."""
        subscriber = self.subscriber
        was_suspended = subscriber.polling_suspended
        answer: ListChange | ResyncRequest | None
        if isinstance(message, Heartbeat):
            members = 1 + len(self._zone_members())
            answer = subscriber.on_heartbeat(message, now, self.watch.version, members)
            if subscriber.rejected_term == message.term and not subscriber.polling_suspended:
                self._send(sender, Suspicion(self.role, message.term, self.source, self.watch.version))
        else:
            answer = subscriber.on_update(message, now, self.watch.version)
        if isinstance(answer, ResyncRequest):
            self._send(sender, answer)
        elif isinstance(answer, ListChange):
            if self._apply(answer):
                self.context.counts[VERSIONS_RECEIVED] += 1
            else:
                subscriber.reject_publisher(now, "malformed records")
        if subscriber.polling_suspended and not was_suspended:
            self.watch.set_suspended(True)
            self.context.log_event(
                "list polling suspended", duty=self.role, term=subscriber.term, version=self.watch.version
            )

    def _is_new_drain(self, record: Record) -> bool:
        current = self.watch.records.get(record["host"])
        return current is not None and current.get("health") not in (record["health"], "left")

    def _apply(self, change: ListChange) -> bool:
        """Apply a change to the watch like an answer of the list service; return whether it was valid."""
        answer = {
            "seq": self.watch.version if change.version is None else change.version,
            "whole": change.is_snapshot,
            "hosts": change.records,
        }
        self.is_applying = True
        try:
            self.watch.apply(decode_endpoint_list(answer, self.watch.clock, self.context.loop.now))
        except EndpointListError:
            return False
        finally:
            self.is_applying = False
        return True

    # Sending.

    def _zone_members(self) -> list[Member]:
        live = self.context.membership.live_members()
        return [member for member in live if self.zone in (None, member.zone)]

    def _send(self, receiver: Member, message: ListMessage) -> None:
        self.context.membership.send_payload(receiver, LIST_PAYLOAD, encode(message))

    def _enqueue(self, receiver: Member, update: ListUpdate) -> None:
        if not self.sender.enqueue(receiver, update, clock.now()):
            self.context.counts[DROPPED_QUEUE_FULL] += 1

    def _send_if_current(self, receiver: Member, update: ListUpdate) -> None:
        """Send a queued update unless its term or lease has ended."""
        publication = self.publication
        if publication and update.term == publication.publisher.term and publication.holds_lease():
            self._send(receiver, update)

    def _send_heartbeats(self, publication: Publication, now: float) -> None:
        publisher = publication.publisher
        if now < publisher.next_heartbeat_at:
            return
        publisher.next_heartbeat_at = now + self.heartbeat_interval
        for receiver in self._zone_members():
            if not publication.holds_lease():
                break
            self._send(receiver, publisher.heartbeat())
        if self.watch.connection is not None and not publisher.disconnected:
            self.last_progress_at = self.context.loop.now  # an open watch counts as progress

    # Timers.

    def tick(self, now: float) -> None:
        """Send due heartbeats and queued updates, and resume polling if it is due."""
        if self.publication:
            self._send_heartbeats(self.publication, now)
        self.sender.tick(now)
        if self.is_switching or self.subscriber.source != self.source:
            self.subscriber.follow_source(self.source)
            self.watch.set_suspended(False)
        if self.subscriber.tick(now):
            # For an audit the list service answers at once, so that no watch stays open.
            self.watch.answer_at_once = self.subscriber.audit_running
            self.watch.set_suspended(False)
            self.context.log_event(
                "list polling resumed",
                duty=self.role,
                why=self.subscriber.resume_cause,
                version=self.watch.version,
            )

    def next_due(self) -> float:
        """Return the time at which `tick` must be called next."""
        heartbeat_at = self.publication.publisher.next_heartbeat_at if self.publication else math.inf
        return min(heartbeat_at, self.sender.next_due, self.subscriber.next_due())

    def status(self) -> dict[str, Any]:
        """Return the state that `/control/fleet` reports."""
        return {
            "duty": self.role,
            "version": self.watch.version,
            "rests": self.watch.suspended,
            "tells": self.publication is not None and self.publication.holds_lease(),
        }
