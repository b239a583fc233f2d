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


def test_pre_vote_of_isolated_replica_does_not_raise_the_term() -> None:
    """An isolated replica that returns must not depose a healthy leader."""
    group, leader = groups.build()
    term = groups.state_of(leader).term
    isolated = groups.followers(group, leader)[0]
    groups.isolate(group, isolated)
    group.advance(5.0)
    group.blocked_links.clear()
    group.advance(1.0)
    assert group.leader() is leader
    assert groups.state_of(leader).term == term


def test_lost_vote_requests_are_resent_within_the_election() -> None:
    """A lost vote request must not delay the election by a further timeout."""
    group, leader = groups.build()
    group.crash(leader)
    first, second = groups.followers(group, leader)
    group.blocked_links = {(first.name, second.name), (second.name, first.name)}
    while {groups.state_of(first).role, groups.state_of(second).role} == {
        FOLLOWER
    }:
        group.advance(simulation.STEP_S)
    group.advance(3 * simulation.STEP_S)
    group.blocked_links.clear()
    group.advance(TIMEOUT_S - 4 * simulation.STEP_S)
    assert group.leader() in (first, second)


def test_check_quorum_stops_isolated_leader_within_election_timeout() -> None:
    """A leader without a quorum must not accept proposals or reads."""
    group, leader = groups.build()
    groups.isolate(group, leader)
    isolated_at = group.now
    while leadership.serves(groups.state_of(leader)):
        group.advance(simulation.STEP_S)
    assert group.now - isolated_at <= TIMEOUT_S + simulation.STEP_S
    assert (
        core.propose(groups.state_of(leader), [b"x"], group.clock(leader))[0]
        == 0
    )
    with pytest.raises(exceptions.NotLeaderError):
        core.read(groups.state_of(leader), 1, group.clock(leader))
    group.advance(TIMEOUT_S)
    assert groups.state_of(leader).leading is None


def test_leader_resumed_after_freeze_refuses_before_any_message() -> None:
    """A resumed leader must not rely on a lease that expired meanwhile."""
    group, leader = groups.build()
    leader.frozen = True
    group.advance(3.0)
    assert (
        core.propose(groups.state_of(leader), [b"x"], group.clock(leader))[0]
        == 0
    )
    with pytest.raises(exceptions.NotLeaderError):
        core.read(groups.state_of(leader), 1, group.clock(leader))


def test_vote_reply_is_sent_only_after_sync() -> None:
    """A vote that is lost in a crash would allow a second vote in the term."""
    group, leader = groups.build()
    groups.isolate(group, leader)
    voter, candidate = groups.followers(group, leader)
    state = groups.state_of(voter)
    now = group.clock(voter) + TIMEOUT_S
    request = _vote_request(candidate.id, voter)
    new_effects = core.receive(state, candidate.name, request, now)
    save = effects.SaveMetadata("g", request.term, candidate.id)
    save_position = new_effects.index(save)
    replies = [item for item in new_effects if isinstance(item, effects.Send)]
    assert [item.after_sync for item in replies] == [True]
    assert new_effects.index(replies[0]) > save_position
    # A repeated request needs no second write; its reply waits for the first.
    repeated = core.receive(state, candidate.name, request, now)
    assert [type(item) for item in repeated] == [effects.Send]
    assert isinstance(repeated[0], effects.Send)
    assert repeated[0].after_sync
    # No other candidate gets a vote in this term, not even after a crash.
    rival_request = _vote_request(leader.id, voter, term=request.term)
    rival_effects = core.receive(state, leader.name, rival_request, now)
    group.dispatch(voter, new_effects)
    group.sync(voter)
    group.crash(voter)
    group.start(voter)
    later_effects = core.receive(
        groups.state_of(voter), leader.name, rival_request, now + TIMEOUT_S
    )
    for effect in rival_effects + later_effects:
        assert isinstance(effect, effects.Send)
        assert isinstance(effect.message, messages.VoteReply)
        assert not effect.message.granted


def test_append_is_acknowledged_only_after_sync() -> None:
    """Unsynced entries may be lost in a crash and must not be committed."""
    group, leader = groups.build()
    group.sync_probability = 0.0
    before = max(group.committed)
    group.propose(leader)
    group.advance(0.2)
    assert max(group.committed) == before
    for node in group.nodes.values():
        group.sync(node)
    group.sync_probability = 1.0
    group.advance(0.2)
    assert max(group.committed) == before + 1


def test_replica_with_lost_disk_does_not_vote_as_old_incarnation() -> None:
    """A vote without the lost log could elect a leader without entries."""
    group, leader = groups.build()
    lost = groups.followers(group, leader)[0]
    request = _vote_request("x", lost)
    group.lose_disk(lost)
    now = group.clock(lost) + 10
    assert core.receive(groups.state_of(lost), "x", request, now) == []
    group.advance(3.0)
    assert not groups.state_of(lost).is_voter
    assert groups.state_of(lost).log.last_index == 0


def test_replica_joins_only_one_group_across_restarts() -> None:
    """A replica must not vote in a second group, also after a crash."""
    group, leader = groups.build()
    joiner = groups.followers(group, leader)[0]
    group.lose_disk(joiner)
    request = _vote_request("x", joiner)
    now = group.clock(joiner) + TIMEOUT_S + 0.001
    new_effects = core.receive(groups.state_of(joiner), "x", request, now)
    assert effects.SaveMetadata("g", 0, "") in new_effects
    for effect in new_effects:
        assert not isinstance(effect, effects.Send) or effect.after_sync
    group.dispatch(joiner, new_effects)
    group.sync(joiner)
    for _ in range(2):
        foreign_request = _vote_request("y", joiner, group="h", term=9)
        assert (
            core.receive(groups.state_of(joiner), "y", foreign_request, now)
            == []
        )
        group.crash(joiner)
        group.start(joiner)
        now = group.clock(joiner) + TIMEOUT_S + 0.001


def test_lease_read_needs_no_heartbeat_round_until_lease_expires() -> None:
    """An expired lease must not serve reads: another leader may exist."""
    group, leader = groups.build()
    state = groups.state_of(leader)
    new_effects = core.read(state, 1, group.clock(leader))
    assert new_effects == [effects.ReadConfirmed(1, state.commit_index)]
    groups.isolate(group, leader)
    now = leadership.last_quorum_contact(state) + simulation.SETTINGS.lease_s
    assert now < leadership.last_quorum_contact(state) + TIMEOUT_S
    with pytest.raises(exceptions.NotLeaderError):
        core.read(state, 2, now)


def test_restarted_follower_refuses_votes_for_an_election_timeout() -> None:
    """A leader's lease may depend on a reply from before the restart."""
    group, leader = groups.build()
    voter, candidate = groups.followers(group, leader)
    group.crash(voter)
    group.start(voter)
    state = groups.state_of(voter)
    request = _vote_request(candidate.id, voter)
    now = group.clock(voter)
    assert core.receive(state, candidate.name, request, now) == []
    later_effects = core.receive(
        state, candidate.name, request, now + TIMEOUT_S + 0.001
    )
    assert later_effects


def test_transfer_disables_lease_reads_for_the_term() -> None:
    """A transfer may elect another leader before the lease expires."""
    group, leader = groups.build()
    state = groups.state_of(leader)
    groups.isolate(group, leader)
    core.transfer(state, group.clock(leader))
    # `CampaignNow` may be delivered at any later time of the term.
    now = group.clock(leader) + 0.01
    assert state.leading is not None
    state.leading.transfer_target = ""
    new_effects = core.read(state, 1, now)
    assert not [
        effect
        for effect in new_effects
        if isinstance(effect, effects.ReadConfirmed)
    ]


def test_received_snapshot_keeps_acknowledged_later_entries() -> None:
    """Dropping acknowledged entries could lose committed commands."""
    group, leader = groups.build()
    follower = groups.followers(group, leader)[0]
    state = groups.state_of(follower)
    last_index = state.log.last_index
    entries = tuple(
        messages.Entry(last_index + offset, state.term, 0, b"x")
        for offset in (1, 2, 3)
    )
    now = group.clock(follower)
    append = messages.AppendRequest(
        "g",
        leader.id,
        follower.id,
        state.term,
        last_index,
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
        last_index + 1,
        state.term,
        membership.encode(state.configuration),
        0,
        0,
        b"",
    )
    core.receive(state, leader.name, chunk, now)
    assert state.commit_index == last_index + 1
    assert state.log.last_index == last_index + 3


def test_entry_of_earlier_term_is_not_committed_by_replica_count() -> None:
    """A later leader could still replace an entry of an earlier term."""
    group, leader = groups.build()
    group.sync_probability = 0.0
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
    """An entry that is synced on a minority must not be committed."""
    group, leader = groups.build()
    isolated, follower = groups.followers(group, leader)
    groups.isolate(group, isolated)
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


def test_sync_report_of_replaced_entry_is_ignored() -> None:
    """The entry that replaced the synced one is not durable yet."""
    group, leader = groups.build()
    state = groups.state_of(leader)
    group.propose(leader)
    last_index = state.log.last_index
    core.synced(
        state,
        index=last_index,
        index_term=state.term - 1,
        metadata=None,
        now=group.clock(leader),
    )
    assert state.synced_index == last_index - 1


def test_quorum_read_needs_heartbeat_sent_after_it() -> None:
    """An earlier heartbeat does not show that the leader still leads."""
    group, leader = groups.build()
    state = groups.state_of(leader)
    assert state.leading is not None
    state.leading.lease_revoked = True
    new_effects = core.read(state, 1, group.clock(leader))
    assert effects.ReadConfirmed(1, state.commit_index) not in new_effects
    old_reply = messages.HeartbeatReply(
        "g",
        groups.followers(group, leader)[0].id,
        leader.id,
        state.term,
        state.leading.round - 1,
        state.now,
    )
    assert core.receive(state, "x", old_reply, state.now) == []
    new_reply = attrs.evolve(old_reply, round=state.leading.round)
    confirmed = effects.ReadConfirmed(1, state.commit_index)
    assert core.receive(state, "x", new_reply, state.now) == [confirmed]


def test_append_batches_and_pipeline_are_bounded() -> None:
    """A silent follower must not cause unbounded messages in flight."""
    group, leader = groups.build()
    follower = groups.followers(group, leader)[0]
    group.blocked_links.add((follower.name, leader.name))
    commands = [b"%0100d" % number for number in range(50)]
    _, new_effects = core.propose(
        groups.state_of(leader), commands, group.clock(leader)
    )
    appends = []
    for effect in new_effects:
        if not isinstance(effect, effects.Send):
            continue
        if isinstance(effect.message, messages.AppendRequest):
            appends.append(effect.message)
    settings = simulation.SETTINGS
    for target in (node.id for node in groups.followers(group, leader)):
        sent = [append for append in appends if append.target == target]
        assert 0 < len(sent) <= settings.max_inflight_appends
        for append in sent:
            size = sum(len(entry.data) for entry in append.entries)
            assert size <= settings.max_append_bytes
