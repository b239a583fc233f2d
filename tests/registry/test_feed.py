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
        if isinstance(item, messages.CompressedStoreUpdates):
            item = messages.decompress_updates(item)
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


MAX_CHANGES_BYTES = 100 * feeds.MAX_CHANGED_PARTS


class StartingGateway:
    """Gateway that has just started; remembers the payloads it was sent."""

    def __init__(self, name: str) -> None:
        self.peer = typing.cast("typing.Any", type("Peer", (), {"name": name}))
        self.payloads: list[bytes | None] = []

    async def send(self, item: object, payload: bytes | None = None) -> None:
        if isinstance(item, messages.CompressedStoreUpdates):
            self.payloads.append(payload)
        elif isinstance(item, messages.StoreUpdates) and item.stores:
            assert payload is not None
            assert len(payload) <= MAX_CHANGES_BYTES


def _publish_parts(feed: feeds.Feed, count: int) -> None:
    """Publishes a store's contents so that new watches need all of them."""
    contents = store_contents.StoreContents("a")
    parts = tuple(
        model.KeptPart("shared/model/1", f"{number * 7919:08x}", 500)
        for number in range(count)
    )
    contents.replace_parts(stores.Contents(7, 1, parts))
    contents.apply_events(stores.Events(7, 2, False, 1000.0, ()))
    feed.contents["a"] = contents
    feed.publish_store_updates()
    feed.publish_store_updates()


async def test_full_contents_are_encoded_once_and_small() -> None:
    """Guards against a leader that is busy with the starts of all gateways.

    It would send no heartbeats meanwhile and lose its leadership.
    """
    feed = feeds.Feed(
        state.SiteState(), typing.cast("replica.Replica", Leader())
    )
    _publish_parts(feed, 4000)
    gateways = [StartingGateway(f"g-{number}") for number in range(3)]
    async with anyio.create_task_group() as group:
        for number, gateway in enumerate(gateways):
            member = messages.GatewayMember(f"127.0.0.1:{number}", "d", 5.0)
            responder = typing.cast("incoming.Responder", gateway)
            watch = messages.Watch(-1, member)
            group.start_soon(feed.serve_watch, responder, watch)
        await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    payloads = [gateway.payloads for gateway in gateways]
    assert [len(sent) for sent in payloads] == [1, 1, 1]
    first = payloads[0][0]
    assert first is not None
    assert all(sent[0] is first for sent in payloads)
    assert len(first) < 25 * 4000


async def test_full_contents_leave_room_on_the_link() -> None:
    """Guards against heartbeats that wait behind the contents for everyone.

    After a start of the whole site all gateways ask for them together.
    """
    link_mbps = 100.0
    feed = feeds.Feed(
        state.SiteState(), typing.cast("replica.Replica", Leader()), link_mbps
    )
    _publish_parts(feed, 6000)
    gateways = [StartingGateway(f"g-{number}") for number in range(70)]

    def count_bytes() -> int:
        return sum(
            len(payload or b"")
            for gateway in gateways
            for payload in gateway.payloads
        )

    async with anyio.create_task_group() as group:
        for number, gateway in enumerate(gateways):
            member = messages.GatewayMember(f"127.0.0.1:{number}", "d", 5.0)
            responder = typing.cast("incoming.Responder", gateway)
            watch = messages.Watch(-1, member)
            group.start_soon(feed.serve_watch, responder, watch)
        await anyio.sleep(0.05)
        link_bytes_per_s = link_mbps * 125_000
        assert 0 < count_bytes() < 0.2 * link_bytes_per_s
        for _ in range(20):
            await anyio.sleep(0.1)
            feed.notify_watches()
        await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    assert all(gateway.payloads for gateway in gateways)


async def test_contents_that_were_read_anew_are_not_sent_as_changes() -> None:
    """Guards against changes that hold all parts, to gateways in step.

    Contents are read again after an election and after lost events.
    """
    feed = feeds.Feed(
        state.SiteState(), typing.cast("replica.Replica", Leader())
    )
    gateway = StartingGateway("g")
    member = messages.GatewayMember("127.0.0.1:1", "d", 5.0)
    responder = typing.cast("incoming.Responder", gateway)
    async with anyio.create_task_group() as group:
        group.start_soon(
            feed.serve_watch, responder, messages.Watch(-1, member)
        )
        await anyio.sleep(0.05)
        _publish_parts(feed, 4000)
        await anyio.sleep(0.05)
        feed.contents["a"].needs_full_update = True
        feed.publish_store_updates()
        await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    assert len(gateway.payloads) == 2


async def test_changes_of_several_stores_are_published_together() -> None:
    """Guards against one update for each store, to every gateway."""
    feed = feeds.Feed(
        state.SiteState(), typing.cast("replica.Replica", Leader())
    )
    gateway = SlowGateway(feed)
    contents = store_contents.StoreContents("a")
    contents.replace_parts(stores.Contents(7, 1, (PART,)))
    contents.apply_events(stores.Events(7, 2, False, 1000.0, ()))
    feed.contents["a"] = contents
    member = messages.GatewayMember("127.0.0.1:1", "d", 5.0)
    responder = typing.cast("incoming.Responder", gateway)
    async with anyio.create_task_group() as group:
        group.start_soon(feed.run_store_updates)
        group.start_soon(
            feed.serve_watch, responder, messages.Watch(-1, member)
        )
        for _ in range(17):
            feed.schedule_store_updates()
            await anyio.lowlevel.checkpoint()
        await anyio.sleep(2 * feeds.STORE_UPDATES_DELAY_S)
        group.cancel_scope.cancel()
    # One with the watch's start, one for the changes, one for the retired part
    # of `SlowGateway`.
    assert gateway.update_count == 3


async def test_list_of_gateways_is_sent_once_it_is_known() -> None:
    """A gateway that took itself to be the only one would overspend budgets."""
    feed = feeds.Feed(
        state.SiteState(), typing.cast("replica.Replica", Leader())
    )
    lists: list[messages.GatewayList] = []

    class Gateway(StartingGateway):
        async def send(
            self, item: object, payload: bytes | None = None
        ) -> None:
            if isinstance(item, messages.GatewayList):
                lists.append(item)

    members = [
        messages.GatewayMember(f"127.0.0.1:{number}", "d", 5.0)
        for number in range(2)
    ]
    async with anyio.create_task_group() as group:
        for number, member in enumerate(members):
            gateway = Gateway(f"g-{number}")
            responder = typing.cast("incoming.Responder", gateway)
            watch = messages.Watch(-1, member)
            group.start_soon(feed.serve_watch, responder, watch)
        await anyio.sleep(0.05)
        assert not lists
        feed.update_gateway_list()
        feed.notify_watches()
        await anyio.sleep(0.05)
        feed.update_gateway_list()
        feed.notify_watches()
        await anyio.sleep(0.05)
        group.cancel_scope.cancel()
    assert [set(sent.members) for sent in lists] == [set(members)] * 2
