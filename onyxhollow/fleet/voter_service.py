"""Voter of this member: its append log, votes and recovery."""

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
    VoterSetChanged,
    encode,
)
from onyxhollow.leases.voter import Voter
from onyxhollow.leases.voter_slot import VoterSlot

LOG_NAME = "voter"  # file name of the append log in the folder given by the fleet file
OPEN_RETRY_INTERVAL_SECONDS = 0.5
STORE_RETRY_INTERVAL_SECONDS = 0.5  # between attempts to store a voter set
REPEATED_LOG_INTERVAL_SECONDS = 60.0  # between two log lines about the same cause
MAX_LOG_RECORDS = 512  # the log is compacted instead of growing beyond this
DISK_FAILURES = "voter: disk failures"  # counter shown in /control/fleet
MAX_LOGGED_REASON_CHARACTERS = 200


class VoterService:
    """Connects a voter to the member's messages and to its append log.

    The service owns the log; `close` closes it. Responses are sent only after their records have been stored.

    Attributes:
        voter: The voter; None until the log has been opened.
        log: The append log; None until it has been opened.
        disk_failing: Whether the latest write failed.
    """

    def __init__(
        self,
        context: MemberContext,
        messenger: LeaseMessenger,
        adopt_voter_set: Callable[[VoterSet, float], None],
        now: float,
    ) -> None:
        """Create a service; `check` opens its log.

        Args:
            context: State shared by the parts of the member.
            messenger: Sends responses and state queries.
            adopt_voter_set: Called with the restored voter set when the log has been opened.
            now: Current time.
        """
        self.context = context
        self.messenger = messenger
        self.adopt_voter_set = adopt_voter_set
        self.voter: Voter | None = None
        self.log: AppendLog | None = None
        self.disk_failing = False
        self._open_at = now
        self._open_error = ""
        self._log_error_again_at = now
        self._unstored_voter_set: VoterSetChanged | None = None  # in force, but its write has failed
        self._store_at = now  # next attempt to store it

    def next_due(self) -> float | None:
        """Return the time at which `tick` must be called next; None without a voter."""
        return self.voter.next_due() if self.voter else None

    def check(self, now: float) -> None:
        """Open the log if the fleet file names a folder, or retry the write of a voter set, if due."""
        if self.context.fleet.folder and self.voter is None and now >= self._open_at:
            self.open_log(now)
        if self._unstored_voter_set and now >= self._store_at:
            self._store_at = now + STORE_RETRY_INTERVAL_SECONDS
            self._store([self._unstored_voter_set])

    def open_log(self, now: float) -> None:
        """Open the log unless another process has it open.

        During a replacement the predecessor may still be voting.
        """
        self._open_at = now + OPEN_RETRY_INTERVAL_SECONDS
        try:
            log = AppendLog(self.context.fleet.folder, LOG_NAME)
        except AppendLogError as error:
            self._log_open_error(str(error), now)
            return
        duration = self.context.fleet.file.leases.duration
        voter = Voter(self.context.name, self.context.voters, duration, now)
        try:
            voter.restore([RECORD_DECODER.decode(body) for body in log.bodies], now)
        except msgspec.DecodeError as error:
            log.close()
            self._log_open_error(f"{log.path}: expected records of a voter, got malformed ones: {error}", now)
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

    def _log_open_error(self, reason: str, now: float) -> None:
        """Log why the log cannot be opened: once per cause, and again at long intervals."""
        if reason == self._open_error and now < self._log_error_again_at:
            return
        self._open_error = reason
        self._log_error_again_at = now + REPEATED_LOG_INTERVAL_SECONDS
        self.context.log_event("voter log unavailable", why=reason[:MAX_LOGGED_REASON_CHARACTERS])

    def tick(self, now: float) -> None:
        """Continue the recovery of a voter without records."""
        if self.voter is None or now < self.voter.next_due():
            return
        queries, records = self.voter.tick(now)
        if records:
            if self._store(records):
                self.context.log_event("voter recovered", duties=len(self.voter.slots))
            else:
                self.voter.recovering = True
        self.messenger.send_all(queries)

    def on_message(self, process_id: str, name: str, message: Message) -> None:
        """Process a message from a process and its member `name`; ignored without a voter."""
        if self.voter is None:
            return
        responses, records = self.voter.on_message(clock.now(), name, message)
        if not self._store(records):
            self.voter.undo()
            return
        for response in responses:
            self.messenger.send_to_process(process_id, response)

    def on_voter_set(self, voter_set: VoterSet, now: float) -> None:
        """Store a newer voter set at the voter."""
        if self.voter and self.voter.voter_set.version < voter_set.version:
            committed = ConfigurationCommitted(voter_set)
            _, records = self.voter.on_message(now, self.context.name, committed)
            self._store(records)

    def slot(self, role: str) -> VoterSlot | None:
        """Return the voter's slot of a role; None if there is no slot or no voter."""
        return self.voter.slots.get(role) if self.voter else None

    def close(self) -> None:
        """Close the log if it is open."""
        if self.log:
            self.log.close()

    def _store(self, records: list[Message]) -> bool:
        """Append records to the log; return False if the write failed.

        A voter set stays in force although its write has failed. It is written before the next records, or
        by `check`.
        """
        if not records or self.log is None or self.voter is None:
            return True
        if self._unstored_voter_set and self._unstored_voter_set not in records:
            records = [self._unstored_voter_set, *records]
        try:
            if len(self.log.bodies) + len(records) > MAX_LOG_RECORDS:
                self.log.rewrite([encode(record) for record in self.voter.records()])
            else:
                self.log.append(*(encode(record) for record in records))
        except OSError as error:
            self.context.counts[DISK_FAILURES] += 1
            if not self.disk_failing:
                self.context.log_event("voter disk", why=f"{error.strerror}"[:MAX_LOGGED_REASON_CHARACTERS])
            self.disk_failing = True
            for record in records:
                if isinstance(record, VoterSetChanged):
                    self._unstored_voter_set = record
            return False
        self._unstored_voter_set = None
        if self.disk_failing:
            self.context.log_event("voter disk", why="")
        self.disk_failing = False
        return True
