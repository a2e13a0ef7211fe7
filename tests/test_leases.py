"""Voters, candidates and changes of the voter set, in simulated time."""

from random import Random

from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from onyxhollow.lab.fleet import broken, explore
from onyxhollow.leases.change import Changer
from onyxhollow.leases.claim import Claim, Rules, State
from onyxhollow.leases.messages import (
    VOTERS,
    Accepted,
    Answer,
    Ask,
    Change,
    Council,
    Granted,
    Learn,
    Propose,
    Recalled,
    Release,
    Remembers,
)
from onyxhollow.leases.voter import Voter

COUNCIL = Council(0, ("a", "b", "c"))


def voter(name="a", now=0.0, blank=False):
    made = Voter(name, COUNCIL, 4.0, now)
    made.blank = blank
    return made


def ask(term, who, duty="d", version=0, look=False):
    return Ask(duty, term, who, 1, 4.0, version, look)


def test_a_voter_gives_its_word_to_one_for_a_lease_and_terms_only_rise():
    made = voter()
    (yes,), rows = made.heard(0.0, "x", ask(1, "x"))
    assert yes.yes and rows == [Granted("d", 1, "x", 4.0)]
    (no,), rows = made.heard(1.0, "y", ask(2, "y"))
    assert not no.yes and no.left == 3.0 and not rows
    assert made.heard(2.0, "x", ask(1, "x"))[1] == []  # goes on; nothing new to write
    assert not made.heard(5.9, "y", ask(2, "y"))[0][0].yes
    assert not made.heard(6.1, "y", ask(1, "y"))[0][0].yes  # that term is used up
    assert made.heard(6.1, "y", ask(2, "y", look=True))[0][0].yes
    assert made.heard(6.1, "y", ask(2, "y"))[0][0].yes
    assert not made.heard(6.2, "x", ask(1, "x"))[0][0].yes
    made.heard(6.3, "y", Release("d", 2, "y"))
    assert not made.heard(6.4, "y", ask(2, "y"))[0][0].yes  # a late one of a term that was given back
    assert made.heard(6.4, "x", ask(3, "x"))[0][0].yes


def test_a_voter_started_anew_waits_a_lease_with_its_memory_and_asks_the_others_without():
    made = voter()
    _, rows = made.heard(0.0, "x", ask(7, "x"))
    again = Voter("a", COUNCIL, 4.0, 50.0)
    again.remember([*made.rows(), *rows], 50.0)
    assert not again.blank
    assert not again.heard(53.9, "y", ask(8, "y"))[0][0].yes and again.heard(51.0, "x", ask(7, "x"))[0][0].yes
    blank = Voter("a", COUNCIL, 4.0, 50.0)
    assert not blank.heard(60.0, "y", ask(8, "y"))[0][0].yes
    blank.heard(60.0, "b", Recalled(1, False, {"d": (7, "x")}, COUNCIL))
    blank.tick(60.0)
    assert blank.blank  # any two of three may have granted: one other's word is not enough
    blank.heard(60.0, "c", Recalled(1, True, {}, COUNCIL))
    _, rows = blank.tick(60.0)
    assert not blank.blank and rows
    assert not blank.heard(60.0, "y", ask(7, "y"))[0][0].yes and blank.heard(60.0, "x", ask(7, "x"))[0][0].yes


def test_what_the_disk_has_not_taken_does_not_hold():
    made = voter()
    made.heard(0.0, "x", ask(1, "x"))
    made.undo()
    answers, rows = made.heard(0.1, "y", ask(1, "y"))
    assert answers[0].yes and rows


def test_a_voter_that_has_accepted_other_voters_gives_no_word_under_the_old_ones():
    made = voter()
    made.heard(0.0, "x", ask(3, "x", duty="voters"))
    after = Council(1, ("a", "b", "z"))
    assert not made.heard(0.1, "x", Propose(2, 1, after))[0][0].yes
    assert made.heard(0.1, "x", Propose(3, 1, after))[0][0].yes
    assert made.heard(0.2, "x", ask(1, "x"))[0][0].why == "voters change"
    told = made.heard(9.0, "y", ask(4, "y", duty="voters"))[0][0]
    assert told.yes and told.pending.council == after  # whoever holds VOTERS next has to go on with it
    made.heard(9.1, "y", Learn(after))
    assert made.heard(9.2, "x", ask(1, "x"))[0][0].why == "council"
    assert made.heard(9.2, "x", ask(1, "x", version=1))[0][0].yes
    newcomer = Voter("z", COUNCIL, 4.0, 0.0)
    newcomer.blank = False
    newcomer.heard(9.1, "y", Learn(after))
    assert newcomer.blank and newcomer.waits_until == 13.1


def test_a_lease_counts_from_before_it_was_asked_for_and_less_the_bound_on_clocks():
    claim = Claim("d", "x", Rules(4.0, 0.1), COUNCIL, Random(1), 0.0)
    claim.take(10.0)
    for name in ("a", "b"):
        claim.heard(11.0, name, Answer("d", 1, claim.round, True, 0))
    assert claim.holds(13.2) and not claim.holds(13.3)  # 10 + 4 * 0.9 / 1.1
    claim.tick(13.3, 0)
    assert claim.state is State.IDLE and [turn.cause for turn in claim.turns] == ["granted", "lease ran out"]
    claim.take(20.0)
    for name in ("a", "b"):
        claim.heard(23.5, name, Answer("d", 2, claim.round, True, 1))
    assert not claim.holds(23.5)  # the answers were too long on their way


def test_the_explorer_finds_nothing_with_one_fault_and_each_bug_put_in():
    told = explore.explore(1, 12)
    assert told.whole and not told.found and told.states > 1000 and told.ends
    told = explore.explore(3, 8, only="restarts")
    assert told.whole and not told.found
    for name in broken.BUGS:
        with explore.bug(name):
            only = "restarts" if name == "forgets" else ""
            assert explore.explore(3 if only else 1, 12, only=only).found, name


class Votes(RuleBasedStateMachine):
    """Five voters and two more to come, three candidates for a duty and for changing the voters, in any order
    of loss, repetition, delay, restarts with and without the disk, hand-overs and changes."""

    @initialize()
    def begin(self):
        self.now, self.under_way = 0.0, []
        self.cut, self.stopped = frozenset(), frozenset()
        self.council = Council(0, tuple("abcde"))
        self.voters = {name: Voter(name, self.council, 4.0, 0.0) for name in "abcdefg"}
        self.disks = {name: [] for name in "abcdefg"}
        for name in "abcde":
            self.voters[name].blank = False
            self.disks[name] = [Remembers()]
        duties = ("d", VOTERS)
        self.claims = {
            (who, duty): Claim(duty, who, Rules(4.0, 0.01), self.council, Random(1), 0.0)
            for who in "xyz"
            for duty in duties
        }
        self.changers = {who: Changer() for who in "xyz"}
        self.terms = dict.fromkeys(duties, 0)

    def put(self, source, told):
        self.under_way += [(source, target, what) for target, what in told]

    def tick(self, span):
        self.now += span
        for (who, _), claim in self.claims.items():
            if who not in self.stopped and self.now >= claim.due():
                self.put(who, claim.tick(self.now, "xyz".index(who)))

    @rule(span=st.sampled_from([0.1, 0.5, 2.0]))
    def wait(self, span):
        self.tick(span)

    @rule(seconds=st.integers(1, 6))
    def go_on(self, seconds):
        """Time in which whatever is not cut off arrives at once."""
        for _ in range(4 * seconds):
            self.tick(0.25)
            for name in "abcdefg":
                self.recall(name)
            while self.under_way:
                self.deliver(*self.under_way.pop(0))

    @rule(who=st.sampled_from("xyz"))
    def stop_or_wake(self, who):
        self.stopped ^= {who}

    @rule(name=st.sampled_from("abcdefgxyz"))
    def cut_or_mend(self, name):
        self.cut ^= {name}

    def deliver(self, source, target, what):
        if source in self.cut or target in self.cut or target in self.stopped:
            return
        if target in self.voters:
            answers, rows = self.voters[target].heard(self.now, source, what)
            self.disks[target] += rows
            self.put(target, [(source, answer) for answer in answers])
        elif isinstance(what, Accepted):
            claim = self.claims[target, VOTERS]
            if made := self.changers[target].accepted(self.now, claim, claim.council, source, what):
                self.learn(target, made)
                self.put(target, [(name, Learn(made)) for name in "abcdefg"])
        else:
            claim = self.claims[target, what.duty]
            self.put(target, claim.heard(self.now, source, what))
            self.learn(target, claim.council)

    def learn(self, who, council):
        for duty in self.terms:
            if council.version > self.claims[who, duty].council.version:
                self.claims[who, duty].council = council

    @precondition(lambda self: self.under_way)
    @rule(data=st.data(), fate=st.sampled_from(["comes", "comes", "comes", "comes twice", "lost"]))
    def travel(self, data, fate):
        place = data.draw(st.integers(0, min(5, len(self.under_way) - 1)))
        told = self.under_way[place] if fate == "comes twice" else self.under_way.pop(place)
        if fate != "lost":
            self.deliver(*told)

    @rule(name=st.sampled_from("abcdefg"), blank=st.booleans())
    def restart(self, name, blank):
        if blank and any(made.blank and each in made.council.names for each, made in self.voters.items()):
            return  # two without memory at once: terms rest on the others then (docs/duties.md)
        made = Voter(name, Council(0, tuple("abcde")), 4.0, self.now)
        if blank:
            self.disks[name] = []
        made.remember(self.disks[name], self.now)
        self.voters[name] = made

    def recall(self, name):
        told, rows = self.voters[name].tick(self.now)
        self.disks[name] += rows
        self.put(name, told)

    @rule(who=st.sampled_from("xyz"), duty=st.sampled_from(["d", VOTERS]))
    def hand_over(self, who, duty):
        self.put(who, self.claims[who, duty].end(self.now, "operator"))

    @precondition(lambda self: any(self.claims[who, VOTERS].holds(self.now) for who in "xyz"))
    @rule(remove=st.integers(0, 4), add=st.integers(0, 1))
    def change(self, remove, add):
        who = next(who for who in "xyz" if self.claims[who, VOTERS].holds(self.now))
        claim, changer = self.claims[who, VOTERS], self.changers[who]
        names = claim.council.names
        if not changer.busy:
            changer.wish = Change(names[remove], sorted(set("abcdefg") - set(names))[add])
        self.put(who, changer.propose(self.now, claim, claim.council))

    @invariant()
    def one_holder_and_terms_rise(self):
        if not hasattr(self, "claims"):
            return
        for duty in self.terms:
            claims = [claim for (_, each), claim in self.claims.items() if each == duty]
            assert sum(claim.holds(self.now) for claim in claims) <= 1
            for claim in claims:
                for turn in claim.turns:
                    if turn.held:
                        assert turn.term > self.terms[duty]
                        self.terms[duty] = turn.term
                claim.turns.clear()

    @invariant()
    def one_council_a_version(self):
        if hasattr(self, "claims"):
            known = [claim.council for claim in self.claims.values()]
            known += [made.council for made in self.voters.values()]
            assert len({council.version for council in known}) == len(set(known))


Votes.TestCase.settings = hypothesis_settings(
    max_examples=150, stateful_step_count=60, deadline=None, derandomize=True
)
TestVotes = Votes.TestCase
