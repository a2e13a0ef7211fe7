"""One tiny fake host and the balancer it carries."""

from dataclasses import replace

import pytest

from onyxhollow.interface import DialEnd, Entry, Listener, ListKind, Readiness, Settings
from onyxhollow.policy import Balancer

CALLS = Listener("calls", handshake_target=0.3, dial_timeout=2.0, message_target=0.1)
PLAIN = Settings(listeners={"calls": CALLS}, customers={}, watched=False, most_dials=4, cold_share=0.25,
                 cold_time=10.0, fall_multiple=2.0, fall_time=2.0)  # fmt: skip


class FakeHost:
    """Notes what it is asked; time passes only when a story says so."""

    def __init__(self, settings, seed):
        self.now, self.wake, self.did, self.taken = 1000.0, [], [], 0
        self.balancer = Balancer(self, settings, seed)

    def __getattr__(self, name):
        if name.startswith("_"):
            raise AttributeError(name)
        return lambda *values: self.did.append((name, *values))

    def wake_at(self, when):
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

    def servers(self, *names, kind=ListKind.FULL, **values):
        ready = values.pop("readiness", Readiness.IN_SERVICE)
        self.balancer.server_list(kind, [Entry(name, ready, **values) for name in names])
        return [self.balancer.servers.get(name) for name in names]

    def loads(self, **reported):
        for name, load in reported.items():
            self.balancer.probed(name, DialEnd.OK, 0.01, load)

    def take(self, listener=CALLS, group=None, stands=True, customer=None, took=0.01):
        self.taken += 1
        token = 10000 + self.taken
        sess = self.balancer.take(token, listener, customer, group, listener.dial_timeout, None)
        if stands and sess.dialling:
            sess.accepted(took)
        return sess


@pytest.fixture
def start():
    return lambda seed=1, **changes: FakeHost(replace(PLAIN, **changes), seed)


@pytest.fixture
def host(start):
    return start()


@pytest.fixture
def lost():
    return lambda sess, end=DialEnd.RESET: sess.dial_ended(end, False, 0.1)
