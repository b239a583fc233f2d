from __future__ import annotations

import typing

import anyio
import pytest

from cactusstile.platform import stores
from cactusstile.registry import store_watch
from cactusstile.sites import model
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    from cactusstile.platform import client as clients

pytestmark = pytest.mark.anyio
STORE = model.Store("s", address.Address("127.0.0.1", 1), "d", 10_000)


class QuietStore:
    """Test double of a store whose contents never change.

    Attributes:
      read_at_s: Loop times at which its list was read, in seconds.
    """

    def __init__(self) -> None:
        self.read_at_s: list[float] = []

    async def list_parts(self, store: model.Store) -> stores.Contents:
        self.read_at_s.append(anyio.current_time())
        part = model.KeptPart("salt", "x", 100)
        return stores.Contents(7, 1, (part,))

    async def read_events(
        self, store: model.Store, since: int, wait_ms: int
    ) -> stores.Events:
        await anyio.sleep(wait_ms / 1000)
        return stores.Events(7, since, False, 5000.0, ())


def test_frees_of_an_earlier_leader_are_over_when_a_new_one_has_settled() -> (
    None
):
    assert store_watch.FREE_EXPIRY_MS / 1000 < store_watch.SETTLE_DELAY_S


async def test_contents_are_read_and_published_soon_after_an_election() -> None:
    """Guards against a delay that callers see after a loss of all power."""
    store = QuietStore()
    published = anyio.Event()
    leads = False
    watch = store_watch.StoreWatch(
        typing.cast("clients.Client", store),
        lambda: leads,
        lambda: (STORE,),
        on_change=published.set,
        find_oldest_versions=dict,
    )
    async with anyio.create_task_group() as group:
        group.start_soon(watch.run, group)
        await anyio.sleep(0.2)
        assert store.read_at_s == []
        leads = True
        elected_s = anyio.current_time()
        with anyio.fail_after(1.0):
            await published.wait()
        assert anyio.current_time() - elected_s < 0.4
        update = next(iter(watch.contents.values())).collect_update()
        group.cancel_scope.cancel()
    took_s = store.read_at_s[0] - elected_s
    assert store_watch.SETTLE_DELAY_S <= took_s < 0.4
    assert update.open
    assert [part.id for part in update.changes] == ["x"]
