"""Operators' queries: the view, a plan, the history.

Any member takes the call; the controller, or a voter for the history, answers.
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

PART_BYTES = 800  # of an answer in one message
MAX_PARTS = 256
MAX_ANSWER = 1 << 22  # bytes, decompressed
MAX_WAITING = 64  # queries without an answer yet
ANSWERS_REMEMBERED = 16
HISTORY_SHOWN = 100  # decisions, and overrides
PLANNED_NUMBER = 1 << 60  # of a planned override: above all that exist
JSON = "application/json"


class QueryKind(StrEnum):
    """What a query is for; the values are on the wire."""

    VIEW = "view"
    PLAN = "plan"
    HISTORY = "history"


class QueryApi:
    """Asks on behalf of operators, and answers other members."""

    def __init__(
        self,
        member: MemberContext,
        messenger: AddressMessenger,
        controller: ControllerTask,
        voter: VoterStore,
        reader: OverrideReader,
        ids: RequestIds,
    ) -> None:
        self.member = member
        self.messenger = messenger
        self.controller = controller
        self.voter = voter
        self.reader = reader
        self.ids = ids
        self.waiting: OrderedDict[str, dict[int, bytes]] = OrderedDict()  # by query: parts that have come
        self.answers: OrderedDict[str, bytes] = OrderedDict()  # by query: JSON

    # the member that was called

    def handle(self, kind: QueryKind, query: str) -> Answer:
        """The first call starts a query; it is repeated with the id until the answer has come."""
        query_id = dict(parse_qsl(query)).get("id")
        if query_id:
            return self.show_answer(query_id)
        override = None
        if kind is QueryKind.PLAN:
            try:
                override = msgspec.structs.replace(self.reader.read(query), number=PLANNED_NUMBER)
            except InvalidOverrideError as error:
                return 400, f"{error}\n".encode(), PLAIN_TEXT
        return self.start_query(kind, override)

    def show_answer(self, query_id: str) -> Answer:
        """The answer of a query; 202 while it is awaited."""
        if query_id in self.answers:
            return 200, self.answers[query_id], JSON
        if query_id in self.waiting:
            return 202, orjson.dumps({"id": query_id}), JSON
        return 404, b"id: no such question here\n", PLAIN_TEXT

    def start_query(self, kind: QueryKind, override: Override | None) -> Answer:
        """Sends a query to who can answer it; answers with its id."""
        query_id = self.ids.next()
        process_id = self.find_voter() if kind is QueryKind.HISTORY else self.messenger.controller.process_id
        if not process_id:
            text = b"no voter is there\n" if kind is QueryKind.HISTORY else b"no keeper is known\n"
            return 503, text, PLAIN_TEXT
        self.waiting[query_id] = {}
        while len(self.waiting) > MAX_WAITING:
            self.waiting.popitem(last=False)
        self.messenger.send_to_process(process_id, QueryRequest(query_id, kind.value, override))
        self.member.task.wake()
        return 202, orjson.dumps({"id": query_id}), JSON

    def find_voter(self) -> str:
        """A process that has the history; empty if none is there."""
        if self.voter.store is not None:
            return self.member.process_id
        for member in self.member.membership.live_members():
            if member.name in self.member.voters.names:
                return make_process_id(member.name, member.epoch)
        return ""

    def on_response_part(self, message: QueryResponsePart) -> None:
        """Collects an answer; with its last part it can be shown."""
        parts = self.waiting.get(message.id)
        if parts is None or not 0 <= message.part < message.parts <= MAX_PARTS:
            return
        parts[message.part] = message.body
        if len(parts) < message.parts:
            return
        del self.waiting[message.id]
        packed = b"".join(parts[number] for number in range(message.parts))
        self.answers[message.id] = zlib.decompressobj().decompress(packed, MAX_ANSWER)
        while len(self.answers) > ANSWERS_REMEMBERED:
            self.answers.popitem(last=False)

    # the member that answers

    def on_request(self, message: QueryRequest, sender: str, now: float) -> None:
        """Answers the process `sender`, if this member can; else it is silent."""
        answer = self.find_answer(message, now)
        if answer is None:
            return
        packed = zlib.compress(orjson.dumps(answer))
        parts = [packed[at : at + PART_BYTES] for at in range(0, len(packed), PART_BYTES)]
        for number, part in enumerate(parts):
            self.messenger.send_to_process(sender, QueryResponsePart(message.id, number, len(parts), part))

    def find_answer(self, message: QueryRequest, now: float) -> JsonObject | None:
        """The answer; None if this member is not the one to ask."""
        store = self.voter.store
        if message.kind == QueryKind.HISTORY and store is not None:
            return {
                "decided": [decision_to_json(row) for row in store.decisions()[-HISTORY_SHOWN:]],
                "orders": [override_to_json(row) for row in store.overrides()[-HISTORY_SHOWN:]],
            }
        core = self.controller.core
        if core is None or not self.controller.holds_lease():
            return None
        if message.kind == QueryKind.VIEW:
            return view(core, now) | {"keeper": self.member.process_id}
        if message.kind == QueryKind.PLAN and message.override is not None:
            return plan(core, message.override, now, time.time())
        return None
