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
    """A replica that always leads."""

    is_leader = True

    async def read_barrier(self) -> int:
        return 1


class SlowGateway:
    """A gateway that takes items late; a part is retired meanwhile."""

    def __init__(self, feed: feeds.Feed) -> None:
        self.feed = feed
        self.peer = typing.cast("typing.Any", type("Peer", (), {"name": "g"}))
        self.known: dict[str, int] = {}
        self.taken = 0

    async def send(self, item: object, payload: bytes | None = None) -> None:
        del payload
        if not isinstance(item, messages.StoreUpdates):
            return
        for update in item.stores:
            if update.whole:
                self.known = {}
            for part in update.changes:
                self.known[part.id] = part.tokens
        self.taken += 1
        if self.taken == 1:
            self.feed.contents["a"].retire([("s", "p")])
            self.feed.update_stores()
            await anyio.lowlevel.checkpoint()


async def test_change_during_a_slow_send_reaches_the_gateway() -> None:
    feed = feeds.Feed(
        state.SiteState(), typing.cast("replica.Replica", Leader())
    )
    held = store_contents.StoreContents("a")
    held.replace(stores.Contents(7, 1, (PART,)))
    held.take(stores.Events(7, 2, False, 1000.0, ()))
    feed.contents["a"] = held
    feed.update_stores()
    gateway = SlowGateway(feed)
    responder = typing.cast("incoming.Responder", gateway)
    async with anyio.create_task_group() as group:
        group.start_soon(feed.serve, responder, messages.Watch(-1, "x"))
        await anyio.sleep(0.05)
        feed.update_stores()
        await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    assert not gateway.known.get("p")
