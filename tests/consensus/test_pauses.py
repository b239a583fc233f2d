"""Replicas that stood still while messages waited for them."""

from __future__ import annotations

from tests.consensus import groups
from tests.consensus import simulation

from cactusstile.consensus import core
from cactusstile.consensus import leadership
from cactusstile.consensus import messages
from cactusstile.consensus import state as states

PAUSE_S = 3.0


def campaign(node: simulation.Node, now: float) -> states.State:
    """Lets a follower ask for votes, whose replies are not delivered."""
    state = groups.state_of(node)
    core.tick(state, now)
    for voter in state.configuration.voter_ids:
        core.receive(state, voter, _vote(state, voter, pre_vote=True), now)
    assert state.role is states.Role.CANDIDATE
    return state


def _vote(
    state: states.State, voter: str, *, pre_vote: bool
) -> messages.VoteReply:
    return messages.VoteReply(
        group="g",
        source=voter,
        target=state.member_id,
        term=state.term + pre_vote,
        granted=True,
        pre_vote=pre_vote,
    )


def elect(pause_s: float) -> states.State:
    """Returns a replica that reads its votes after a pause."""
    group, leader = groups.build()
    node = groups.followers(group, leader)[0]
    now = groups.state_of(node).election_at + 1.0
    state = campaign(node, now)
    for voter in state.configuration.voter_ids:
        if voter == state.member_id:
            continue
        vote = _vote(state, voter, pre_vote=False)
        core.receive(state, voter, vote, now + pause_s)
    assert state.role is states.Role.LEADER
    return state


def test_leader_serves_by_votes_that_waited_during_its_pause() -> None:
    assert leadership.serves(elect(0.01))
    late = elect(PAUSE_S)
    assert not leadership.serves(late)
    # It is the leader all the same, if nobody says otherwise.
    assert not leadership.has_lost_quorum(late)
    for voter in late.configuration.voter_ids:
        reply = messages.HeartbeatReply(
            "g", voter, late.member_id, late.term, 1, late.now
        )
        core.receive(late, voter, reply, late.now)
    assert leadership.serves(late)
