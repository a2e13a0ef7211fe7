"""Sends messages about shared addresses to other members, and knows who leads."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from onyxhollow.addresses.messages import Message, encode
from onyxhollow.fleet.context import MemberContext

ADDRESS_PAYLOAD = 4  # kind of these payloads between members
CONTROLLER_ROLE = "addresses"
ANNOUNCER_PREFIX = "announcer/"


def announcer_role(site: str) -> str:
    """The role whose lease a site's announcer holds."""
    return f"{ANNOUNCER_PREFIX}{site}"


@dataclass(frozen=True, slots=True)
class Leader:
    """Who holds a role, as last heard."""

    term: int
    process_id: str


NOBODY = Leader(0, "")


class AddressMessenger:
    """Messages to a process, to all processes of a name, to a zone.

    Attributes:
        local: messages of this process to itself, to be taken in by its owner.
        controller: the newest controller that this process has heard of.
        announcers: the same for the announcers, by site.
    """

    def __init__(self, member: MemberContext) -> None:
        self.member = member
        self.local: deque[Message] = deque()
        self.controller = NOBODY
        self.announcers: dict[str, Leader] = {}

    # who leads

    def record_controller(self, term: int, process_id: str) -> None:
        """A process has acted as controller under a term; an older term changes nothing."""
        if term >= self.controller.term:
            self.controller = Leader(term, process_id)

    def record_announcer(self, site: str, term: int, process_id: str) -> None:
        """A process has acted as a site's announcer under a term; an older term changes nothing."""
        if term >= self.announcers.get(site, NOBODY).term:
            self.announcers[site] = Leader(term, process_id)

    def record_holder(self, role: str, term: int, process_id: str) -> None:
        """Membership names the holder of a role's lease."""
        if role == CONTROLLER_ROLE:
            self.record_controller(term, process_id)
        elif role.startswith(ANNOUNCER_PREFIX):
            self.record_announcer(role.removeprefix(ANNOUNCER_PREFIX), term, process_id)

    # sending

    def send_to_process(self, process_id: str, message: Message) -> None:
        """To one process; dropped if it is not known."""
        if process_id == self.member.process_id:
            self.local.append(message)
            return
        member = self.member.find_member(process_id)
        if member:
            self.member.membership.send_payload(member, ADDRESS_PAYLOAD, encode(message))

    def send_to_controller(self, message: Message) -> None:
        """To the controller; dropped if none is known."""
        if self.controller.process_id:
            self.send_to_process(self.controller.process_id, message)

    def send_to_announcer(self, site: str, message: Message) -> None:
        """To a site's announcer; dropped if none is known."""
        self.send_to_process(self.announcers.get(site, NOBODY).process_id, message)

    def send_to_name(self, name: str, message: Message) -> None:
        """To all live processes of a member's name."""
        if name == self.member.name:
            self.local.append(message)
            return
        for member in list(self.member.membership.live_members()):
            if member.name == name:
                self.member.membership.send_payload(member, ADDRESS_PAYLOAD, encode(message))

    def send_to_zone(self, zone: str, message: Message) -> None:
        """To all live processes of a zone, this one included."""
        if zone == self.member.zone:
            self.local.append(message)
        for member in list(self.member.membership.live_members()):
            if member.zone == zone:
                self.member.membership.send_payload(member, ADDRESS_PAYLOAD, encode(message))

    def broadcast(self, message: Message) -> None:
        """To all members, by gossip."""
        self.member.membership.broadcast(ADDRESS_PAYLOAD, encode(message))
