from __future__ import annotations

import random

import attrs
import pytest
from tests.consensus import simulation

from cactusstile.consensus import core
from cactusstile.consensus import effects
from cactusstile.consensus import exceptions
from cactusstile.consensus import leadership
from cactusstile.consensus import membership
from cactusstile.consensus import messages
from cactusstile.consensus import state as states

FOLLOWER = states.Role.FOLLOWER
TIMEOUT_S = simulation.SETTINGS.election_timeout_s


def _group(size: int = 3) -> tuple[simulation.Simulation, simulation.Node]:
    group = simulation.Simulation(random.Random(7), sync_chance=1.0)
    group.found(["a", "b", "c", "d", "e"][:size])
    group.advance(2.0)
    leader = group.leader()
    assert leader is not None
    return group, leader


def _followers(
    group: simulation.Simulation, leader: simulation.Node
) -> list[simulation.Node]:
    return [node for node in group.nodes.values() if node is not leader]


def _state(node: simulation.Node) -> states.State:
    assert node.state is not None
    return node.state


def _isolate(group: simulation.Simulation, node: simulation.Node) -> None:
    for name in group.nodes:
        group.cuts |= {(name, node.name), (node.name, name)}


def _vote_request(
    source: str, node: simulation.Node, **changes: object
) -> messages.VoteRequest:
    request = messages.VoteRequest(
        group="g",
        source=source,
        target=node.id,
        term=_state(node).term + 1,
        last_index=100,
        last_term=100,
        pre_vote=False,
        transfer=False,
    )
    return attrs.evolve(request, **changes)  # type: ignore[arg-type]


def test_pre_vote_lets_returning_replica_follow_without_new_term() -> None:
    group, leader = _group()
    term = _state(leader).term
    lonely = _followers(group, leader)[0]
    _isolate(group, lonely)
    group.advance(5.0)
    group.cuts.clear()
    group.advance(1.0)
    assert group.leader() is leader
    assert _state(leader).term == term


def test_lost_vote_requests_are_sent_again_within_the_candidacy() -> None:
    group, leader = _group()
    group.crash(leader)
    first, second = _followers(group, leader)
    group.cuts = {(first.name, second.name), (second.name, first.name)}
    while {_state(first).role, _state(second).role} == {FOLLOWER}:
        group.advance(simulation.STEP_S)
    group.advance(3 * simulation.STEP_S)
    group.cuts.clear()
    group.advance(TIMEOUT_S - 4 * simulation.STEP_S)
    assert group.leader() in (first, second)


def test_check_quorum_stops_cut_leader_within_election_timeout() -> None:
    group, leader = _group()
    _isolate(group, leader)
    heard_at = group.now
    while leadership.serves(_state(leader)):
        group.advance(simulation.STEP_S)
    assert group.now - heard_at <= TIMEOUT_S + simulation.STEP_S
    assert core.propose(_state(leader), [b"x"], group.clock(leader))[0] == 0
    with pytest.raises(exceptions.NotLeaderError):
        core.read(_state(leader), 1, group.clock(leader))
    group.advance(TIMEOUT_S)
    assert _state(leader).leading is None


def test_frozen_leader_that_wakes_refuses_before_it_hears_anything() -> None:
    group, leader = _group()
    leader.frozen = True
    group.advance(3.0)
    assert core.propose(_state(leader), [b"x"], group.clock(leader))[0] == 0
    with pytest.raises(exceptions.NotLeaderError):
        core.read(_state(leader), 1, group.clock(leader))


def test_vote_leaves_only_after_it_is_synced() -> None:
    group, leader = _group()
    _isolate(group, leader)
    voter, other = _followers(group, leader)
    state = _state(voter)
    now = group.clock(voter) + TIMEOUT_S
    request = _vote_request(other.id, voter)
    found = core.receive(state, other.name, request, now)
    saved = effects.SaveMetadata("g", request.term, other.id)
    position = found.index(saved)
    replies = [one for one in found if isinstance(one, effects.Send)]
    assert [one.after_sync for one in replies] == [True]
    assert found.index(replies[0]) > position
    # The same request again needs no second write, but waits for the first.
    again = core.receive(state, other.name, request, now)
    assert [type(one) for one in again] == [effects.Send]
    assert isinstance(again[0], effects.Send)
    assert again[0].after_sync
    # Nobody else gets a vote in this term, nor after a crash and the sync.
    rival = _vote_request(leader.id, voter, term=request.term)
    refused = core.receive(state, leader.name, rival, now)
    group.dispatch(voter, found)
    group.sync(voter)
    group.crash(voter)
    group.start(voter)
    later = core.receive(_state(voter), leader.name, rival, now + TIMEOUT_S)
    for effect in refused + later:
        assert isinstance(effect, effects.Send)
        assert isinstance(effect.message, messages.VoteReply)
        assert not effect.message.granted


def test_append_is_acknowledged_only_after_sync() -> None:
    group, leader = _group()
    group.sync_chance = 0.0
    before = max(group.committed)
    group.propose(leader)
    group.advance(0.2)
    assert max(group.committed) == before
    for node in group.nodes.values():
        group.sync(node)
    group.sync_chance = 1.0
    group.advance(0.2)
    assert max(group.committed) == before + 1


def test_lost_disk_never_votes_as_the_old_incarnation() -> None:
    group, leader = _group()
    lost = _followers(group, leader)[0]
    request = _vote_request("x", lost)
    group.lose_disk(lost)
    now = group.clock(lost) + 10
    assert core.receive(_state(lost), "x", request, now) == []
    group.advance(3.0)
    assert not _state(lost).is_voter
    assert _state(lost).log.last_index == 0


def test_replica_joins_one_group_for_good() -> None:
    group, leader = _group()
    fresh = _followers(group, leader)[0]
    group.lose_disk(fresh)
    request = _vote_request("x", fresh)
    now = group.clock(fresh) + TIMEOUT_S + 0.001
    found = core.receive(_state(fresh), "x", request, now)
    assert effects.SaveMetadata("g", 0, "") in found
    for effect in found:
        assert not isinstance(effect, effects.Send) or effect.after_sync
    group.dispatch(fresh, found)
    group.sync(fresh)
    for _ in range(2):
        other = _vote_request("y", fresh, group="h", term=9)
        assert core.receive(_state(fresh), "y", other, now) == []
        group.crash(fresh)
        group.start(fresh)
        now = group.clock(fresh) + TIMEOUT_S + 0.001


def test_repair_promotes_only_what_holds_all_committed_entries() -> None:
    group, leader = _group()
    lost = _followers(group, leader)[0]
    for _ in range(20):
        group.propose(leader)
    group.advance(0.5)
    group.lose_disk(lost)
    group.repair(lost.name)
    group.advance(0.02)
    learner = _state(leader).configuration.find(lost.id)
    assert learner is not None
    assert not learner.voter
    with pytest.raises(exceptions.MembershipError):
        core.change_membership(
            _state(leader), membership.Promote(lost.id), group.clock(leader)
        )
    for _ in range(100):
        group.advance(0.05)
        group.repair(lost.name)
    assert lost.id in _state(leader).configuration.voter_ids
    held = {entry.index for entry in lost.disk.entries}
    assert set(range(2, _state(leader).commit_index + 1)) <= held


def test_second_membership_change_waits_for_the_first() -> None:
    group, leader = _group(5)
    first, second, *_ = _followers(group, leader)
    _isolate(group, leader)
    group.change(leader, membership.Remove(first.id))
    with pytest.raises(exceptions.MembershipError, match="another"):
        core.change_membership(
            _state(leader), membership.Remove(second.id), group.clock(leader)
        )


def test_lease_read_needs_no_round_and_ends_with_the_lease() -> None:
    group, leader = _group()
    state = _state(leader)
    found = core.read(state, 1, group.clock(leader))
    assert found == [effects.ReadConfirmed(1, state.commit_index)]
    _isolate(group, leader)
    now = leadership.quorum_contact(state) + simulation.SETTINGS.lease_s
    assert now < leadership.quorum_contact(state) + TIMEOUT_S
    with pytest.raises(exceptions.NotLeaderError):
        core.read(state, 2, now)


def test_restarted_follower_keeps_its_promise_to_the_leader() -> None:
    group, leader = _group()
    voter, other = _followers(group, leader)
    group.crash(voter)
    group.start(voter)
    state = _state(voter)
    request = _vote_request(other.id, voter)
    now = group.clock(voter)
    assert core.receive(state, other.name, request, now) == []
    later = core.receive(state, other.name, request, now + TIMEOUT_S + 0.001)
    assert later


def test_transfer_ends_lease_reads_for_the_term() -> None:
    group, leader = _group()
    state = _state(leader)
    _isolate(group, leader)
    core.transfer(state, group.clock(leader))
    # The order to campaign may arrive at any later time.
    now = group.clock(leader) + 0.01
    assert state.leading is not None
    state.leading.transfer_target = ""
    found = core.read(state, 1, now)
    assert not [one for one in found if isinstance(one, effects.ReadConfirmed)]


def test_snapshot_keeps_acknowledged_entries_after_it() -> None:
    group, leader = _group()
    follower = _followers(group, leader)[0]
    state = _state(follower)
    last = state.log.last_index
    entries = tuple(
        messages.Entry(last + one, state.term, 0, b"x") for one in (1, 2, 3)
    )
    now = group.clock(follower)
    append = messages.AppendRequest(
        "g",
        leader.id,
        follower.id,
        state.term,
        last,
        state.log.last_term,
        state.commit_index,
        entries,
    )
    core.receive(state, leader.name, append, now)
    chunk = messages.SnapshotChunk(
        "g",
        leader.id,
        follower.id,
        state.term,
        last + 1,
        state.term,
        membership.encode(state.configuration),
        0,
        0,
        b"",
    )
    core.receive(state, leader.name, chunk, now)
    assert state.commit_index == last + 1
    assert state.log.last_index == last + 3


def test_entry_of_earlier_term_is_not_committed_by_counting() -> None:
    group, leader = _group()
    group.sync_chance = 0.0
    group.propose(leader)
    group.advance(0.05)
    state = _state(leader)
    assert state.leading is not None
    state.leading.first_index = state.log.last_index + 1
    before = state.commit_index
    for node in group.nodes.values():
        group.sync(node)
    group.advance(0.05)
    assert state.commit_index == before


def test_leader_counts_itself_only_after_its_own_sync() -> None:
    group, leader = _group()
    lost, follower = _followers(group, leader)
    _isolate(group, lost)
    before = max(group.committed)
    group.propose(leader)
    leader.frozen = True
    group.advance(0.05)
    group.sync(follower)
    state = _state(leader)
    reply = messages.AppendReply(
        "g", follower.id, leader.id, state.term, True, state.log.last_index
    )
    core.receive(state, follower.name, reply, group.clock(leader))
    assert state.commit_index == before
    group.sync(leader)
    assert state.commit_index == before + 1


def test_sync_of_replaced_entry_does_not_count() -> None:
    group, leader = _group()
    state = _state(leader)
    group.propose(leader)
    last = state.log.last_index
    core.synced(
        state,
        index=last,
        index_term=state.term - 1,
        metadata=None,
        now=group.clock(leader),
    )
    assert state.synced_index == last - 1


def test_new_leader_changes_members_only_after_own_commit() -> None:
    group, leader = _group()
    state = _state(leader)
    assert state.leading is not None
    state.leading.first_index = state.commit_index + 1
    with pytest.raises(exceptions.MembershipError, match="its term"):
        core.change_membership(
            state, membership.Remove("x"), group.clock(leader)
        )


def test_learner_behind_is_not_promoted() -> None:
    group, leader = _group()
    state = _state(leader)
    learner = _followers(group, leader)[0]
    assert state.leading is not None
    state.leading.progress[learner.id].match_index = state.commit_index - 1
    with pytest.raises(exceptions.MembershipError, match="has synced"):
        core.change_membership(
            state, membership.Promote(learner.id), group.clock(leader)
        )


def test_quorum_read_needs_heartbeat_sent_after_it() -> None:
    group, leader = _group()
    state = _state(leader)
    assert state.leading is not None
    state.leading.lease_revoked = True
    found = core.read(state, 1, group.clock(leader))
    assert effects.ReadConfirmed(1, state.commit_index) not in found
    old = messages.HeartbeatReply(
        "g",
        _followers(group, leader)[0].id,
        leader.id,
        state.term,
        state.leading.round - 1,
        state.now,
    )
    assert core.receive(state, "x", old, state.now) == []
    new = attrs.evolve(old, round=state.leading.round)
    confirmed = effects.ReadConfirmed(1, state.commit_index)
    assert core.receive(state, "x", new, state.now) == [confirmed]


def test_batches_and_pipeline_are_bounded() -> None:
    group, leader = _group()
    follower = _followers(group, leader)[0]
    group.cuts.add((follower.name, leader.name))
    commands = [b"%0100d" % number for number in range(50)]
    _, found = core.propose(_state(leader), commands, group.clock(leader))
    appends = []
    for effect in found:
        if not isinstance(effect, effects.Send):
            continue
        if isinstance(effect.message, messages.AppendRequest):
            appends.append(effect.message)
    settings = simulation.SETTINGS
    for target in (node.id for node in _followers(group, leader)):
        sent = [one for one in appends if one.target == target]
        assert 0 < len(sent) <= settings.max_inflight_appends
        for one in sent:
            size = sum(len(entry.data) for entry in one.entries)
            assert size <= settings.max_append_bytes
