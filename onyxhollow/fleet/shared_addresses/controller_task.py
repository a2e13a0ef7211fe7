"""The leader task of the controller: decides the routes of all sites while this process holds the lease."""

from __future__ import annotations

import time
from collections.abc import Callable

from onyxhollow.addresses.controller import Controller, ToMembers, ToSite, ToVoter
from onyxhollow.addresses.file import AddressesFile
from onyxhollow.addresses.messages import (
    ControllerAnnouncement,
    DecisionRecord,
    Message,
    OverrideResponse,
    StoreAcknowledgement,
)
from onyxhollow.addresses.routes import Preference
from onyxhollow.fleet import clock
from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.shared_addresses.messenger import AddressMessenger

ANNOUNCEMENT_INTERVAL_SECONDS = 5.0  # between broadcasts of the controller's identity


def holds_no_lease() -> bool:
    """Return False: the lease check of a task that has not been started."""
    return False


class ControllerTask:
    """Runs the controller and sends its messages.

    Attributes:
        core: the controller of the current term; None while the lease is not held.
        last_progress_at: when a voter last answered, on the loop's clock.
        superseded: always False; voters do not fence the controller.
    """

    def __init__(self, member: MemberContext, config: AddressesFile, messenger: AddressMessenger) -> None:
        self.member = member
        self.config = config
        self.messenger = messenger
        self.core: Controller | None = None
        self.holds_lease: Callable[[], bool] = holds_no_lease
        self.last_progress_at = member.loop.now
        self.superseded = False
        self.next_announcement_at = 0.0

    def start(self, term: int, holds_lease: Callable[[], bool]) -> None:
        """Start a term; `holds_lease` is checked before each message."""
        now = clock.now()
        self.last_progress_at = self.member.loop.now
        self.holds_lease = holds_lease
        self.next_announcement_at = now
        self.core = Controller(self.config, self.member.voters.names, term, now)

    def stop(self) -> None:
        """End the term."""
        self.core = None
        self.holds_lease = holds_no_lease

    def tick(self, now: float) -> None:
        """Decide and send messages if this is due and the lease is held."""
        core = self.core
        if core is None or now < core.next_due or not self.holds_lease():
            return
        core.voters = self.member.voters.names
        core.tick(now, time.time())
        if now >= self.next_announcement_at:
            self.next_announcement_at = now + ANNOUNCEMENT_INTERVAL_SECONDS
            announcement = ControllerAnnouncement(core.term, self.member.process_id)
            self.messenger.record_controller(announcement.term, announcement.process_id)
            self.messenger.broadcast(announcement)
        self.send(core)

    def on_message(self, message: Message, sender: str, now: float) -> None:
        """Process a message from the member named `sender`."""
        core = self.core
        if core is None:
            return
        if isinstance(message, OverrideResponse | StoreAcknowledgement):
            self.last_progress_at = self.member.loop.now
        core.on_message(message, sender, now, time.time())
        if core.outbox or core.committed:
            self.send(core)

    def send(self, core: Controller) -> None:
        """Log committed decisions and send pending messages, checking the lease before each message."""
        outbox = core.outbox
        core.outbox = []
        committed = core.committed
        core.committed = []
        for record in committed:
            self.log_decision(record)
        for outgoing in outbox:
            if not self.holds_lease():
                return
            if isinstance(outgoing, ToVoter):
                self.messenger.send_to_name(outgoing.voter, outgoing.message)
            elif isinstance(outgoing, ToMembers):
                self.messenger.send_to_zone(outgoing.site, outgoing.message)
            else:
                self.send_to_site(core, outgoing)

    def send_to_site(self, core: Controller, outgoing: ToSite) -> None:
        """Send to the site's announcer if it has answered recently, otherwise to all members of the site.

        Without a recent answer, the announcer known here may be outdated.
        """
        if core.has_answered_recently(outgoing.site, clock.now()):
            self.messenger.send_to_announcer(outgoing.site, outgoing.message)
        else:
            self.messenger.send_to_zone(outgoing.site, outgoing.message)

    def log_decision(self, record: DecisionRecord) -> None:
        """Log a decision that a majority of the voters has stored."""
        self.member.log_event(
            "address",
            address=record.address,
            site=record.site,
            term=record.term,
            standing=Preference(record.preference).label,
            cause=record.cause,
            why=record.reason,
            evidence=record.evidence,
        )
