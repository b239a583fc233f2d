"""Replicas that ask whether they were replaced."""

from __future__ import annotations

import types
import typing

import pytest
from tests.consensus import groups
from tests.consensus import simulation
from tests.registry import support

from cactusstile.consensus import core
from cactusstile.consensus import membership
from cactusstile.consensus import replica
from cactusstile.registry import commands
from cactusstile.registry import daemon
from cactusstile.registry import rejoin

if typing.TYPE_CHECKING:
    import pathlib

pytestmark = pytest.mark.anyio


class Leader(replica.Replica):
    """A replica whose reads are confirmed at once."""

    async def read_barrier(self) -> int:
        return 0


async def _ask(
    folder: pathlib.Path, leader: simulation.Node, member_id: str
) -> object:
    driver: typing.Any = types.SimpleNamespace(
        state=groups.state_of(leader), joining=tuple, applied_index=0
    )
    settings = support.settings(folder, "a", "127.0.0.1", 1)
    asked = Leader(daemon.build_replica_settings(settings), driver)
    answer = rejoin.handlers(asked)[commands.AskMembership]
    nobody: typing.Any = None
    return await answer(nobody, commands.AskMembership(member_id))


async def test_member_discards_its_data_although_its_removal_may_be_undone(
    tmp_path: pathlib.Path,
) -> None:
    group, leader = groups.build(size=4)
    removed = groups.followers(group, leader)[0]
    state = groups.state_of(leader)
    core.change_membership(
        state, membership.Remove(removed.id), group.clock(leader)
    )
    is_member = commands.MembershipAnswer(True)
    assert await _ask(tmp_path, leader, removed.id) == is_member
    # Once it is committed, the removed replica has to know it.
    state.commit_index = state.log.last_index
    is_member = commands.MembershipAnswer(False)
    assert await _ask(tmp_path, leader, removed.id) == is_member
