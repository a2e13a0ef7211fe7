"""Messages about shared addresses between members, and the known holders of the roles."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from onyxhollow.addresses.messages import Message, encode
from onyxhollow.fleet.context import MemberContext

ADDRESS_PAYLOAD = 4  # kind of the payloads that carry messages about shared addresses
CONTROLLER_ROLE = "addresses"
ANNOUNCER_PREFIX = "announcer/"


def announcer_role(site: str) -> str:
    """Return the role whose lease a site's announcer holds."""
    return f"{ANNOUNCER_PREFIX}{site}"


@dataclass(frozen=True, slots=True)
class Leader:
    """The latest known holder of a role."""

    term: int
    process_id: str


NO_LEADER = Leader(0, "")


class AddressMessenger:
    """Sends messages to a process, a member, a zone or all members.

    Attributes:
        local_messages: messages of this process to itself; `SharedAddresses.tick` dispatches them.
        controller: the latest known holder of the controller's role.
        announcers: the latest known announcers, by site.
    """

    def __init__(self, member: MemberContext) -> None:
        self.member = member
        self.local_messages: deque[Message] = deque()
        self.controller = NO_LEADER
        self.announcers: dict[str, Leader] = {}

    # Role holders

    def record_controller(self, term: int, process_id: str) -> None:
        """Record the controller's process unless a newer term is known."""
        if term >= self.controller.term:
            self.controller = Leader(term, process_id)

    def record_announcer(self, site: str, term: int, process_id: str) -> None:
        """Record the process of a site's announcer unless a newer term is known."""
        if term >= self.announcers.get(site, NO_LEADER).term:
            self.announcers[site] = Leader(term, process_id)

    def record_holder(self, role: str, term: int, process_id: str) -> None:
        """Record the holder of a role's lease; roles of other services are ignored."""
        if role == CONTROLLER_ROLE:
            self.record_controller(term, process_id)
        elif role.startswith(ANNOUNCER_PREFIX):
            self.record_announcer(role.removeprefix(ANNOUNCER_PREFIX), term, process_id)

    # Sending

    def send_to_process(self, process_id: str, message: Message) -> None:
        """Send to one process; the message is dropped if the process is unknown."""
        if process_id == self.member.process_id:
            self.local_messages.append(message)
            return
        member = self.member.find_member(process_id)
        if member:
            self.member.membership.send_payload(member, ADDRESS_PAYLOAD, encode(message))

    def send_to_controller(self, message: Message) -> None:
        """Send to the controller; the message is dropped if none is known."""
        if self.controller.process_id:
            self.send_to_process(self.controller.process_id, message)

    def send_to_announcer(self, site: str, message: Message) -> None:
        """Send to a site's announcer; the message is dropped if none is known."""
        self.send_to_process(self.announcers.get(site, NO_LEADER).process_id, message)

    def send_to_name(self, name: str, message: Message) -> None:
        """Send to all live processes of a member; only to this process if it has the same name."""
        if name == self.member.name:
            self.local_messages.append(message)
            return
        for member in list(self.member.membership.live_members()):
            if member.name == name:
                self.member.membership.send_payload(member, ADDRESS_PAYLOAD, encode(message))

    def send_to_zone(self, zone: str, message: Message) -> None:
        """Send to all live processes of a zone, including this one."""
        if zone == self.member.zone:
            self.local_messages.append(message)
        for member in list(self.member.membership.live_members()):
            if member.zone == zone:
                self.member.membership.send_payload(member, ADDRESS_PAYLOAD, encode(message))

    def broadcast(self, message: Message) -> None:
        """Send to all members by gossip."""
        self.member.membership.broadcast(ADDRESS_PAYLOAD, encode(message))
