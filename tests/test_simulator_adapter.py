"""Tests of the simulator adapter with short exchanges of protocol messages."""

import io
import json
import subprocess
import sys

import pytest

from onyxhollow.simulator_adapter.adapter import main

SETTINGS = {
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
    "unknown setting": 1,
}
ENDPOINT_ROW = ["in_service", "10.0.0.1:80", 1, "k", 0, "z", 0]

ORDER = ["order", 3, 9, "calls", None, "s-1", 2000000000, None, None, 0]


def run_adapter(*lines):
    """Return the adapter's exit code, its messages and its error output for these lines."""
    output, errors = io.StringIO(), io.StringIO()
    source = io.BytesIO(
        "\n".join(line if isinstance(line, str) else json.dumps(line) for line in lines).encode()
    )
    return (
        main(source, output, errors),
        [json.loads(line) for line in output.getvalue().splitlines()],
        errors.getvalue(),
    )


def batches_with_one_session(settings=SETTINGS):
    """Return batches that create proxy 3 with one endpoint and request session 9 from it."""
    return [
        ["sync", 5000000000],
        ["provision", 3, 17, settings],
        ["members", 3, "cached", 1, [ENDPOINT_ROW]],
        ["go"],
        ["sync", 5100000000],
        ORDER,
        ["go"],
    ]


def test_a_session_is_forwarded_established_and_ended_and_its_later_messages_are_ignored():
    end = ["answer", 3, 9, 1000, 0, True, "10.0.0.1:80", 0, None]
    established = ["begun", 3, 9, 0, "10.0.0.1:80", 5000000]
    exit_code, messages, errors = run_adapter(
        *batches_with_one_session(),
        ["sync", 6000000000],
        established,
        end,
        end,
        ["change", 3, 9, 0, "10.0.0.1:80", 2, 4.0],
        ["go"],
    )
    assert (exit_code, errors) == (0, "") and ["forward", 3, 9, "10.0.0.1:80", 300000000] in messages
    assert messages.count(["ok"]) == 3


def test_a_killed_instance_drops_its_sessions_and_ignores_their_later_outcomes():
    late = ["answer", 3, 9, 1000, 110, False, "10.0.0.1:80", 0, None]
    exit_code, messages, _ = run_adapter(
        *batches_with_one_session(),
        ["sync", 6000000000],
        ["killed", 3],
        late,
        ["provision", 3, 18, SETTINGS],
        late,
        ["members", 3, "cached", 1, [ENDPOINT_ROW]],
        ["go"],
    )
    assert exit_code == 0 and len([message for message in messages if message[0] == "forward"]) == 1
    assert not [message for message in messages if message[0] in ("overloadReply", "finishError")]


@pytest.mark.parametrize(
    "line, expected",
    [
        ("{not json", "line 8: message: expected JSON, got invalid text: "),
        (["unknown", 3], "line 9: message: expected a known name, got 'unknown'"),
        (
            ["order", 3, 9, "no such", None, "s-1", 1, None, None, 0],
            "line 9: band: expected the name of a listener, got 'no such'",
        ),
        (["order", 3, -9, "calls", None, "s-1", 1, None, None, 0], "line 9: corr: expected a whole number"),
        (["order", 3], "line 9: band: expected the name of a listener, got None"),
        (["provision", 4, 1, {"listeners": []}], "line 9: setting rules: expected an object, got nothing"),
    ],
)
def test_a_malformed_line_is_reported_with_its_number_and_ends_the_adapter(line, expected):
    lines = [line] if isinstance(line, str) else [["sync", 7000000000], line]
    exit_code, messages, errors = run_adapter(*batches_with_one_session(), *lines)
    assert exit_code != 0 and errors.startswith(expected) and errors.count("\n") == 1
    assert messages[-1] == ["ok"]


@pytest.mark.parametrize("value", [["x"], {"x": 1}])
@pytest.mark.parametrize(
    "message, position, expected",
    [
        (["members", 3, "full", 1, []], (2,), "form: expected cached, full, delta or failed, got "),
        (["members", 3, "full", 1, [ENDPOINT_ROW]], (4, 0, 0), "readiness: expected in_service, "),
        (["members", 3, "full", 1, [ENDPOINT_ROW]], (4, 0, 3), "machineType: expected text, got "),
        (["members", 3, "full", 1, [ENDPOINT_ROW]], (4, 0, 5), "zone: expected text, got "),
        (["members", 3, "full", 1, [ENDPOINT_ROW]], (4, 0, 6), "cell: expected a whole number from 0, got "),
        (ORDER, (3,), "band: expected the name of a listener, got "),
        (ORDER, (4,), "tenant: expected text or a number, got "),
        (ORDER, (8,), "group: expected text or a number, got "),
    ],
)
def test_a_list_or_an_object_in_place_of_a_scalar_is_reported_as_malformed(
    message, position, expected, value
):
    # Guards against internalError, which ends the proxy in the simulator, for a malformed message.
    message = json.loads(json.dumps(message))
    target = message
    for step in position[:-1]:
        target = target[step]
    target[position[-1]] = value
    exit_code, messages, errors = run_adapter(
        *batches_with_one_session(), ["sync", 7000000000], message, ["go"]
    )
    assert exit_code == 1 and errors.startswith(f"line 9: {expected}") and errors.count("\n") == 1
    assert not [row for row in messages if row[0] == "internalError"]


@pytest.mark.parametrize("position, value", [(3, 5), (5, True), (6, "z"), (6, -1), (6, 1.5), (6, True)])
def test_a_zone_cell_or_machine_type_of_a_wrong_type_is_reported(position, value):
    # Guards against values that compare unequal to every valid one, for example a cell as text.
    row = [*ENDPOINT_ROW[:position], value, *ENDPOINT_ROW[position + 1 :]]
    exit_code, _, errors = run_adapter(
        *batches_with_one_session(), ["sync", 7000000000], ["members", 3, "full", 1, [row]]
    )
    assert exit_code == 1 and errors.startswith("line 9: ") and errors.count("\n") == 1


def test_an_error_in_the_policy_is_reported_with_its_text(monkeypatch):
    def fail(*_):
        raise KeyError("policy error")

    monkeypatch.setattr("onyxhollow.policy.Balancer.admit", fail)
    exit_code, messages, _ = run_adapter(*batches_with_one_session())
    assert exit_code == 0 and any(
        message[0] == "internalError" and "policy error" in message[2] for message in messages
    )


def test_an_established_session_that_ends_as_cancelled_does_not_penalize_its_endpoint(monkeypatch):
    """The protocol has one code for a client that left and for one that its endpoint disconnected."""
    failures = []
    monkeypatch.setattr("onyxhollow.policy.Balancer.record_failure", lambda *values: failures.append(values))
    established = ["begun", 3, 9, 0, "10.0.0.1:80", 5000000]
    end = ["answer", 3, 9, 0, 125, True, "10.0.0.1:80", 1000, None]
    exit_code, _, errors = run_adapter(
        *batches_with_one_session(),
        ["sync", 6000000000],
        established,
        ["go"],
        ["sync", 7000000000],
        end,
        ["go"],
    )
    assert (exit_code, errors, failures) == (0, "", [])


def test_the_earlier_module_name_warns_in_one_line_and_writes_the_same_bytes():
    lines = b"".join(json.dumps(row).encode() + b"\n" for row in batches_with_one_session())
    old, new = (
        subprocess.run(
            [sys.executable, "-m", module], input=lines, capture_output=True, check=True, timeout=60
        )
        for module in ("onyxhollow.benchlink", "onyxhollow.simulator_adapter")
    )
    assert old.stdout == new.stdout and new.stdout.count(b"\n") > 3 and new.stderr == b""
    assert old.stderr.count(b"\n") == 1 and b"onyxhollow.simulator_adapter" in old.stderr
