from __future__ import annotations

import collections.abc

import anyio
import pytest
from tests.entry import support

from cactusstile.fakes import scripted_agent


@pytest.fixture
async def site(
    anyio_backend: str,
) -> collections.abc.AsyncIterator[support.Site]:
    with anyio.fail_after(20):
        async with support.open_site([scripted_agent.ScriptedAgent()]) as site:
            yield site
