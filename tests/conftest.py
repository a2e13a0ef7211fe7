"""Fixtures: a fake host with its balancer, and a proxy on loopback with scripted servers."""

import time
from dataclasses import replace

import pytest
from peers import CALLS, DEFAULT_SETTINGS, MANAGEMENT_ADDRESS, ProxyOnLoopback, StallFreeClock

from onyxhollow.interface import AttemptOutcome, Endpoint, EndpointListKind, EndpointState
from onyxhollow.policy import Balancer


class FakeHost:
    """A host that records the policy's calls. Its clock moves only in `advance`."""

    def __init__(self, settings, seed):
        self.now, self.timers, self.calls, self.session_count = 1000.0, [], [], 0
        self.balancer = Balancer(self, settings, seed)

    def __getattr__(self, name):
        if name.startswith("_"):
            raise AttributeError(name)
        return lambda *values: self.calls.append((name, *values))

    def set_timer(self, when):
        self.timers.append(when)

    def advance(self, seconds):
        """Move the clock, and tick the balancer at each timer on the way."""
        end = self.now + seconds
        while self.timers and min(self.timers) <= end:
            self.now = min(self.timers)
            self.timers.remove(self.now)
            self.balancer.tick()
        self.now = end

    def calls_to(self, name):
        """Return the arguments of all recorded calls of that name."""
        return [call[1:] for call in self.calls if call[0] == name]

    def list_endpoints(self, *names, kind=EndpointListKind.SNAPSHOT, **values):
        """Apply an endpoint list, and return the tracked endpoints."""
        state = values.pop("state", EndpointState.IN_SERVICE)
        self.balancer.on_endpoint_list(kind, [Endpoint(name, state, **values) for name in names])
        return [self.balancer.tracked.get(name) for name in names]

    def report_loads(self, **loads):
        """Report a successful health check with a load for each named endpoint."""
        for name, load in loads.items():
            self.balancer.on_health_check(name, AttemptOutcome.OK, 0.01, load)

    def admit(self, listener=CALLS, group=None, established=True, tenant=None, handshake_seconds=0.01):
        """Admit a session, and establish it unless `established` is false or it is queued."""
        self.session_count += 1
        token = 10000 + self.session_count
        session = self.balancer.admit(token, listener, tenant, group, listener.attempt_timeout, None)
        if established and session.attempt_in_flight:
            session.on_established(handshake_seconds)
        return session


@pytest.fixture
def make_host():
    return lambda seed=1, **changes: FakeHost(replace(DEFAULT_SETTINGS, **changes), seed)


@pytest.fixture
def host(make_host):
    return make_host()


@pytest.fixture
def end_attempt():
    return lambda session, outcome=AttemptOutcome.RESET: session.on_attempt_ended(outcome, False, 0.1)


@pytest.fixture
def stall_free_clock(monkeypatch):
    """Run the test on a clock that leaves out the stalls of its process."""
    monkeypatch.setattr(time, "monotonic", StallFreeClock())


@pytest.fixture
def loopback():
    """Return a function that starts a proxy on loopback; all of them are closed after the test."""
    proxies = []

    def make(*values, **changes):
        proxies.append(ProxyOnLoopback(*values, **changes))
        return proxies[-1]

    yield make
    for proxy in proxies:
        proxy.close()


@pytest.fixture
def start_proxy(loopback):
    """Return a function that starts a proxy on loopback with a management API."""
    return lambda servers="a", **changes: loopback(servers, management=MANAGEMENT_ADDRESS, **changes)
