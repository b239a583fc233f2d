"""In-memory log entries since the last compaction."""

from __future__ import annotations

import attrs

from cactusstile.consensus import messages

ENTRY_OVERHEAD_BYTES = 32


@attrs.define
class Log:
    """Log entries after a base index that a snapshot covers.

    Attributes:
      base_index: Index of the last entry that was dropped.
      base_term: Term of that entry.
      entries: All entries after `base_index`, without gaps.
    """

    base_index: int = 0
    base_term: int = 0
    entries: list[messages.Entry] = attrs.field(factory=list)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.base_term

    def term_at(self, index: int) -> int | None:
        """Returns the term of an entry; None if it is not in the log."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self.entries[index - self.base_index - 1].term

    def batch_from(
        self, start: int, max_bytes: int, max_count: int = 1 << 16
    ) -> list[messages.Entry]:
        """Returns the entries from index `start` on, within the bounds.

        The first entry is always included if it exists, whatever its size.
        """
        taken: list[messages.Entry] = []
        size = 0
        first = start - self.base_index - 1
        for position in range(first, len(self.entries)):
            entry = self.entries[position]
            size += len(entry.data) + ENTRY_OVERHEAD_BYTES
            if taken and (size > max_bytes or len(taken) >= max_count):
                break
            taken.append(entry)
        return taken

    def entries_between(self, after: int, last: int) -> list[messages.Entry]:
        """Returns the entries with `after` < index <= `last`."""
        return self.entries[after - self.base_index : last - self.base_index]

    def append(self, entries: list[messages.Entry]) -> None:
        """Appends entries, replacing existing ones from the first index on."""
        del self.entries[entries[0].index - self.base_index - 1 :]
        self.entries.extend(entries)

    def compact(self, index: int) -> None:
        """Drops the entries up to `index`."""
        if index <= self.base_index:
            return
        term = self.term_at(index)
        assert term is not None  # noqa: S101
        del self.entries[: index - self.base_index]
        self.base_index = index
        self.base_term = term

    def reset(self, index: int, term: int) -> None:
        """Drops all entries; the log continues after a snapshot at `index`."""
        self.entries.clear()
        self.base_index = index
        self.base_term = term

    def term_start_index(self, index: int) -> int:
        """Returns the first index in the log with the term at `index`."""
        term = self.term_at(index)
        while index > self.base_index + 1 and self.term_at(index - 1) == term:
            index -= 1
        return index
