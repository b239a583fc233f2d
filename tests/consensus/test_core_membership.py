from __future__ import annotations

import pytest
from tests.consensus import groups

from cactusstile.consensus import core
from cactusstile.consensus import exceptions
from cactusstile.consensus import membership
from cactusstile.consensus import messages
from cactusstile.consensus import repair


def test_repair_promotes_only_member_with_all_committed_entries() -> None:
    """A voter lacking committed entries could elect a leader without them."""
    group, leader = groups.build()
    lost = groups.followers(group, leader)[0]
    for _ in range(20):
        group.propose(leader)
    group.advance(0.5)
    group.lose_disk(lost)
    group.repair(lost.name)
    group.advance(0.02)
    learner = groups.state_of(leader).configuration.find(lost.id)
    assert learner is not None
    assert not learner.voter
    with pytest.raises(exceptions.MembershipError):
        core.change_membership(
            groups.state_of(leader),
            membership.Promote(lost.id),
            group.clock(leader),
        )
    for _ in range(100):
        group.advance(0.05)
        group.repair(lost.name)
    assert lost.id in groups.state_of(leader).configuration.voter_ids
    synced_indexes = {entry.index for entry in lost.disk.entries}
    assert (
        set(range(2, groups.state_of(leader).commit_index + 1))
        <= synced_indexes
    )


def test_second_membership_change_is_refused_until_first_commits() -> None:
    """Majorities of configurations two changes apart may not overlap."""
    group, leader = groups.build(5)
    first, second, *_ = groups.followers(group, leader)
    groups.isolate(group, leader)
    group.change(leader, membership.Remove(first.id))
    with pytest.raises(exceptions.MembershipError, match="another"):
        core.change_membership(
            groups.state_of(leader),
            membership.Remove(second.id),
            group.clock(leader),
        )


def test_new_leader_changes_members_only_after_own_commit() -> None:
    """An uncommitted change of an earlier leader could still take effect."""
    group, leader = groups.build()
    state = groups.state_of(leader)
    assert state.leading is not None
    state.leading.first_index = state.commit_index + 1
    with pytest.raises(exceptions.MembershipError, match="its term"):
        core.change_membership(
            state, membership.Remove("x"), group.clock(leader)
        )


def test_repair_waits_for_the_first_commit_of_a_new_leader() -> None:
    """Leadership may move right before an operator asks for a repair."""
    group, leader = groups.build()
    lost = groups.followers(group, leader)[0]
    group.lose_disk(lost)
    group.advance(0.5)
    state = groups.state_of(leader)
    hello = messages.Hello("", lost.name, 99, lost.name)
    assert isinstance(
        repair.next_step(state, lost.name, [hello]), membership.Replace
    )
    assert state.leading is not None
    state.leading.first_index = state.commit_index + 1
    step = repair.next_step(state, lost.name, [hello])
    assert isinstance(step, repair.Wait)


def test_lagging_learner_is_not_promoted() -> None:
    """A voter must not count in quorums before it holds committed entries."""
    group, leader = groups.build()
    state = groups.state_of(leader)
    learner = groups.followers(group, leader)[0]
    assert state.leading is not None
    state.leading.progress[learner.id].match_index = state.commit_index - 1
    with pytest.raises(exceptions.MembershipError, match="has synced"):
        core.change_membership(
            state, membership.Promote(learner.id), group.clock(leader)
        )
