"""The adapter itself, by short conversations on its wire."""

import io
import json
import subprocess
import sys

import pytest

from onyxhollow.simulator_adapter.adapter import main

OPTIONS = {
    "listeners": [
        {
            "name": "calls",
            "semantics": "read_like",
            "handshakeTargetNs": 300000000,
            "dialTimeoutNs": 2000000000,
        }
    ],
    "rules": {"coldNs": 1000000000},
    "ceilings": {"mostDials": 2},
    "unheard of": 1,
}
ENTRY = ["in_service", "10.0.0.1:80", 1, "k", 0, "z", 0]


def talk(*lines):
    out, errors = io.StringIO(), io.StringIO()
    source = io.BytesIO("\n".join(x if isinstance(x, str) else json.dumps(x) for x in lines).encode())
    return main(source, out, errors), [json.loads(x) for x in out.getvalue().splitlines()], errors.getvalue()


def begin(options=OPTIONS):
    order = ["order", 3, 9, "calls", None, "s-1", 2000000000, None, None, 0]
    return [
        ["sync", 5000000000],
        ["provision", 3, 17, options],
        ["members", 3, "cached", 1, [ENTRY]],
        ["go"],
        ["sync", 5100000000],
        order,
        ["go"],
    ]


def test_a_session_is_forwarded_established_and_ended_and_later_messages_of_it_are_ignored():
    end = ["answer", 3, 9, 1000, 0, True, "10.0.0.1:80", 0, None]
    begun = ["begun", 3, 9, 0, "10.0.0.1:80", 5000000]
    code, out, errors = talk(
        *begin(), ["sync", 6000000000], begun, end, end, ["change", 3, 9, 0, "10.0.0.1:80", 2, 4.0], ["go"]
    )
    assert (code, errors) == (0, "") and ["forward", 3, 9, "10.0.0.1:80", 300000000] in out
    assert out.count(["ok"]) == 3


def test_a_killed_instance_drops_its_sessions_and_ignores_their_later_outcomes():
    late = ["answer", 3, 9, 1000, 110, False, "10.0.0.1:80", 0, None]
    code, out, _ = talk(
        *begin(),
        ["sync", 6000000000],
        ["killed", 3],
        late,
        ["provision", 3, 18, OPTIONS],
        late,
        ["members", 3, "cached", 1, [ENTRY]],
        ["go"],
    )
    assert code == 0 and len([x for x in out if x[0] == "forward"]) == 1
    assert not [x for x in out if x[0] in ("overloadReply", "finishError")]


@pytest.mark.parametrize(
    "bad, expected",
    [
        ("{nonsense", "line 8: not JSON"),
        (["hearsay", 3], "line 9: message: expected a known name, got 'hearsay'"),
        (
            ["order", 3, 9, "no such", None, "s-1", 1, None, None, 0],
            "line 9: band: expected the name of a listener, got 'no such'",
        ),
        (["order", 3, -9, "calls", None, "s-1", 1, None, None, 0], "line 9: corr: expected a whole number"),
        (["order", 3], "line 9: band: expected the name of a listener, got None"),
        (["provision", 4, 1, {"listeners": []}], "line 9: setting rules: expected an object, got nothing"),
    ],
)
def test_a_malformed_line_is_named_and_ends_the_adapter(bad, expected):
    lines = [bad] if isinstance(bad, str) else [["sync", 7000000000], bad]
    code, out, errors = talk(*begin(), *lines)
    assert code != 0 and errors.startswith(expected) and errors.count("\n") == 1
    assert out[-1] == ["ok"]


def test_a_failure_of_the_decisions_is_reported_with_its_text(monkeypatch):
    def broken(*_):
        raise KeyError("lost my way")

    monkeypatch.setattr("onyxhollow.policy.Balancer.admit", broken)
    code, out, _ = talk(*begin())
    assert code == 0 and any(x[0] == "internalError" and "lost my way" in x[2] for x in out)


def test_an_established_session_that_ends_as_cancelled_does_not_penalize_its_endpoint(monkeypatch):
    """The client left, or its endpoint sent it away: this wire has one word for both."""
    failures = []
    monkeypatch.setattr("onyxhollow.policy.Balancer.record_failure", lambda *values: failures.append(values))
    begun = ["begun", 3, 9, 0, "10.0.0.1:80", 5000000]
    end = ["answer", 3, 9, 0, 125, True, "10.0.0.1:80", 1000, None]
    code, _, errors = talk(*begin(), ["sync", 6000000000], begun, ["go"], ["sync", 7000000000], end, ["go"])
    assert (code, errors, failures) == (0, "", [])


def test_the_earlier_module_name_warns_in_one_line_and_writes_the_same_bytes():
    lines = b"".join(json.dumps(row).encode() + b"\n" for row in begin())
    old, new = (
        subprocess.run(
            [sys.executable, "-m", module], input=lines, capture_output=True, check=True, timeout=60
        )
        for module in ("onyxhollow.benchlink", "onyxhollow.simulator_adapter")
    )
    assert old.stdout == new.stdout and new.stdout.count(b"\n") > 3 and new.stderr == b""
    assert old.stderr.count(b"\n") == 1 and b"onyxhollow.simulator_adapter" in old.stderr
