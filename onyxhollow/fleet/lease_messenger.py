"""Transport of election messages between members and within this process."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.identity import VOTES
from onyxhollow.leases.messages import Message, VoterMessage, encode

LEASE_PAYLOAD = 1  # kind of payloads and broadcasts that carry an election message


class LeaseMessenger:
    """Sends election messages.

    Attributes:
        local_messages: Messages of this process to itself with the sender's name; the owner removes them.
        has_own_voter: Whether this process has its voter's log open. Messages to the voter of its own name
            are then delivered locally.
    """

    def __init__(self, context: MemberContext) -> None:
        self.context = context
        self.local_messages: deque[tuple[str, Message]] = deque()
        self.has_own_voter = False

    def send_all(self, messages: Iterable[VoterMessage]) -> None:
        """Send each message to its voter."""
        for voter, message in messages:
            self.send_to_voter(voter, message)

    def send_to_voter(self, name: str, message: Message) -> None:
        """Send a message to the voter of the member `name`.

        During a replacement a member has two processes; those that advertise an open voter log are preferred.
        """
        if name == self.context.name and self.has_own_voter:
            self.local_messages.append((self.context.name, message))
            return
        membership = self.context.membership
        processes = [member for member in membership.live_members() if member.name == name]
        voting = [member for member in processes if member.flags & VOTES]
        for member in voting or processes[:1]:
            membership.send_payload(member, LEASE_PAYLOAD, encode(message))

    def send_to_process(self, process_id: str, message: Message) -> None:
        """Send a message to one process, possibly this one; discard it if the process is unknown."""
        if process_id == self.context.process_id:
            self.local_messages.append((self.context.name, message))
            return
        member = self.context.find_member(process_id)
        if member:
            self.context.membership.send_payload(member, LEASE_PAYLOAD, encode(message))

    def broadcast(self, message: Message) -> None:
        """Broadcast a message to all members by gossip, which takes several protocol periods."""
        self.context.membership.broadcast(LEASE_PAYLOAD, encode(message))
