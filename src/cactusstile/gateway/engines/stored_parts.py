"""Prompt parts in stores: which to fetch, and which to save where.

Covers prompts whose prefix returns after the engines evicted it. A part is
fetched from a store only if control reported that the store holds the complete
part, and only until the time up to which this was confirmed. A part that is in
no store may be fetched from another engine. A part that other prompts share is
saved once, to the store chosen by rendezvous hashing.
"""

from __future__ import annotations

import typing

import attrs

from cactusstile.gateway.engines import fetch_costs
from cactusstile.gateway.engines import prompts
from cactusstile.routing import rendezvous
from cactusstile.sites import messages
from cactusstile.sites import model

if typing.TYPE_CHECKING:
    import collections.abc

# Age of an update from which a store is not used: two confirmation intervals.
UPDATE_MAX_AGE_S = 1.0
# Time for which a part that is being saved is not saved again.
SAVE_DEDUPLICATION_S = 3.0
MAX_PENDING_SAVES = 512
# Fraction of a store up to which parts are saved; other gateways save at the
# same time.
MAX_FILL_FRACTION = 0.95


@attrs.frozen
class Fetch:
    """Source of one part of a prompt.

    Attributes:
      address: Address of the store or engine that holds the part.
      tokens: Number of tokens to fetch.
    """

    address: str
    tokens: int


@attrs.frozen
class TransferPlan:
    """Parts that an engine fetches and saves for one request.

    Attributes:
      fetches: Source of each part of the prompt; None if it is not fetched.
      saves: Address of the store that each part is saved to; None if it is not
        saved.
      until_ms: Time by which fetches must have ended, on the clock that all
        targets share; None if nothing is fetched from a store.
    """

    fetches: tuple[Fetch | None, ...] = ()
    saves: tuple[str | None, ...] = ()
    until_ms: float | None = None

    def main_source(self) -> tuple[str, int]:
        """Returns the largest fetch: its address and number of tokens.

        Without any fetch the address is empty.
        """
        largest = ("", 0)
        for fetch in self.fetches:
            if fetch is not None and fetch.tokens > largest[1]:
                largest = (fetch.address, fetch.tokens)
        return largest

    @property
    def fetched_tokens(self) -> int:
        """Number of the prompt's tokens that are fetched."""
        return sum(fetch.tokens for fetch in self.fetches if fetch is not None)


NO_TRANSFERS = TransferPlan()


@attrs.define
class StoreView:
    """Local view of one store.

    Attributes:
      address: Address of the store.
      is_open: Whether parts may be fetched and saved.
      until_ms: Time by which fetches must have ended, on the clock that all
        targets share.
      updated_s: Loop time of the last update.
      parts: Tokens of each complete part, by salt and id.
      used_tokens: Sum of the parts' tokens.
      retired_tokens: Tokens of other parts that still take room.
    """

    address: str
    is_open: bool = False
    until_ms: float = 0.0
    updated_s: float = float("-inf")
    parts: dict[tuple[str, str], int] = attrs.field(factory=dict)
    used_tokens: int = 0
    retired_tokens: int = 0

    def apply(self, update: messages.StoreUpdate, now_s: float) -> None:
        """Applies an update of this store."""
        if update.whole:
            self.parts = {}
            self.used_tokens = 0
        self.is_open = update.open
        self.until_ms = update.fetch_until_ms
        self.updated_s = now_s
        self.retired_tokens = update.retired_tokens
        for part in update.changes:
            key = (part.salt, part.id)
            self.used_tokens += part.tokens - self.parts.pop(key, 0)
            if part.tokens:
                self.parts[key] = part.tokens

    def is_usable(self, now_s: float) -> bool:
        """Returns whether parts may be fetched and saved now."""
        return self.is_open and now_s - self.updated_s <= UPDATE_MAX_AGE_S


@attrs.frozen
class PendingSave:
    """A part that an engine is saving.

    Attributes:
      store: Address of the store.
      tokens: Length of the part.
      until_s: Loop time until which the part counts as being saved.
    """

    store: str
    tokens: int
    until_s: float


@attrs.define
class StoredParts:
    """Local view of the contents of all stores.

    Attributes:
      stores: View of each store, by its address.
      pending_saves: Parts that are being saved, by salt and id.
      costs: Estimated cost of fetches.
    """

    stores: dict[str, StoreView] = attrs.field(factory=dict)
    pending_saves: dict[tuple[str, str], PendingSave] = attrs.field(
        factory=dict
    )
    costs: fetch_costs.FetchCosts = attrs.field(factory=fetch_costs.FetchCosts)

    def apply(self, updates: messages.StoreUpdates, now_s: float) -> None:
        """Applies updates; views of stores without an update are dropped."""
        views = {}
        for update in updates.stores:
            view = self.stores.get(update.address)
            if view is None:
                view = StoreView(update.address)
            view.apply(update, now_s)
            views[update.address] = view
        self.stores = views

    def prefix_tokens(
        self, prompt: prompts.Prompt, salt: str, now_s: float
    ) -> int:
        """Returns the length of the prompt's prefix in stores, in tokens."""
        prefix = 0
        for part in prompt.parts:
            fetch = self._plan_store_fetch((salt, part.id), now_s)
            if fetch is None:
                break
            prefix += fetch.tokens
        return prefix

    def plan(
        self,
        prompt: prompts.Prompt,
        shared_parts: collections.abc.Container[prompts.Part],
        salt: str,
        configured_stores: collections.abc.Sequence[model.Store],
        *,
        holder: collections.abc.Callable[[tuple[str, str]], str | None],
        now_s: float,
    ) -> TransferPlan:
        """Returns the parts to fetch and to save for a request.

        Args:
          prompt: The request's prompt.
          shared_parts: Parts that other prompts are expected to share.
          salt: Salt of the KV cache.
          configured_stores: Stores of the configuration.
          holder: Returns the address of an engine that holds a part, by salt
            and id; None if there is no such engine.
          now_s: Loop time.
        """
        fetches: list[Fetch | None] = []
        saves: list[str | None] = []
        until_ms: float | None = None
        for part in prompt.parts:
            key = (salt, part.id)
            fetch = self._plan_store_fetch(key, now_s)
            save = None
            if fetch is not None:
                store_until_ms = self.stores[fetch.address].until_ms
                until_ms = min(until_ms or store_until_ms, store_until_ms)
            else:
                fetch = self._plan_engine_fetch(part, holder(key), now_s)
                if part in shared_parts and not self._is_stored(key):
                    save = self._choose_store(
                        key, part.tokens, configured_stores, now_s
                    )
            fetches.append(fetch)
            saves.append(save)
        return TransferPlan(tuple(fetches), tuple(saves), until_ms)

    def _plan_engine_fetch(
        self, part: prompts.Part, address: str | None, now_s: float
    ) -> Fetch | None:
        if address is None or not self.costs.is_worthwhile(address, now_s):
            return None
        return Fetch(address, part.tokens)

    def _plan_store_fetch(
        self, key: tuple[str, str], now_s: float
    ) -> Fetch | None:
        for view in self.stores.values():
            tokens = view.parts.get(key)
            if not tokens or not view.is_usable(now_s):
                continue
            if self.costs.is_worthwhile(view.address, now_s):
                return Fetch(view.address, tokens)
        return None

    def _is_stored(self, key: tuple[str, str]) -> bool:
        """Returns whether any store, usable or not, holds a part."""
        return any(key in view.parts for view in self.stores.values())

    def _choose_store(
        self,
        key: tuple[str, str],
        tokens: int,
        configured_stores: collections.abc.Sequence[model.Store],
        now_s: float,
    ) -> str | None:
        """Returns the store to save a part to.

        Returns None if the part is being saved, or no store has room for it.
        """
        pending = self.pending_saves.get(key)
        if pending is not None and pending.until_s > now_s:
            return None
        members = []
        for store in configured_stores:
            address = str(store.address)
            view = self.stores.get(address)
            if view is None or not view.is_usable(now_s):
                continue
            if not self.costs.is_worthwhile(address, now_s):
                continue
            used = view.used_tokens + view.retired_tokens
            used += self._being_saved_tokens(address, now_s)
            if used + tokens <= MAX_FILL_FRACTION * store.kv_tokens:
                weight = float(store.kv_tokens)
                members.append(rendezvous.Member(address, weight=weight))
        if not members:
            return None
        name = f"{key[0]} {key[1]}".encode()
        chosen = rendezvous.rank(name, members)[0].name
        self._record_pending_save(key, chosen, tokens, now_s)
        return chosen

    def _being_saved_tokens(self, address: str, now_s: float) -> int:
        """Returns the tokens on their way to a store, which reserves them."""
        parts = self.stores[address].parts
        return sum(
            save.tokens
            for key, save in self.pending_saves.items()
            if save.store == address
            and save.until_s > now_s
            and key not in parts
        )

    def _record_pending_save(
        self, key: tuple[str, str], store: str, tokens: int, now_s: float
    ) -> None:
        if len(self.pending_saves) >= MAX_PENDING_SAVES:
            self.pending_saves = {
                pending: save
                for pending, save in self.pending_saves.items()
                if save.until_s > now_s
            }
        until_s = now_s + SAVE_DEDUPLICATION_S
        self.pending_saves[key] = PendingSave(store, tokens, until_s)
