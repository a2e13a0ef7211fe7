"""Tests that messages and stored records of other versions are decoded, and encoded to the same bytes.

The recordings in data/compatibility/fleet were written by version 0.2.0, and no change of the code may
require new ones. Names of the code are used in the tables below and in `file_values`, so that a rename
changes only those.
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

from onyxhollow.addresses import messages as address_messages
from onyxhollow.addresses import route_table
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
from onyxhollow.gossip import messages as gossip_messages
from onyxhollow.leases import messages as lease_messages
from onyxhollow.leases.voter import Voter
from onyxhollow.leases.voter_slot import VoterSlot
from onyxhollow.membership import messages as membership_messages
from onyxhollow.membership.datagram_authenticator import DatagramAuthenticator

DATA = pathlib.Path(__file__).parent / "data" / "compatibility" / "fleet"

# The decoded recordings. All values of a struct differ, and none is its field's default, so that the tests
# detect exchanged or omitted fields.
VOTER_SET = lease_messages.VoterSet(version=31, names=("voter-a", "voter-b", "voter-c"))
NEXT_VOTER_SET = lease_messages.VoterSet(version=32, names=("voter-a", "voter-b", "voter-d"))
PENDING_VOTER_SET = lease_messages.PendingVoterSet(term=63, voter_set=NEXT_VOTER_SET)
LEASE_MESSAGES = {
    "ask": lease_messages.VoteRequest(
        role="d1", term=101, candidate="m~1", round=102, lease_duration=3.5, voter_set_version=103,
        pre_vote=True,
    ),
    "answer": lease_messages.VoteResponse(
        role="d2", term=111, round=112, granted=True, highest_term=113, holder="m~2", remaining=2.5,
        refusal=lease_messages.Refusal.HELD, voter_set=VOTER_SET, pending=PENDING_VOTER_SET,
    ),
    "release": lease_messages.ReleaseNotice(role="d3", term=121, holder="m~3"),
    "offer": lease_messages.LeaseOffer(role="d4", term=131),
    "recall": lease_messages.StateQuery(round=141),
    "recalled": lease_messages.StateResponse(
        round=151, recovering=True, known_terms={"d5": (152, "m~5")}, voter_set=VOTER_SET
    ),
    "propose": lease_messages.ReconfigurationRequest(term=161, round=162, voter_set=NEXT_VOTER_SET),
    "accepted": lease_messages.ReconfigurationResponse(
        round=171, accepted=True, highest_term=172, voter_set_version=173
    ),
    "learn": lease_messages.ConfigurationCommitted(voter_set=VOTER_SET),
    "command": lease_messages.HandOverCommand(role="d6", target="m6", forwarded=True),
    "held": lease_messages.LeaderAnnouncement(role="d7", term=181, holder="m~7"),
    "change": lease_messages.ReplaceVoterCommand(remove="voter-c", add="voter-d"),
}  # fmt: skip
VOTER_RECORDS = [
    lease_messages.VoterSetChanged(voter_set=VOTER_SET),
    lease_messages.LeaseGrant(role="list-east", term=41, holder="m~41", lease_duration=3.75),
    lease_messages.LeaseGrant(role="call-out", term=52, holder="m~52", lease_duration=3.75),
    lease_messages.LeaseReleased(role="call-out", term=52),
    lease_messages.LeaseGrant(role="known", term=9, holder="", lease_duration=0.0),
    lease_messages.ProposalAccepted(pending=PENDING_VOTER_SET),
    lease_messages.RecoveryCompleted(),
]
OVERRIDE = address_messages.Override(
    id="1f-2", number=21, verb="drain", address="address-a", site="east",
    operator="operator-a", reason="works", given_at=1700000001.5, expires_at=1700003601.5,
)  # fmt: skip
OVERRIDE_OF_ALL_ADDRESSES = address_messages.Override(
    id="1f-3", number=22, verb="pin", address="", site="west", operator="operator-b", reason="full",
    given_at=1700000002.5, expires_at=0.0,
)  # fmt: skip
DECISION = address_messages.DecisionRecord(
    term=71, number=72, decided_at=1700000003.5, address="address-a", site="east", preference=1,
    cause="order", reason="operator-a: works", evidence="health 0.9",
)  # fmt: skip
ROUTE_STATUS = address_messages.RouteStatus(
    address="address-a", preference=1, cause="ill", age=12.5, flaps=1.5, is_last=True, installed=False
)
ADDRESS_HEALTH = address_messages.AddressHealth(
    address="address-a", health=0.75, reason="servers", load=40.0, arrival_rate=2.5
)
ADDRESS_MESSAGES = {
    "grant": address_messages.RouteAssignment(term=201, number=202, site="east", rows=[ROUTE_STATUS]),
    "report": address_messages.SiteReport(
        site="east",
        controller_term=211,
        assignment_number=212,
        announcer_term=213,
        guard_ready=True,
        rows=[ROUTE_STATUS],
    ),
    "evidence": address_messages.HealthReport(site="east", rows=[ADDRESS_HEALTH]),
    "keep": address_messages.StoreRequest(rows=[OVERRIDE, DECISION]),
    "kept": address_messages.StoreAcknowledgement(voter="voter-a", ids=["1f-2", "71.72"]),
    "want": address_messages.OverrideQuery(digest=221),
    "have": address_messages.OverrideResponse(
        voter="voter-a", digest=231, count=232, overrides=[OVERRIDE, OVERRIDE_OF_ALL_ADDRESSES]
    ),
    "hello": address_messages.ControllerAnnouncement(term=241, process_id="m~8"),
    "ask": address_messages.QueryRequest(id="1f-4", kind="plan", override=OVERRIDE),
    "told": address_messages.QueryResponsePart(id="1f-5", part=251, parts=252, body=b"body"),
    "leave": address_messages.DrainRequest(site="east", addresses=["address-a", "address-b"]),
}
ROUTE_GUARD_RECORDS = [
    route_table.ClaimedTerm(term=81, member="m~9"),
    route_table.InstalledRoute(name="address-a", preference=1, controller_term=82, call_number=83),
]
GOSSIP_MESSAGES = {
    "page": gossip_messages.ReportPage(reports=[
        gossip_messages.EndpointReport(
            endpoint="s1", owner=301, sequence=302, age=303, load=304, load_age=305, connections=306,
            failing_members=307,
        )
    ]),
    "counts": gossip_messages.ConnectionCounts(
        sequence=311, counts=[gossip_messages.EndpointCount(endpoint="s2", connections=312, failures=313)]
    ),
}  # fmt: skip
LIST_ROWS = [
    {"host": "s3", "health": "leaving", "zone": "east"},
    {"host": "s4", "health": "in", "zone": "w"},
]
LIST_BODY = bytes.fromhex(
    (DATA / "list-rows.hex").read_text()
)  # compressed rows; another zlib version may compress them to other bytes
LIST_MESSAGES = {
    "beat": list_messages.Heartbeat(
        role="list-east", term=401, source="lists", version=402, disconnected=True
    ),
    "rows": list_messages.ListUpdate(
        role="list-east", term=411, source="lists", version=412, base=413, part=414, parts=415, body=LIST_BODY
    ),
    "want": list_messages.ResyncRequest(role="list-east", term=421, source="lists", known_version=422),
    "doubt": list_messages.Suspicion(role="list-east", term=431, source="lists", version=432),
}  # fmt: skip
MEMBERSHIP_MESSAGES = {
    "ping": membership_messages.Ping(nonce=501),
    "ack": membership_messages.Ack(nonce=511),
    "ping-for": membership_messages.PingRequest(nonce=521, name="m3", epoch=522, address=("192.0.2.3", 523)),
    "nack": membership_messages.Nack(nonce=531),
    "update": membership_messages.MemberUpdate(
        name="m4", epoch=541, incarnation=542, state=membership_messages.MemberState.DEAD,
        address=("192.0.2.4", 543), zone="east", flags=identity.MAY_HOLD_ROLES | identity.VOTES,
        suspected_by="m5",
    ),
    "sync": membership_messages.Sync(digest=551, joining=True),
    "event": membership_messages.Broadcast(
        name="m6", epoch=561, sequence=562, kind=list_replication.LIST_PAYLOAD, body=b"event"
    ),
    "carried": membership_messages.Payload(kind=messenger.ADDRESS_PAYLOAD, body=b"carried"),
}  # fmt: skip


def packet(message):
    return membership_messages.Packet(
        fleet="fleet-one", name="m1", epoch=11, sequence=12, receiver_epoch=13, messages=[message]
    )


MEMBERSHIP_PACKETS = {name: packet(message) for name, message in MEMBERSHIP_MESSAGES.items()}
# By file name: decoded values, decoder, encoder, union of the message types that need a recording.
RECORDED_MESSAGES = {
    "duties": (
        LEASE_MESSAGES,
        lease_messages.MESSAGE_DECODER,
        lease_messages.encode,
        lease_messages.LeaseMessage,
    ),
    "addresses": (
        ADDRESS_MESSAGES,
        address_messages.MESSAGES,
        address_messages.encode,
        address_messages.MESSAGES.type,
    ),
    "sharing": (
        GOSSIP_MESSAGES,
        gossip_messages.MESSAGE_DECODER,
        gossip_messages.encode,
        gossip_messages.Messages,
    ),
    "lists": (LIST_MESSAGES, list_messages.MESSAGE_DECODER, list_messages.encode, list_messages.Messages),
    "packets": (
        MEMBERSHIP_PACKETS,
        membership_messages.PACKET_DECODER,
        membership_messages.encode,
        membership_messages.Messages,
    ),
}
RECORDED_STORES = {
    "voter": (
        VOTER_RECORDS,
        lease_messages.RECORD_DECODER,
        lease_messages.encode,
        lease_messages.VoterRecord,
    ),
    "addresses": (
        [OVERRIDE, DECISION, OVERRIDE_OF_ALL_ADDRESSES],
        address_messages.STORED_RECORDS,
        address_messages.encode,
        address_messages.StoredRecord,
    ),
    "gate": (ROUTE_GUARD_RECORDS, route_table.RECORDS, route_table.encode, route_table.RECORDS.type),
}
MESSAGE_MODULES = (
    lease_messages,
    address_messages,
    gossip_messages,
    list_messages,
    membership_messages,
    route_table,
)


def iter_structs(value):
    """Yield every struct in a value, including the value itself."""
    if isinstance(value, msgspec.Struct):
        yield value
        value = [getattr(value, name) for name in value.__struct_fields__]
    elif isinstance(value, dict):
        value = list(value.values())
    if isinstance(value, list | tuple):
        for item in value:
            yield from iter_structs(item)


def copy_store(name, folder):
    """Copy a recorded store to a folder, and return the folder."""
    folder.mkdir(exist_ok=True)
    shutil.copy(DATA / name, folder / name)
    return str(folder)


def file_values(fleet):
    """Return the values of a fleet file and of its addresses file, by their keys in the files."""
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


def table_keys(table):
    """Return the keys that a table of a file can have, with those of nested tables."""
    keys = {}
    for field in msgspec.structs.fields(table):
        inner = [kind for kind in (field.type, *get_args(field.type)) if hasattr(kind, "__struct_fields__")]
        keys[field.encode_name] = table_keys(inner[0]) if inner else None
    return keys


def value_keys(value):
    """Return the keys that a parsed file contains, with those of nested tables."""
    if isinstance(value, list):
        merged = {}
        for item in value:
            if isinstance(item, dict):
                merged |= value_keys(item)
        return merged or None
    return {key: value_keys(item) for key, item in value.items()} if isinstance(value, dict) else None


@pytest.mark.parametrize("name", RECORDED_MESSAGES)
def test_messages_are_decoded_and_encoded_as_recorded(name):
    messages, decoder, encode, _ = RECORDED_MESSAGES[name]
    recorded = dict(line.split() for line in (DATA / f"{name}.hex").read_text().splitlines())
    assert list(recorded) == list(messages)
    for kind, value in messages.items():
        body = bytes.fromhex(recorded[kind])
        assert decoder.decode(body) == value, kind
        assert encode(value) == encode(decoder.decode(body)) == body, kind


@pytest.mark.parametrize("name", RECORDED_STORES)
def test_stores_are_decoded_and_written_as_recorded(name, tmp_path):
    rows, decoder, encode, _ = RECORDED_STORES[name]
    old = AppendLog(copy_store(name, tmp_path / "old"), name)
    assert (old.torn_tail, old.is_new) == ("", False)
    assert [decoder.decode(body) for body in old.bodies] == rows
    for method in ("append", "rewrite"):
        new = AppendLog(str(tmp_path / method), name)
        bodies = [encode(row) for row in rows]
        new.append(*bodies) if method == "append" else new.rewrite(bodies)
        assert (tmp_path / method / name).read_bytes() == (DATA / name).read_bytes()
        new.close()
    old.close()


def test_every_message_type_is_recorded_with_distinct_values_in_all_fields():
    recorded_structs = [
        struct
        for values, *_ in [*RECORDED_MESSAGES.values(), *RECORDED_STORES.values()]
        for struct in iter_structs(list(values.values()) if isinstance(values, dict) else values)
    ]
    recorded = {type(struct) for struct in recorded_structs}
    for *_, kinds in [*RECORDED_MESSAGES.values(), *RECORDED_STORES.values()]:
        assert set(get_args(kinds)) <= recorded, f"not recorded: {set(get_args(kinds)) - recorded}"
        tags = [kind.__struct_config__.tag for kind in get_args(kinds)]
        assert len(tags) == len(set(tags))
    for module in MESSAGE_MODULES:
        for kind in vars(module).values():
            array = getattr(getattr(kind, "__struct_config__", None), "array_like", False)
            assert not array or kind.__subclasses__() or kind in recorded, f"{kind} has no recording"
    for struct in recorded_structs:
        values = [getattr(struct, name) for name in struct.__struct_fields__]
        assert len({repr(value) for value in values}) == len(values), struct
        for field, value in zip(msgspec.structs.fields(struct), values, strict=True):
            assert value != field.default, f"{struct}: {field.name} has its default"


def test_numbers_and_names_that_members_send_and_store_are_unchanged():
    assert (
        lease_messenger.LEASE_PAYLOAD,
        list_replication.LIST_PAYLOAD,
        gossip_service.GOSSIP_PAYLOAD,
        messenger.ADDRESS_PAYLOAD,
    ) == (1, 2, 3, 4)
    assert (identity.MAY_HOLD_ROLES, identity.VOTES) == (1, 2)
    state = membership_messages.MemberState
    assert [int(member) for member in (state.ALIVE, state.SUSPECT, state.DEAD, state.LEFT)] == [0, 1, 2, 3]
    assert [int(member) for member in (Preference.WITHDRAWN, Preference.LOWERED, Preference.ADVERTISED)] == [
        0,
        1,
        2,
    ]
    assert (lease_messages.VOTERS_ROLE, messenger.CONTROLLER_ROLE) == ("voters", "addresses")
    assert messenger.announcer_role("east") == "announcer/east"


def test_endpoint_list_rows_are_compressed_as_recorded():
    assert list_messages.decode_records([LIST_BODY]) == LIST_ROWS
    assert zlib.decompress(b"".join(list_messages.encode_records(LIST_ROWS))) == zlib.decompress(LIST_BODY)
    assert list_messages.draining_records(list_messages.decode_records([LIST_BODY])) == LIST_ROWS[:1]


def test_an_authenticated_packet_is_verified_and_signed_again_as_recorded():
    datagram = bytes.fromhex((DATA / "sealed.hex").read_text())
    first_key, second_key = read_fleet(str(DATA / "fleet.toml"), {}.get).keys
    assert (first_key, second_key) == (bytes(range(24)), bytes(range(0xF0, 0x100)))
    sender = DatagramAuthenticator("fleet-one", "m1", 11, [first_key])
    sender.sequence = 11
    assert (
        sender.sign([membership_messages.encode(part) for part in MEMBERSHIP_MESSAGES.values()], 13)
        == datagram
    )
    for keys in ([first_key], [second_key, first_key]):
        verified = DatagramAuthenticator("fleet-one", "m2", 13, keys).verify(datagram)
        assert verified == msgspec.structs.replace(packet(None), messages=list(MEMBERSHIP_MESSAGES.values()))
    assert DatagramAuthenticator("fleet-one", "m2", 13, [second_key]).verify(datagram) is None


def test_a_voter_starts_from_its_recorded_log(tmp_path):
    member = MagicMock()
    member.fleet.folder, member.name, member.voters = copy_store("voter", tmp_path), "voter-b", NEXT_VOTER_SET
    member.fleet.file.leases.duration = 3.75
    service = VoterService(member, MagicMock(), MagicMock(), 1000.0)
    service.open_log(1000.0)
    voter = service.voter
    assert isinstance(voter, Voter)
    assert voter.slots == {
        "list-east": VoterSlot(41, "m~41", 1003.75),
        "call-out": VoterSlot(52),
        "known": VoterSlot(9),
    }
    assert (voter.voter_set, voter.pending, voter.recovering) == (VOTER_SET, PENDING_VOTER_SET, False)
    service.log.rewrite([lease_messages.encode(row) for row in voter.records()])
    assert (tmp_path / "voter").read_bytes() == (DATA / "voter-anew").read_bytes()
    service.close()


def test_overrides_and_history_are_stored_and_answered_as_recorded(tmp_path):
    store = OverrideStore(copy_store("addresses", tmp_path / "old"))
    assert (store.overrides(), store.decisions()) == ([OVERRIDE, OVERRIDE_OF_ALL_ADDRESSES], [DECISION])
    new = OverrideStore(str(tmp_path / "new"))
    assert new.append([OVERRIDE, DECISION, OVERRIDE_OF_ALL_ADDRESSES]) == ["1f-2", "71.72", "1f-3"]
    assert (tmp_path / "new" / "addresses").read_bytes() == (DATA / "addresses").read_bytes()
    outgoing = MagicMock()
    queries = QueryApi(MagicMock(), outgoing, MagicMock(), MagicMock(store=store), MagicMock(), MagicMock())
    queries.on_request(address_messages.QueryRequest("1f-6", "history"), "m~1", 1000.0)
    body = b"".join(call.args[1].body for call in outgoing.send_to_process.call_args_list)
    assert zlib.decompress(body) == (DATA / "history.json").read_bytes()
    for open_store in (store, new):
        open_store.close()


def test_a_route_guard_starts_from_its_recorded_log_and_answers_as_recorded(tmp_path):
    config, addresses, site = read_guard_config(str(DATA / "gate.toml"))
    document = tomllib.loads((DATA / "gate.toml").read_text())
    assert (config.addresses, config.site, config.listen, config.speaker, config.folder) == (
        document["addresses"], document["site"], document["listen"], document["speaker"], document["folder"],
    )  # fmt: skip
    assert (config.own_as, config.orphaned_after, site.name) == (64999, 16.5, "east")
    assert table_keys(type(config)).keys() == document.keys()
    with socket.create_server(("127.0.0.1", 0)) as sock:
        port = sock.getsockname()[1]
    config = msgspec.structs.replace(config, listen=f"127.0.0.1:{port}")
    with open(tmp_path / "log", "wb") as log:
        guard = route_guard.RouteGuard(config, addresses, site, copy_store("gate", tmp_path), log.fileno())
        table = guard.table
        assert (table.term, table.member, table.controller_term, table.call_number) == (81, "m~9", 82, 83)
        assert table.preferences == {"address-a": Preference.LOWERED}
        answers = [
            guard.answer_state(),
            guard.claim("term=91&member=m~10"),
            guard.set_preference("term=91&number=92&keeper=93&name=address-a&as=2"),
            guard.heartbeat("term=91&last=address-a"),
            guard.report_health("member=m1&address-a=0.5"),
        ]
        guard.close()
    assert [status for status, *_ in answers] == [200] * 5
    assert (table.last_addresses, table.preferences) == ({"address-a"}, {"address-a": Preference.ADVERTISED})
    assert b"".join(body for _, body, _ in answers) == (DATA / "gate.json").read_bytes()


def test_fleet_and_addresses_files_are_decoded_as_recorded():
    fleet = read_fleet(str(DATA / "fleet.toml"), {}.get)
    for decoded, values, name in zip(
        (fleet.file, fleet.addresses), file_values(fleet), ("fleet", "addresses"), strict=True
    ):
        document = tomllib.loads((DATA / f"{name}.toml").read_text())
        encoded = orjson.loads(orjson.dumps(values))
        if name == "fleet":  # each role has only the keys of its task
            encoded["duty"] = [
                {key: encoded["duty"][index][key] for key in role}
                for index, role in enumerate(document["duty"])
            ]
        assert encoded == document
        assert value_keys(document) == table_keys(type(decoded)), "a key has no recording"
    assert (fleet.listen, fleet.advertise) == (("192.0.2.10", 7101), ("198.51.100.20", 7102))
    assert fleet.seeds == [("192.0.2.31", 7103), ("192.0.2.32", 7104)]
    assert fleet.folder == str(DATA / "remembered")
    overridden = read_fleet(str(DATA / "fleet.toml"), {"LB_FLEET_LISTEN": "192.0.2.99:7199"}.get)
    assert overridden.listen == overridden.advertise == ("192.0.2.99", 7199)
    timing, lease_timing = fleet.file.protocol_config(), fleet.file.lease_timing()
    gossip_config = fleet.file.gossip_config()
    assert (timing.period, timing.timeout, timing.sync_interval) == (1.25, 0.45, 11.5)
    assert (lease_timing.duration, lease_timing.rate_bound) == (3.75, 0.015)
    assert (
        gossip_config.push_interval,
        gossip_config.fanout,
        gossip_config.poll_interval,
        gossip_config.report_interval,
        gossip_config.audit_interval,
    ) == (0.35, 3, 6.5, 1.75, 31.5)


def test_the_controllers_view_and_plan_are_encoded_as_recorded():
    addresses = read_fleet(str(DATA / "fleet.toml"), {}.get).addresses
    controller = Controller(addresses, VOTER_SET.names, 71, 1000.0)
    advertised = msgspec.structs.replace(ROUTE_STATUS, preference=2, is_last=False, installed=True)
    for voter in VOTER_SET.names:
        controller.on_message(address_messages.OverrideResponse(voter, 0, 0, []), voter, 1000.0, 1700000004.0)
    for site in ("east", "west", "north"):
        controller.on_message(
            address_messages.SiteReport(site, 71, 1, 7, True, [advertised]), f"m-{site}", 1000.5, 1700000004.5
        )
        controller.on_message(
            address_messages.HealthReport(site, [ADDRESS_HEALTH]), f"m-{site}", 1000.5, 1700000004.5
        )
    exclude = msgspec.structs.replace(OVERRIDE_OF_ALL_ADDRESSES, verb="exclude")
    east = msgspec.structs.replace(exclude, site="east")
    controller.tick(1000.5, 1700000004.5)
    answers = [plan(controller, east, 1000.5, 1700000004.5)]
    controller.on_message(
        address_messages.OverrideResponse("voter-a", 0, 1, [OVERRIDE]), "voter-a", 1000.5, 1700000004.5
    )
    controller.tick(1001.0, 1700000005.0)
    answers += [view(controller, 1002.0), plan(controller, exclude, 1002.0, 1700000006.0)]
    assert orjson.dumps(answers) == (DATA / "keeper.json").read_bytes()


def test_an_announcer_calls_its_route_guard_as_recorded():
    addresses = read_fleet(str(DATA / "fleet.toml"), {}.get).addresses
    announcer = Announcer(addresses, addresses.sites[0], 91, 1000.0)
    member, calls = MagicMock(process_id="m~10"), []
    member.loop.now = 1000.0
    task = AnnouncerTask(member, addresses, MagicMock(), addresses.sites[0])
    task.run_number = 1
    task.call_guard = lambda run_number, announcer, target, lease_held: calls.append(target) or iter(())
    assert addresses.interval == 0.625
    advertised = GuardedRoute(Preference.ADVERTISED, Preference.ADVERTISED)
    for routes in ({}, {"address-a": advertised}):
        if routes:
            announcer.on_guard_state(GuardState(routes, 82, True), 1000.0)
            announcer.on_assignment(address_messages.RouteAssignment(82, 84, "east", [ROUTE_STATUS]), 1000.0)
        next(task.run(1, announcer, lambda: True))
    assert calls == [
        "/claim?term=91&member=m~10",
        "/alive?term=91&last=",
        "/set?term=91&number=1&name=address-a&as=1&keeper=82",
        "/alive?term=91&last=address-a",
    ]
