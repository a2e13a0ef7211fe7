"""The listeners that are served under a shared address."""

from __future__ import annotations

from onyxhollow.addresses.file import Service
from onyxhollow.counters import ACCEPTED
from onyxhollow.fleet.context import MemberContext


def listeners_of(service: Service, member: MemberContext) -> list[str]:
    """Return an address's listeners; if the addresses file names none, all of this process since its start.

    Among these are listeners that a reload has removed: their sessions stay open.
    """
    return service.listeners or list(member.proxy.counters.final_answers[ACCEPTED])
