"""Network addresses of processes: an IP address and a port."""

from __future__ import annotations

import contextlib
import ipaddress
import typing

import attrs

if typing.TYPE_CHECKING:
    import collections.abc

MAX_PORT = 65_535


@attrs.frozen(order=True)
class Address:
    """Address of a listener.

    Attributes:
      host: IPv4 or IPv6 address.
      port: TCP port; 0 to let the operating system choose one.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Returns "host:port"; an IPv6 host is in brackets."""
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


def parse_valid(texts: collections.abc.Iterable[str]) -> tuple[Address, ...]:
    """Returns the addresses of those texts that `parse` accepts.

    >>> parse_valid(["somewhere", "127.0.0.1:80"])
    (Address(host='127.0.0.1', port=80),)
    """
    parsed = []
    for text in texts:
        with contextlib.suppress(ValueError):
            parsed.append(parse(text))
    return tuple(parsed)


def parse(text: str) -> Address:
    """Parses an address such as "10.0.0.1:7000" or "[::1]:7000".

    Raises:
      ValueError: If `text` is not an IP address and a port.

    >>> parse("127.0.0.1:80")
    Address(host='127.0.0.1', port=80)
    >>> parse("localhost:80")
    Traceback (most recent call last):
    ValueError: 'localhost:80' is not an IP number and port like 10.0.0.1:7000
    """
    host, _, port = text.rpartition(":")
    try:
        number = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        # A scope may hold any character.
        if not (text.isascii() and text.isprintable()):
            raise ValueError(text)
        if not port.isdecimal() or int(port) > MAX_PORT:
            raise ValueError(port)
    except ValueError:
        raise ValueError(
            f"{text!r} is not an IP number and port like 10.0.0.1:7000"
        ) from None
    return Address(str(number), int(port))
