"""Messages of the transport itself: handshake, errors, acknowledgement."""

from __future__ import annotations

import attrs

from cactusstile.transport import codec

_SCHEMA = codec.load_schema(__file__, "transport.capnp")


@codec.register(1, _SCHEMA, "Hello")
@attrs.frozen
class Hello:
    """First message of either side of a connection.

    Attributes:
      versions: Versions of the protocol that the sender speaks.
      role: Role of the sending process: entry, agent, control or operator.
      name: Name of the sending process.
      incarnation: Number drawn anew at each start of the process.
      nonce: Random bytes that the peer's proof must cover.
    """

    versions: tuple[int, ...]
    role: str
    name: str
    incarnation: int
    nonce: bytes


@codec.register(2, _SCHEMA, "Proof")
@attrs.frozen
class Proof:
    """Second message: proves the shared secret over both hellos.

    Attributes:
      version: Version of the protocol that the sender chose.
      mac: HMAC-SHA-256 over the direction and both hellos.
    """

    version: int
    mac: bytes


@codec.register(3, _SCHEMA, "CallError")
@attrs.frozen
class CallError:
    """Ends a call with an error; see `exceptions.RemoteError`."""

    code: str
    message: str
    detail: str = ""


@codec.register(4, _SCHEMA, "Empty")
@attrs.frozen
class Empty:
    """Acknowledges a call that has no result."""
