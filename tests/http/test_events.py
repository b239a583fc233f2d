from __future__ import annotations

import itertools

import pytest

from cactusstile.http import events

LINE_ENDS = (b"\r\n", b"\n", b"\r")
ENDS = [
    first + second
    for first, second in itertools.product(LINE_ENDS, LINE_ENDS)
    if first + second != b"\r\n"
]


@pytest.mark.parametrize("end", ENDS)
def test_event_whose_lines_end_differently_is_not_found(end: bytes) -> None:
    data = b"id: 1\ndata: x" + end + b"id: 2\ndata: y" + end
    for split in range(len(data) + 1):
        splitter = events.EventSplitter()
        found = [*splitter.feed(data[:split]), *splitter.feed(data[split:])]
        found += splitter.finish()
        assert len(found) == 2, split
        assert b"".join(found) + splitter.remainder == data


def test_line_end_within_an_event_is_taken_for_its_end() -> None:
    data = b"id: 1\r\ndata: x\r\ndata: y\r\n\r\n"
    for split in range(len(data) + 1):
        splitter = events.EventSplitter()
        found = [*splitter.feed(data[:split]), *splitter.feed(data[split:])]
        assert len(found) == 1
