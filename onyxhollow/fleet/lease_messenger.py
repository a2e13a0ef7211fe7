"""Carries election messages between members, and from this member to itself."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.identity import VOTES
from onyxhollow.leases.messages import Message, VoterMessage, encode

LEASE_PAYLOAD = 1  # kind of a payload or broadcast that holds an election message


class LeaseMessenger:
    """Sends election messages.

    Attributes:
        local_messages: Messages of this process to itself, with the name of their sender; taken by the owner.
        has_own_voter: This process has a voter's records open, and messages to its own name stay here.
    """

    def __init__(self, context: MemberContext) -> None:
        self.context = context
        self.local_messages: deque[tuple[str, Message]] = deque()
        self.has_own_voter = False

    def send_all(self, messages: Iterable[VoterMessage]) -> None:
        """Sends each message to its voter."""
        for voter, message in messages:
            self.send_to_voter(voter, message)

    def send_to_voter(self, name: str, message: Message) -> None:
        """To the process of that name that has a voter's records."""
        if name == self.context.name and self.has_own_voter:
            self.local_messages.append((self.context.name, message))
            return
        membership = self.context.membership
        found = [member for member in membership.live_members() if member.name == name]
        voting = [member for member in found if member.flags & VOTES]
        for member in voting or found[:1]:
            membership.send_payload(member, LEASE_PAYLOAD, encode(message))

    def send_to_process(self, process_id: str, message: Message) -> None:
        """To one process, this one included; dropped if it is not known."""
        if process_id == self.context.process_id:
            self.local_messages.append((self.context.name, message))
            return
        member = self.context.find_member(process_id)
        if member:
            self.context.membership.send_payload(member, LEASE_PAYLOAD, encode(message))

    def broadcast(self, message: Message) -> None:
        """To all members; it arrives within some periods and may come late."""
        self.context.membership.broadcast(LEASE_PAYLOAD, encode(message))
