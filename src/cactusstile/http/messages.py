"""Requests and responses as plain data."""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    import collections.abc

Headers: typing.TypeAlias = tuple[tuple[bytes, bytes], ...]

# Memory of a header field beside its bytes.
FIELD_BYTES = 256

# Header fields of a single connection; RFC 9110, section 7.6.1.
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

# Header fields that tell where a body ends.
_FRAMING = (b"content-length", b"transfer-encoding")


@attrs.frozen
class Request:
    """A complete request.

    Attributes:
      method: Method, as sent.
      target: Path and query, as sent.
      headers: Header fields with lower-case names.
      body: Body without transfer coding.
      received_s: Event loop time at which the first byte was read.
    """

    method: bytes
    target: bytes
    headers: Headers
    body: bytes = attrs.field(default=b"", repr=False)
    received_s: float = 0.0

    @property
    def path(self) -> str:
        """Request path without the query."""
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


def memory_bytes(
    headers: collections.abc.Sequence[tuple[bytes, bytes]],
) -> int:
    """Returns about how much memory header fields take.

    >>> memory_bytes(((b"host", b"a"),))
    261
    """
    size = FIELD_BYTES * len(headers)
    return size + sum(len(name) + len(value) for name, value in headers)


def find(headers: Headers, name: bytes) -> str | None:
    """Returns the first value of a header field; None if it is absent.

    >>> find(((b"host", b"a"), (b"host", b"b")), b"host")
    'a'
    """
    for field, value in headers:
        if field == name:
            return _decode_value(value)
    return None


def find_list(headers: Headers, name: bytes) -> str | None:
    """Returns a field that holds a list: all its lines, joined by commas.

    >>> find_list(((b"te", b"a"), (b"te", b"b, c")), b"te")
    'a,b, c'
    """
    lines = []
    for field, value in headers:
        if field == name:
            lines.append(_decode_value(value))
    return ",".join(lines) if lines else None


def _decode_value(value: bytes) -> str:
    """Returns a value as text: UTF-8, or Latin-1 if it is not UTF-8."""
    try:
        return value.decode()
    except UnicodeDecodeError:
        return value.decode("latin-1")


def is_framed(headers: Headers) -> bool:
    """Returns whether the end of a body differs from that of its connection.

    >>> is_framed(((b"content-length", b"3"),)), is_framed(())
    (True, False)
    """
    return any(name in _FRAMING for name, _ in headers)


def media_type(head: ResponseHead) -> str:
    """Returns the type of a body: lower-case, without parameters.

    >>> fields = ((b"content-type", b"Text/Plain ; charset=utf-8"),)
    >>> media_type(ResponseHead(200, fields))
    'text/plain'
    """
    text = head.find(b"content-type") or ""
    return text.partition(";")[0].strip().lower()


def end_to_end(
    headers: Headers, dropped: collections.abc.Container[bytes] = ()
) -> list[tuple[bytes, bytes]]:
    """Returns the header fields to forward to the next hop.

    Args:
      headers: Header fields as received.
      dropped: Additional lower-case field names to remove.

    >>> end_to_end(((b"connection", b"x-a"), (b"x-a", b"1"), (b"b", b"2")))
    [(b'b', b'2')]
    """
    connection_options = set()
    for name, value in headers:
        if name != b"connection":
            continue
        for token in value.lower().split(b","):
            connection_options.add(token.strip())
    forwarded = []
    for name, value in headers:
        if name in HOP_BY_HOP or name in connection_options or name in dropped:
            continue
        forwarded.append((name, value))
    return forwarded
