"""Splits a text/event-stream into complete events, without duplicates."""

from __future__ import annotations

import re
import typing

from cactusstile.http import exceptions

if typing.TYPE_CHECKING:
    import collections.abc

MAX_EVENT_BYTES = 1 << 20
# An empty line; each line ends with CR LF, LF or CR. The LF of a last CR LF may
# arrive later.
_EVENT_END = re.compile(rb"\r\r|(?>\r\n|\n|\r)(?>\r\n|\n|\r(?!\Z))")
_LAST_EVENT_END = re.compile(rb"(?:\r\n|\n)\r\Z")
_LONGEST_END_BYTES = 4
_FIELD = rb"(?:\A|[\r\n])%b(?:: ?([^\r\n]*))?(?=[\r\n])"
_ID_FIELD = re.compile(_FIELD % b"id")
_DATA_FIELD = re.compile(_FIELD % b"data")
# As many as a number of 64 bits has.
_MAX_ID_DIGITS = 20
# May precede a stream, and only there; it belongs to no event.
_BYTE_ORDER_MARK = b"\xef\xbb\xbf"


class EventSplitter:
    """Yields complete events, each id once and in increasing order.

    Attributes:
      last_id: Id of the last event that was yielded; None before the first.
      remainder: Bytes of an event that is still incomplete.
      mark: Byte order mark that the source begins with; empty without one.
    """

    def __init__(self, last_id: int | None = None) -> None:
        """Starts after the event `last_id`, or at the first event if None."""
        self.last_id = last_id
        self.remainder = bytearray()
        self.mark = b""
        self._searched = 0
        self._at_start = True

    def feed(self, data: bytes) -> collections.abc.Iterator[bytes]:
        r"""Yields the new events that `data` completes.

        Raises:
          MalformedError: An event exceeds `MAX_EVENT_BYTES`.

        >>> splitter = EventSplitter(1)
        >>> list(splitter.feed(b"id: 1\n\nid: 2\ndata: a\n\nid"))
        [b'id: 2\ndata: a\n\n']
        >>> splitter.last_id, bytes(splitter.remainder)
        (2, b'id')
        """
        self.remainder += data
        if self._at_start and not self._skip_mark():
            return
        while True:
            end = _EVENT_END.search(self.remainder, self._searched)
            if end is None:
                break
            event = bytes(self.remainder[: end.end()])
            del self.remainder[: end.end()]
            self._searched = 0
            if self._is_new(event):
                yield event
        # The bytes searched so far may end with a part of an event's end.
        self._searched = max(0, len(self.remainder) - _LONGEST_END_BYTES + 1)
        if len(self.remainder) > MAX_EVENT_BYTES:
            raise exceptions.MalformedError("event exceeds the size limit")

    def finish(self) -> collections.abc.Iterator[bytes]:
        r"""Yields the last event of a stream if a CR ends it.

        >>> splitter = EventSplitter()
        >>> list(splitter.feed(b"data: a\n\r")), list(splitter.finish())
        ([], [b'data: a\n\r'])
        """
        if _LAST_EVENT_END.search(self.remainder) is None:
            return
        event = bytes(self.remainder)
        self.remainder.clear()
        self._searched = 0
        if self._is_new(event):
            yield event

    def restart(self) -> None:
        """Discards an incomplete event before another source continues."""
        self.remainder = bytearray()
        self.mark = b""
        self._searched = 0
        self._at_start = True

    def _skip_mark(self) -> bool:
        """Skips the mark of a stream; returns whether its start has arrived."""
        start = bytes(self.remainder[: len(_BYTE_ORDER_MARK)])
        if start == _BYTE_ORDER_MARK:
            del self.remainder[: len(start)]
            self.mark = start
        elif _BYTE_ORDER_MARK.startswith(start):
            return False
        self._at_start = False
        return True

    def _is_new(self, event: bytes) -> bool:
        """Records an event's id; returns whether the event is new."""
        number = find_id(event)
        if number is None:
            return True
        if self.last_id is not None and number <= self.last_id:
            return False
        self.last_id = number
        return True


def find_id(event: bytes) -> int | None:
    r"""Returns the id of a complete event; None without a numeric one.

    Of several id fields the last one counts, as in the event-stream format.

    >>> find_id(b"id: 7\rdata: a\r\r"), find_id(b"id: 7\nid\n\n")
    (7, None)
    """
    fields = _ID_FIELD.findall(event)
    return parse_id(fields[-1]) if fields else None


def find_data(event: bytes) -> bytes | None:
    r"""Returns the data of a complete event; None if it has none.

    >>> find_data(b"data: a\rdata:b\r\r"), find_data(b": comment\n\n")
    (b'a\nb', None)
    """
    lines = _DATA_FIELD.findall(event)
    return b"\n".join(lines) if lines else None


def parse_id(value: bytes) -> int | None:
    """Returns the number in an id field, or in a caller's `Last-Event-Id`.

    Blanks around it do not count, as a header field cannot hold them. None if
    the value is no number.

    >>> parse_id(b" 12"), parse_id(b"12a"), parse_id(b"")
    (12, None, None)
    """
    digits = value.strip(b" \t")
    if not digits.isdigit() or len(digits) > _MAX_ID_DIGITS:
        return None
    return int(digits)
