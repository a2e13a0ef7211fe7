"""Listeners, fleets and helpers shared by the tests of the policy."""

from collections import Counter
from dataclasses import replace

from peers import CALLS

from onyxhollow.interface import (
    DeduplicationScope,
    Idempotency,
    Tenant,
)

NON_IDEMPOTENT = replace(CALLS, idempotency=Idempotency.NON_IDEMPOTENT)
KEYED = replace(
    CALLS,
    idempotency=Idempotency.KEYED,
    deduplication_scope=DeduplicationScope.CELL,
    deduplication_window=1.0,
)


def count_placements(host):
    """Return the number of attempts by endpoint."""
    return Counter(endpoint for _, endpoint, _ in host.calls_to("start_attempt"))


# So many instances that each one has few own connections.
FEW_CONNECTIONS_SETTINGS = {"health_checks": True, "health_check_price": 0.001, "instance_count": 100}


def start_without_reports(make_host, **changes):
    """Start one of four instances, with four endpoints of size 4 that report no load.

    By the tenants' quota of 320 connections, 20 connections of this instance fill an endpoint.
    """
    quotas = {"tenants": {"acme": Tenant("acme", 1.0, 320.0)}, "instance_count": 4}
    host = make_host(**(quotas | changes))
    return host, host.list_endpoints(*"abcd", weight=4.0)
