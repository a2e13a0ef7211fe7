"""State of one process, rebuilt from the events in its log. Pure."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec

from onyxhollow.topology.model import (
    AddressStatus,
    EndpointListStatus,
    EndpointStatus,
    LeaseStatus,
    MemberState,
    MemberStatus,
    MemberView,
    ServicePhase,
)

REMOVED = "gone"  # state of an endpoint that was removed from the list
Fields = Mapping[str, Any]


class LoadReport(NamedTuple):
    """Load of an endpoint and the time of the report."""

    load: float | None
    time: float  # Unix seconds


NO_REPORT = LoadReport(None, 0.0)


@dataclass
class LoggedProcess:
    """State of one process after the lines applied so far. Times are Unix seconds."""

    name: str
    path: str
    last_line_at: float
    incarnation: int = 0
    zone: str = ""
    version: str = ""
    service_phase: str = ServicePhase.IN_SERVICE.value
    has_started: bool = False
    has_stopped: bool = False
    voters: list[str] = field(default_factory=list)
    members: dict[str, MemberStatus] = field(default_factory=dict)
    leases: dict[str, LeaseStatus] = field(default_factory=dict)
    endpoint_states: dict[str, str] = field(default_factory=dict)
    load_reports: dict[str, LoadReport] = field(default_factory=dict)
    addresses: dict[tuple[str, str], AddressStatus] = field(default_factory=dict)
    list_version: int = -1
    polling_suspended: bool = False
    stalled_seconds: float = 0.0
    stalled_at: float = -math.inf

    @property
    def member_id(self) -> str:
        """Name and incarnation; only the name before the event `fleet`."""
        return f"{self.name}~{self.incarnation}" if self.incarnation else self.name

    def apply(self, time: float, event: str, fields: Fields) -> None:
        """Update the state from one log line; ignore events without a handler.

        Raises:
            ValueError, TypeError, KeyError: a field is missing or has a wrong type.
        """
        self.last_line_at = time
        handler = HANDLERS.get(event)
        if handler is not None:
            handler(self, time, fields)

    def view(self, now: float) -> MemberView:
        """Return the view that the process would report at `now`."""
        own_status = MemberStatus(self.name, self.incarnation, MemberState.ALIVE.value, self.zone)
        stalled_ago = now - self.stalled_at
        return MemberView(
            self.member_id,
            self.zone,
            self.version,
            self.service_phase,
            stalled_seconds=self.stalled_seconds,
            stalled_ago=stalled_ago if math.isfinite(stalled_ago) else None,
            members=[
                msgspec.structs.replace(row, is_voter=row.name in self.voters)
                for row in [own_status, *self.members.values()]
            ],
            endpoints=self._endpoints(now),
            leases=list(self.leases.values()),
            endpoint_list=EndpointListStatus(self.list_version, self.polling_suspended),
            addresses=list(self.addresses.values()),
        )

    def _endpoints(self, now: float) -> list[EndpointStatus]:
        rows = []
        for name, state in self.endpoint_states.items():
            if state == REMOVED:
                continue
            report = self.load_reports.get(name, NO_REPORT)
            age = None if report.load is None else round(now - report.time, 1)
            rows.append(EndpointStatus(name, state=state, load=report.load, load_age=age))
        return rows

    def _join_fleet(self, _time: float, fields: Fields) -> None:
        incarnation = int(fields["epoch"])
        self.voters = [str(name) for name in fields.get("voters", [])]
        self.incarnation = incarnation
        self.zone = str(fields.get("zone", ""))
        self.version = str(fields.get("version", ""))

    def _update_member(self, _time: float, fields: Fields) -> None:
        name = str(fields["member"])
        current = self.members.get(name)
        if current is None or int(fields["epoch"]) >= current.incarnation:
            self.members[name] = MemberStatus(name, int(fields["epoch"]), str(fields["life"]))

    def _update_lease(self, _time: float, fields: Fields) -> None:
        role = str(fields["duty"])
        term = int(fields.get("term", 0))
        if fields["change"] == "held":
            self.leases[role] = LeaseStatus(role, term, self.member_id, "holding")
            return
        renewed = fields["change"] == "kept"
        holder = self.leases.get(role, LeaseStatus(role)).holder if renewed else ""
        self.leases[role] = LeaseStatus(role, term, holder, "holding" if holder else "idle")

    def _update_endpoint_list(self, _time: float, fields: Fields) -> None:
        if fields.get("whole"):
            self.endpoint_states.clear()
        for row in fields.get("rows", []):
            name, _, state = str(row).partition(" ")
            self.endpoint_states[name] = state.partition(",")[0] or "in service"
        self.list_version = int(fields.get("version", -1))

    def _record_load(self, time: float, fields: Fields) -> None:
        if fields.get("load") is not None:
            self.load_reports[str(fields["server"])] = LoadReport(float(fields["load"]), time)

    def _suspend_polling(self, _time: float, _fields: Fields) -> None:
        self.polling_suspended = True

    def _resume_polling(self, _time: float, _fields: Fields) -> None:
        self.polling_suspended = False

    def _update_address(self, _time: float, fields: Fields) -> None:
        key = str(fields["address"]), str(fields["site"])
        self.addresses[key] = AddressStatus(*key, str(fields["standing"]), str(fields.get("cause", "")))

    def _record_stall(self, time: float, fields: Fields) -> None:
        self.stalled_seconds += float(fields["seconds"])
        self.stalled_at = time

    def _leave_service(self, _time: float, _fields: Fields) -> None:
        self.service_phase = ServicePhase.DRAINING.value

    def _enter_service(self, _time: float, _fields: Fields) -> None:
        self.service_phase = ServicePhase.IN_SERVICE.value

    def _begin_stop(self, _time: float, _fields: Fields) -> None:
        self.service_phase = ServicePhase.STOPPING.value

    def _end_stop(self, _time: float, _fields: Fields) -> None:
        self.has_stopped = True


HANDLERS: dict[str, Callable[[LoggedProcess, float, Fields], None]] = {
    "fleet": LoggedProcess._join_fleet,
    "member": LoggedProcess._update_member,
    "duty": LoggedProcess._update_lease,
    "list": LoggedProcess._update_endpoint_list,
    "probe": LoggedProcess._record_load,
    "list polling suspended": LoggedProcess._suspend_polling,
    "list polling resumed": LoggedProcess._resume_polling,
    "address": LoggedProcess._update_address,
    "stalled": LoggedProcess._record_stall,
    "out of service": LoggedProcess._leave_service,
    "in service": LoggedProcess._enter_service,
    "stop": LoggedProcess._begin_stop,
    "stopped": LoggedProcess._end_stop,
}
