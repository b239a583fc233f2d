"""Messages of the transport: handshake, errors and acknowledgements."""

from __future__ import annotations

import attrs

from cactusstile.transport import codec

_SCHEMA = codec.load_schema(__file__, "transport.capnp")


@codec.register(1, _SCHEMA, "Hello")
@attrs.frozen
class Hello:
    """First message of each side of a connection.

    Attributes:
      versions: Protocol versions that the sender supports.
      role: Role of the sending process: entry, agent, control or operator.
      name: Name of the sending process.
      incarnation: Random number generated at each start of the process.
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
    """Second message: proves that the sender has the shared secret.

    Attributes:
      version: Protocol version chosen by the sender.
      mac: HMAC-SHA-256 over the sender's side, the version and both hello
        messages.
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
    """Acknowledges a call without a result."""
