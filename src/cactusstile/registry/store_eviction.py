"""Selects the parts to evict from stores, before the stores are full.

Parts that were computed with older weights are useless once all engines hold
newer ones. Beyond that the oldest parts are evicted first, but not while other
stores have room: gateways save to those instead.
"""

from __future__ import annotations

import typing

from cactusstile.sites import model
from cactusstile.sites import salts

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.registry import store_contents

    PartKeys = list[tuple[str, str]]

# Fraction of all stores together from which parts are evicted.
FULL_SITE_FRACTION = 0.93
# Room that eviction leaves in a store, in its largest parts: gateways save
# several at the same time, and a part without room is lost.
FREE_LARGEST_PARTS = 4
# Bounds of that room, as fractions of the store.
MIN_FREE_FRACTION = 0.05
MAX_FREE_FRACTION = 0.2
# Fraction of the store that is evicted at once.
EVICTED_FRACTION = 0.02


def outdated_parts(
    parts: collections.abc.Iterable[tuple[str, str]],
    oldest_by_model: collections.abc.Mapping[str, int],
) -> PartKeys:
    """Returns the parts of weights that no engine holds any more.

    Args:
      parts: Salt and id of each part.
      oldest_by_model: Oldest version that any engine holds, by model.
    """
    outdated = []
    for key in parts:
        weights = salts.weights_of(key[0])
        if weights is None:
            continue
        if weights.version < oldest_by_model.get(weights.model, 0):
            outdated.append(key)
    return outdated


def is_site_full(
    contents: collections.abc.Iterable[store_contents.StoreContents],
    capacity_tokens: int,
) -> bool:
    """Returns whether the stores together have too little room.

    Args:
      contents: Contents of all stores.
      capacity_tokens: Capacity of all stores together.
    """
    used_tokens = sum(store.used_tokens() for store in contents)
    return used_tokens > FULL_SITE_FRACTION * capacity_tokens


def surplus_parts(
    contents: store_contents.StoreContents, capacity_tokens: int
) -> PartKeys:
    """Returns the oldest parts of a store that has too little room.

    Args:
      contents: Parts of the store, oldest first.
      capacity_tokens: Capacity of the store, in tokens of KV cache.
    """
    used_tokens = contents.used_tokens()
    limit_tokens = capacity_tokens - _room_tokens(contents, capacity_tokens)
    if used_tokens <= limit_tokens:
        return []
    surplus = []
    for key, part in contents.parts.items():
        if used_tokens <= limit_tokens - EVICTED_FRACTION * capacity_tokens:
            break
        used_tokens -= part.tokens
        surplus.append(key)
    return surplus


def _room_tokens(
    contents: store_contents.StoreContents, capacity_tokens: int
) -> float:
    """Returns the room that a store should have, in tokens."""
    largest = max((part.tokens for part in contents.parts.values()), default=0)
    return min(
        max(FREE_LARGEST_PARTS * largest, MIN_FREE_FRACTION * capacity_tokens),
        MAX_FREE_FRACTION * capacity_tokens,
    )


def oldest_versions(
    targets: collections.abc.Iterable[model.Target],
) -> dict[str, int]:
    """Returns the oldest version that any engine holds, by model."""
    oldest: dict[str, int] = {}
    for target in targets:
        for weights in target.weights:
            previous = oldest.get(weights.model, weights.version)
            oldest[weights.model] = min(previous, weights.version)
    return oldest
