"""What the leader knows of the stores' contents, and what gateways may use.

A fetch is bounded by a time on the targets' clock: the last moment at which
the store confirmed its epoch, plus a lease. A store that restarted opens for
new parts only after every lease on its former contents is over, so that a
fetch of a former part can never meet a part that is being written.
"""

from __future__ import annotations

import typing

import attrs

from cactusstile.platform import stores
from cactusstile.sites import messages
from cactusstile.sites import model

if typing.TYPE_CHECKING:
    import collections.abc

# Time for which a confirmation permits fetches: two confirmations, the time in
# an engine's queue and the transfer.
LEASE_MS = 3000
# Time between two updates, within which a lease may still be given.
UPDATE_MS = 1000


@attrs.frozen
class Retired:
    """A part that is to be freed.

    Attributes:
      part: The part.
      since_ms: Time on the targets' clock at which it was retired.
    """

    part: model.KeptPart
    since_ms: float


@attrs.define
class StoreContents:
    """Contents of one store.

    Attributes:
      address: Address of the store.
      epoch: Epoch of the contents; None while they are not known.
      next_event: First event that is not covered.
      clock_ms: Last confirmation of the epoch, on the targets' clock.
      closed_until_ms: Time until which the store stays closed, same clock.
      parts: Whole parts, by salt and id.
      changed: Parts that changed since the last update.
      replaced: Whether the contents were replaced since.
      retired: Parts that gateways no longer fetch, with the time since when.
    """

    address: str
    epoch: int | None = None
    next_event: int = 0
    clock_ms: float = 0.0
    closed_until_ms: float = 0.0
    parts: dict[tuple[str, str], model.KeptPart] = attrs.field(factory=dict)
    changed: dict[tuple[str, str], model.KeptPart] = attrs.field(factory=dict)
    replaced: bool = False
    retired: dict[tuple[str, str], Retired] = attrs.field(factory=dict)

    def replace(self, contents: stores.Contents) -> None:
        """Takes over a whole list."""
        if self.epoch is not None and self.epoch != contents.epoch:
            self.lose()
        self.epoch = contents.epoch
        self.next_event = contents.next_event
        listed = {(one.salt, one.id): one for one in contents.parts}
        self.retired = {
            key: one for key, one in self.retired.items() if key in listed
        }
        self.parts = {
            key: one for key, one in listed.items() if key not in self.retired
        }
        self.changed = {}
        self.replaced = True

    def take(self, events: stores.Events) -> bool:
        """Takes changes over; returns False if the list must be read anew."""
        if events.epoch != self.epoch or events.has_gap:
            if events.epoch != self.epoch:
                self.lose()
            return False
        self.clock_ms = max(self.clock_ms, events.clock_ms)
        self.next_event = events.next_event
        for part in events.changes:
            key = (part.salt, part.id)
            if key in self.retired:
                if not part.tokens:
                    del self.retired[key]
                continue
            self.changed[key] = part
            if part.tokens > 0:
                self.parts[key] = part
            else:
                self.parts.pop(key, None)
        return True

    def lose(self) -> None:
        """Forgets the contents; they may be gone."""
        if self.epoch is not None:
            self.closed_until_ms = self.clock_ms + LEASE_MS
        self.epoch = None
        self.parts = {}
        self.retired = {}
        self.changed = {}
        self.replaced = True

    def retire(self, keys: collections.abc.Iterable[tuple[str, str]]) -> None:
        """Has gateways stop fetching parts, so that they can be freed."""
        for key in keys:
            part = self.parts.pop(key)
            self.retired[key] = Retired(part, self.clock_ms)
            self.changed[key] = attrs.evolve(part, tokens=0)

    def freeable(self) -> tuple[model.KeptPart, ...]:
        """Returns retired parts that no fetch can reach any more."""
        found = []
        for one in self.retired.values():
            if self.clock_ms > one.since_ms + LEASE_MS + UPDATE_MS:
                found.append(one.part)
        return tuple(found)

    def note_freed(self, parts: tuple[model.KeptPart, ...]) -> None:
        """Notes that parts are gone."""
        for part in parts:
            self.retired.pop((part.salt, part.id), None)

    def is_open(self) -> bool:
        """Returns whether gateways may fetch and save."""
        return self.epoch is not None and self.clock_ms > self.closed_until_ms

    def take_update(self) -> messages.StoreUpdate:
        """Returns what changed since the last call."""
        if not self.is_open():
            # Sent as a whole once the store opens.
            self.replaced = True
            return messages.StoreUpdate(self.address, False, 0.0, True, ())
        if self.replaced:
            update = self.whole()
        else:
            update = messages.StoreUpdate(
                self.address,
                True,
                self.clock_ms + LEASE_MS,
                False,
                _encode(self.changed.values()),
            )
        self.changed = {}
        self.replaced = False
        return update

    def whole(self) -> messages.StoreUpdate:
        """Returns all that gateways may use."""
        is_open = self.is_open()
        parts = _encode(self.parts.values()) if is_open else ()
        until_ms = self.clock_ms + LEASE_MS
        return messages.StoreUpdate(
            self.address, is_open, until_ms, True, parts
        )


def _encode(
    parts: collections.abc.Iterable[model.KeptPart],
) -> tuple[messages.KeptPart, ...]:
    return tuple(
        messages.KeptPart(one.salt, one.id, one.tokens) for one in parts
    )
