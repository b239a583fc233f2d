from __future__ import annotations

import errno
import pathlib
import sys

import anyio
import pytest
from tests.consensus import conftest

from cactusstile.consensus.storage import files as file_access

pytestmark = pytest.mark.anyio
# A bootstrap that is not interrupted makes fewer.
MAX_CHANGES = 12


class InterruptedFiles(file_access.LocalFiles):
    """A folder that refuses all changes after those that are allowed."""

    allowed = sys.maxsize

    def _count(self) -> None:
        self.allowed -= 1
        if self.allowed < 0:
            raise OSError(errno.ENOSPC, "no space left on device")

    def open_append(self, name: str) -> file_access.File:
        self._count()
        return super().open_append(name)

    def rename(self, source: str, target: str) -> None:
        self._count()
        super().rename(source, target)

    def sync_folder(self) -> None:
        self._count()
        super().sync_folder()


@pytest.mark.parametrize("allowed", range(MAX_CHANGES))
async def test_founder_interrupted_while_it_creates_the_group_creates_it_again(
    tmp_path: pathlib.Path, allowed: int
) -> None:
    founder, *others = conftest.NAMES
    async with anyio.create_task_group() as tasks:
        group = conftest.Group(tmp_path, tasks)
        disk = group.files[founder] = InterruptedFiles(tmp_path / founder)
        await group.start(founder)
        disk.allowed = allowed
        for name in others:
            await group.start(name)
        with anyio.move_on_after(1):
            while founder not in group.errors:
                await anyio.sleep(0.01)
        del group.files[founder]
        if founder not in group.replicas:
            await group.start(founder)
        leader = await group.leader()
        assert await leader.propose(b"one") == b"1"
        tasks.cancel_scope.cancel()
