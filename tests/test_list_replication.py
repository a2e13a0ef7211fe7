"""Replication of the endpoint list: publisher, subscriber, drain broadcasts and paced sending."""

from collections import Counter
from random import Random
from types import SimpleNamespace
from unittest.mock import MagicMock

import orjson
import pytest
from peers import HOST, ScriptedServer

from onyxhollow.fleet import clock, paced_sender
from onyxhollow.fleet.drain_broadcast import DRAINS_PER_BROADCAST, DrainBroadcast
from onyxhollow.fleet.list_messages import (
    MESSAGE_DECODER,
    Heartbeat,
    ListUpdate,
    ResyncRequest,
    decode_records,
    encode,
)
from onyxhollow.fleet.list_publisher import Publisher
from onyxhollow.fleet.list_replication import ListReplication
from onyxhollow.fleet.list_subscriber import MAX_PUBLISHER_LAG_SECONDS, Subscriber
from onyxhollow.fleet.paced_sender import GROUP_INTERVAL_SECONDS, GROUP_SIZE, PacedSender
from onyxhollow.interface import EndpointListKind


def make_publisher():
    return Publisher("list", 3, "s")


def make_subscriber():
    return Subscriber("list", "s", 0.5, 2.0, Random(1))


def make_record(name, health="active"):
    return {"host": name, "health": health}


def test_a_subscriber_suspends_polling_at_its_own_version_and_resumes_when_the_publisher_is_silent():
    publisher, subscriber = make_publisher(), make_subscriber()
    (update,) = publisher.update({"s1": make_record("s1")}, 7)
    change = subscriber.on_update(update, 0.0, -1)
    assert change.records == [make_record("s1")] and change.version == 7 and change.is_snapshot
    assert subscriber.on_heartbeat(publisher.heartbeat(), 0.1, 7, 4) is None and subscriber.polling_suspended
    (update,) = publisher.update({"s1": make_record("s1", "leaving"), "s2": make_record("s2")}, 8)
    assert update.base == 7
    assert subscriber.on_update(update, 0.2, 7).records == [make_record("s1", "leaving"), make_record("s2")]
    # A subscriber that missed version 7 needs a snapshot.
    assert isinstance(subscriber.on_update(update, 0.2, 6), ResyncRequest)
    assert not subscriber.tick(1.6) and not subscriber.tick(1.71)
    assert 1.7 < subscriber.resume_at <= 3.75
    assert subscriber.tick(3.75) and not subscriber.polling_suspended


def test_a_publisher_is_rejected_if_it_is_disconnected_behind_or_malformed_or_its_term_is_outdated():
    for fault in ("disconnected", "malformed", "behind", "outdated"):
        publisher, subscriber = make_publisher(), make_subscriber()
        publisher.update({"s1": make_record("s1")}, 7)
        subscriber.on_heartbeat(publisher.heartbeat(), 0.0, 7, 4)
        if fault == "disconnected":
            publisher.disconnected = True
            subscriber.on_heartbeat(publisher.heartbeat(), 0.1, 7, 4)
        elif fault == "malformed":
            subscriber.on_update(ListUpdate("list", 3, "s", 8, 7, 0, 1, b"x"), 0.1, 7)
        elif fault == "behind":
            subscriber.on_heartbeat(publisher.heartbeat(), 0.1, 8, 4)
            subscriber.on_heartbeat(publisher.heartbeat(), 0.1 + MAX_PUBLISHER_LAG_SECONDS + 0.1, 8, 4)
        else:
            subscriber.on_heartbeat(Heartbeat("list", 4, "s", 7, False), 0.1, 7, 4)
            # A heartbeat of a valid term would lead to a ResyncRequest.
            assert subscriber.on_heartbeat(publisher.heartbeat(), 0.2, 6, 4) is None
            assert subscriber.received_at == 0.1
            continue
        assert subscriber.resume_at <= 0.1 + MAX_PUBLISHER_LAG_SECONDS + 0.1 + 2.0, fault
        assert subscriber.tick(subscriber.resume_at)


def make_replication(records=(), version=7):
    """Return the replication of a member whose watch has these records."""
    context = MagicMock(rng=Random(1), counts=Counter())
    context.loop.now = 0.0
    context.membership.live_members.return_value = []
    context.proxy.config.settings.max_poll_interval = 10.0
    watch = context.proxy.discovery
    watch.address, watch.next_address = ("127.0.0.1", 1), None
    watch.records, watch.version = {record["host"]: record for record in records}, version
    return ListReplication(context, "list", None, 0.5, "s")


def test_a_superseded_publisher_is_not_superseded_any_more_at_its_next_start():
    # Guards against a member that gives the role up again each time, once another member has superseded it.
    replication = make_replication()
    sender = SimpleNamespace(name="m")
    replication.start(3, lambda: True)
    replication.on_message(sender, encode(Heartbeat("list", 4, "s", 7, False)), 1.0)
    assert replication.superseded
    replication.stop()
    replication.start(5, lambda: True)
    replication.on_message(sender, encode(Heartbeat("list", 4, "s", 7, False)), 2.0)
    assert not replication.superseded
    replication.on_message(sender, encode(Heartbeat("list", 6, "s", 7, False)), 3.0)
    assert replication.superseded


def make_large_list():
    """Return records that need more parts than an update may have."""
    rng = Random(1)
    return [make_record(f"{rng.getrandbits(128):032x}") for _ in range(6000)]


def test_a_list_that_does_not_fit_into_an_update_is_not_sent_and_members_poll_for_themselves(monkeypatch):
    # Guards against an update cut without a log line, and against suspended members that never get the list.
    now = 100.0
    monkeypatch.setattr(clock, "now", lambda: now)
    sent, events = [], []
    small, large = [make_record("s1")], make_large_list()
    replication = make_replication(small)
    context, member = replication.context, SimpleNamespace(name="m", zone="z")
    context.membership.live_members.return_value = [member]
    context.membership.send_payload = lambda receiver, kind, body: sent.append(MESSAGE_DECODER.decode(body))
    context.log_event = lambda event, **values: events.append(event)
    replication.start(3, lambda: True)
    replication.tick(now)
    subscriber = make_subscriber()
    assert subscriber.on_heartbeat(sent.pop(), now, 7, 4) is None and subscriber.polling_suspended
    replication.watch.records = {record["host"]: record for record in large}
    for version in (8, 9):
        replication.watch.version = version
        replication.on_endpoint_list(EndpointListKind.DELTA)
        now += 0.1
    replication.on_message(member, encode(ResyncRequest("list", 3, "s", 7)), now)
    replication.tick(now)
    (heartbeat,) = sent
    assert subscriber.on_heartbeat(heartbeat, now, 7, 4) is None
    assert subscriber.tick(now + 2.0) and not subscriber.polling_suspended  # it polls the list service
    # The list service works, so the publisher does not lose its role for a lack of progress.
    assert not replication.publication.publisher.disconnected
    assert events == ["list too large"] and context.counts["list: not sent, too large"] == 3
    replication.watch.records, replication.watch.version = {"s2": make_record("s2")}, 10
    replication.on_endpoint_list(EndpointListKind.SNAPSHOT)
    now += 1.0
    replication.tick(now)
    heartbeat, update = sent[1:]
    assert subscriber.on_update(update, now, 9).records == [make_record("s2")]
    assert subscriber.on_heartbeat(heartbeat, now, 10, 4) is None and subscriber.polling_suspended


def test_each_drain_is_broadcast_once_and_again_after_a_change_of_state():
    drain_broadcast = DrainBroadcast("list")
    records = [make_record(f"s{number}", "leaving") for number in range(DRAINS_PER_BROADCAST + 1)]
    updates = drain_broadcast.updates([make_record("active"), *records], "s", 7)
    assert [len(decode_records([update.body])) for update in updates] == [DRAINS_PER_BROADCAST, 1]
    assert all((update.source, update.version, update.parts) == ("s", 7, 1) for update in updates)
    assert drain_broadcast.updates(records, "s", 8) == []
    (update,) = drain_broadcast.updates([*records[1:], make_record("s0", "left")], "s", 9)
    assert decode_records([update.body]) == [make_record("s0", "left")]


def test_updates_are_sent_in_groups_and_dropped_when_the_queue_is_full(monkeypatch):
    monkeypatch.setattr(paced_sender, "MAX_QUEUED", 2 * GROUP_SIZE)
    sent = []
    sender = PacedSender(lambda receiver, update: sent.append((receiver, update)))
    assert all(sender.enqueue("member", number, 1.0) for number in range(2 * GROUP_SIZE))
    assert not sender.enqueue("member", "one too many", 1.0)
    assert sender.next_due == 1.0
    sender.tick(1.0)
    sender.tick(1.0 + GROUP_INTERVAL_SECONDS / 2)
    assert [update for _, update in sent] == list(range(GROUP_SIZE))
    sender.tick(1.0 + GROUP_INTERVAL_SECONDS)
    assert [update for _, update in sent] == list(range(2 * GROUP_SIZE))
    assert sender.next_due == float("inf")


class Subscribing:
    """A proxy on loopback whose list replication has suspended polling after a publisher's heartbeat."""

    def __init__(self, loopback):
        self.proxy = loopback("ab")
        self.now = 0.0
        self.context = SimpleNamespace(
            proxy=self.proxy.proxy,
            loop=self.proxy.proxy.loop,
            rng=Random(1),
            membership=MagicMock(),
            counts=Counter(),
            log_event=lambda *_, **__: None,
            task=MagicMock(),
        )
        self.context.membership.live_members.return_value = []
        self.replication = ListReplication(self.context, "list", None, 0.5, "")
        self.watch = self.proxy.proxy.discovery
        self.answer(self.proxy.list_service, 8, "a", "b")
        self.publisher = Publisher("list", 3, self.address_of(self.proxy.list_service))
        self.publisher.update(self.watch.records, 8)
        self.receive(self.publisher.heartbeat())
        assert self.watch.suspended

    def address_of(self, server):
        return f"{HOST}:{server.port}"

    def answer(self, server, version, *names):
        """Answer the poll of a list service with a snapshot of these endpoints."""
        rows = [self.proxy.list_record(name) for name in names]
        body = orjson.dumps({"seq": version, "whole": True, "hosts": rows})
        self.proxy.answer_list(body, server=server)
        self.proxy.until(lambda: self.watch.version == version and set(self.watch.records) == set(names))

    def receive(self, message):
        """Process a message of the publisher, as one step of the fleet's member does."""
        self.now += 0.1
        self.replication.tick(self.now)
        self.replication.on_message(MagicMock(), encode(message), self.now)

    def reload(self):
        """Configure another list service and return it."""
        server = ScriptedServer()
        self.proxy.switch_list_service(server)
        return server


@pytest.mark.parametrize("publisher_has_reloaded", [True, False])
def test_after_a_reload_a_heartbeat_with_the_same_version_does_not_prevent_the_first_poll(
    loopback, publisher_has_reloaded
):
    """Guards against a version of the former list service that counts as one of the new service.

    A publisher that has reloaded earlier may send the version that this member has from the former service.
    """
    member = Subscribing(loopback)
    new_service = member.reload()
    if publisher_has_reloaded:
        member.publisher = Publisher("list", 4, member.address_of(new_service))
        member.publisher.update({"b": member.proxy.list_record("b")}, 8)
    member.receive(member.publisher.heartbeat())
    poll = member.proxy.until(new_service.connection).received
    assert poll.startswith(b"GET /v1/endpoints HTTP/1.1"), "not a poll for a snapshot"
    member.answer(new_service, 8, "b")
    member.receive(member.publisher.heartbeat())
    assert member.watch.suspended is publisher_has_reloaded


def test_after_a_reload_a_delta_to_the_same_version_is_not_applied_to_the_former_list(loopback):
    """Guards against a list that is a mixture of the lists of two services."""
    member = Subscribing(loopback)
    new_service = member.reload()
    publisher = Publisher("list", 4, member.address_of(new_service))
    publisher.update({"b": member.proxy.list_record("b")}, 8)
    (delta,) = publisher.update({"b": member.proxy.list_record("b", "leaving")}, 9)
    assert delta.base == 8
    member.receive(delta)
    assert member.watch.version == 8 and member.watch.records["b"]["health"] == "active"
    assert member.proxy.until(new_service.connection)


def test_a_holder_that_starts_after_a_reload_does_not_publish_the_former_list_as_the_new_one(loopback):
    """Guards against subscribers of the new service that receive the list of the former service."""
    member = Subscribing(loopback)
    new_service = member.reload()
    member.replication.start(5, lambda: True)
    publisher = member.replication.publication.publisher
    former_source = member.address_of(member.proxy.list_service)
    assert (publisher.source, publisher.version) == (former_source, 8)
    member.answer(new_service, 8, "b")
    member.replication.on_endpoint_list(EndpointListKind.SNAPSHOT)
    publisher = member.replication.publication.publisher
    assert (publisher.source, set(publisher.records)) == (member.address_of(new_service), {"b"})
