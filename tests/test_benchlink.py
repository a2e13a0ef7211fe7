"""The adapter itself, by short conversations on its wire."""

import io
import json

import pytest

from onyxhollow.benchlink.link import main

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


def test_a_session_is_dialled_stands_and_ends_and_late_news_of_it_are_ignored():
    end = ["answer", 3, 9, 1000, 0, True, "10.0.0.1:80", 0, None]
    begun = ["begun", 3, 9, 0, "10.0.0.1:80", 5000000]
    code, out, errors = talk(
        *begin(), ["sync", 6000000000], begun, end, end, ["change", 3, 9, 0, "10.0.0.1:80", 2, 4.0], ["go"]
    )
    assert (code, errors) == (0, "") and ["forward", 3, 9, "10.0.0.1:80", 300000000] in out
    assert out.count(["ok"]) == 3


def test_a_killed_instance_drops_all_and_its_late_outcomes():
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
    "bad, said",
    [
        ("{nonsense", "line 8: not JSON"),
        (["hearsay", 3], "line 9: unknown message hearsay"),
        (
            ["order", 3, 9, "no such", None, "s-1", 1, None, None, 0],
            "line 9: band: impossible value 'no such'",
        ),
        (["order", 3, -9, "calls", None, "s-1", 1, None, None, 0], "line 9: corr: expected a whole number"),
        (["order", 3], "line 9: band: impossible value None"),
        (["provision", 4, 1, {"listeners": []}], "line 9: missing setting rules: expected an object"),
    ],
)
def test_a_malformed_line_is_named_and_ends_the_adapter(bad, said):
    lines = [bad] if isinstance(bad, str) else [["sync", 7000000000], bad]
    code, out, errors = talk(*begin(), *lines)
    assert code != 0 and errors.startswith(said) and errors.count("\n") == 1
    assert out[-1] == ["ok"]


def test_a_failure_of_the_module_is_reported_with_its_text(monkeypatch):
    def broken(*_):
        raise KeyError("lost my way")

    monkeypatch.setattr("onyxhollow.policy.Balancer.admit", broken)
    code, out, _ = talk(*begin())
    assert code == 0 and any(x[0] == "internalError" and "lost my way" in x[2] for x in out)


def test_an_open_connection_that_ends_as_withdrawn_is_not_held_against_its_server(monkeypatch):
    """The client left, or its server sent it away: this wire has one word for both."""
    blamed = []
    monkeypatch.setattr("onyxhollow.policy.Balancer.record_failure", lambda *told: blamed.append(told))
    begun = ["begun", 3, 9, 0, "10.0.0.1:80", 5000000]
    end = ["answer", 3, 9, 0, 125, True, "10.0.0.1:80", 1000, None]
    code, _, errors = talk(*begin(), ["sync", 6000000000], begun, ["go"], ["sync", 7000000000], end, ["go"])
    assert (code, errors, blamed) == (0, "", [])
