"""Operators' queries: the view, a plan, the history.

Any member accepts the call and forwards the query to the controller, or to a voter for the history.
"""

from __future__ import annotations

import time
import zlib
from collections import OrderedDict
from enum import StrEnum
from urllib.parse import parse_qsl

import msgspec
import orjson

from onyxhollow.addresses.controller_views import (
    JsonObject,
    decision_to_json,
    override_to_json,
    plan,
    view,
)
from onyxhollow.addresses.messages import Override, QueryRequest, QueryResponsePart
from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.identity import make_process_id
from onyxhollow.fleet.shared_addresses.controller_task import ControllerTask
from onyxhollow.fleet.shared_addresses.messenger import AddressMessenger
from onyxhollow.fleet.shared_addresses.override_api import InvalidOverrideError, OverrideReader, RequestIds
from onyxhollow.fleet.shared_addresses.override_store import VoterStore
from onyxhollow.management.api import PLAIN_TEXT, Answer

PART_BYTES = 800  # of a compressed response in one message
MAX_PARTS = 256
MAX_RESPONSE_BYTES = 1 << 22  # decompressed
MAX_PENDING_QUERIES = 64  # beyond it the oldest is dropped
MAX_CACHED_RESPONSES = 16  # beyond it the oldest is dropped
MAX_HISTORY_ROWS = 100  # latest decisions, and as many overrides
PLANNED_NUMBER = 1 << 60  # of a planned override: higher than the number of any existing one
INVALID_RESPONSE_STATUS = 502  # HTTP status if another member's response cannot be served
JSON = "application/json"


class QueryKind(StrEnum):
    """Kinds of queries; the values are sent in messages."""

    VIEW = "view"
    PLAN = "plan"
    HISTORY = "history"


class InvalidResponseError(ValueError):
    """A response that cannot be served; the message names the expected response and the actual one."""


class PendingQuery:
    """A query whose response has not arrived completely."""

    def __init__(self) -> None:
        self.part_count = 0  # as given by the first part; 0: none has arrived
        self.parts: dict[int, bytes] = {}  # by number

    def add(self, message: QueryResponsePart) -> bool:
        """Record a part, and return whether all have arrived.

        A request that the network has duplicated is answered twice. Parts of a response whose number of parts
        differs from that of the first one are ignored.
        """
        self.part_count = self.part_count or message.parts
        if message.parts == self.part_count:
            self.parts[message.part] = message.body
        return len(self.parts) == self.part_count

    def assemble(self) -> bytes:
        """Return the compressed response."""
        return b"".join(self.parts[number] for number in range(self.part_count))


def decompress_response(compressed: bytes) -> bytes:
    """Return the JSON of a response.

    Raises:
        InvalidResponseError: the body is not compressed, incomplete or too large.
    """
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(compressed, MAX_RESPONSE_BYTES + 1)
    except zlib.error as error:
        raise InvalidResponseError(f"response: expected compressed JSON, got {error}") from None
    if len(body) > MAX_RESPONSE_BYTES:
        raise InvalidResponseError(f"response: expected at most {MAX_RESPONSE_BYTES} bytes, got more")
    if not decompressor.eof:
        raise InvalidResponseError(f"response: expected its end, got {len(body)} bytes of an incomplete one")
    return body


class QueryApi:
    """Forwards operators' queries to other members, and answers the queries of other members."""

    def __init__(
        self,
        member: MemberContext,
        messenger: AddressMessenger,
        controller: ControllerTask,
        voter_store: VoterStore,
        reader: OverrideReader,
        ids: RequestIds,
    ) -> None:
        self.member = member
        self.messenger = messenger
        self.controller = controller
        self.voter_store = voter_store
        self.reader = reader
        self.ids = ids
        self.pending: OrderedDict[str, PendingQuery] = OrderedDict()  # by query id
        self.responses: OrderedDict[str, Answer] = OrderedDict()  # by query id

    # On the member that receives an operator's call

    def handle(self, kind: QueryKind, query: str) -> Answer:
        """Start a query, or return the response to the query whose id is given."""
        query_id = dict(parse_qsl(query)).get("id")
        if query_id:
            return self.show_response(query_id)
        override = None
        if kind is QueryKind.PLAN:
            try:
                override = msgspec.structs.replace(self.reader.read(query), number=PLANNED_NUMBER)
            except InvalidOverrideError as error:
                return 400, f"{error}\n".encode(), PLAIN_TEXT
        return self.start_query(kind, override)

    def show_response(self, query_id: str) -> Answer:
        """Return the response to a query; status 202 while it is pending."""
        if query_id in self.responses:
            return self.responses[query_id]
        if query_id in self.pending:
            return 202, orjson.dumps({"id": query_id}), JSON
        return (
            404,
            f"id: expected a recent query of this process, got {query_id[:40]!r}\n".encode(),
            PLAIN_TEXT,
        )

    def start_query(self, kind: QueryKind, override: Override | None) -> Answer:
        """Send a query to a process that can answer it, and return the query's id."""
        query_id = self.ids.next()
        process_id = self.find_voter() if kind is QueryKind.HISTORY else self.messenger.controller.process_id
        if not process_id:
            text = (
                b"history: expected a live voter, got none\n"
                if kind is QueryKind.HISTORY
                else b"controller: expected one known to this process, got none\n"
            )
            return 503, text, PLAIN_TEXT
        self.pending[query_id] = PendingQuery()
        while len(self.pending) > MAX_PENDING_QUERIES:
            self.pending.popitem(last=False)
        self.messenger.send_to_process(process_id, QueryRequest(query_id, kind.value, override))
        self.member.task.wake()
        return 202, orjson.dumps({"id": query_id}), JSON

    def find_voter(self) -> str:
        """Return the id of a process that stores the history; empty if there is none."""
        if self.voter_store.store is not None:
            return self.member.process_id
        for member in self.member.membership.live_members():
            if member.name in self.member.voters.names:
                return make_process_id(member.name, member.epoch)
        return ""

    def on_response_part(self, message: QueryResponsePart) -> None:
        """Record a part of a response, and store the answer to the operator once all parts have arrived."""
        query = self.pending.get(message.id)
        if query is None or not 0 <= message.part < message.parts:
            return
        if message.parts > MAX_PARTS:
            text = f"response: expected at most {MAX_PARTS} parts, got {message.parts}\n"
            self.store_answer(message.id, (INVALID_RESPONSE_STATUS, text.encode(), PLAIN_TEXT))
        elif query.add(message):
            self.store_answer(message.id, self.make_answer(query.assemble()))

    def make_answer(self, compressed: bytes) -> Answer:
        """Return the answer to the operator, which is an error if the response cannot be served."""
        try:
            return 200, decompress_response(compressed), JSON
        except InvalidResponseError as error:
            return INVALID_RESPONSE_STATUS, f"{error}\n".encode(), PLAIN_TEXT

    def store_answer(self, query_id: str, answer: Answer) -> None:
        """Store the answer to a query, which is no longer pending."""
        del self.pending[query_id]
        self.responses[query_id] = answer
        while len(self.responses) > MAX_CACHED_RESPONSES:
            self.responses.popitem(last=False)

    # On the member that answers

    def on_request(self, message: QueryRequest, sender: str, now: float) -> None:
        """Send a response to the process `sender`; ignore the query if this member cannot answer it."""
        response = self.build_response(message, now)
        if response is None:
            return
        compressed = zlib.compress(orjson.dumps(response))
        parts = [compressed[start : start + PART_BYTES] for start in range(0, len(compressed), PART_BYTES)]
        for number, part in enumerate(parts):
            self.messenger.send_to_process(sender, QueryResponsePart(message.id, number, len(parts), part))

    def build_response(self, message: QueryRequest, now: float) -> JsonObject | None:
        """Return the response, or None if this member cannot answer the query."""
        store = self.voter_store.store
        if message.kind == QueryKind.HISTORY and store is not None:
            return {
                "decided": [decision_to_json(row) for row in store.decisions()[-MAX_HISTORY_ROWS:]],
                "orders": [override_to_json(row) for row in store.overrides()[-MAX_HISTORY_ROWS:]],
            }
        core = self.controller.core
        if core is None or not self.controller.holds_lease():
            return None
        if message.kind == QueryKind.VIEW:
            return view(core, now) | {"keeper": self.member.process_id}
        if message.kind == QueryKind.PLAN and message.override is not None:
            return plan(core, message.override, now, time.time())
        return None
