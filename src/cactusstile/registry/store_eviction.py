"""Chooses parts of stores that make room for others.

Answers stores that fill up: what older weights made is of no use once all
engines hold newer ones, and beyond that the oldest parts go first.
"""

from __future__ import annotations

import typing

from cactusstile.sites import model
from cactusstile.sites import salts

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.registry import store_contents

    Keys = list[tuple[str, str]]

# Parts of a store's room between which it is kept.
FULL_SHARE = 0.92
CLEANED_SHARE = 0.85


def outdated(
    parts: collections.abc.Iterable[tuple[str, str]],
    oldest: collections.abc.Mapping[str, int],
) -> Keys:
    """Returns the parts that weights made which no engine holds any more.

    Args:
      parts: Salt and id of each part.
      oldest: Oldest version that any engine holds, by model.
    """
    found = []
    for key in parts:
        weights = salts.weights_of(key[0])
        if weights is None:
            continue
        if weights.version < oldest.get(weights.model, 0):
            found.append(key)
    return found


def surplus(held: store_contents.StoreContents, capacity_tokens: int) -> Keys:
    """Returns the oldest parts of a store that is nearly full."""
    used = sum(part.tokens for part in held.parts.values())
    if used <= FULL_SHARE * capacity_tokens:
        return []
    found = []
    for key, part in held.parts.items():
        if used <= CLEANED_SHARE * capacity_tokens:
            break
        used -= part.tokens
        found.append(key)
    return found


def oldest_versions(
    targets: collections.abc.Iterable[model.Target],
) -> dict[str, int]:
    """Returns the oldest version of each model that an engine holds."""
    found: dict[str, int] = {}
    for target in targets:
        for one in target.weights:
            known = found.get(one.model, one.version)
            found[one.model] = min(known, one.version)
    return found
