"""Operators' calls about shared addresses: replication of overrides to the voters, and queries."""

import json
import zlib
from types import SimpleNamespace
from urllib.parse import urlencode

import pytest
from address_support import two_site_config

from onyxhollow.addresses.messages import (
    Override,
    OverrideQuery,
    OverrideResponse,
    QueryRequest,
    QueryResponsePart,
    StoreAcknowledgement,
    StoreRequest,
)
from onyxhollow.addresses.overrides import OverrideLog
from onyxhollow.fleet.shared_addresses.override_api import (
    InvalidOverrideError,
    OverrideApi,
    OverrideReader,
    RequestIds,
)
from onyxhollow.fleet.shared_addresses.query_api import (
    MAX_PARTS,
    MAX_RESPONSE_BYTES,
    PART_BYTES,
    QueryApi,
    QueryKind,
)

VALID_PARAMETERS = {"verb": "drain", "site": "a", "who": "op", "why": "power"}
VOTERS = SimpleNamespace(names=("v0", "v1", "v2"), majority=2)


class SentMessages:
    """Fake messenger that records sent messages."""

    def __init__(self):
        self.sent = []
        self.controller = SimpleNamespace(process_id="c~1")

    def send_to_name(self, name, message):
        self.sent.append((name, message))

    def send_to_process(self, process_id, message):
        self.sent.append((process_id, message))


def make_member():
    return SimpleNamespace(
        name="n0",
        process_id="n0~7",
        voters=VOTERS,
        task=SimpleNamespace(wake=lambda: None),
        log_event=lambda event, **values: None,
    )


def make_reader():
    return OverrideReader(two_site_config("chat"), RequestIds(7))


@pytest.mark.parametrize(
    ("parameters", "message"),
    [
        ({"verb": "stop"}, "verb: expected one of drain, undrain"),
        ({"site": "z"}, "site: expected one of a, b, got 'z'"),
        ({"address": "z"}, "address: expected one of x0, or none for all, got 'z'"),
        ({"who": ""}, "who: expected 1 to 200 bytes"),
        ({"why": "w" * 201}, "why: expected 1 to 200 bytes"),
        ({"why": "a\nb"}, "why: expected 1 to 200 bytes of printable characters"),
        ({"until": "soon"}, "until: expected 0 to 2592000 seconds, got 'soon'"),
        ({"until": "-1"}, "until: expected 0 to 2592000 seconds, got '-1'"),
    ],
)
def test_an_invalid_override_names_the_parameter(parameters, message):
    with pytest.raises(InvalidOverrideError) as raised:
        make_reader().read(urlencode(VALID_PARAMETERS | parameters))
    assert message in str(raised.value)


def test_an_override_is_numbered_above_those_of_a_majority_and_done_once_a_majority_has_stored_it():
    messenger, log = SentMessages(), OverrideLog()
    api = OverrideApi(make_member(), messenger, log, make_reader())
    status, body, _ = api.submit(urlencode(VALID_PARAMETERS))
    override_id = json.loads(body)["id"]
    assert status == 202 and messenger.sent == [(name, OverrideQuery(0)) for name in VOTERS.names]
    earlier = Override("1-1", 41, "pin", "", "b", "op", "why", 1.0, 0.0)
    api.on_override_response(OverrideResponse("v0", 0, 1, [earlier]), 1.0)
    assert len(messenger.sent) == 3  # one of three voters is not a majority
    api.on_override_response(OverrideResponse("v2", 0, 0, []), 1.0)
    assert [name for name, _ in messenger.sent[3:]] == list(VOTERS.names)
    assert all(isinstance(message, StoreRequest) for _, message in messenger.sent[3:])
    assert {message.rows[0].number for _, message in messenger.sent[3:]} == {42}
    api.on_store_acknowledgement(StoreAcknowledgement("v1", [override_id]))
    state = json.loads(api.show_state(urlencode({"id": override_id}))[1])
    assert state == {"id": override_id, "kept": 1, "needed": 2, "done": False}
    api.on_store_acknowledgement(StoreAcknowledgement("v2", [override_id]))
    assert json.loads(api.show_state(urlencode({"id": override_id}))[1])["done"]
    assert api.show_state("id=none")[0] == 404


def test_a_query_is_answered_in_parts_by_another_member():
    history = [Override(f"1-{n}", n, "pin", "", "b", "op", f"{n * 7919:x}" * 20, n, 0.0) for n in range(100)]
    store = SimpleNamespace(decisions=lambda: [], overrides=lambda: history)
    queries, responses = SentMessages(), SentMessages()
    idle = SimpleNamespace(core=None)
    voter_api = QueryApi(
        make_member(), responses, idle, SimpleNamespace(store=store), make_reader(), RequestIds(8)
    )
    local_api = QueryApi(
        make_member(), queries, idle, SimpleNamespace(store=None), make_reader(), RequestIds(7)
    )
    local_api.member.membership = SimpleNamespace(live_members=lambda: [SimpleNamespace(name="v1", epoch=3)])
    status, body, _ = local_api.handle(QueryKind.HISTORY, "")
    query_id = json.loads(body)["id"]
    assert status == 202 and queries.sent == [("v1~3", QueryRequest(query_id, "history"))]
    voter_api.on_request(queries.sent[0][1], "n0~7", 1.0)
    assert len(responses.sent) > 1 and all(len(part.body) <= PART_BYTES for _, part in responses.sent)
    for process_id, part in reversed(responses.sent):  # parts may arrive in any order
        assert process_id == "n0~7" and local_api.handle(QueryKind.HISTORY, f"id={query_id}")[0] == 202
        local_api.on_response_part(part)
    status, body, _ = local_api.handle(QueryKind.HISTORY, f"id={query_id}")
    assert status == 200 and [row["id"] for row in json.loads(body)["orders"]] == [row.id for row in history]


def start_view_query():
    """Return the API of a member that waits for the controller's response, and the query's id."""
    idle, no_store = SimpleNamespace(core=None), SimpleNamespace(store=None)
    api = QueryApi(make_member(), SentMessages(), idle, no_store, make_reader(), RequestIds(7))
    return api, json.loads(api.handle(QueryKind.VIEW, "")[1])["id"]


VALID_RESPONSE = zlib.compress(b'{"rows":[]}')


@pytest.mark.parametrize(
    ("compressed", "message"),
    [
        (zlib.compress(b"x" * (MAX_RESPONSE_BYTES + 1)), "expected at most 4194304 bytes, got more"),
        (VALID_RESPONSE[:-4], "expected its end, got 11 bytes of an incomplete one"),
        (b"{}", "expected compressed JSON, got Error -3"),
        (VALID_RESPONSE[:-1] + b"!", "expected compressed JSON, got Error -3"),
    ],
    ids=["too large", "incomplete", "not compressed", "damaged"],
)
def test_a_response_that_cannot_be_served_is_answered_with_its_fault(compressed, message):
    """A too large one was cut and served as broken JSON; a malformed one raised an exception."""
    api, query_id = start_view_query()
    for number in range(MAX_PARTS):
        size = -(-len(compressed) // MAX_PARTS)
        part = compressed[number * size : (number + 1) * size]
        api.on_response_part(QueryResponsePart(query_id, number, MAX_PARTS, part))
    status, body, _ = api.handle(QueryKind.VIEW, f"id={query_id}")
    assert status == 502 and message in body.decode()


def test_the_largest_response_is_served_whole():
    api, query_id = start_view_query()
    body = b"x" * MAX_RESPONSE_BYTES
    api.on_response_part(QueryResponsePart(query_id, 0, 1, zlib.compress(body)))
    assert api.handle(QueryKind.VIEW, f"id={query_id}")[:2] == (200, body)


def test_a_response_of_too_many_parts_ends_the_query():
    """Its parts were ignored, so the query stayed pending and the operator never heard why."""
    api, query_id = start_view_query()
    api.on_response_part(QueryResponsePart(query_id, 3, MAX_PARTS + 1, b""))
    status, body, _ = api.handle(QueryKind.VIEW, f"id={query_id}")
    assert status == 502 and b"expected at most 256 parts, got 257" in body


def test_parts_of_a_second_response_with_another_count_are_ignored():
    """A request that arrives twice is answered twice; mixed parts raised an exception."""
    api, query_id = start_view_query()
    parts = [VALID_RESPONSE[start : start + 5] for start in range(0, len(VALID_RESPONSE), 5)]
    api.on_response_part(QueryResponsePart(query_id, 0, len(parts), parts[0]))
    for other_count in (1, 2, len(parts) + 1):
        api.on_response_part(QueryResponsePart(query_id, other_count - 1, other_count, b"other"))
    for number, part in enumerate(parts):
        assert api.handle(QueryKind.VIEW, f"id={query_id}")[0] == 202
        api.on_response_part(QueryResponsePart(query_id, number, len(parts), part))
    assert api.handle(QueryKind.VIEW, f"id={query_id}")[:2] == (200, b'{"rows":[]}')
