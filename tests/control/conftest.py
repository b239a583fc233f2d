from __future__ import annotations

import typing

import pytest
from tests.support import control_cluster

if typing.TYPE_CHECKING:
    import collections.abc
    import pathlib


@pytest.fixture
async def cluster(
    tmp_path: pathlib.Path,
) -> collections.abc.AsyncIterator[control_cluster.Cluster]:
    async with control_cluster.open_cluster(tmp_path) as opened:
        yield opened
