"""What the tests of the decisions share: listeners, fleets and counts of placements."""

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
    """Attempts by endpoint."""
    return Counter(server for _, server, _ in host.calls_to("start_attempt"))


FEW_CONNECTIONS_SETTINGS = {"health_checks": True, "health_check_price": 0.001, "instance_count": 100}


def start_without_reports(make_host, **changes):
    """Four balancers, four servers of size 4; customers may hold 320 connections: own 20 fill a server."""
    quotas = {"tenants": {"acme": Tenant("acme", 1.0, 320.0)}, "instance_count": 4}
    host = make_host(**(quotas | changes))
    return host, host.list_endpoints(*"abcd", weight=4.0)
