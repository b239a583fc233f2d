from __future__ import annotations

import pathlib

import anyio
import pytest
from tests.registry import sites

pytestmark = pytest.mark.anyio
FIRST, *OTHERS = sites.HOSTS[:3]


async def test_founder_that_starts_again_before_the_group_exists_founds_it(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a system that never starts."""
    site = sites.Site(tmp_path)
    async with site.open(FIRST):
        await anyio.sleep(0.1)
    async with site.open(FIRST, first=False), site.open(*OTHERS):
        await site.leader()


async def test_founder_that_lost_its_disk_founds_no_group(
    tmp_path: pathlib.Path,
) -> None:
    site = sites.Site(tmp_path)
    async with site.open(FIRST, first=False), site.open(*OTHERS):
        with pytest.raises(TimeoutError), anyio.fail_after(3):
            await site.leader()
