from __future__ import annotations

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


def test_voter_that_lost_its_disk_is_repaired() -> None:
    found = [status("a"), status("b", active=False), status("c")]
    step = members.next_step(found, [hello("b")], {}, OWN)
    assert step == members.Repair("b")


def test_new_replica_joins_as_a_learner_and_waits() -> None:
    found = [status("a"), status("b"), status("c")]
    step = members.next_step(found, [hello("d")], {}, OWN)
    assert step == membership.AddLearner("d", 2, "127.0.0.1:9")
    found.append(status("d", voter=False))
    assert members.next_step(found, [], {}, OWN) is None


def test_two_learners_become_voters_one_after_the_other() -> None:
    found = [status("a"), status("b"), status("c")]
    found += [status("d", voter=False), status("e", voter=False)]
    assert members.next_step(found, [], {}, OWN) == members.Promote("d")
    found[3] = status("d")
    assert members.next_step(found, [], {}, OWN) == members.Promote("e")


def test_voter_that_is_lost_for_good_is_replaced() -> None:
    lost = status("c", active=False)
    silent = {lost.member.id: members.LOST_AFTER_S + 1}
    found = [status("a"), status("b"), lost, status("d", voter=False)]
    assert members.next_step(found, [], silent, OWN) == members.Promote("d")
    found[3] = status("d")
    step = members.next_step(found, [], silent, OWN)
    assert step == membership.Remove(lost.member.id)


def test_voter_that_is_silent_without_a_learner_keeps_its_vote() -> None:
    lost = status("c", active=False)
    silent = {lost.member.id: 1000.0}
    found = [status("a"), status("b"), lost]
    assert members.next_step(found, [], silent, OWN) is None
