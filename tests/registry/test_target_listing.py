"""Lists whose answers waited while the process stood still."""

from __future__ import annotations

import typing

import anyio
import attrs
import pytest
from tests.registry import test_build_records

from cactusstile.registry import state
from cactusstile.registry import target_listing
from cactusstile.sites import discovery
from cactusstile.sites import model
from cactusstile.transport import address

pytestmark = pytest.mark.anyio
WAIT_S = 0.3
PLATFORM = address.Address("127.0.0.1", 1)


@attrs.define
class Feed:
    """Test double of the feed."""

    site: state.SiteState = attrs.field(factory=state.SiteState)
    listed_at_s: float = float("-inf")


class LateClient:
    """Test double of a client whose answers wait before they are read."""

    def __init__(self) -> None:
        self.asked_s: list[float] = []

    async def list_targets(
        self, _: address.Address
    ) -> tuple[model.Target, ...]:
        self.asked_s.append(anyio.current_time())
        await anyio.sleep(WAIT_S)
        return test_build_records.listed("s v1")


async def test_list_counts_as_read_now_although_its_answer_waited() -> None:
    feed, client = Feed(), LateClient()
    unchecked: typing.Any = (feed, client)
    async with anyio.create_task_group() as group:
        replica: typing.Any = test_build_records.FailingReplica()
        listing = target_listing.TargetListing(unchecked[0], replica, group)
        group.start_soon(
            discovery.run,
            unchecked[1],
            PLATFORM,
            60.0,
            lambda: True,
            listing.update,
        )
        await anyio.sleep(2 * WAIT_S)
        group.cancel_scope.cancel()
    assert len(listing.targets) == 1
    assert feed.listed_at_s == pytest.approx(client.asked_s[0], abs=WAIT_S / 3)
