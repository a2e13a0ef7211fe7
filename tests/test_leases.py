"""Tests of voters, candidates and reconfigurations of the voter set, in simulated time."""

from random import Random

import pytest
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from onyxhollow.lab.fleet import injected_bugs, state_explorer
from onyxhollow.leases.candidate import Candidate
from onyxhollow.leases.candidate_states import NEXT_STATE, CandidateEvent, CandidateState, CandidateStateError
from onyxhollow.leases.messages import (
    MESSAGE_DECODER,
    VOTERS_ROLE,
    ConfigurationCommitted,
    KnownTerm,
    LeaseGrant,
    LeaseReleased,
    ReconfigurationRequest,
    ReconfigurationResponse,
    RecoveryCompleted,
    Refusal,
    ReleaseNotice,
    ReplaceVoterCommand,
    StateResponse,
    VoteRequest,
    VoteResponse,
    VoterSet,
    encode,
)
from onyxhollow.leases.reconfiguration import Reconfiguration
from onyxhollow.leases.timing import LeaseTiming
from onyxhollow.leases.voter import Voter

VOTER_SET = VoterSet(0, ("a", "b", "c"))
LEASE = 4.0  # seconds


def make_voter(name="a", now=0.0, recovering=False):
    voter = Voter(name, VOTER_SET, LEASE, now)
    voter.recovering = recovering
    return voter


def vote_request(term, candidate, role="d", version=0, pre_vote=False):
    return VoteRequest(role, term, candidate, 1, LEASE, version, pre_vote)


def respond(voter, now, request):
    """Return the voter's only response to a request."""
    (response,), _ = voter.on_message(now, request.candidate, request)
    return response


def granted(voter, now, request):
    return respond(voter, now, request).granted


def test_voter_grants_one_lease_at_a_time_under_increasing_terms():
    voter = make_voter()
    (response,), records = voter.on_message(0.0, "x", vote_request(1, "x"))
    assert response.granted and records == [LeaseGrant("d", 1, "x", LEASE)]
    (response,), records = voter.on_message(1.0, "y", vote_request(2, "y"))
    assert not response.granted and response.remaining == 3.0 and not records
    assert voter.on_message(2.0, "x", vote_request(1, "x")).records == []  # renewals are not stored
    assert not granted(voter, 5.9, vote_request(2, "y"))
    assert not granted(voter, 6.1, vote_request(1, "y"))  # term 1 has already been granted
    assert granted(voter, 6.1, vote_request(2, "y", pre_vote=True))
    assert granted(voter, 6.1, vote_request(2, "y"))
    assert not granted(voter, 6.2, vote_request(1, "x"))
    voter.on_message(6.3, "y", ReleaseNotice("d", 2, "y"))
    assert not granted(voter, 6.4, vote_request(2, "y"))  # delayed request for a term that was released
    assert granted(voter, 6.4, vote_request(3, "x"))


def test_restarted_voter_waits_one_lease_with_records_and_queries_peers_without_records():
    voter = make_voter()
    _, records = voter.on_message(0.0, "x", vote_request(7, "x"))
    restored = Voter("a", VOTER_SET, LEASE, 50.0)
    restored.restore([*voter.records(), *records], 50.0)
    assert not restored.recovering
    assert not granted(restored, 53.9, vote_request(8, "y")) and granted(restored, 51.0, vote_request(7, "x"))
    restarted = Voter("a", VOTER_SET, LEASE, 50.0)
    assert not granted(restarted, 60.0, vote_request(8, "y"))
    restarted.on_message(60.0, "b", StateResponse(1, False, {"d": KnownTerm(7, "x")}, VOTER_SET))
    restarted.tick(60.0)
    assert restarted.recovering  # any two of three voters may have granted: one response is not enough
    restarted.on_message(60.0, "c", StateResponse(1, True, {}, VOTER_SET))
    _, records = restarted.tick(60.0)
    assert not restarted.recovering and records
    assert not granted(restarted, 60.0, vote_request(7, "y")) and granted(
        restarted, 60.0, vote_request(7, "x")
    )


def test_undo_reverts_a_grant_that_could_not_be_stored():
    voter = make_voter()
    voter.on_message(0.0, "x", vote_request(1, "x"))
    voter.undo()
    responses, records = voter.on_message(0.1, "y", vote_request(1, "y"))
    assert responses[0].granted and records


def test_undo_reverts_a_release_that_could_not_be_stored():
    # Guards against a voter whose memory says released while its records say granted.
    voter = make_voter()
    voter.on_message(0.0, "x", vote_request(1, "x"))
    records_before = voter.records()
    assert voter.on_message(0.1, "x", ReleaseNotice("d", 1, "x")).records == [LeaseReleased("d", 1)]
    voter.undo()
    assert voter.records() == records_before
    assert not granted(voter, 3.9, vote_request(2, "y"))
    # The notice can be stored later, and the lease ends in any case.
    assert voter.on_message(3.9, "x", ReleaseNotice("d", 1, "x")).records == [LeaseReleased("d", 1)]
    voter.undo()
    assert granted(voter, 4.1, vote_request(2, "y"))


def test_voter_grants_nothing_under_the_old_voter_set_after_accepting_a_new_one():
    voter = make_voter()
    voter.on_message(0.0, "x", vote_request(3, "x", role="voters"))
    proposed = VoterSet(1, ("a", "b", "z"))
    assert not voter.on_message(0.1, "x", ReconfigurationRequest(2, 1, proposed))[0][0].accepted
    assert voter.on_message(0.1, "x", ReconfigurationRequest(3, 1, proposed))[0][0].accepted
    assert respond(voter, 0.2, vote_request(1, "x")).refusal is Refusal.RECONFIGURING
    response = respond(voter, 9.0, vote_request(4, "y", role="voters"))
    # The next holder of VOTERS_ROLE must complete the accepted proposal.
    assert response.granted and response.pending.voter_set == proposed
    voter.on_message(9.1, "y", ConfigurationCommitted(proposed))
    assert respond(voter, 9.2, vote_request(1, "x")).refusal is Refusal.STALE_VOTER_SET
    assert granted(voter, 9.2, vote_request(1, "x", version=1))
    newcomer = Voter("z", VOTER_SET, LEASE, 0.0)
    newcomer.recovering = False
    newcomer.on_message(9.1, "y", ConfigurationCommitted(proposed))
    assert newcomer.recovering and newcomer.no_grants_before == 13.1


def test_lease_counts_from_its_request_and_is_shortened_by_the_clock_rate_bound():
    candidate = Candidate("d", "x", LeaseTiming(LEASE, 0.1), VOTER_SET, Random(1), 0.0)
    candidate.start_request(10.0)
    for name in ("a", "b"):
        candidate.on_response(11.0, name, VoteResponse("d", 1, candidate.round, True, 0))
    assert candidate.holds(13.2) and not candidate.holds(13.3)  # 10 + 4 * 0.9 / 1.1
    candidate.tick(13.3, 0)
    causes = [transition.cause for transition in candidate.transitions]
    assert candidate.state is CandidateState.IDLE and causes == ["granted", "lease ran out"]
    candidate.start_request(20.0)
    for name in ("a", "b"):
        candidate.on_response(23.5, name, VoteResponse("d", 2, candidate.round, True, 1))
    assert not candidate.holds(23.5)  # the responses arrived after the lease had expired


def test_event_missing_from_the_transition_table_raises_an_error_that_names_it():
    candidate = Candidate("d", "x", LeaseTiming(LEASE, 0.1), VOTER_SET, Random(1), 0.0)
    candidate.state = CandidateState.HOLDING
    with pytest.raises(
        CandidateStateError, match="d: expected one of lease ended in state holding, got fell back"
    ):
        candidate.abandon_attempt(1.0)
    assert {state for state, _ in NEXT_STATE} == set(CandidateState)
    assert {event for _, event in NEXT_STATE} == set(CandidateEvent)


def test_unknown_refusal_reason_of_a_later_version_decodes_as_other():
    response = VoteResponse("d", 1, 1, False, 0, refusal=Refusal.HELD)
    assert MESSAGE_DECODER.decode(encode(response)) == response
    unknown = MESSAGE_DECODER.decode(encode(response).replace(b"\xa4held", b"\xa4hulk"))
    assert unknown.refusal is Refusal.OTHER


def test_state_explorer_passes_the_protocol_and_finds_each_injected_bug():
    result = state_explorer.explore(1, 12)
    assert result.complete and not result.violation and result.states > 1000 and result.checked_ends
    result = state_explorer.explore(3, 8, only_faults="restarts")
    assert result.complete and not result.violation
    for name in injected_bugs.BUGS:
        with state_explorer.injected_bug(name):
            only = "restarts" if name == "forgets" else ""
            assert state_explorer.explore(3 if only else 1, 12, only_faults=only).violation, name


class Election(RuleBasedStateMachine):
    """Election among five voters, two spare voters and three candidates for a role and for VOTERS_ROLE.

    The rules run in random order: message loss, duplication and delay, process stops, network cuts, voter
    restarts with and without records, hand-overs and reconfigurations.
    """

    @initialize()
    def begin(self):
        self.now = 0.0
        self.in_flight = []
        self.cut = frozenset()
        self.stopped = frozenset()
        voter_set = VoterSet(0, tuple("abcde"))
        self.voters = {name: Voter(name, voter_set, LEASE, 0.0) for name in "abcdefg"}
        self.disks = {name: [] for name in "abcdefg"}
        for name in "abcde":
            self.voters[name].recovering = False
            self.disks[name] = [RecoveryCompleted()]
        roles = ("d", VOTERS_ROLE)
        self.candidates = {
            (process, role): Candidate(role, process, LeaseTiming(LEASE, 0.01), voter_set, Random(1), 0.0)
            for process in "xyz"
            for role in roles
        }
        self.reconfigurations = {process: Reconfiguration() for process in "xyz"}
        self.terms = dict.fromkeys(roles, 0)

    def send(self, source, messages):
        self.in_flight += [(source, target, message) for target, message in messages]

    def tick(self, span):
        self.now += span
        for (process, _), candidate in self.candidates.items():
            if process not in self.stopped and self.now >= candidate.next_due():
                self.send(process, candidate.tick(self.now, "xyz".index(process)))

    @rule(span=st.sampled_from([0.1, 0.5, 2.0]))
    def wait(self, span):
        self.tick(span)

    @rule(seconds=st.integers(1, 6))
    def run_undisturbed(self, seconds):
        """Advance the time while every message between reachable processes is delivered immediately."""
        for _ in range(4 * seconds):
            self.tick(0.25)
            for name in "abcdefg":
                self.recover(name)
            while self.in_flight:
                self.deliver(*self.in_flight.pop(0))

    @rule(process=st.sampled_from("xyz"))
    def stop_or_resume(self, process):
        self.stopped ^= {process}

    @rule(name=st.sampled_from("abcdefgxyz"))
    def cut_or_reconnect(self, name):
        self.cut ^= {name}

    def deliver(self, source, target, message):
        if source in self.cut or target in self.cut or target in self.stopped:
            return
        if target in self.voters:
            responses, records = self.voters[target].on_message(self.now, source, message)
            self.disks[target] += records
            self.send(target, [(source, response) for response in responses])
        elif isinstance(message, ReconfigurationResponse):
            candidate = self.candidates[target, VOTERS_ROLE]
            reconfiguration = self.reconfigurations[target]
            committed = reconfiguration.on_response(self.now, candidate, candidate.voter_set, source, message)
            if committed:
                self.adopt(target, committed)
                self.send(target, [(name, ConfigurationCommitted(committed)) for name in "abcdefg"])
        else:
            candidate = self.candidates[target, message.role]
            self.send(target, candidate.on_response(self.now, source, message))
            self.adopt(target, candidate.voter_set)

    def adopt(self, process, voter_set):
        for role in self.terms:
            if voter_set.version > self.candidates[process, role].voter_set.version:
                self.candidates[process, role].voter_set = voter_set

    @precondition(lambda self: self.in_flight)
    @rule(
        data=st.data(),
        fate=st.sampled_from(["delivered", "delivered", "delivered", "delivered twice", "lost"]),
    )
    def transmit(self, data, fate):
        index = data.draw(st.integers(0, min(5, len(self.in_flight) - 1)))
        duplicate = fate == "delivered twice"
        message = self.in_flight[index] if duplicate else self.in_flight.pop(index)
        if fate != "lost":
            self.deliver(*message)

    @rule(name=st.sampled_from("abcdefg"), without_records=st.booleans())
    def restart(self, name, without_records):
        recovering = [voter_name for voter_name, voter in self.voters.items() if voter.recovering]
        if without_records and any(
            voter_name in self.voters[voter_name].voter_set.names for voter_name in recovering
        ):
            return  # terms are not guaranteed to survive two voters without records (docs/leases.md)
        voter = Voter(name, VoterSet(0, tuple("abcde")), LEASE, self.now)
        if without_records:
            self.disks[name] = []
        voter.restore(self.disks[name], self.now)
        self.voters[name] = voter

    def recover(self, name):
        queries, records = self.voters[name].tick(self.now)
        self.disks[name] += records
        self.send(name, queries)

    @rule(process=st.sampled_from("xyz"), role=st.sampled_from(["d", VOTERS_ROLE]))
    def hand_over(self, process, role):
        self.send(process, self.candidates[process, role].end(self.now, "operator"))

    @precondition(
        lambda self: any(self.candidates[process, VOTERS_ROLE].holds(self.now) for process in "xyz")
    )
    @rule(remove=st.integers(0, 4), add=st.integers(0, 1))
    def replace_voter(self, remove, add):
        process = next(name for name in "xyz" if self.candidates[name, VOTERS_ROLE].holds(self.now))
        candidate = self.candidates[process, VOTERS_ROLE]
        reconfiguration = self.reconfigurations[process]
        names = candidate.voter_set.names
        if not reconfiguration.in_progress:
            others = sorted(set("abcdefg") - set(names))
            reconfiguration.command = ReplaceVoterCommand(names[remove], others[add])
        self.send(process, reconfiguration.propose(self.now, candidate, candidate.voter_set))

    @invariant()
    def check_single_holder_and_increasing_terms(self):
        if not hasattr(self, "candidates"):
            return
        for role in self.terms:
            candidates = [
                candidate
                for (_, candidate_role), candidate in self.candidates.items()
                if candidate_role == role
            ]
            assert sum(candidate.holds(self.now) for candidate in candidates) <= 1
            for candidate in candidates:
                for transition in candidate.transitions:
                    if transition.began:
                        assert transition.term > self.terms[role]
                        self.terms[role] = transition.term
                candidate.transitions.clear()

    @invariant()
    def check_single_voter_set_per_version(self):
        if hasattr(self, "candidates"):
            known = [candidate.voter_set for candidate in self.candidates.values()]
            known += [voter.voter_set for voter in self.voters.values()]
            assert len({voter_set.version for voter_set in known}) == len(set(known))


Election.TestCase.settings = hypothesis_settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
TestElection = Election.TestCase
