"""Addresses of processes: an IP number and a port."""

from __future__ import annotations

import ipaddress

import attrs

MAX_PORT = 65_535


@attrs.frozen(order=True)
class Address:
    """Address of a listener.

    Attributes:
      host: IP number, version 4 or 6.
      port: TCP port; 0 lets the system choose one.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Returns "host:port", the host in brackets for IP version 6."""
        if ":" in self.host:
            return f"[{self.host}]:{self.port}"
        return f"{self.host}:{self.port}"


def parse(text: str) -> Address:
    """Returns the address written in `text`.

    Raises:
      ValueError: If it is no IP number with a port; says what to write.

    >>> parse("127.0.0.1:80")
    Address(host='127.0.0.1', port=80)
    >>> parse("localhost:80")
    Traceback (most recent call last):
    ValueError: 'localhost:80' is not an IP number and port like 10.0.0.1:7000
    """
    host, _, port = text.rpartition(":")
    try:
        number = ipaddress.ip_address(host.removeprefix("[").removesuffix("]"))
        if not port.isdecimal() or int(port) > MAX_PORT:
            raise ValueError(port)
    except ValueError:
        raise ValueError(
            f"{text!r} is not an IP number and port like 10.0.0.1:7000"
        ) from None
    return Address(str(number), int(port))
