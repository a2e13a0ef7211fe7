"""This member's voter: its append log, its votes, its recovery."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from onyxhollow.append_log import AppendLog, AppendLogError
from onyxhollow.fleet import clock
from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.lease_messenger import LeaseMessenger
from onyxhollow.leases.messages import (
    RECORD_DECODER,
    ConfigurationCommitted,
    Message,
    VoterSet,
    encode,
)
from onyxhollow.leases.voter import Voter
from onyxhollow.leases.voter_slot import VoterSlot

LOG_NAME = "voter"  # of the append log in the fleet file's folder
OPEN_RETRY_INTERVAL = 0.5  # seconds until a log is tried again that another process has open
COMPACT_AT = 512  # records past which the log is rewritten
LOGGED_REASON = 200  # characters of an error that a log event shows


class VoterService:
    """Puts a voter on the member's messages and on its disk.

    Owns the append log; `close` closes it. Nothing is answered before its records are stored.

    Attributes:
        voter: None until the log could be opened.
        log: None until it could be opened.
        disk_failing: The latest write has failed.
    """

    def __init__(
        self,
        context: MemberContext,
        messenger: LeaseMessenger,
        adopt_voter_set: Callable[[VoterSet, float], None],
        now: float,
    ) -> None:
        """Makes a service whose log is opened by `check`.

        Args:
            context: The member.
            messenger: Carries responses.
            adopt_voter_set: Called with the voter set of the log when it is opened.
            now: The time.
        """
        self.context = context
        self.messenger = messenger
        self.adopt_voter_set = adopt_voter_set
        self.voter: Voter | None = None
        self.log: AppendLog | None = None
        self.disk_failing = False
        self._open_at = now
        self._open_error = ""

    def next_due(self) -> float | None:
        """When `tick` has something to do; None without a voter."""
        return self.voter.next_due() if self.voter else None

    def check(self, now: float) -> None:
        """Opens the log when it is time to, if the fleet file names a folder."""
        if self.context.fleet.folder and self.voter is None and now >= self._open_at:
            self.open_log(now)

    def open_log(self, now: float) -> None:
        """Opens the log as soon as no other process has it.

        At a replacement the process before this one may still vote.
        """
        self._open_at = now + OPEN_RETRY_INTERVAL
        try:
            log = AppendLog(self.context.fleet.folder, LOG_NAME)
        except AppendLogError as error:
            if str(error) != self._open_error:
                self._open_error = str(error)
                self.context.log_event("voter log unavailable", why=self._open_error[:LOGGED_REASON])
            return
        duration = self.context.fleet.file.leases.duration
        voter = Voter(self.context.name, self.context.voters, duration, now)
        try:
            voter.restore([RECORD_DECODER.decode(body) for body in log.bodies], now)
        except msgspec.DecodeError as error:
            reason = f"{log.path}: not a voter's records: {error}"
            self.context.log_event("voter log unavailable", why=reason[:LOGGED_REASON])
            log.close()
            return
        self.log = log
        self.voter = voter
        self.messenger.has_own_voter = True
        self.adopt_voter_set(voter.voter_set, now)
        self.context.log_event(
            "voter",
            blank=voter.recovering,
            records=len(log.bodies),
            cut=log.torn_tail,
            council=voter.voter_set.version,
        )

    def tick(self, now: float) -> None:
        """Does what is due of the recovery of a voter without memory."""
        if self.voter is None or now < self.voter.next_due():
            return
        queries, records = self.voter.tick(now)
        if records:
            if self._store(records):
                self.context.log_event("voter recovered", duties=len(self.voter.slots))
            else:
                self.voter.recovering = True
        for name, query in queries:
            self.messenger.send_to_voter(name, query)

    def on_message(self, process_id: str, name: str, message: Message) -> None:
        """A message from the process of that id and member name; ignored without a voter."""
        if self.voter is None:
            return
        responses, records = self.voter.on_message(clock.now(), name, message)
        if not self._store(records):
            self.voter.undo()
            return
        for response in responses:
            self.messenger.send_to_process(process_id, response)

    def on_voter_set(self, voter_set: VoterSet, now: float) -> None:
        """A newer voter set is in force."""
        if self.voter and self.voter.voter_set.version < voter_set.version:
            committed = ConfigurationCommitted(voter_set)
            _, records = self.voter.on_message(now, self.context.name, committed)
            self._store(records)

    def slot(self, role: str) -> VoterSlot | None:
        """What the voter knows of a role; None if nothing, or without a voter."""
        return self.voter.slots.get(role) if self.voter else None

    def close(self) -> None:
        """Closes the log."""
        if self.log:
            self.log.close()

    def _store(self, records: list[Message]) -> bool:
        """Whether the records are on the disk."""
        if not records or self.log is None or self.voter is None:
            return True
        try:
            if len(self.log.bodies) + len(records) > COMPACT_AT:
                self.log.rewrite([encode(record) for record in self.voter.records()])
            else:
                self.log.append(*(encode(record) for record in records))
        except OSError as error:
            self.context.counts["voter: disk failures"] += 1
            if not self.disk_failing:
                self.context.log_event("voter disk", why=f"{error.strerror}"[:LOGGED_REASON])
            self.disk_failing = True
            return False
        if self.disk_failing:
            self.context.log_event("voter disk", why="")
        self.disk_failing = False
        return True
