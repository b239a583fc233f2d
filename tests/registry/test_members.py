from __future__ import annotations

import attrs

from cactusstile.consensus import membership
from cactusstile.consensus import messages
from cactusstile.consensus import replica
from cactusstile.registry import members


def status(
    name: str, *, voter: bool = True, active: bool = True
) -> replica.MemberStatus:
    member = membership.Member(name, 1, f"127.0.0.1:{len(name)}", voter)
    return replica.MemberStatus(member, 0, active)


def hello(name: str, incarnation: int = 2) -> messages.Hello:
    return messages.Hello("", name, incarnation, "127.0.0.1:9")


OWN = status("a").member.id


def test_voter_that_joins_with_a_new_incarnation_is_repaired() -> None:
    statuses = [status("a"), status("b", active=False), status("c")]
    step = members.next_step(statuses, [hello("b")], {}, OWN)
    assert step == members.Repair("b")


def test_single_new_replica_stays_a_learner() -> None:
    statuses = [status("a"), status("b"), status("c")]
    step = members.next_step(statuses, [hello("d")], {}, OWN)
    assert step == membership.AddLearner("d", 2, "127.0.0.1:9")
    statuses.append(status("d", voter=False))
    assert members.next_step(statuses, [], {}, OWN) is None


def test_two_learners_are_promoted_one_after_the_other() -> None:
    statuses = [status("a"), status("b"), status("c")]
    statuses += [status("d", voter=False), status("e", voter=False)]
    assert members.next_step(statuses, [], {}, OWN) == members.Promote("d")
    statuses[3] = status("d")
    assert members.next_step(statuses, [], {}, OWN) == members.Promote("e")


def test_lost_voter_is_replaced_by_a_learner() -> None:
    lost = status("c", active=False)
    silent = {lost.member.id: members.LOST_AFTER_S + 1}
    statuses = [status("a"), status("b"), lost, status("d", voter=False)]
    assert members.next_step(statuses, [], silent, OWN) == members.Promote("d")
    statuses[3] = status("d")
    step = members.next_step(statuses, [], silent, OWN)
    assert step == membership.Remove(lost.member.id)


def test_lost_voter_is_not_removed_without_a_learner() -> None:
    lost = status("c", active=False)
    silent = {lost.member.id: 1000.0}
    statuses = [status("a"), status("b"), lost]
    assert members.next_step(statuses, [], silent, OWN) is None


# Guards against lost voters that stay in a group which grew in their place.
def test_two_learners_do_not_join_voters_of_which_one_does_not_answer() -> None:
    silent = status("c", active=False)
    statuses = [status("a"), status("b"), silent]
    statuses += [status("d", voter=False), status("e", voter=False)]
    assert members.next_step(statuses, [], {}, OWN) is None
    silence_s = {silent.member.id: members.LOST_AFTER_S + 1}
    step = members.next_step(statuses, [], silence_s, OWN)
    assert step == members.Promote("d")


def test_voter_is_lost_before_it_can_answer_its_leader_in_a_new_term() -> None:
    contacts = members.Contacts()
    own, other = status("a"), status("b", active=False)
    first = replica.ReplicaStatus(
        OWN, "g", "leader", 3, "", 0, 0, 0, 0, (own, other), ()
    )
    contacts.update(first, 10.0, leads=True)
    assert contacts.silence_s(first, 20.0)[other.member.id] == 10.0
    second = attrs.evolve(first, term=5)
    contacts.update(second, 20.0, leads=True)
    assert contacts.silence_s(second, 20.0) == {}
    assert contacts.silence_s(second, 21.0)[other.member.id] == 1.0
