"""Follows the contents of all stores while this replica is the leader."""

from __future__ import annotations

import logging
import typing

import anyio
import anyio.abc

from cactusstile import guards
from cactusstile.platform import client as clients
from cactusstile.platform import stores
from cactusstile.registry import store_contents
from cactusstile.registry import store_eviction

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.sites import model

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.05
# Long polling: a store delays its answer for this time while nothing changes.
EVENTS_WAIT_MS = 400
RETRY_INTERVAL_S = 0.3
MAX_PARTS_PER_CALL = 200
# Time after which a store rejects a request to free parts. It is shorter than
# the settle delay, so that no request of an earlier leader takes effect after
# that.
FREE_EXPIRY_MS = 100
# Time after an election until all free requests of an earlier leader expired.
SETTLE_DELAY_S = 0.15


class StoreWatch:
    """Follows the contents of the configured stores.

    Attributes:
      contents: Contents of each followed store, by address.
    """

    def __init__(
        self,
        client: clients.Client,
        is_leader: collections.abc.Callable[[], bool],
        configured_stores: collections.abc.Callable[
            [], tuple[model.Store, ...]
        ],
        *,
        on_change: collections.abc.Callable[[], None],
        find_oldest_versions: collections.abc.Callable[[], dict[str, int]],
    ) -> None:
        """Creates a watch; see `run`.

        Args:
          client: Makes the calls.
          is_leader: Returns whether this process is the leader.
          configured_stores: Returns the stores of the configuration in force.
          on_change: Called when the contents of a store were read or lost.
          find_oldest_versions: Returns the oldest version of the weights that
            any engine holds, by model.
        """
        self.client = client
        self.is_leader = is_leader
        self.configured_stores = configured_stores
        self.on_change = on_change
        self.find_oldest_versions = find_oldest_versions
        self.contents: dict[str, store_contents.StoreContents] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}

    async def run(self, group: anyio.abc.TaskGroup) -> None:
        """Follows each configured store in a task of `group`."""
        leader_since_s: float | None = None
        while True:
            followed: dict[str, model.Store] = {}
            now_s = anyio.current_time()
            if self.is_leader():
                leader_since_s = (
                    now_s if leader_since_s is None else leader_since_s
                )
                if now_s - leader_since_s >= SETTLE_DELAY_S:
                    followed = {
                        str(configured.address): configured
                        for configured in self.configured_stores()
                    }
            else:
                leader_since_s = None
            for address in tuple(self._scopes):
                if address not in followed:
                    self._scopes.pop(address).cancel()
                    del self.contents[address]
            for address, store in followed.items():
                if address not in self._scopes:
                    self._scopes[address] = anyio.CancelScope()
                    contents = store_contents.StoreContents(address)
                    self.contents[address] = contents
                    group.start_soon(self._follow_store, store, contents)
            await anyio.sleep(CHECK_INTERVAL_S)

    async def _follow_store(
        self, store: model.Store, contents: store_contents.StoreContents
    ) -> None:
        """Follows one store until its scope is cancelled."""
        reachable = True
        guard = guards.Guard(f"store {store.name}")
        with self._scopes[contents.address]:
            while True:
                with guard.contain():
                    reachable = await self._try_to_follow(
                        store, contents, reachable=reachable
                    )
                contents.invalidate()
                self.on_change()
                await anyio.sleep(RETRY_INTERVAL_S)

    async def _try_to_follow(
        self,
        store: model.Store,
        contents: store_contents.StoreContents,
        *,
        reachable: bool,
    ) -> bool:
        """Follows a store until it fails; returns whether it was reachable."""
        try:
            await self._follow_once(store, contents)
        except clients.CallError as error:
            if reachable:
                logger.warning(
                    "store is unreachable",
                    extra={"store": store.name, "error": str(error)},
                )
            return False
        return True

    async def _follow_once(
        self, store: model.Store, contents: store_contents.StoreContents
    ) -> None:
        """Reads the list and applies changes until the epoch differs.

        Raises:
          CallError: The store cannot be reached.
        """
        contents.replace_parts(await self.client.list_parts(store))
        logger.info(
            "store contents read",
            extra={
                "store": store.name,
                "epoch": contents.epoch,
                "parts": len(contents.parts),
            },
        )
        # The list lacks the store's clock, by which all fetches are bounded, so
        # the first request for events does not wait.
        wait_ms = 0
        while True:
            events = await self.client.read_events(
                store, contents.next_event, wait_ms
            )
            if contents.apply_events(events):
                if not wait_ms:
                    self.on_change()
                wait_ms = EVENTS_WAIT_MS
                await self._evict_parts(store, contents)
                continue
            if events.epoch != contents.epoch:
                return
            # Events are missing. The contents stay valid; the list is read
            # again.
            contents.replace_parts(await self.client.list_parts(store))

    def _is_site_full(self) -> bool:
        stores = self.configured_stores()
        capacity_tokens = sum(store.kv_tokens for store in stores)
        return store_eviction.is_site_full(
            self.contents.values(), capacity_tokens
        )

    async def _evict_parts(
        self, store: model.Store, contents: store_contents.StoreContents
    ) -> None:
        """Retires outdated or surplus parts, and frees retired ones.

        Raises:
          CallError: The store cannot be reached.
        """
        if not contents.is_open() or contents.epoch is None:
            return
        oldest_versions = self.find_oldest_versions()
        evicted = store_eviction.outdated_parts(contents.parts, oldest_versions)
        if not evicted and self._is_site_full():
            evicted = store_eviction.surplus_parts(contents, store.kv_tokens)
        contents.retire(evicted)
        parts = contents.freeable_parts()[:MAX_PARTS_PER_CALL]
        if not parts or not self.is_leader():
            return
        until_ms = contents.clock_ms + FREE_EXPIRY_MS
        request = stores.free_request(parts, contents.epoch, until_ms)
        status = await self.client.free_parts(store, request)
        logger.info(
            "store answered a request to free parts",
            extra={
                "store": store.name,
                "parts": len(parts),
                "status": status,
                "oldest_weights": oldest_versions,
            },
        )
        if status == clients.OK:
            contents.remove_freed(parts)
