"""Decoding and dispatch of election messages."""

from __future__ import annotations

import contextlib

import msgspec

from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.identity import make_process_id
from onyxhollow.fleet.lease_messenger import LeaseMessenger
from onyxhollow.fleet.lease_service import LeaseService
from onyxhollow.fleet.voter_service import VoterService
from onyxhollow.fleet.voter_set_service import VoterSetService
from onyxhollow.leases.messages import (
    MESSAGE_DECODER,
    ConfigurationCommitted,
    HandOverCommand,
    LeaderAnnouncement,
    LeaseOffer,
    Message,
    ReconfigurationResponse,
    ReplaceVoterCommand,
    VoteResponse,
)
from onyxhollow.membership.member_table import Member

MALFORMED = "duties: rubbish"  # counter shown in /control/fleet


class LeaseRouter:
    """Decodes election messages and dispatches them to candidates, the proposer or the voter."""

    def __init__(
        self,
        context: MemberContext,
        messenger: LeaseMessenger,
        leases: LeaseService,
        voter_sets: VoterSetService,
        voter_service: VoterService,
    ) -> None:
        self.context = context
        self.messenger = messenger
        self.leases = leases
        self.voter_sets = voter_sets
        self.voter_service = voter_service

    def on_payload(self, member: Member, body: bytes, now: float) -> None:
        """Decode and dispatch a payload from a member; count it if it is malformed."""
        try:
            message = MESSAGE_DECODER.decode(body)
        except (msgspec.DecodeError, RecursionError):
            self.context.counts[MALFORMED] += 1
            return
        self._route(make_process_id(member.name, member.epoch), member.name, message, now)

    def on_broadcast(self, body: bytes, now: float) -> None:
        """Decode and process a broadcast; ignore it if it is malformed."""
        with contextlib.suppress(msgspec.DecodeError):
            message = MESSAGE_DECODER.decode(body)
            if isinstance(message, LeaderAnnouncement):
                self.leases.on_announcement(message.role, message.term, message.holder)
            elif isinstance(message, ConfigurationCommitted):
                self.voter_sets.adopt(message.voter_set, now)

    def route_local(self, now: float) -> None:
        """Dispatch the messages of this process to itself until none is left."""
        while self.messenger.local_messages:
            name, message = self.messenger.local_messages.popleft()
            self._route(self.context.process_id, name, message, now)

    def _route(self, process_id: str, name: str, message: Message, now: float) -> None:
        if isinstance(message, VoteResponse):
            self._on_vote_response(name, message, now)
        elif isinstance(message, LeaseOffer):
            self.leases.on_offer(message, now)
        elif isinstance(message, HandOverCommand):
            self.leases.on_command(message, now)
        elif isinstance(message, ReplaceVoterCommand):
            self.voter_sets.on_command(message, now)
        elif isinstance(message, ReconfigurationResponse):
            self.voter_sets.on_response(name, message, now)
        else:
            if isinstance(message, ConfigurationCommitted):
                self.voter_sets.adopt(message.voter_set, now)
            self.voter_service.on_message(process_id, name, message)

    def _on_vote_response(self, name: str, response: VoteResponse, now: float) -> None:
        if response.role not in self.leases.runners:
            return
        self.leases.on_vote_response(name, response)
        if response.voter_set:
            self.voter_sets.adopt(response.voter_set, now)
