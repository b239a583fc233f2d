"""Requests and responses as plain data."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    import collections.abc

Headers: typing.TypeAlias = tuple[tuple[bytes, bytes], ...]

# RFC 9110, section 7.6.1: fields that concern one connection only.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


@attrs.frozen
class Request:
    """A whole request.

    Attributes:
      method: Method, as sent.
      target: Path and query, as sent.
      headers: Header fields with lower-case names.
      body: The body, without any framing.
      received_s: Loop time at which its first byte was read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = attrs.field(default=b"", repr=False)
    received_s: float = 0.0

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition(b"?")[0].decode("ascii", "replace")

    def find(self, name: bytes) -> str | None:
        """Returns the value of a header field; see `find`."""
        return find(self.headers, name)


@attrs.frozen
class ResponseHead:
    """Status and header fields of a response.

    Attributes:
      status: Status code.
      headers: Header fields with lower-case names.
    """

    status: int
    headers: Headers

    def find(self, name: bytes) -> str | None:
        """Returns the value of a header field; see `find`."""
        return find(self.headers, name)


def find(headers: Headers, name: bytes) -> str | None:
    """Returns the first value of a header field, or None.

    >>> find(((b"host", b"a"), (b"host", b"b")), b"host")
    'a'
    """
    for found, value in headers:
        if found == name:
            return value.decode("latin-1")
    return None


def end_to_end(
    headers: Headers, dropped: collections.abc.Container[bytes] = ()
) -> list[tuple[bytes, bytes]]:
    """Returns the fields that travel on to the next hop.

    Args:
      headers: Fields as received.
      dropped: Further lower-case names to leave out.

    >>> end_to_end(((b"connection", b"x-a"), (b"x-a", b"1"), (b"b", b"2")))
    [(b'b', b'2')]
    """
    named = set()
    for name, value in headers:
        if name != b"connection":
            continue
        for token in value.lower().split(b","):
            named.add(token.strip())
    kept = []
    for name, value in headers:
        if name in HOP_BY_HOP or name in named or name in dropped:
            continue
        kept.append((name, value))
    return kept
