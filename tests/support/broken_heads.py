"""Heads of answers that are none, as targets in trouble send them."""

from __future__ import annotations

STATUSES = (
    b"000",
    b"001",
    b"099",
    b"101",
    b"20",
    b"2000",
    b"+20",
    b"-20",
    b"2 0",
    b"abc",
)
# Not with a blank at the start: such a line continues the one before it (RFC
# 9112, section 5.2).
NAMES = (
    b"",
    b"X-Some ",
    b"X-Some\t",
    b"X Some",
    b"X\tSome",
    b"X-Some\0",
    b"\x01X-Some",
    b"X\x0bSome",
    b"X\rSome",
    b"X-Some\x1f",
    b"X-Some\x7f",
    b"X-Some\x80",
    b"Content-Length ",
    b"\x01Content-Length",
    b"Transfer-Encoding\t",
)
REST = b"Content-Length: 4\r\n\r\ndone"


def with_status(status: bytes) -> bytes:
    """Returns an answer, without its first fields, that has no status."""
    return b"HTTP/1.1 " + status + b" Broken\r\n" + REST


def with_name(name: bytes) -> bytes:
    """Returns an answer of which a field has no name."""
    return b"HTTP/1.1 200 OK\r\n" + name + b": 4\r\n" + REST


ANSWERS = (*map(with_status, STATUSES), *map(with_name, NAMES))
