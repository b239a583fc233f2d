"""Simulated groups with an elected leader, and helpers for tests."""

from __future__ import annotations

import random
import typing

from tests.consensus import simulation

if typing.TYPE_CHECKING:
    from cactusstile.consensus import state as states


def build(size: int = 3) -> tuple[simulation.Simulation, simulation.Node]:
    group = simulation.Simulation(random.Random(7), sync_probability=1.0)
    group.bootstrap(["a", "b", "c", "d", "e"][:size])
    group.advance(2.0)
    leader = group.leader()
    assert leader is not None
    return group, leader


def followers(
    group: simulation.Simulation, leader: simulation.Node
) -> list[simulation.Node]:
    return [node for node in group.nodes.values() if node is not leader]


def state_of(node: simulation.Node) -> states.State:
    assert node.state is not None
    return node.state


def isolate(group: simulation.Simulation, node: simulation.Node) -> None:
    for name in group.nodes:
        group.blocked_links |= {(name, node.name), (node.name, name)}
