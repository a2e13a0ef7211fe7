"""One tiny fake host and the balancer it carries; one proxy on loopback among scripted servers."""

from dataclasses import replace

import pytest
from peers import CALLS, DEFAULT_SETTINGS, ProxyOnLoopback

from onyxhollow.interface import AttemptOutcome, Endpoint, EndpointListKind, EndpointState
from onyxhollow.policy import Balancer


class FakeHost:
    """Records what it is asked; time passes only when a test says so."""

    def __init__(self, settings, seed):
        self.now, self.wake, self.did, self.taken = 1000.0, [], [], 0
        self.balancer = Balancer(self, settings, seed)

    def __getattr__(self, name):
        if name.startswith("_"):
            raise AttributeError(name)
        return lambda *values: self.did.append((name, *values))

    def set_timer(self, when):
        self.wake.append(when)

    def wait(self, span):
        end = self.now + span
        while self.wake and min(self.wake) <= end:
            self.now = min(self.wake)
            self.wake.remove(self.now)
            self.balancer.tick()
        self.now = end

    def asked(self, name):
        return [call[1:] for call in self.did if call[0] == name]

    def servers(self, *names, kind=EndpointListKind.SNAPSHOT, **values):
        state = values.pop("state", EndpointState.IN_SERVICE)
        self.balancer.on_endpoint_list(kind, [Endpoint(name, state, **values) for name in names])
        return [self.balancer.tracked.get(name) for name in names]

    def loads(self, **reported):
        for name, load in reported.items():
            self.balancer.on_health_check(name, AttemptOutcome.OK, 0.01, load)

    def take(self, listener=CALLS, group=None, stands=True, tenant=None, took=0.01):
        self.taken += 1
        token = 10000 + self.taken
        sess = self.balancer.admit(token, listener, tenant, group, listener.attempt_timeout, None)
        if stands and sess.attempt_in_flight:
            sess.on_established(took)
        return sess


@pytest.fixture
def start():
    return lambda seed=1, **changes: FakeHost(replace(DEFAULT_SETTINGS, **changes), seed)


@pytest.fixture
def host(start):
    return start()


@pytest.fixture
def lost():
    return lambda sess, end=AttemptOutcome.RESET: sess.on_attempt_ended(end, False, 0.1)


@pytest.fixture
def loopback():
    made = []

    def make(*values, **changes):
        made.append(ProxyOnLoopback(*values, **changes))
        return made[-1]

    yield make
    for proxy in made:
        proxy.close()
