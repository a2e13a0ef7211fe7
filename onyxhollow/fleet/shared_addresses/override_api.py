"""Operators' overrides: read from a call, numbered, and brought to a majority of the voters."""

from __future__ import annotations

import time
from collections import OrderedDict, deque
from collections.abc import Iterable
from urllib.parse import parse_qsl

import msgspec
import orjson

from onyxhollow.addresses.file import AddressesFile
from onyxhollow.addresses.messages import (
    Override,
    OverrideQuery,
    OverrideResponse,
    StoreAcknowledgement,
    StoreRequest,
)
from onyxhollow.addresses.overrides import MAX_REASON_BYTES, VERBS, OverrideLog
from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.shared_addresses.messenger import AddressMessenger
from onyxhollow.management.api import PLAIN_TEXT, Answer

MAX_PENDING = 64  # overrides on their way to the voters
DONE_REMEMBERED = 256  # overrides that are stored, for operators who ask
MAX_DURATION = 30 * 86400.0  # seconds
JSON = "application/json"


class InvalidOverrideError(ValueError):
    """A call that is no override; the text names the parameter, what was expected and what was found."""


class RequestIds:
    """Ids of this process's overrides and queries: the incarnation and a number."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.number = 0

    def next(self) -> str:
        """A new id."""
        self.number += 1
        return f"{self.epoch:x}-{self.number}"


class OverrideReader:
    """Reads an override from the query of a call."""

    def __init__(self, config: AddressesFile, ids: RequestIds) -> None:
        self.sites = [site.name for site in config.sites]
        self.addresses = [service.name for service in config.services]
        self.ids = ids

    def read(self, query: str) -> Override:
        """The override, without its number.

        Raises:
            InvalidOverrideError: the first parameter that is wrong.
        """
        parameters = dict(parse_qsl(query))
        verb = expect_one_of("verb", parameters.get("verb", ""), VERBS, "", 40)
        site = expect_one_of("site", parameters.get("site", ""), self.sites, "", 80)
        address = parameters.get("address", "")
        if address:
            expect_one_of("address", address, self.addresses, ", or none for all", 80)
        operator = read_text("who", parameters)
        reason = read_text("why", parameters)
        duration = read_duration(parameters.get("until", "0"))
        wall = time.time()
        return Override(
            id=self.ids.next(),
            number=0,
            verb=verb,
            address=address,
            site=site,
            operator=operator,
            reason=reason,
            given_at=wall,
            expires_at=wall + duration if duration else 0.0,
        )


def expect_one_of(key: str, value: str, allowed: Iterable[str], otherwise: str, shown: int) -> str:
    """The value; InvalidOverrideError, with `shown` characters of it, if it is none of those allowed."""
    if value not in allowed:
        expected = f"expected one of {', '.join(allowed)}{otherwise}"
        raise InvalidOverrideError(f"{key}: {expected}, got {value[:shown]!r}")
    return value


def read_text(key: str, parameters: dict[str, str]) -> str:
    """A short printable text; InvalidOverrideError if it is missing or something else."""
    value = parameters.get(key, "").strip()
    size = len(value.encode(errors="replace"))
    if not 0 < size <= MAX_REASON_BYTES or not value.isprintable():
        expected = f"expected 1 to {MAX_REASON_BYTES} bytes of printable characters"
        raise InvalidOverrideError(f"{key}: {expected}, got {value[:40]!r}")
    return value


def read_duration(text: str) -> float:
    """Seconds; InvalidOverrideError if they are out of range."""
    try:
        duration = float(text)
    except ValueError:
        duration = -1.0
    if not 0.0 <= duration <= MAX_DURATION:
        raise InvalidOverrideError(f"until: expected 0 to {MAX_DURATION:.0f} seconds, got {text[:40]!r}")
    return duration


class PendingOverride:
    """An override on its way.

    The voters are queried first for their overrides, so that its number is above all of theirs.
    """

    def __init__(self, override: Override) -> None:
        self.override = override
        self.answered: set[str] = set()  # voters that have sent their overrides
        self.numbered = False
        self.stored_by: set[str] = set()  # voters


class OverrideApi:
    """Operators' calls that give overrides, and the way of these to the voters."""

    def __init__(
        self,
        member: MemberContext,
        messenger: AddressMessenger,
        overrides: OverrideLog,
        reader: OverrideReader,
    ) -> None:
        self.member = member
        self.messenger = messenger
        self.overrides = overrides
        self.reader = reader
        self.pending: OrderedDict[str, PendingOverride] = OrderedDict()
        self.done: deque[str] = deque(maxlen=DONE_REMEMBERED)

    # calls

    def submit(self, query: str) -> Answer:
        """POST /control/addresses/order: answers with the id, at once."""
        try:
            override = self.reader.read(query)
        except InvalidOverrideError as error:
            return 400, f"{error}\n".encode(), PLAIN_TEXT
        if len(self.pending) >= MAX_PENDING:
            return 503, b"too many orders are on their way\n", PLAIN_TEXT
        pending = PendingOverride(override)
        self.pending[override.id] = pending
        self.send(pending)
        self.member.task.wake()
        return 202, orjson.dumps({"id": override.id}), JSON

    def show_state(self, query: str) -> Answer:
        """GET /control/addresses/order: how many voters have stored an override."""
        override_id = dict(parse_qsl(query)).get("id", "")
        pending = self.pending.get(override_id)
        needed = self.member.voters.majority
        if pending is None and override_id not in self.done:
            return 404, b"id: no such order here\n", PLAIN_TEXT
        stored = needed if pending is None else len(pending.stored_by)
        state = {"id": override_id, "kept": stored, "needed": needed, "done": pending is None}
        return 200, orjson.dumps(state), JSON

    # the way to the voters

    def send(self, pending: PendingOverride) -> None:
        """To the voters that have not stored it: the question for their overrides, then the override."""
        message = StoreRequest([pending.override]) if pending.numbered else OverrideQuery(0)
        for voter in self.member.voters.names:
            if voter not in pending.stored_by:
                self.messenger.send_to_name(voter, message)

    def resend(self) -> None:
        """Sends all pending overrides again."""
        for pending in self.pending.values():
            self.send(pending)

    def on_override_response(self, message: OverrideResponse, now: float) -> None:
        """Numbers what is pending, once a majority of the voters has sent what it knows."""
        for override in message.overrides:
            self.overrides.add(override, now, time.time())
        for pending in self.pending.values():
            if pending.numbered:
                continue
            pending.answered.add(message.voter)
            if len(pending.answered) >= self.member.voters.majority:
                pending.numbered = True
                number = self.overrides.highest_number + 1
                pending.override = msgspec.structs.replace(pending.override, number=number)
                self.send(pending)

    def on_store_acknowledgement(self, message: StoreAcknowledgement) -> None:
        """Counts a voter; with a majority the override is in force."""
        for override_id in message.ids:
            pending = self.pending.get(override_id)
            if pending is None:
                continue
            pending.stored_by.add(message.voter)
            if len(pending.stored_by) >= self.member.voters.majority:
                del self.pending[override_id]
                self.done.append(override_id)
                self.log_stored(pending)

    def log_stored(self, pending: PendingOverride) -> None:
        """One line for an override that is in force."""
        override = pending.override
        self.member.log_event(
            "override",
            id=override.id,
            verb=override.verb,
            address=override.address,
            site=override.site,
            who=override.operator,
            why=override.reason,
            until=override.expires_at,
            kept_by=len(pending.stored_by),
        )
