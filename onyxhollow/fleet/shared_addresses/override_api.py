"""Operators' calls that set overrides, and the replication of overrides to a majority of the voters."""

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

MAX_PENDING_OVERRIDES = 64  # not yet stored by a majority of the voters
MAX_STORED_IDS = 256  # latest stored overrides whose state operators can query
MAX_DURATION_SECONDS = 30 * 86400.0
JSON = "application/json"


class InvalidOverrideError(ValueError):
    """An invalid override; the message names the parameter, the expected value and the actual one."""


class RequestIds:
    """Generator of ids for this process's overrides and queries: the incarnation and a sequence number."""

    def __init__(self, epoch: int) -> None:
        self.epoch = epoch
        self.number = 0

    def next(self) -> str:
        """Return a new id."""
        self.number += 1
        return f"{self.epoch:x}-{self.number}"


class OverrideReader:
    """Parses an override from the query of an operator's call."""

    def __init__(self, config: AddressesFile, ids: RequestIds) -> None:
        self.sites = [site.name for site in config.sites]
        self.addresses = [service.name for service in config.services]
        self.ids = ids

    def read(self, query: str) -> Override:
        """Return the override; its number is 0 until the voters have been queried.

        Raises:
            InvalidOverrideError: a parameter is missing or invalid; the message names the first one.
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
        created_at = time.time()
        return Override(
            id=self.ids.next(),
            number=0,
            verb=verb,
            address=address,
            site=site,
            operator=operator,
            reason=reason,
            given_at=created_at,
            expires_at=created_at + duration if duration else 0.0,
        )


def expect_one_of(key: str, value: str, allowed: Iterable[str], alternative: str, max_shown: int) -> str:
    """Return the value if it is allowed.

    Args:
        key: name of the parameter.
        value: value of the parameter.
        allowed: values that are allowed.
        alternative: text after the allowed values in the error message.
        max_shown: number of characters of the value in the error message.

    Raises:
        InvalidOverrideError: the value is not allowed.
    """
    if value not in allowed:
        expected = f"expected one of {', '.join(allowed)}{alternative}"
        raise InvalidOverrideError(f"{key}: {expected}, got {value[:max_shown]!r}")
    return value


def read_text(key: str, parameters: dict[str, str]) -> str:
    """Return a short printable text; raise InvalidOverrideError if it is missing or invalid."""
    value = parameters.get(key, "").strip()
    size = len(value.encode(errors="replace"))
    if not 0 < size <= MAX_REASON_BYTES or not value.isprintable():
        expected = f"expected 1 to {MAX_REASON_BYTES} bytes of printable characters"
        raise InvalidOverrideError(f"{key}: {expected}, got {value[:40]!r}")
    return value


def read_duration(text: str) -> float:
    """Return a duration in seconds; raise InvalidOverrideError if it is invalid or out of range."""
    try:
        duration = float(text)
    except ValueError:
        duration = -1.0
    if not 0.0 <= duration <= MAX_DURATION_SECONDS:
        raise InvalidOverrideError(
            f"until: expected 0 to {MAX_DURATION_SECONDS:.0f} seconds, got {text[:40]!r}"
        )
    return duration


class PendingOverride:
    """An override that a majority of the voters has not stored yet.

    The voters are queried for their overrides first, so that its number is higher than all of theirs.
    """

    def __init__(self, override: Override) -> None:
        self.override = override
        self.responders: set[str] = set()  # voters that have sent their overrides
        self.is_numbered = False
        self.stored_by: set[str] = set()  # voters that have acknowledged it


class OverrideApi:
    """Accepts operators' overrides and replicates them to the voters."""

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
        self.stored_ids: deque[str] = deque(maxlen=MAX_STORED_IDS)

    # Operators' calls

    def submit(self, query: str) -> Answer:
        """Handle POST /control/addresses/order: start replicating an override and return its id."""
        try:
            override = self.reader.read(query)
        except InvalidOverrideError as error:
            return 400, f"{error}\n".encode(), PLAIN_TEXT
        if len(self.pending) >= MAX_PENDING_OVERRIDES:
            return (
                503,
                (
                    f"order: expected fewer than {MAX_PENDING_OVERRIDES} pending overrides, "
                    f"got {len(self.pending)}; retry later\n"
                ).encode(),
                PLAIN_TEXT,
            )
        pending = PendingOverride(override)
        self.pending[override.id] = pending
        self.send(pending)
        self.member.task.wake()
        return 202, orjson.dumps({"id": override.id}), JSON

    def show_state(self, query: str) -> Answer:
        """Handle GET /control/addresses/order: return how many voters have stored an override."""
        override_id = dict(parse_qsl(query)).get("id", "")
        pending = self.pending.get(override_id)
        needed = self.member.voters.majority
        if pending is None and override_id not in self.stored_ids:
            return (
                404,
                f"id: expected an override of this process, got {override_id[:40]!r}\n".encode(),
                PLAIN_TEXT,
            )
        stored = needed if pending is None else len(pending.stored_by)
        state = {"id": override_id, "kept": stored, "needed": needed, "done": pending is None}
        return 200, orjson.dumps(state), JSON

    # Replication to the voters

    def send(self, pending: PendingOverride) -> None:
        """Send the query for overrides, or the numbered override, to the voters that have not stored it."""
        message = StoreRequest([pending.override]) if pending.is_numbered else OverrideQuery(0)
        for voter in self.member.voters.names:
            if voter not in pending.stored_by:
                self.messenger.send_to_name(voter, message)

    def resend(self) -> None:
        """Send all pending overrides again."""
        for pending in self.pending.values():
            self.send(pending)

    def on_override_response(self, message: OverrideResponse, now: float) -> None:
        """Add a voter's overrides, and number pending ones once a majority of the voters has responded."""
        for override in message.overrides:
            self.overrides.add(override, now, time.time())
        for pending in self.pending.values():
            if pending.is_numbered:
                continue
            pending.responders.add(message.voter)
            if len(pending.responders) >= self.member.voters.majority:
                pending.is_numbered = True
                number = self.overrides.highest_number + 1
                pending.override = msgspec.structs.replace(pending.override, number=number)
                self.send(pending)

    def on_store_acknowledgement(self, message: StoreAcknowledgement) -> None:
        """Record which overrides a voter has stored; one stored by a majority is no longer pending."""
        for override_id in message.ids:
            pending = self.pending.get(override_id)
            if pending is None:
                continue
            pending.stored_by.add(message.voter)
            if len(pending.stored_by) >= self.member.voters.majority:
                del self.pending[override_id]
                self.stored_ids.append(override_id)
                self.log_stored(pending)

    def log_stored(self, pending: PendingOverride) -> None:
        """Log an override that a majority of the voters has stored."""
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
