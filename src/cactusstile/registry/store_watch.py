"""Follows the contents of all stores while this replica leads."""

from __future__ import annotations

import logging
import typing

import anyio
import anyio.abc

from cactusstile.platform import client as clients
from cactusstile.platform import stores
from cactusstile.registry import store_contents
from cactusstile.registry import store_eviction

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.sites import model

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 0.05
# Time that a store holds the call back while nothing changes.
EVENTS_WAIT_MS = 400
RETRY_INTERVAL_S = 0.3
MAX_PARTS_PER_CALL = 200
# Time after which a store refuses an order to free; an earlier leader's orders
# are over when a new one has settled.
FREE_LIMIT_MS = 100
# Time after an election until an earlier leader's frees are surely over.
SETTLING_S = 0.15


class StoreWatch:
    """Contents of the stores that the configuration names.

    Attributes:
      contents: Contents of each store, by its address.
    """

    def __init__(
        self,
        client: clients.Client,
        leads: collections.abc.Callable[[], bool],
        named: collections.abc.Callable[[], tuple[model.Store, ...]],
        *,
        on_change: collections.abc.Callable[[], None],
        oldest: collections.abc.Callable[[], dict[str, int]],
    ) -> None:
        """Follows the stores that `named` returns while `leads` says so.

        Args:
          client: Makes the calls.
          leads: Returns whether this process leads.
          named: Returns the stores of the configuration in force.
          on_change: Called when the contents of a store became known or were
            lost.
          oldest: Returns the oldest version of each model at any engine.
        """
        self.client = client
        self.leads = leads
        self.named = named
        self.on_change = on_change
        self.oldest = oldest
        self.contents: dict[str, store_contents.StoreContents] = {}
        self._scopes: dict[str, anyio.CancelScope] = {}

    async def run(self, group: anyio.abc.TaskGroup) -> None:
        """Starts and ends the following of stores."""
        led_s: float | None = None
        while True:
            wanted: dict[str, model.Store] = {}
            now_s = anyio.current_time()
            if self.leads():
                led_s = now_s if led_s is None else led_s
                if now_s - led_s >= SETTLING_S:
                    wanted = {str(one.address): one for one in self.named()}
            else:
                led_s = None
            for address in tuple(self._scopes):
                if address not in wanted:
                    self._scopes.pop(address).cancel()
                    del self.contents[address]
            for address, store in wanted.items():
                if address not in self._scopes:
                    self._scopes[address] = anyio.CancelScope()
                    held = store_contents.StoreContents(address)
                    self.contents[address] = held
                    group.start_soon(self._follow, store, held)
            await anyio.sleep(CHECK_INTERVAL_S)

    async def _follow(
        self, store: model.Store, held: store_contents.StoreContents
    ) -> None:
        """Follows one store until its scope is cancelled."""
        reachable = True
        with self._scopes[held.address]:
            while True:
                try:
                    await self._read(store, held)
                    reachable = True
                except clients.CallError as error:
                    if reachable:
                        logger.warning(
                            "a store is lost",
                            extra={"store": store.name, "error": str(error)},
                        )
                    reachable = False
                held.lose()
                self.on_change()
                await anyio.sleep(RETRY_INTERVAL_S)

    async def _read(
        self, store: model.Store, held: store_contents.StoreContents
    ) -> None:
        """Reads the list and then the changes, until one contradicts."""
        held.replace(await self.client.kept_parts(store))
        logger.info(
            "the contents of a store are known",
            extra={
                "store": store.name,
                "epoch": held.epoch,
                "parts": len(held.parts),
            },
        )
        # The list does not tell the store's clock, which bounds all fetches.
        wait_ms = 0
        while True:
            events = await self.client.kept_events(
                store, held.next_event, wait_ms
            )
            if held.take(events):
                if not wait_ms:
                    self.on_change()
                wait_ms = EVENTS_WAIT_MS
                await self._clean(store, held)
                continue
            if events.epoch != held.epoch:
                return
            # Events were lost; the contents are read anew, and still hold.
            held.replace(await self.client.kept_parts(store))

    async def _clean(
        self, store: model.Store, held: store_contents.StoreContents
    ) -> None:
        """Retires parts that are of no use, and frees what was retired.

        Raises:
          CallError: The store could not be asked.
        """
        if not held.is_open() or held.epoch is None:
            return
        oldest = self.oldest()
        retired = store_eviction.outdated(held.parts, oldest)
        if not retired:
            retired = store_eviction.surplus(held, store.kv_tokens)
        held.retire(retired)
        parts = held.freeable()[:MAX_PARTS_PER_CALL]
        if not parts or not self.leads():
            return
        until_ms = held.clock_ms + FREE_LIMIT_MS
        request = stores.free_request(parts, held.epoch, until_ms)
        status = await self.client.free_parts(store, request)
        logger.info(
            "parts of a store were freed",
            extra={
                "store": store.name,
                "parts": len(parts),
                "status": status,
                "oldest_weights": oldest,
            },
        )
        if status == clients.OK:
            held.note_freed(parts)
