"""Recent exports by store, to be exported again when the store is lost.

When a store is lost, an engine still has the blocks of its most recent prompts
in memory. They are exported again at once. Otherwise newer prompts evict them,
and each prompt has to be recomputed completely when it returns.
"""

from __future__ import annotations

import collections
import typing

MAX_PROMPTS = 256

T = typing.TypeVar("T")


class RecentExports(typing.Generic[T]):
    """Bounded map of each prompt to its latest export and the store of it.

    >>> recent = RecentExports()
    >>> recent.add(b"prompt", "store-1", "export")
    >>> recent.take("store-1"), recent.take("store-1")
    (['export'], [])
    """

    def __init__(self, max_prompts: int = MAX_PROMPTS) -> None:
        """Starts empty; holds the latest `max_prompts` prompts."""
        self._max_prompts = max_prompts
        self._exports: collections.OrderedDict[bytes, tuple[str, T]]
        self._exports = collections.OrderedDict()

    def add(self, prefix_key: bytes, store: str, export: T) -> None:
        """Records the export of a prompt to a store."""
        self._exports[prefix_key] = (store, export)
        self._exports.move_to_end(prefix_key)
        if len(self._exports) > self._max_prompts:
            self._exports.popitem(last=False)

    def take(self, store: str) -> list[T]:
        """Removes and returns the exports to a store, oldest first."""
        lost = [
            (prefix_key, export)
            for prefix_key, (holder, export) in self._exports.items()
            if holder == store
        ]
        for prefix_key, _ in lost:
            del self._exports[prefix_key]
        return [export for _, export in lost]
