"""Selects the parts to evict from stores, before the stores are full.

Parts that were computed with older weights are useless once all engines hold
newer ones. Beyond that the oldest parts are evicted first.
"""

from __future__ import annotations

import typing

from cactusstile.sites import model
from cactusstile.sites import salts

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.registry import store_contents

    PartKeys = list[tuple[str, str]]

# Fractions of a store's capacity: eviction starts above the first one and ends
# at the second.
HIGH_WATERMARK_FRACTION = 0.92
LOW_WATERMARK_FRACTION = 0.85


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


def surplus_parts(
    contents: store_contents.StoreContents, capacity_tokens: int
) -> PartKeys:
    """Returns the oldest parts of a store that exceeds its high watermark.

    Args:
      contents: Parts of the store, oldest first.
      capacity_tokens: Capacity of the store, in tokens of KV cache.
    """
    used_tokens = sum(part.tokens for part in contents.parts.values())
    if used_tokens <= HIGH_WATERMARK_FRACTION * capacity_tokens:
        return []
    surplus = []
    for key, part in contents.parts.items():
        if used_tokens <= LOW_WATERMARK_FRACTION * capacity_tokens:
            break
        used_tokens -= part.tokens
        surplus.append(key)
    return surplus


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
