from __future__ import annotations

import typing

import anyio
import anyio.lowlevel
import pytest

from cactusstile.platform import stores
from cactusstile.registry import feed as feeds
from cactusstile.registry import state
from cactusstile.registry import store_contents
from cactusstile.sites import messages
from cactusstile.sites import model

if typing.TYPE_CHECKING:
    from cactusstile.consensus import replica
    from cactusstile.transport import incoming

pytestmark = pytest.mark.anyio
PART = model.KeptPart("s", "p", 100)


class Leader:
    """Test double of a replica that always is the leader."""

    is_leader = True

    async def read_barrier(self) -> int:
        return 1


class SlowGateway:
    """Gateway whose first store update is slow; a part is retired meanwhile.

    Attributes:
      tokens_by_part: Length of each part in the gateway's view, by id.
      update_count: Count of the store updates that were received.
    """

    def __init__(self, feed: feeds.Feed) -> None:
        self.feed = feed
        self.peer = typing.cast("typing.Any", type("Peer", (), {"name": "g"}))
        self.tokens_by_part: dict[str, int] = {}
        self.update_count = 0

    async def send(self, item: object, payload: bytes | None = None) -> None:
        del payload
        if not isinstance(item, messages.StoreUpdates):
            return
        for update in item.stores:
            if update.whole:
                self.tokens_by_part = {}
            for part in update.changes:
                self.tokens_by_part[part.id] = part.tokens
        self.update_count += 1
        if self.update_count == 1:
            self.feed.contents["a"].retire([("s", "p")])
            self.feed.publish_store_updates()
            await anyio.lowlevel.checkpoint()


async def test_change_during_a_slow_send_reaches_the_gateway() -> None:
    """Guards against losing a change that occurs while an update is sent."""
    feed = feeds.Feed(
        state.SiteState(), typing.cast("replica.Replica", Leader())
    )
    contents = store_contents.StoreContents("a")
    contents.replace_parts(stores.Contents(7, 1, (PART,)))
    contents.apply_events(stores.Events(7, 2, False, 1000.0, ()))
    feed.contents["a"] = contents
    feed.publish_store_updates()
    gateway = SlowGateway(feed)
    responder = typing.cast("incoming.Responder", gateway)
    async with anyio.create_task_group() as group:
        member = messages.GatewayMember("127.0.0.1:1", "d", 100.0)
        watch = messages.Watch(-1, member)
        group.start_soon(feed.serve_watch, responder, watch)
        await anyio.sleep(0.05)
        feed.publish_store_updates()
        await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    assert not gateway.tokens_by_part.get("p")
