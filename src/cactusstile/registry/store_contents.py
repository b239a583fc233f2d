"""The leader's view of a store's contents, and what gateways may fetch.

A fetch has to end by a time on the clock that all targets share: the last time
at which the store confirmed its epoch, plus a lease. A restarted store opens
for new parts only after all leases on its former contents have expired, so
that a fetch of a former part never overlaps with the writing of a new one.
"""

from __future__ import annotations

import typing

import attrs

from cactusstile.platform import stores
from cactusstile.sites import messages
from cactusstile.sites import model

if typing.TYPE_CHECKING:
    import collections.abc

# Time for which a confirmation permits fetches. It covers the interval of two
# confirmations, the wait in an engine's queue and the transfer.
LEASE_MS = 3000
# Longest time between two updates; until the next one, leases on a part that
# was retired meanwhile may still be granted.
MAX_UPDATE_INTERVAL_MS = 1000
# Greatest number of tokens that an update carries.
MAX_TOKENS = 2**32 - 1


@attrs.frozen
class RetiredPart:
    """A part that is to be freed.

    Attributes:
      part: The part.
      retired_at_ms: Time of retirement on the targets' clock, in ms.
    """

    part: model.KeptPart
    retired_at_ms: float


@attrs.define
class StoreContents:
    """Contents of one store.

    Attributes:
      address: Address of the store.
      epoch: Epoch of the contents; None while the contents are unknown.
      next_event: Number of the first event that was not applied.
      clock_ms: Last confirmation of the epoch, in ms on the targets' clock.
      closed_until_ms: Time until which the store is closed, same clock.
      parts: Complete parts, oldest first, by salt and id.
      changed_parts: Parts that changed since the last update, by salt and id.
      needs_full_update: Whether the next update has to be a full one.
      retired_parts: Parts that gateways may no longer fetch, by salt and id.
    """

    address: str
    epoch: int | None = None
    next_event: int = 0
    clock_ms: float = 0.0
    closed_until_ms: float = 0.0
    parts: dict[tuple[str, str], model.KeptPart] = attrs.field(factory=dict)
    changed_parts: dict[tuple[str, str], model.KeptPart] = attrs.field(
        factory=dict
    )
    needs_full_update: bool = False
    retired_parts: dict[tuple[str, str], RetiredPart] = attrs.field(
        factory=dict
    )

    def replace_parts(self, contents: stores.Contents) -> None:
        """Replaces the contents by a list that was read from the store."""
        if self.epoch is not None and self.epoch != contents.epoch:
            self.invalidate()
        self.epoch = contents.epoch
        self.next_event = contents.next_event
        listed = {(part.salt, part.id): part for part in contents.parts}
        self.retired_parts = {
            key: part
            for key, part in self.retired_parts.items()
            if key in listed
        }
        self.parts = {
            key: part
            for key, part in listed.items()
            if key not in self.retired_parts
        }
        self.changed_parts = {}
        self.needs_full_update = True

    def apply_events(self, events: stores.Events) -> bool:
        """Applies changes; returns False if the list must be read again."""
        if events.epoch != self.epoch or events.has_gap:
            if events.epoch != self.epoch:
                self.invalidate()
            return False
        self.clock_ms = max(self.clock_ms, events.clock_ms)
        self.next_event = events.next_event
        for part in events.changes:
            key = (part.salt, part.id)
            if key in self.retired_parts:
                if not part.tokens:
                    del self.retired_parts[key]
                continue
            self.changed_parts[key] = part
            if part.tokens > 0:
                self.parts[key] = part
            else:
                self.parts.pop(key, None)
        return True

    def invalidate(self) -> None:
        """Discards the contents, which the store may have lost."""
        if self.epoch is not None:
            self.closed_until_ms = self.clock_ms + LEASE_MS
        self.epoch = None
        self.parts = {}
        self.retired_parts = {}
        self.changed_parts = {}
        self.needs_full_update = True

    def retire(self, keys: collections.abc.Iterable[tuple[str, str]]) -> None:
        """Withdraws parts from gateways, so that the store can free them."""
        for key in keys:
            part = self.parts.pop(key)
            self.retired_parts[key] = RetiredPart(part, self.clock_ms)
            self.changed_parts[key] = attrs.evolve(part, tokens=0)

    def freeable_parts(self) -> tuple[model.KeptPart, ...]:
        """Returns the retired parts on which all leases have expired."""
        freeable = []
        for retired in self.retired_parts.values():
            if (
                self.clock_ms
                > retired.retired_at_ms + LEASE_MS + MAX_UPDATE_INTERVAL_MS
            ):
                freeable.append(retired.part)
        return tuple(freeable)

    def remove_freed(self, parts: tuple[model.KeptPart, ...]) -> None:
        """Removes retired parts that the store has freed."""
        for part in parts:
            self.retired_parts.pop((part.salt, part.id), None)

    def used_tokens(self) -> int:
        """Returns the tokens of the parts that gateways may use."""
        return sum(part.tokens for part in self.parts.values())

    def retired_tokens(self) -> int:
        """Returns the tokens of retired parts, which still take room."""
        tokens = sum(
            retired.part.tokens for retired in self.retired_parts.values()
        )
        return min(tokens, MAX_TOKENS)

    def is_open(self) -> bool:
        """Returns whether gateways may fetch and save parts."""
        return self.epoch is not None and self.clock_ms > self.closed_until_ms

    def collect_update(self) -> messages.StoreUpdate:
        """Returns the changes since the last call."""
        if not self.is_open():
            # Gateways receive the full contents once the store opens.
            self.needs_full_update = True
            return messages.StoreUpdate(self.address, False, 0.0, True, ())
        if self.needs_full_update:
            update = self.full_update()
        else:
            update = messages.StoreUpdate(
                self.address,
                True,
                self.clock_ms + LEASE_MS,
                False,
                _encode(self.changed_parts.values()),
                self.retired_tokens(),
            )
        self.changed_parts = {}
        self.needs_full_update = False
        return update

    def full_update(self) -> messages.StoreUpdate:
        """Returns an update with all parts that gateways may fetch."""
        is_open = self.is_open()
        parts = _encode(self.parts.values()) if is_open else ()
        until_ms = self.clock_ms + LEASE_MS
        return messages.StoreUpdate(
            self.address, is_open, until_ms, True, parts, self.retired_tokens()
        )


def _encode(
    parts: collections.abc.Iterable[model.KeptPart],
) -> tuple[messages.KeptPart, ...]:
    return tuple(
        messages.KeptPart(part.salt, part.id, part.tokens) for part in parts
    )
