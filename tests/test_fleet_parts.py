"""Parts of a fleet member: datagram transport with rate limit, and voter service with a failing disk."""

import errno
import socket
from collections import Counter
from types import SimpleNamespace
from unittest.mock import MagicMock

import pytest

from onyxhollow.__main__ import main
from onyxhollow.append_log import AppendLog
from onyxhollow.fleet import clock, datagram_transport
from onyxhollow.fleet.datagram_transport import DatagramTransport
from onyxhollow.fleet.identity import split_process_id
from onyxhollow.fleet.lease_messenger import LeaseMessenger
from onyxhollow.fleet.route_guard import read_number
from onyxhollow.fleet.voter_service import VoterService
from onyxhollow.leases.messages import RECORD_DECODER, VoteRequest, VoterSet, VoterSetChanged
from onyxhollow.membership.messages import MAX_DATAGRAM_BYTES
from onyxhollow.topology.gather import fetch
from onyxhollow.topology.model import MemberView

MANY_SECONDS = 60.0  # longer than a voter stays silent about the same cause
VOTER_SET = VoterSet(0, ("a", "b", "c"))


def test_datagrams_above_the_rate_or_size_limit_are_counted_and_not_sent(monkeypatch):
    now = 100.0
    monkeypatch.setattr(clock, "now", lambda: now)
    monkeypatch.setattr(datagram_transport, "SEND_BURST", 4.0)
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(("127.0.0.1", 0))
        address = receiver.getsockname()
        authenticator = SimpleNamespace(sign=lambda messages, _: b"".join(messages))
        counts = Counter()
        transport = DatagramTransport(("127.0.0.1", 0), authenticator, counts)
        small = SimpleNamespace(messages=[b"x"], receiver_epoch=0, address=address)
        large = SimpleNamespace(messages=[b"x" * (MAX_DATAGRAM_BYTES + 1)], receiver_epoch=0, address=address)
        transport.send_all([large, *[small] * 5])
        assert counts["datagrams out"] == 3 and counts["bytes out"] == 3
        assert counts["not sent: larger than a datagram"] == 1
        assert counts["not sent: too much at once"] == 2
        now += 1.5 / datagram_transport.SEND_RATE
        transport.send_all([small, small])
        assert counts["datagrams out"] == 4 and counts["not sent: too much at once"] == 3
        transport.close()


def make_voter_service(folder):
    """Return a voter service, its messenger and the list of its log events."""
    events = []
    context = MagicMock(voters=VOTER_SET, counts=Counter())
    context.name = "a"
    context.process_id = "a~1"
    context.fleet.folder = str(folder)
    context.fleet.file.leases.duration = 4.0
    context.log_event = lambda event, **values: events.append((event, values.get("why")))
    messenger = LeaseMessenger(context)
    return VoterService(context, messenger, MagicMock(), 0.0), messenger, events


def read_records(folder):
    """Return the decoded records of a closed voter log."""
    log = AppendLog(str(folder), "voter")
    log.close()
    return [RECORD_DECODER.decode(body) for body in log.bodies]


def test_a_voter_log_that_cannot_be_decoded_is_logged_once_per_cause_and_then_rarely(tmp_path):
    # Guards against a log line each 0.5 s.
    log = AppendLog(str(tmp_path), "voter")
    log.append(b"x")
    service, _, events = make_voter_service(tmp_path)
    for attempt in range(10):  # another process has the log open
        service.check(attempt * 1.0)
    assert [event for event, _ in events] == ["voter log unavailable"] and "another process" in events[0][1]
    log.close()
    for attempt in range(10, 30):
        service.check(attempt * 1.0)
    assert [event for event, _ in events] == ["voter log unavailable"] * 2 and "malformed" in events[1][1]
    assert service.voter is None
    service.check(10.0 + MANY_SECONDS)
    service.check(11.0 + MANY_SECONDS)
    assert len(events) == 3 and events[2] == events[1]


@pytest.mark.parametrize("trigger", ["check", "grant"])
def test_a_voter_set_whose_write_has_failed_is_stored_later(tmp_path, monkeypatch, trigger):
    # Guards against a voter that forgets the voter set in force at its next restart.
    service, _, events = make_voter_service(tmp_path)
    service.check(0.0)
    service.voter.recovering = False
    new_set = VoterSet(1, ("a", "b", "z"))
    with monkeypatch.context() as patch:
        patch.setattr("os.fsync", MagicMock(side_effect=OSError(errno.EIO, "no")))
        service.on_voter_set(new_set, 1.0)
        service.check(2.0)
        assert service.disk_failing and service.voter.voter_set == new_set
    if trigger == "check":
        service.check(2.1)  # too early
        assert service.disk_failing
        service.check(3.0)
    else:
        service.on_message("a~1", "a", VoteRequest("d", 1, "a~1", 1, 4.0, 1))
    assert not service.disk_failing and events[-1] == ("voter disk", "")
    service.check(4.0)
    service.close()
    stored = read_records(tmp_path)
    assert stored[0] == VoterSetChanged(new_set) and len(stored) == (1 if trigger == "check" else 2)


def test_a_voter_with_a_failing_disk_does_not_answer_and_logs_the_fault_once(tmp_path, monkeypatch):
    service, messenger, events = make_voter_service(tmp_path)
    context = service.context
    service.check(0.0)
    assert messenger.has_own_voter and events == [("voter", None)]
    service.voter.recovering = False

    def request_vote(term):
        service.on_message("a~1", "a", VoteRequest("d", term, "a~1", 1, 4.0, 0))

    with monkeypatch.context() as patch:
        patch.setattr("os.fsync", MagicMock(side_effect=OSError(errno.EIO, "no")))
        request_vote(1)
        request_vote(1)
    assert not messenger.local_messages and not service.voter.slots and service.disk_failing
    assert events[1:] == [("voter disk", "no")] and context.counts["voter: disk failures"] == 2
    request_vote(1)
    assert [message.granted for _, message in messenger.local_messages] == [True] and not service.disk_failing
    assert events[2:] == [("voter disk", "")]
    service.close()


@pytest.mark.parametrize(
    "command", ["members", "duties", "voters", "duties show", "duties history", "voters show"]
)
@pytest.mark.parametrize("order", ["{command} --at {address}", "{command} --json --at {address}"])
def test_a_fleet_command_takes_its_options_in_any_place(command, order, capsys):
    # Guards against a main parser that refuses an option right after the name of a command.
    arguments = order.format(command=command, address="127.0.0.1:1").split()
    assert main(arguments) == 2
    assert capsys.readouterr().err.startswith("onyxhollow: 127.0.0.1:1: expected an answer, got ")


@pytest.mark.parametrize(
    "arguments",
    [
        "hand-over r --to n2 --at {}",
        "--at {} hand-over r --to n2",
        "release r --at {}",
        "show",
        "--at {} show",
    ],
)
def test_a_duties_subcommand_and_the_command_itself_take_the_address(arguments, monkeypatch, capsys):
    # Guards against a subcommand without `--at`, and against one whose default replaces the given address.
    monkeypatch.setenv("LB_MANAGEMENT", "127.0.0.1:1" if "{}" not in arguments else "invalid")
    assert main(["duties", *arguments.format("127.0.0.1:1").split()]) == 2
    assert capsys.readouterr().err.startswith("onyxhollow: 127.0.0.1:1: expected an answer, got ")


@pytest.mark.parametrize("command", ["members", "duties", "voters", "addresses", "topology", "lab"])
def test_a_command_with_a_parser_of_its_own_prints_its_own_help(command, capsys):
    # Guards against a main parser that answers `--help` of a command with its own usage.
    with pytest.raises(SystemExit) as ended:
        main([command, "--help"])
    assert ended.value.code == 0 and capsys.readouterr().out.startswith(f"usage: onyxhollow {command} ")


def test_a_superscript_digit_is_neither_a_port_nor_an_epoch_nor_a_term(capsys):
    # Guards against int() of a text that str.isdigit accepts: a traceback instead of an error or a refusal.
    assert main(["members", "--at", "127.0.0.1:\u00b2"]) == 2
    assert capsys.readouterr().err == "onyxhollow: --at: expected HOST:PORT, got '127.0.0.1:\u00b2'\n"
    assert split_process_id("n0~7") == ("n0", 7) and split_process_id("n0~\u00b2") is None
    assert read_number({"term": ["7"]}, "term") == 7 and read_number({"term": ["\u00b2"]}, "term") == -1
    assert MemberView("n0~7").incarnation == 7 and MemberView("n0~\u00b2").incarnation == 0
    with pytest.raises(ValueError, match="^expected HOST:PORT$"):
        fetch("127.0.0.1:\u00b2", "/", 0.0)
