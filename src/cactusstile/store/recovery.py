"""What was exported to which store lately, to export it again after a loss.

An engine still holds the newest prompts whose store is lost. Unless they are
exported again at once, memory for newer prompts pushes them out, and each has
to be computed as a whole when it returns.
"""

from __future__ import annotations

import collections
import typing

MAX_PROMPTS = 256

T = typing.TypeVar("T")


class RecentExports(typing.Generic[T]):
    """Newest export of each prompt, with the store that took it; bounded.

    >>> recent = RecentExports()
    >>> recent.add(b"prompt", "store-1", "export")
    >>> recent.take("store-1"), recent.take("store-1")
    (['export'], [])
    """

    def __init__(self, max_prompts: int = MAX_PROMPTS) -> None:
        """Starts empty; forgets the oldest beyond `max_prompts`."""
        self._max_prompts = max_prompts
        self._exports: collections.OrderedDict[bytes, tuple[str, T]]
        self._exports = collections.OrderedDict()

    def add(self, prefix_key: bytes, store: str, export: T) -> None:
        """Notes that a store took an export of a prompt."""
        self._exports[prefix_key] = (store, export)
        self._exports.move_to_end(prefix_key)
        if len(self._exports) > self._max_prompts:
            self._exports.popitem(last=False)

    def take(self, store: str) -> list[T]:
        """Returns the exports to a store, oldest first, and forgets them."""
        lost = [
            (prefix_key, export)
            for prefix_key, (holder, export) in self._exports.items()
            if holder == store
        ]
        for prefix_key, _ in lost:
            del self._exports[prefix_key]
        return [export for _, export in lost]
