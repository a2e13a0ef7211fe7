"""The leader task of the controller: runs the core while this process holds the lease."""

from __future__ import annotations

import time
from collections.abc import Callable

from onyxhollow.addresses.controller import Controller, ToSite, ToVoter
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

ANNOUNCE_INTERVAL = 5.0  # seconds between the controller's broadcasts


def never() -> bool:
    """The lease check of a task that is not started."""
    return False


class ControllerTask:
    """Decides for all sites.

    Attributes:
        core: the controller of the present term; None while the lease is not held.
        last_progress_at: when a voter last answered, on the loop's clock.
        superseded: always False; voters do not fence the controller.
    """

    def __init__(self, member: MemberContext, config: AddressesFile, messenger: AddressMessenger) -> None:
        self.member = member
        self.config = config
        self.messenger = messenger
        self.core: Controller | None = None
        self.holds_lease: Callable[[], bool] = never
        self.last_progress_at = member.loop.now
        self.superseded = False
        self.announce_at = 0.0

    def start(self, term: int, lease_held: Callable[[], bool]) -> None:
        """Begins a term; `lease_held` is called before each message."""
        now = clock.now()
        self.last_progress_at = self.member.loop.now
        self.holds_lease = lease_held
        self.announce_at = now
        self.core = Controller(self.config, self.member.voters.names, term, now)

    def stop(self) -> None:
        """Ends the term."""
        self.core = None
        self.holds_lease = never

    def tick(self, now: float) -> None:
        """Decides and sends, if it is due."""
        core = self.core
        if core is None or now < core.next_due or not self.holds_lease():
            return
        core.voters = self.member.voters.names
        core.tick(now, time.time())
        if now >= self.announce_at:
            self.announce_at = now + ANNOUNCE_INTERVAL
            announcement = ControllerAnnouncement(core.term, self.member.process_id)
            self.messenger.record_controller(announcement.term, announcement.process_id)
            self.messenger.broadcast(announcement)
        self.send(core)

    def on_message(self, message: Message, sender: str, now: float) -> None:
        """Takes in a message of the member named `sender`."""
        core = self.core
        if core is None:
            return
        if isinstance(message, OverrideResponse | StoreAcknowledgement):
            self.last_progress_at = self.member.loop.now
        core.on_message(message, sender, now, time.time())
        if core.outbox or core.committed:
            self.send(core)

    def send(self, core: Controller) -> None:
        """Logs and sends what the core has left; the lease is checked before each message."""
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
            else:
                self.send_to_site(core, outgoing)

    def send_to_site(self, core: Controller, outgoing: ToSite) -> None:
        """To the site's announcer if it answers, else to all members there.

        Who announces may not be known here.
        """
        if core.has_answered_recently(outgoing.site, clock.now()):
            self.messenger.send_to_announcer(outgoing.site, outgoing.message)
        else:
            self.messenger.send_to_zone(outgoing.site, outgoing.message)

    def log_decision(self, record: DecisionRecord) -> None:
        """One line for a decision that a majority of the voters has stored."""
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
