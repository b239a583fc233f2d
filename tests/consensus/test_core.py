from __future__ import annotations

import attrs
import pytest
from tests.consensus import groups
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


def _vote_request(
    source: str, node: simulation.Node, **changes: object
) -> messages.VoteRequest:
    request = messages.VoteRequest(
        group="g",
        source=source,
        target=node.id,
        term=groups.state_of(node).term + 1,
        last_index=100,
        last_term=100,
        pre_vote=False,
        transfer=False,
    )
    return attrs.evolve(request, **changes)  # type: ignore[arg-type]


def test_pre_vote_lets_returning_replica_follow_without_new_term() -> None:
    group, leader = groups.build()
    term = groups.state_of(leader).term
    lonely = groups.followers(group, leader)[0]
    groups.isolate(group, lonely)
    group.advance(5.0)
    group.cuts.clear()
    group.advance(1.0)
    assert group.leader() is leader
    assert groups.state_of(leader).term == term


def test_lost_vote_requests_are_sent_again_within_the_candidacy() -> None:
    group, leader = groups.build()
    group.crash(leader)
    first, second = groups.followers(group, leader)
    group.cuts = {(first.name, second.name), (second.name, first.name)}
    while {groups.state_of(first).role, groups.state_of(second).role} == {
        FOLLOWER
    }:
        group.advance(simulation.STEP_S)
    group.advance(3 * simulation.STEP_S)
    group.cuts.clear()
    group.advance(TIMEOUT_S - 4 * simulation.STEP_S)
    assert group.leader() in (first, second)


def test_check_quorum_stops_cut_leader_within_election_timeout() -> None:
    group, leader = groups.build()
    groups.isolate(group, leader)
    heard_at = group.now
    while leadership.serves(groups.state_of(leader)):
        group.advance(simulation.STEP_S)
    assert group.now - heard_at <= TIMEOUT_S + simulation.STEP_S
    assert (
        core.propose(groups.state_of(leader), [b"x"], group.clock(leader))[0]
        == 0
    )
    with pytest.raises(exceptions.NotLeaderError):
        core.read(groups.state_of(leader), 1, group.clock(leader))
    group.advance(TIMEOUT_S)
    assert groups.state_of(leader).leading is None


def test_frozen_leader_that_wakes_refuses_before_it_hears_anything() -> None:
    group, leader = groups.build()
    leader.frozen = True
    group.advance(3.0)
    assert (
        core.propose(groups.state_of(leader), [b"x"], group.clock(leader))[0]
        == 0
    )
    with pytest.raises(exceptions.NotLeaderError):
        core.read(groups.state_of(leader), 1, group.clock(leader))


def test_vote_leaves_only_after_it_is_synced() -> None:
    group, leader = groups.build()
    groups.isolate(group, leader)
    voter, other = groups.followers(group, leader)
    state = groups.state_of(voter)
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
    later = core.receive(
        groups.state_of(voter), leader.name, rival, now + TIMEOUT_S
    )
    for effect in refused + later:
        assert isinstance(effect, effects.Send)
        assert isinstance(effect.message, messages.VoteReply)
        assert not effect.message.granted


def test_append_is_acknowledged_only_after_sync() -> None:
    group, leader = groups.build()
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
    group, leader = groups.build()
    lost = groups.followers(group, leader)[0]
    request = _vote_request("x", lost)
    group.lose_disk(lost)
    now = group.clock(lost) + 10
    assert core.receive(groups.state_of(lost), "x", request, now) == []
    group.advance(3.0)
    assert not groups.state_of(lost).is_voter
    assert groups.state_of(lost).log.last_index == 0


def test_replica_joins_one_group_for_good() -> None:
    group, leader = groups.build()
    fresh = groups.followers(group, leader)[0]
    group.lose_disk(fresh)
    request = _vote_request("x", fresh)
    now = group.clock(fresh) + TIMEOUT_S + 0.001
    found = core.receive(groups.state_of(fresh), "x", request, now)
    assert effects.SaveMetadata("g", 0, "") in found
    for effect in found:
        assert not isinstance(effect, effects.Send) or effect.after_sync
    group.dispatch(fresh, found)
    group.sync(fresh)
    for _ in range(2):
        other = _vote_request("y", fresh, group="h", term=9)
        assert core.receive(groups.state_of(fresh), "y", other, now) == []
        group.crash(fresh)
        group.start(fresh)
        now = group.clock(fresh) + TIMEOUT_S + 0.001


def test_lease_read_needs_no_round_and_ends_with_the_lease() -> None:
    group, leader = groups.build()
    state = groups.state_of(leader)
    found = core.read(state, 1, group.clock(leader))
    assert found == [effects.ReadConfirmed(1, state.commit_index)]
    groups.isolate(group, leader)
    now = leadership.last_quorum_contact(state) + simulation.SETTINGS.lease_s
    assert now < leadership.last_quorum_contact(state) + TIMEOUT_S
    with pytest.raises(exceptions.NotLeaderError):
        core.read(state, 2, now)


def test_restarted_follower_keeps_its_promise_to_the_leader() -> None:
    group, leader = groups.build()
    voter, other = groups.followers(group, leader)
    group.crash(voter)
    group.start(voter)
    state = groups.state_of(voter)
    request = _vote_request(other.id, voter)
    now = group.clock(voter)
    assert core.receive(state, other.name, request, now) == []
    later = core.receive(state, other.name, request, now + TIMEOUT_S + 0.001)
    assert later


def test_transfer_ends_lease_reads_for_the_term() -> None:
    group, leader = groups.build()
    state = groups.state_of(leader)
    groups.isolate(group, leader)
    core.transfer(state, group.clock(leader))
    # The order to campaign may arrive at any later time.
    now = group.clock(leader) + 0.01
    assert state.leading is not None
    state.leading.transfer_target = ""
    found = core.read(state, 1, now)
    assert not [one for one in found if isinstance(one, effects.ReadConfirmed)]


def test_snapshot_keeps_acknowledged_entries_after_it() -> None:
    group, leader = groups.build()
    follower = groups.followers(group, leader)[0]
    state = groups.state_of(follower)
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
    group, leader = groups.build()
    group.sync_chance = 0.0
    group.propose(leader)
    group.advance(0.05)
    state = groups.state_of(leader)
    assert state.leading is not None
    state.leading.first_index = state.log.last_index + 1
    before = state.commit_index
    for node in group.nodes.values():
        group.sync(node)
    group.advance(0.05)
    assert state.commit_index == before


def test_leader_counts_itself_only_after_its_own_sync() -> None:
    group, leader = groups.build()
    lost, follower = groups.followers(group, leader)
    groups.isolate(group, lost)
    before = max(group.committed)
    group.propose(leader)
    leader.frozen = True
    group.advance(0.05)
    group.sync(follower)
    state = groups.state_of(leader)
    reply = messages.AppendReply(
        "g", follower.id, leader.id, state.term, True, state.log.last_index
    )
    core.receive(state, follower.name, reply, group.clock(leader))
    assert state.commit_index == before
    group.sync(leader)
    assert state.commit_index == before + 1


def test_sync_of_replaced_entry_does_not_count() -> None:
    group, leader = groups.build()
    state = groups.state_of(leader)
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


def test_quorum_read_needs_heartbeat_sent_after_it() -> None:
    group, leader = groups.build()
    state = groups.state_of(leader)
    assert state.leading is not None
    state.leading.lease_revoked = True
    found = core.read(state, 1, group.clock(leader))
    assert effects.ReadConfirmed(1, state.commit_index) not in found
    old = messages.HeartbeatReply(
        "g",
        groups.followers(group, leader)[0].id,
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
    group, leader = groups.build()
    follower = groups.followers(group, leader)[0]
    group.cuts.add((follower.name, leader.name))
    commands = [b"%0100d" % number for number in range(50)]
    _, found = core.propose(
        groups.state_of(leader), commands, group.clock(leader)
    )
    appends = []
    for effect in found:
        if not isinstance(effect, effects.Send):
            continue
        if isinstance(effect.message, messages.AppendRequest):
            appends.append(effect.message)
    settings = simulation.SETTINGS
    for target in (node.id for node in groups.followers(group, leader)):
        sent = [one for one in appends if one.target == target]
        assert 0 < len(sent) <= settings.max_inflight_appends
        for one in sent:
            size = sum(len(entry.data) for entry in one.entries)
            assert size <= settings.max_append_bytes
