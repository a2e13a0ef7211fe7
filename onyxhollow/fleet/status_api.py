"""Management API under /control/fleet: state, history and operators' commands."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl

import orjson

from onyxhollow import __version__
from onyxhollow.fleet import clock
from onyxhollow.fleet.context import MemberContext
from onyxhollow.fleet.gossip_service import GossipService
from onyxhollow.fleet.identity import MAY_HOLD_ROLES, VOTES, member_name
from onyxhollow.fleet.lease_runner import LeaseRunner
from onyxhollow.fleet.leasing import Leasing
from onyxhollow.fleet.list_replication import ListReplication
from onyxhollow.leases.messages import VOTERS_ROLE, HandOverCommand, KnownTerm, ReplaceVoterCommand
from onyxhollow.management.api import PLAIN_TEXT, Answer
from onyxhollow.membership.member_table import Member
from onyxhollow.policy.tracked import TrackedEndpoint

JSON = "application/json"
MAX_SHOWN_LOAD_AGE_SECONDS = 60.0
MAX_SHOWN_AGE_SECONDS = 1e6  # reported for an event that has never occurred
MAX_QUOTED_CHARS = 80  # of an invalid value in an error message
MAX_SHOWN_CANDIDATES = 3  # per role


class StatusApi:
    """Handlers of one member. The JSON keys are part of the documented API.

    Attributes:
        context: State shared by the parts of the member.
        messenger: Sends operators' commands to the lease holder.
        leases: Candidates, leader tasks and known holders.
        voter_service: Voter of this member.
        dropped: Number of datagrams that failed authentication, by reason.
        list_replication: Replication of the endpoint list; None if the fleet has no role for it.
        load_gossip: Gossip of load reports; None if it is disabled.
    """

    def __init__(
        self,
        context: MemberContext,
        leasing: Leasing,
        dropped: Counter[str],
        list_replication: ListReplication | None,
        load_gossip: GossipService | None,
    ) -> None:
        self.context = context
        self.messenger = leasing.messenger
        self.leases = leasing.leases
        self.voter_service = leasing.voter_service
        self.dropped = dropped
        self.list_replication = list_replication
        self.load_gossip = load_gossip

    def routes(self) -> dict[str, dict[str, Callable[[str], Answer]]]:
        """Return the handlers by path and method."""
        return {
            "/control/fleet": {"GET": self.show_fleet},
            "/control/fleet/history": {"GET": self.show_history},
            "/control/fleet/hand-over": {"POST": self.hand_over},
            "/control/fleet/release": {"POST": self.hand_over},
            "/control/fleet/voters": {"POST": self.replace_voter},
        }

    def show_fleet(self, _: str) -> Answer:
        """Return the state of the fleet as this process sees it."""
        now = clock.now()
        context = self.context
        membership = context.membership
        last_stall_at = membership.last_stall_at
        answer = {
            "me": context.process_id,
            "zone": context.zone,
            "there": membership.live_count(),
            "health": membership.local_health.score,
            "stalled": round(membership.stalled_seconds, 3),
            "stalls": membership.counters["stalls"],
            "stalled_ago": None if last_stall_at is None else round(now - last_stall_at, 2),
            "version": __version__,
            "service": context.proxy.service.phase.value,
            "links": self._link_rows(now),
            "servers": self._endpoint_rows(),
            "members": [
                self._member_row(member, now)
                for member in sorted(membership.members.values(), key=lambda member: member.key)
            ],
            "duties": self._role_rows(now),
            "voters": {"version": context.voters.version, "names": context.voters.names},
            "voter": self._voter_state(),
            "list": self.list_replication.status() if self.list_replication else None,
            "sharing": self.load_gossip.status(now) if self.load_gossip else None,
            "counts": dict(context.counts + membership.counters),
            "dropped": dict(self.dropped),
        }
        return 200, orjson.dumps(answer, option=orjson.OPT_APPEND_NEWLINE), JSON

    def show_history(self, query: str) -> Answer:
        """Return the latest changes of holders, with `name=ROLE` only those of one role."""
        role = dict(parse_qsl(query)).get("name")
        rows = [
            {"duty": change.role, "term": change.term, "who": change.process_id, "t": change.known_at}
            for change in self.leases.history
            if role in (None, change.role)
        ]
        return 200, orjson.dumps(rows, option=orjson.OPT_APPEND_NEWLINE), JSON

    def hand_over(self, query: str) -> Answer:
        """Send a hand-over command to the holder of a role.

        Handles hand-over?name=ROLE&to=MEMBER and release?name=ROLE.
        """
        parameters = dict(parse_qsl(query))
        role = parameters.get("name", "")
        target = parameters.get("to", "")
        if role not in self.leases.runners and role not in self.leases.known_holders:
            return 404, f"name: expected a duty, got {role[:MAX_QUOTED_CHARS]!r}\n".encode(), PLAIN_TEXT
        if target and not self._is_live(target):
            return (
                404,
                f"to: expected a live member, got {target[:MAX_QUOTED_CHARS]!r}\n".encode(),
                PLAIN_TEXT,
            )
        holder = self.leases.holder(role)
        if not holder:
            return 409, f"{role}: expected a known holder, got none\n".encode(), PLAIN_TEXT
        return self._send_command(holder, HandOverCommand(role, target))

    def replace_voter(self, query: str) -> Answer:
        """Send the replacement of a voter to the holder of VOTERS_ROLE.

        Handles voters?remove=NAME&add=NAME.
        """
        parameters = dict(parse_qsl(query))
        remove = parameters.get("remove", "")
        add = parameters.get("add", "")
        names = self.context.voters.names
        if remove not in names:
            expected = ", ".join(names)
            return (
                404,
                f"remove: expected one of {expected}, got {remove[:MAX_QUOTED_CHARS]!r}\n".encode(),
                PLAIN_TEXT,
            )
        if add in names or not self._is_live(add):
            expected = "a live member that is not a voter"
            return 404, f"add: expected {expected}, got {add[:MAX_QUOTED_CHARS]!r}\n".encode(), PLAIN_TEXT
        holder = self.leases.holder(VOTERS_ROLE)
        if not holder:
            return 409, b"voters: expected a known holder, got none\n", PLAIN_TEXT
        return self._send_command(holder, ReplaceVoterCommand(remove, add))

    def _send_command(self, holder: str, command: HandOverCommand | ReplaceVoterCommand) -> Answer:
        self.messenger.send_to_process(holder, command)
        self.context.task.wake()
        return 200, f"sent to {holder}\n".encode(), PLAIN_TEXT

    def _is_live(self, name: str) -> bool:
        live = self.context.membership.live_members()
        return name == self.context.name or any(member.name == name for member in live)

    def _member_row(self, member: Member, now: float) -> dict[str, Any]:
        return {
            "name": member.name,
            "epoch": member.epoch,
            "life": member.state.name.lower(),
            "zone": member.zone,
            "address": f"{member.address[0]}:{member.address[1]}",
            "incarnation": member.incarnation,
            "for": round(now - member.state_since, 1),
            "votes": bool(member.flags & VOTES),
            "holds": bool(member.flags & MAY_HOLD_ROLES),
            "damped": self.context.membership.flap_damping.is_damped(member.name, now),
        }

    def _role_rows(self, now: float) -> list[dict[str, Any]]:
        rows = [self._role_row(role, runner, now) for role, runner in sorted(self.leases.runners.items())]
        for role, known_term in sorted(self.leases.known_holders.items()):
            if role not in self.leases.runners:
                rows.append({"duty": role, "term": known_term.term, "holder": known_term.holder})
        return rows

    def _role_row(self, role: str, runner: LeaseRunner, now: float) -> dict[str, Any]:
        candidate = runner.candidate
        known_term = self.leases.known_holders.get(role, KnownTerm(0, ""))
        remaining = round(max(0.0, candidate.expires_at - now), 3) if candidate.holds(now) else None
        order = self.leases.candidate_order(runner)[:MAX_SHOWN_CANDIDATES]
        return {
            "duty": role,
            "term": known_term.term,
            "holder": known_term.holder,
            "here": candidate.state.value,
            "left": remaining,
            "order": [member_name(process_id) for process_id in order],
        }

    def _voter_state(self) -> dict[str, Any] | None:
        voter = self.voter_service.voter
        if voter is None:
            return None
        return {
            "blank": voter.recovering,
            "disk": not self.voter_service.disk_failing,
            "duties": len(voter.slots),
            "changing": voter.pending is not None,
        }

    def _link_rows(self, now: float) -> list[dict[str, Any]]:
        """Return the message loss and round-trip time that this process measured to other members."""
        return [
            {
                "to": name,
                "epoch": epoch,
                "heard": round(min(MAX_SHOWN_AGE_SECONDS, now - link.received_at), 2),
                "asked": link.probes,
                "asked_ago": round(min(MAX_SHOWN_AGE_SECONDS, now - link.probed_at), 2),
                "lost": round(link.loss_rate, 3),
                "rtt_ms": round(1000 * link.round_trip_time, 2),
            }
            for (name, epoch), link in sorted(self.context.membership.links.items())
        ]

    def _endpoint_rows(self) -> list[dict[str, Any]]:
        """Return the state of the endpoints at this proxy: connections, load and age of the load."""
        balancer = self.context.proxy.decisions.balancer
        endpoints = sorted(balancer.tracked.values(), key=lambda endpoint: endpoint.name)
        return [self._endpoint_row(endpoint) for endpoint in endpoints]

    def _endpoint_row(self, endpoint: TrackedEndpoint) -> dict[str, Any]:
        now = self.context.loop.now
        age = now - endpoint.load_reported_at
        load_known = age < MAX_SHOWN_LOAD_AGE_SECONDS
        return {
            "name": endpoint.name,
            "zone": endpoint.zone,
            "state": endpoint.state.value,
            "own": len(endpoint.connections),
            "size": endpoint.size,
            "load": round(endpoint.load, 3) if load_known else None,
            "load_age": round(age, 1) if load_known else None,
            "distrust": round(endpoint.outlier_score(now), 2),
            "arrives": endpoint.arrival is not None,
        }
