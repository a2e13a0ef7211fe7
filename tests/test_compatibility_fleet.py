"""Bytes of the fleet that other versions have sent or stored: read, and written again as they were.

The recordings in data/compatibility/fleet are frozen: they are what version 0.2.0 wrote, and no change of
the code may touch them. Names of the code stand in the tables below and in `read_values`: a renaming changes
those.
"""

import pathlib
import shutil
import socket
import tomllib
import zlib
from typing import get_args
from unittest.mock import MagicMock

import msgspec
import orjson
import pytest

from onyxhollow.addresses import messages as addressing
from onyxhollow.addresses import route_table as standing
from onyxhollow.addresses.announcer import Announcer, GuardedRoute, GuardState
from onyxhollow.addresses.controller import Controller
from onyxhollow.addresses.controller_views import plan, view
from onyxhollow.addresses.routes import Preference
from onyxhollow.append_log import AppendLog
from onyxhollow.fleet import (
    gossip_service,
    identity,
    lease_messenger,
    list_messages,
    list_replication,
    route_guard,
)
from onyxhollow.fleet.file import read_fleet
from onyxhollow.fleet.route_guard_config import read_guard_config
from onyxhollow.fleet.shared_addresses import messenger
from onyxhollow.fleet.shared_addresses.announcer_task import AnnouncerTask
from onyxhollow.fleet.shared_addresses.override_store import OverrideStore
from onyxhollow.fleet.shared_addresses.query_api import QueryApi
from onyxhollow.fleet.voter_service import VoterService
from onyxhollow.gossip import messages as gossip
from onyxhollow.leases import messages as leasing
from onyxhollow.leases.voter import Voter
from onyxhollow.leases.voter_slot import VoterSlot
from onyxhollow.membership import messages as members
from onyxhollow.membership.datagram_authenticator import DatagramAuthenticator

DATA = pathlib.Path(__file__).parent / "data" / "compatibility" / "fleet"

# What the recordings say. Within one struct no two values are alike, and none is its field's default.
COUNCIL = leasing.VoterSet(version=31, names=("voter-a", "voter-b", "voter-c"))
LATER = leasing.VoterSet(version=32, names=("voter-a", "voter-b", "voter-d"))
PENDING = leasing.PendingVoterSet(term=63, voter_set=LATER)
ELECTION = {
    "ask": leasing.VoteRequest(
        role="d1", term=101, candidate="m~1", round=102, lease_duration=3.5, voter_set_version=103,
        pre_vote=True,
    ),
    "answer": leasing.VoteResponse(
        role="d2", term=111, round=112, granted=True, highest_term=113, holder="m~2", remaining=2.5,
        refusal=leasing.Refusal.HELD, voter_set=COUNCIL, pending=PENDING,
    ),
    "release": leasing.ReleaseNotice(role="d3", term=121, holder="m~3"),
    "offer": leasing.LeaseOffer(role="d4", term=131),
    "recall": leasing.StateQuery(round=141),
    "recalled": leasing.StateResponse(
        round=151, recovering=True, known_terms={"d5": (152, "m~5")}, voter_set=COUNCIL
    ),
    "propose": leasing.ReconfigurationRequest(term=161, round=162, voter_set=LATER),
    "accepted": leasing.ReconfigurationResponse(
        round=171, accepted=True, highest_term=172, voter_set_version=173
    ),
    "learn": leasing.ConfigurationCommitted(voter_set=COUNCIL),
    "command": leasing.HandOverCommand(role="d6", target="m6", forwarded=True),
    "held": leasing.LeaderAnnouncement(role="d7", term=181, holder="m~7"),
    "change": leasing.ReplaceVoterCommand(remove="voter-c", add="voter-d"),
}  # fmt: skip
VOTER_RECORDS = [
    leasing.VoterSetChanged(voter_set=COUNCIL),
    leasing.LeaseGrant(role="list-east", term=41, holder="m~41", lease_duration=3.75),
    leasing.LeaseGrant(role="call-out", term=52, holder="m~52", lease_duration=3.75),
    leasing.LeaseReleased(role="call-out", term=52),
    leasing.LeaseGrant(role="known", term=9, holder="", lease_duration=0.0),
    leasing.ProposalAccepted(pending=PENDING),
    leasing.RecoveryCompleted(),
]
ORDER = addressing.Override(
    id="1f-2", number=21, verb="drain", address="address-a", site="east",
    operator="operator-a", reason="works", given_at=1700000001.5, expires_at=1700003601.5,
)  # fmt: skip
FOR_ALL = addressing.Override(
    id="1f-3", number=22, verb="pin", address="", site="west", operator="operator-b", reason="full",
    given_at=1700000002.5, expires_at=0.0,
)  # fmt: skip
DECIDED = addressing.DecisionRecord(
    term=71, number=72, decided_at=1700000003.5, address="address-a", site="east", preference=1,
    cause="order", reason="operator-a: works", evidence="health 0.9",
)  # fmt: skip
ROW = addressing.RouteStatus(
    address="address-a", preference=1, cause="ill", age=12.5, flaps=1.5, is_last=True, installed=False
)
SEEN = addressing.AddressHealth(
    address="address-a", health=0.75, reason="servers", load=40.0, arrival_rate=2.5
)
ADDRESSES = {
    "grant": addressing.RouteAssignment(term=201, number=202, site="east", rows=[ROW]),
    "report": addressing.SiteReport(
        site="east",
        controller_term=211,
        assignment_number=212,
        announcer_term=213,
        guard_ready=True,
        rows=[ROW],
    ),
    "evidence": addressing.HealthReport(site="east", rows=[SEEN]),
    "keep": addressing.StoreRequest(rows=[ORDER, DECIDED]),
    "kept": addressing.StoreAcknowledgement(voter="voter-a", ids=["1f-2", "71.72"]),
    "want": addressing.OverrideQuery(digest=221),
    "have": addressing.OverrideResponse(voter="voter-a", digest=231, count=232, overrides=[ORDER, FOR_ALL]),
    "hello": addressing.ControllerAnnouncement(term=241, process_id="m~8"),
    "ask": addressing.QueryRequest(id="1f-4", kind="plan", override=ORDER),
    "told": addressing.QueryResponsePart(id="1f-5", part=251, parts=252, body=b"body"),
    "leave": addressing.DrainRequest(site="east", addresses=["address-a", "address-b"]),
}
GATE_ROWS = [
    standing.ClaimedTerm(term=81, member="m~9"),
    standing.InstalledRoute(name="address-a", preference=1, controller_term=82, call_number=83),
]
SHARING = {
    "page": gossip.ReportPage(reports=[
        gossip.EndpointReport(
            endpoint="s1", owner=301, sequence=302, age=303, load=304, load_age=305, connections=306,
            failing_members=307,
        )
    ]),
    "counts": gossip.ConnectionCounts(
        sequence=311, counts=[gossip.EndpointCount(endpoint="s2", connections=312, failures=313)]
    ),
}  # fmt: skip
LIST_ROWS = [
    {"host": "s3", "health": "leaving", "zone": "east"},
    {"host": "s4", "health": "in", "zone": "w"},
]
BODY = bytes.fromhex((DATA / "list-rows.hex").read_text())  # another zlib may pack them otherwise
LISTS = {
    "beat": list_messages.Heartbeat(
        role="list-east", term=401, source="lists", version=402, disconnected=True
    ),
    "rows": list_messages.ListUpdate(
        role="list-east", term=411, source="lists", version=412, base=413, part=414, parts=415, body=BODY
    ),
    "want": list_messages.ResyncRequest(role="list-east", term=421, source="lists", known_version=422),
    "doubt": list_messages.Suspicion(role="list-east", term=431, source="lists", version=432),
}  # fmt: skip
PARTS = {
    "ping": members.Ping(nonce=501),
    "ack": members.Ack(nonce=511),
    "ping-for": members.PingRequest(nonce=521, name="m3", epoch=522, address=("192.0.2.3", 523)),
    "nack": members.Nack(nonce=531),
    "update": members.MemberUpdate(
        name="m4", epoch=541, incarnation=542, state=members.MemberState.DEAD, address=("192.0.2.4", 543),
        zone="east", flags=identity.MAY_HOLD_ROLES | identity.VOTES, suspected_by="m5",
    ),
    "sync": members.Sync(digest=551, joining=True),
    "event": members.Broadcast(
        name="m6", epoch=561, sequence=562, kind=list_replication.LIST_PAYLOAD, body=b"event"
    ),
    "carried": members.Payload(kind=messenger.ADDRESS_PAYLOAD, body=b"carried"),
}  # fmt: skip


def packet(part):
    return members.Packet(
        fleet="fleet-one", name="m1", epoch=11, sequence=12, receiver_epoch=13, messages=[part]
    )


PACKETS = {name: packet(part) for name, part in PARTS.items()}
# file: what it says, its decoder, its encoder, the kinds that it has to have
SAID = {
    "duties": (ELECTION, leasing.MESSAGE_DECODER, leasing.encode, leasing.LeaseMessage),
    "addresses": (ADDRESSES, addressing.MESSAGES, addressing.encode, addressing.MESSAGES.type),
    "sharing": (SHARING, gossip.MESSAGE_DECODER, gossip.encode, gossip.Messages),
    "lists": (LISTS, list_messages.MESSAGE_DECODER, list_messages.encode, list_messages.Messages),
    "packets": (PACKETS, members.PACKET_DECODER, members.encode, members.Messages),
}
STORED = {
    "voter": (VOTER_RECORDS, leasing.RECORD_DECODER, leasing.encode, leasing.VoterRecord),
    "addresses": (
        [ORDER, DECIDED, FOR_ALL],
        addressing.STORED_RECORDS,
        addressing.encode,
        addressing.StoredRecord,
    ),
    "gate": (GATE_ROWS, standing.RECORDS, standing.encode, standing.RECORDS.type),
}
MODULES = leasing, addressing, gossip, list_messages, members, standing


def structs(value):
    """Every struct in a value, itself among them."""
    if isinstance(value, msgspec.Struct):
        yield value
        value = [getattr(value, name) for name in value.__struct_fields__]
    elif isinstance(value, dict):
        value = list(value.values())
    if isinstance(value, list | tuple):
        for one in value:
            yield from structs(one)


def stored(name, folder):
    """A recorded store, in a folder of its own."""
    folder.mkdir(exist_ok=True)
    shutil.copy(DATA / name, folder / name)
    return str(folder)


def read_values(fleet):
    """Each value of a fleet file and of its file of addresses, by its key in the file."""
    file, shared = fleet.file, fleet.addresses
    timing, leases, share, policy = file.membership, file.leases, file.sharing, shared.policy
    main = {
        "fleet": file.fleet, "key_file": file.key_file, "listen": file.listen, "voters": file.voters,
        "advertise": file.advertise, "folder": file.folder, "seeds": file.seeds, "addresses": file.addresses,
        "record": file.log_renewals,
        "membership": {"period": timing.period, "timeout": timing.timeout, "sync": timing.sync_interval},
        "leases": {
            "lease": leases.duration, "rate_bound": leases.rate_bound, "steady": leases.stability_period,
            "patience": leases.progress_timeout,
        },
        "sharing": {
            "on": share.enabled, "every": share.push_interval, "fan": share.fanout,
            "report": share.poll_interval, "renew": share.report_interval, "audit": share.audit_interval,
        },
        "duty": [
            {
                "name": role.name, "work": role.task, "per": role.scope, "call": role.call_address,
                "path": role.path, "service": role.service, "every": role.interval,
            }
            for role in file.roles
        ],
    }  # fmt: skip
    addresses = {
        "every": shared.interval, "synthetic": shared.probe_interval,
        "service": [
            {
                "name": s.name, "prefix": s.prefix, "listeners": s.listeners, "customers": s.tenants,
                "owner": s.owner, "note": s.note,
            }
            for s in shared.services
        ],
        "site": [
            {
                "name": s.name, "gate": s.route_guard, "next_hop": s.next_hop, "capacity": s.capacity,
                "preference": s.med, "cut_off": s.cut_off,
            }
            for s in shared.sites
        ],
        "policy": {
            "least": policy.min_sites, "most_at_once": policy.max_concurrent_withdrawals,
            "window": policy.withdrawal_window, "ill": policy.unhealthy_below, "dead": policy.dead_below,
            "well": policy.healthy_from, "ill_for": policy.unhealthy_for, "dead_for": policy.dead_for,
            "well_for": policy.healthy_for, "well_most": policy.max_healthy_for,
            "flap_half_life": policy.flap_half_life, "step": policy.recovery_step,
            "fill": policy.max_utilization, "drain_for": policy.drain_for, "drained": policy.drained_ratio,
            "cut_off_after": policy.cut_off_after, "fresh": policy.max_evidence_age,
        },
    }  # fmt: skip
    return main, addresses


def keys(table):
    """The keys that a table of a file may have, and those of the tables in it."""
    found = {}
    for field in msgspec.structs.fields(table):
        inner = [one for one in (field.type, *get_args(field.type)) if hasattr(one, "__struct_fields__")]
        found[field.encode_name] = keys(inner[0]) if inner else None
    return found


def keys_of(value):
    """The same of what a file says."""
    if isinstance(value, list):
        merged = {}
        for one in value:
            if isinstance(one, dict):
                merged |= keys_of(one)
        return merged or None
    return {key: keys_of(one) for key, one in value.items()} if isinstance(value, dict) else None


@pytest.mark.parametrize("name", SAID)
def test_messages_are_read_and_sent_as_recorded(name):
    said, decoder, encode, _ = SAID[name]
    recorded = dict(line.split() for line in (DATA / f"{name}.hex").read_text().splitlines())
    assert list(recorded) == list(said)
    for kind, value in said.items():
        body = bytes.fromhex(recorded[kind])
        assert decoder.decode(body) == value, kind
        assert encode(value) == encode(decoder.decode(body)) == body, kind


@pytest.mark.parametrize("name", STORED)
def test_stores_are_read_and_written_as_recorded(name, tmp_path):
    rows, decoder, encode, _ = STORED[name]
    old = AppendLog(stored(name, tmp_path / "old"), name)
    assert (old.torn_tail, old.is_new) == ("", False)
    assert [decoder.decode(body) for body in old.bodies] == rows
    for way in ("append", "rewrite"):
        new = AppendLog(str(tmp_path / way), name)
        bodies = [encode(row) for row in rows]
        new.append(*bodies) if way == "append" else new.rewrite(bodies)
        assert (tmp_path / way / name).read_bytes() == (DATA / name).read_bytes()
        new.close()
    old.close()


def test_every_kind_is_recorded_with_values_that_tell_its_fields_apart():
    seen = [
        one
        for said, *_ in [*SAID.values(), *STORED.values()]
        for one in structs(list(said.values()) if isinstance(said, dict) else said)
    ]
    recorded = {type(one) for one in seen}
    for *_, kinds in [*SAID.values(), *STORED.values()]:
        assert set(get_args(kinds)) <= recorded, f"not recorded: {set(get_args(kinds)) - recorded}"
        tags = [kind.__struct_config__.tag for kind in get_args(kinds)]
        assert len(tags) == len(set(tags))
    for module in MODULES:
        for kind in vars(module).values():
            array = getattr(getattr(kind, "__struct_config__", None), "array_like", False)
            assert not array or kind.__subclasses__() or kind in recorded, f"{kind} has no recording"
    for one in seen:
        values = [getattr(one, name) for name in one.__struct_fields__]
        assert len({repr(value) for value in values}) == len(values), one
        for field, value in zip(msgspec.structs.fields(one), values, strict=True):
            assert value != field.default, f"{one}: {field.name} has its default"


def test_numbers_and_words_that_members_send_and_keep():
    assert (
        lease_messenger.LEASE_PAYLOAD,
        list_replication.LIST_PAYLOAD,
        gossip_service.GOSSIP_PAYLOAD,
        messenger.ADDRESS_PAYLOAD,
    ) == (1, 2, 3, 4)
    assert (identity.MAY_HOLD_ROLES, identity.VOTES) == (1, 2)
    life = members.MemberState
    assert [int(one) for one in (life.ALIVE, life.SUSPECT, life.DEAD, life.LEFT)] == [0, 1, 2, 3]
    assert [int(one) for one in (Preference.WITHDRAWN, Preference.LOWERED, Preference.ADVERTISED)] == [
        0,
        1,
        2,
    ]
    assert (leasing.VOTERS_ROLE, messenger.CONTROLLER_ROLE) == ("voters", "addresses")
    assert messenger.announcer_role("east") == "announcer/east"


def test_rows_of_a_list_are_packed_as_recorded():
    assert list_messages.decode_records([BODY]) == LIST_ROWS
    assert zlib.decompress(b"".join(list_messages.encode_records(LIST_ROWS))) == zlib.decompress(BODY)
    assert list_messages.draining_records(list_messages.decode_records([BODY])) == LIST_ROWS[:1]


def test_a_sealed_packet_opens_and_is_sealed_again_as_recorded():
    datagram = bytes.fromhex((DATA / "sealed.hex").read_text())
    ours, second = read_fleet(str(DATA / "fleet.toml"), {}.get).keys
    assert (ours, second) == (bytes(range(24)), bytes(range(0xF0, 0x100)))
    sender = DatagramAuthenticator("fleet-one", "m1", 11, [ours])
    sender.sequence = 11
    assert sender.sign([members.encode(part) for part in PARTS.values()], 13) == datagram
    for held in ([ours], [second, ours]):
        opened = DatagramAuthenticator("fleet-one", "m2", 13, held).verify(datagram)
        assert opened == msgspec.structs.replace(packet(None), messages=list(PARTS.values()))
    assert DatagramAuthenticator("fleet-one", "m2", 13, [second]).verify(datagram) is None


def test_a_voter_starts_from_its_recorded_memory(tmp_path):
    mine = MagicMock()
    mine.fleet.folder, mine.name, mine.voters = stored("voter", tmp_path), "voter-b", LATER
    mine.fleet.file.leases.duration = 3.75
    service = VoterService(mine, MagicMock(), MagicMock(), 1000.0)
    service.open_log(1000.0)
    voter = service.voter
    assert isinstance(voter, Voter)
    assert voter.slots == {
        "list-east": VoterSlot(41, "m~41", 1003.75),
        "call-out": VoterSlot(52),
        "known": VoterSlot(9),
    }
    assert (voter.voter_set, voter.pending, voter.recovering) == (COUNCIL, PENDING, False)
    service.log.rewrite([leasing.encode(row) for row in voter.records()])
    assert (tmp_path / "voter").read_bytes() == (DATA / "voter-anew").read_bytes()
    service.close()


def test_orders_and_history_are_kept_and_told_as_recorded(tmp_path):
    store = OverrideStore(stored("addresses", tmp_path / "old"))
    assert (store.overrides(), store.decisions()) == ([ORDER, FOR_ALL], [DECIDED])
    new = OverrideStore(str(tmp_path / "new"))
    assert new.append([ORDER, DECIDED, FOR_ALL]) == ["1f-2", "71.72", "1f-3"]
    assert (tmp_path / "new" / "addresses").read_bytes() == (DATA / "addresses").read_bytes()
    outgoing = MagicMock()
    queries = QueryApi(MagicMock(), outgoing, MagicMock(), MagicMock(store=store), MagicMock(), MagicMock())
    queries.on_request(addressing.QueryRequest("1f-6", "history"), "m~1", 1000.0)
    told = b"".join(call.args[1].body for call in outgoing.send_to_process.call_args_list)
    assert zlib.decompress(told) == (DATA / "history.json").read_bytes()
    for one in (store, new):
        one.close()


def test_a_gate_starts_from_its_recorded_memory_and_answers_as_recorded(tmp_path):
    told, addresses, site = read_guard_config(str(DATA / "gate.toml"))
    said = tomllib.loads((DATA / "gate.toml").read_text())
    assert (told.addresses, told.site, told.listen, told.speaker, told.folder) == (
        said["addresses"], said["site"], said["listen"], said["speaker"], said["folder"],
    )  # fmt: skip
    assert (told.own_as, told.orphaned_after, site.name) == (64999, 16.5, "east")
    assert keys(type(told)).keys() == said.keys()
    with socket.create_server(("127.0.0.1", 0)) as free:
        port = free.getsockname()[1]
    told = msgspec.structs.replace(told, listen=f"127.0.0.1:{port}")
    with open(tmp_path / "log", "wb") as log:
        mine = route_guard.RouteGuard(told, addresses, site, stored("gate", tmp_path), log.fileno())
        table = mine.table
        assert (table.term, table.member, table.controller_term, table.call_number) == (81, "m~9", 82, 83)
        assert table.preferences == {"address-a": Preference.LOWERED}
        answers = [
            mine.answer_state(),
            mine.claim("term=91&member=m~10"),
            mine.set_preference("term=91&number=92&keeper=93&name=address-a&as=2"),
            mine.heartbeat("term=91&last=address-a"),
            mine.report_health("member=m1&address-a=0.5"),
        ]
        mine.close()
    assert [status for status, *_ in answers] == [200] * 5
    assert (table.last_addresses, table.preferences) == ({"address-a"}, {"address-a": Preference.ADVERTISED})
    assert b"".join(body for _, body, _ in answers) == (DATA / "gate.json").read_bytes()


def test_the_files_of_a_fleet_say_what_they_said():
    fleet = read_fleet(str(DATA / "fleet.toml"), {}.get)
    for told, values, name in zip(
        (fleet.file, fleet.addresses), read_values(fleet), ("fleet", "addresses"), strict=True
    ):
        said = tomllib.loads((DATA / f"{name}.toml").read_text())
        given = orjson.loads(orjson.dumps(values))
        if name == "fleet":  # each duty has the keys of its own work only
            given["duty"] = [
                {key: given["duty"][place][key] for key in duty} for place, duty in enumerate(said["duty"])
            ]
        assert given == said
        assert keys_of(said) == keys(type(told)), "a key has no recording"
    assert (fleet.listen, fleet.advertise) == (("192.0.2.10", 7101), ("198.51.100.20", 7102))
    assert fleet.seeds == [("192.0.2.31", 7103), ("192.0.2.32", 7104)]
    assert fleet.folder == str(DATA / "remembered")
    elsewhere = read_fleet(str(DATA / "fleet.toml"), {"LB_FLEET_LISTEN": "192.0.2.99:7199"}.get)
    assert elsewhere.listen == elsewhere.advertise == ("192.0.2.99", 7199)
    timing, rules = fleet.file.protocol_config(), fleet.file.lease_timing()
    share = fleet.file.gossip_config()
    assert (timing.period, timing.timeout, timing.sync_interval) == (1.25, 0.45, 11.5)
    assert (rules.duration, rules.rate_bound) == (3.75, 0.015)
    assert (
        share.push_interval,
        share.fanout,
        share.poll_interval,
        share.report_interval,
        share.audit_interval,
    ) == (0.35, 3, 6.5, 1.75, 31.5)


def test_the_keepers_view_and_plan_are_told_as_recorded():
    addresses = read_fleet(str(DATA / "fleet.toml"), {}.get).addresses
    core = Controller(addresses, COUNCIL.names, 71, 1000.0)
    stands = msgspec.structs.replace(ROW, preference=2, is_last=False, installed=True)
    for voter in COUNCIL.names:
        core.on_message(addressing.OverrideResponse(voter, 0, 0, []), voter, 1000.0, 1700000004.0)
    for site in ("east", "west", "north"):
        core.on_message(
            addressing.SiteReport(site, 71, 1, 7, True, [stands]), f"m-{site}", 1000.5, 1700000004.5
        )
        core.on_message(addressing.HealthReport(site, [SEEN]), f"m-{site}", 1000.5, 1700000004.5)
    exclude = msgspec.structs.replace(FOR_ALL, verb="exclude")
    east = msgspec.structs.replace(exclude, site="east")
    core.tick(1000.5, 1700000004.5)
    told = [plan(core, east, 1000.5, 1700000004.5)]
    core.on_message(addressing.OverrideResponse("voter-a", 0, 1, [ORDER]), "voter-a", 1000.5, 1700000004.5)
    core.tick(1001.0, 1700000005.0)
    told += [view(core, 1002.0), plan(core, exclude, 1002.0, 1700000006.0)]
    assert orjson.dumps(told) == (DATA / "keeper.json").read_bytes()


def test_an_announcer_calls_its_gate_as_recorded():
    addresses = read_fleet(str(DATA / "fleet.toml"), {}.get).addresses
    core = Announcer(addresses, addresses.sites[0], 91, 1000.0)
    member, calls = MagicMock(process_id="m~10"), []
    member.loop.now = 1000.0
    task = AnnouncerTask(member, addresses, MagicMock(), addresses.sites[0])
    task.run_number = 1
    task.call_guard = lambda this, core, target, still: calls.append(target) or iter(())
    assert addresses.interval == 0.625
    advertised = GuardedRoute(Preference.ADVERTISED, Preference.ADVERTISED)
    for stands in ({}, {"address-a": advertised}):
        if stands:
            core.on_guard_state(GuardState(stands, 82, True), 1000.0)
            core.on_assignment(addressing.RouteAssignment(82, 84, "east", [ROW]), 1000.0)
        next(task.run(1, core, lambda: True))
    assert calls == [
        "/claim?term=91&member=m~10",
        "/alive?term=91&last=",
        "/set?term=91&number=1&name=address-a&as=1&keeper=82",
        "/alive?term=91&last=address-a",
    ]
