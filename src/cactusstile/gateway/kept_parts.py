"""Parts of prompts in stores: what to fetch, and what to save where.

Answers prompts that return after the engines have forgotten them. A part is
fetched from a store only if that is known to hold it whole, and only until the
time up to which that was confirmed. What no store holds may be held by another
engine. A part that other prompts share is saved once, to the store that
rendezvous hashing gives.
"""

from __future__ import annotations

import typing

import attrs

from cactusstile.gateway import fetch_costs
from cactusstile.gateway import prompts
from cactusstile.routing import rendezvous
from cactusstile.sites import messages
from cactusstile.sites import model

if typing.TYPE_CHECKING:
    import collections.abc

# Age of an update from which nothing is fetched or saved: two confirmations.
UPDATE_LIFE_S = 1.0
# Time within which a part that is being saved is not saved again.
SAVING_S = 3.0
MAX_SAVING = 4096
# Part of a store that is filled; reserved and broken-off parts need room too.
FILLED_SHARE = 0.95


@attrs.frozen
class Fetch:
    """A part that is fetched.

    Attributes:
      address: Store or engine that holds it.
      tokens: Tokens of it that are fetched.
    """

    address: str
    tokens: int


@attrs.frozen
class Plan:
    """What an engine fetches and saves for one request.

    Attributes:
      fetches: Source of each part of the prompt; None for none.
      saves: Address of the store for each part; None for none.
      until_ms: Time by which fetches must have ended, on the clock that all
        targets share; None if nothing comes from a store.
    """

    fetches: tuple[Fetch | None, ...] = ()
    saves: tuple[str | None, ...] = ()
    until_ms: float | None = None

    def main_source(self) -> tuple[str, int]:
        """Returns the source that most tokens come from, and how many."""
        found = ("", 0)
        for one in self.fetches:
            if one is not None and one.tokens > found[1]:
                found = (one.address, one.tokens)
        return found

    @property
    def fetched_tokens(self) -> int:
        """Tokens of the prompt that are fetched."""
        return sum(one.tokens for one in self.fetches if one is not None)


NOTHING = Plan()


@attrs.define
class StoreView:
    """What is known of one store.

    Attributes:
      address: Address of the store.
      is_open: Whether parts may be fetched and saved.
      until_ms: Time by which fetches must have ended.
      updated_s: Loop time of the last update.
      parts: Tokens of each whole part, by salt and id.
      used_tokens: Sum of the parts.
    """

    address: str
    is_open: bool = False
    until_ms: float = 0.0
    updated_s: float = float("-inf")
    parts: dict[tuple[str, str], int] = attrs.field(factory=dict)
    used_tokens: int = 0

    def take(self, update: messages.StoreUpdate, now_s: float) -> None:
        """Takes an update over."""
        if update.whole:
            self.parts = {}
            self.used_tokens = 0
        self.is_open = update.open
        self.until_ms = update.fetch_until_ms
        self.updated_s = now_s
        for part in update.changes:
            key = (part.salt, part.id)
            self.used_tokens += part.tokens - self.parts.pop(key, 0)
            if part.tokens:
                self.parts[key] = part.tokens

    def is_usable(self, now_s: float) -> bool:
        """Returns whether parts may be fetched and saved now."""
        return self.is_open and now_s - self.updated_s <= UPDATE_LIFE_S


@attrs.define
class KeptParts:
    """Contents of all stores, as this gateway knows them.

    Attributes:
      stores: View of each store, by its address.
      saving: Loop time until which a part counts as being saved.
      costs: Whether fetches pay.
    """

    stores: dict[str, StoreView] = attrs.field(factory=dict)
    saving: dict[tuple[str, str], float] = attrs.field(factory=dict)
    costs: fetch_costs.FetchCosts = attrs.field(factory=fetch_costs.FetchCosts)

    def take(self, updates: messages.StoreUpdates, now_s: float) -> None:
        """Takes updates of all stores over; others are forgotten."""
        kept = {}
        for update in updates.stores:
            view = self.stores.get(update.address)
            if view is None:
                view = StoreView(update.address)
            view.take(update, now_s)
            kept[update.address] = view
        self.stores = kept

    def held_tokens(
        self, prompt: prompts.Prompt, salt: str, now_s: float
    ) -> int:
        """Returns how many of the prompt's first tokens stores hold."""
        found = 0
        for part in prompt.parts:
            fetch = self._find((salt, part.id), now_s)
            if fetch is None:
                break
            found += fetch.tokens
        return found

    def plan(
        self,
        prompt: prompts.Prompt,
        returning: collections.abc.Container[prompts.Part],
        salt: str,
        capacities: collections.abc.Sequence[model.Store],
        *,
        holder: collections.abc.Callable[[tuple[str, str]], str | None],
        now_s: float,
    ) -> Plan:
        """Returns what to fetch and to save for a request.

        Args:
          prompt: The request's prompt.
          returning: Parts that other prompts are expected to share.
          salt: Salt of the KV cache.
          capacities: Stores of the configuration.
          holder: Returns the address of an engine that holds a part, by salt
            and id.
          now_s: Loop time.
        """
        fetches: list[Fetch | None] = []
        saves: list[str | None] = []
        until_ms: float | None = None
        for part in prompt.parts:
            key = (salt, part.id)
            fetch = self._find(key, now_s)
            save = None
            if fetch is not None:
                store_until_ms = self.stores[fetch.address].until_ms
                until_ms = min(until_ms or store_until_ms, store_until_ms)
            else:
                fetch = self._from_engine(part, holder(key), now_s)
                if part in returning and not self._is_kept(key):
                    save = self._choose_store(
                        key, part.tokens, capacities, now_s
                    )
            fetches.append(fetch)
            saves.append(save)
        return Plan(tuple(fetches), tuple(saves), until_ms)

    def _from_engine(
        self, part: prompts.Part, address: str | None, now_s: float
    ) -> Fetch | None:
        if address is None or not self.costs.pays(address, now_s):
            return None
        return Fetch(address, part.tokens)

    def _find(self, key: tuple[str, str], now_s: float) -> Fetch | None:
        for view in self.stores.values():
            tokens = view.parts.get(key)
            if not tokens or not view.is_usable(now_s):
                continue
            if self.costs.pays(view.address, now_s):
                return Fetch(view.address, tokens)
        return None

    def _is_kept(self, key: tuple[str, str]) -> bool:
        """Returns whether any store holds a part, usable or not."""
        return any(key in view.parts for view in self.stores.values())

    def _choose_store(
        self,
        key: tuple[str, str],
        tokens: int,
        capacities: collections.abc.Sequence[model.Store],
        now_s: float,
    ) -> str | None:
        """Returns the store that a part is saved to, if it is not yet."""
        if self.saving.get(key, 0.0) > now_s:
            return None
        members = []
        for store in capacities:
            address = str(store.address)
            view = self.stores.get(address)
            if view is None or not view.is_usable(now_s):
                continue
            if not self.costs.pays(address, now_s):
                continue
            room = store.kv_tokens * FILLED_SHARE - view.used_tokens
            if room >= tokens:
                weight = float(store.kv_tokens)
                members.append(rendezvous.Member(address, weight=weight))
        if not members:
            return None
        name = f"{key[0]} {key[1]}".encode()
        chosen = rendezvous.rank(name, members)[0].name
        self._note_saving(key, now_s)
        return chosen

    def _note_saving(self, key: tuple[str, str], now_s: float) -> None:
        if len(self.saving) >= MAX_SAVING:
            self.saving = {
                one: until_s
                for one, until_s in self.saving.items()
                if until_s > now_s
            }
        self.saving[key] = now_s + SAVING_S
