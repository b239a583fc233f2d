"""Elections among replicas whose disks are slow."""

from __future__ import annotations

import random

import attrs
import pytest
from tests.consensus import groups
from tests.consensus import simulation

from cactusstile.consensus import core
from cactusstile.consensus import effects
from cactusstile.consensus import messages
from cactusstile.consensus import state as states

SEEDS = range(20)
WATCHED_S = 20.0
# Last heartbeats, messages of an election and their ticks, slow clocks.
EXCHANGE_S = 0.4
TIMEOUT_S = 2 * simulation.SETTINGS.election_timeout_s

Pending = list[effects.Write | effects.Send]


@attrs.define
class SlowDisks(simulation.Simulation):
    """Disks that need time for a batch; what comes meanwhile waits.

    Attributes:
      sync_s: Time of a sync in seconds, by name of the replica.
      writing: Time at which a batch is durable, and the batch, by name.
    """

    sync_s: dict[str, float] = attrs.field(factory=dict)
    writing: dict[str, tuple[float, Pending]] = attrs.field(factory=dict)

    def sync(self, node: simulation.Node) -> None:
        if node.name in self.writing:
            durable_at, batch = self.writing[node.name]
            if self.now < durable_at:
                return
            del self.writing[node.name]
            waiting, node.pending = node.pending, batch
            simulation.Simulation.sync(self, node)
            node.pending = waiting + node.pending
        if all(isinstance(item, effects.Send) for item in node.pending):
            simulation.Simulation.sync(self, node)
            return
        durable_at = self.now + self.sync_s.get(node.name, 0.0)
        self.writing[node.name] = durable_at, node.pending
        node.pending = []


def lose_leader(seed: int) -> SlowDisks:
    """Returns a group of which the leader has crashed."""
    group = SlowDisks(random.Random(seed), sync_probability=1.0)
    group.bootstrap(["a", "b", "c"])
    group.advance(2.0)
    leader = group.leader()
    assert leader is not None
    group.crash(leader)
    return group


def survivors(group: SlowDisks) -> list[simulation.Node]:
    return [node for node in group.nodes.values() if node.state is not None]


def elect(group: SlowDisks) -> tuple[float, int]:
    """Returns the time until another replica leads, and the terms it took."""
    before = max(groups.state_of(node).term for node in survivors(group))
    began_s = group.now
    while group.now < began_s + WATCHED_S:
        group.advance(simulation.STEP_S)
        for node in survivors(group):
            state = groups.state_of(node)
            if state.leading is not None:
                return group.now - began_s, state.term - before
    terms = [groups.state_of(node).term for node in survivors(group)]
    return float("inf"), max(terms) - before


def order(group: SlowDisks) -> list[simulation.Node]:
    """Lets one survivor ask first; returns it, then the other."""
    first, second = sorted(
        survivors(group), key=lambda node: groups.state_of(node).election_at
    )
    groups.state_of(second).election_at += EXCHANGE_S
    return [first, second]


@pytest.mark.parametrize("sync_s", [0.5, 1.0, 2.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_vote_that_is_synced_late_comes_for_a_term_that_is_over(
    seed: int, sync_s: float
) -> None:
    group = lose_leader(seed)
    _, voter = order(group)
    group.sync_s[voter.name] = sync_s
    elected_s, terms = elect(group)
    assert terms == 1
    assert elected_s < TIMEOUT_S + sync_s + EXCHANGE_S


@pytest.mark.parametrize("sync_s", [0.5, 1.0, 2.0])
@pytest.mark.parametrize("seed", SEEDS)
def test_candidate_starts_again_before_its_own_vote_is_synced(
    seed: int, sync_s: float
) -> None:
    group = lose_leader(seed)
    for node in order(group):
        group.sync_s[node.name] = sync_s
    elected_s, terms = elect(group)
    assert terms == 1
    assert elected_s < TIMEOUT_S + 2 * sync_s + EXCHANGE_S


@pytest.mark.parametrize("seed", SEEDS)
def test_split_vote_among_slow_disks_is_followed_by_many_terms(
    seed: int,
) -> None:
    group = lose_leader(seed)
    at = {groups.state_of(node).election_at for node in order(group)}
    for node in survivors(group):
        group.sync_s[node.name] = 1.0
        groups.state_of(node).election_at = min(at)
    elected_s, terms = elect(group)
    assert terms <= 3
    assert elected_s < 3 * (TIMEOUT_S + 1.0) + 2 * EXCHANGE_S


def vote(
    target: simulation.Node, source: simulation.Node, term: int
) -> messages.VoteReply:
    return messages.VoteReply(
        group="g",
        source=source.id,
        target=target.id,
        term=term,
        granted=True,
        pre_vote=False,
    )


def campaign(group: SlowDisks) -> tuple[simulation.Node, simulation.Node]:
    """Returns a candidate whose voter does not answer, and that voter."""
    candidate, voter = order(group)
    group.sync_s[voter.name] = WATCHED_S
    state = groups.state_of(candidate)
    for role in (states.Role.CANDIDATE, states.Role.PRE_CANDIDATE):
        while state.role is not role:
            group.advance(simulation.STEP_S)
    return candidate, voter


def test_late_vote_of_the_term_is_ignored_during_the_next_pre_vote() -> None:
    group = lose_leader(1)
    candidate, voter = campaign(group)
    state = groups.state_of(candidate)
    now = group.clock(candidate)
    reply = vote(candidate, voter, state.term - 1)
    core.receive(state, voter.name, reply, now)
    assert state.leading is None
    core.receive(state, voter.name, vote(candidate, voter, state.term), now)
    assert state.role is states.Role.LEADER


def test_late_vote_for_a_campaign_before_a_restart_elects() -> None:
    """It may have led that term, and sent entries that its disk has lost."""
    group = lose_leader(1)
    candidate, voter = campaign(group)
    group.sync(candidate)
    group.crash(candidate)
    group.start(candidate)
    state = groups.state_of(candidate)
    assert state.vote == candidate.id
    now = state.election_at + simulation.STEP_S
    core.tick(state, now)
    assert state.role is states.Role.PRE_CANDIDATE
    core.receive(state, voter.name, vote(candidate, voter, state.term), now)
    assert state.leading is None


def test_leader_that_steps_down_leads_its_term_again_by_a_late_vote() -> None:
    """Answers to its first heartbeats would confirm reads of the second."""
    group = SlowDisks(random.Random(3), sync_probability=1.0)
    group.bootstrap(["a", "b", "c", "d", "e"])
    group.advance(2.0)
    leader = group.leader()
    assert leader is not None
    groups.isolate(group, leader)
    group.advance(2 * TIMEOUT_S)
    state = groups.state_of(leader)
    assert state.role is states.Role.PRE_CANDIDATE
    now = group.clock(leader)
    for node in groups.followers(group, leader):
        core.receive(state, node.name, vote(leader, node, state.term), now)
    assert state.leading is None
