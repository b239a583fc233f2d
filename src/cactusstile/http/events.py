"""Whole events of a text/event-stream, told apart by their ids."""

from __future__ import annotations

import re
import typing

from cactusstile.http import exceptions

if typing.TYPE_CHECKING:
    import collections.abc

MAX_EVENT_BYTES = 1 << 20
_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id: ?([0-9]{1,18})\r?$", re.MULTILINE)


class EventSplitter:
    """Passes on whole events, each id once and in rising order.

    Attributes:
      last_id: Id of the last event that was passed on; None before any.
      rest: Bytes of an event that is not whole yet.
    """

    def __init__(self, last_id: int | None = None) -> None:
        """Starts after the event `last_id`, if given."""
        self.last_id = last_id
        self.remainder = b""

    def feed(self, data: bytes) -> collections.abc.Iterator[bytes]:
        r"""Yields the events that `data` completes.

        Raises:
          MalformedError: An event exceeds the bound.

        >>> splitter = EventSplitter(1)
        >>> list(splitter.feed(b"id: 1\n\nid: 2\ndata: a\n\nid"))
        [b'id: 2\ndata: a\n\n']
        >>> splitter.last_id, splitter.remainder
        (2, b'id')
        """
        self.remainder += data
        while True:
            end = _END.search(self.remainder)
            if end is None:
                break
            event = self.remainder[: end.end()]
            self.remainder = self.remainder[end.end() :]
            if self._is_new(event):
                yield event
        if len(self.remainder) > MAX_EVENT_BYTES:
            raise exceptions.MalformedError("an event exceeds the bound")

    def restart(self) -> None:
        """Drops an unfinished event; another source goes on."""
        self.remainder = b""

    def _is_new(self, event: bytes) -> bool:
        """Notes an event's id; tells whether it was not passed on before."""
        found = _ID.search(event)
        if found is None:
            return True
        number = int(found[1])
        if self.last_id is not None and number <= self.last_id:
            return False
        self.last_id = number
        return True
