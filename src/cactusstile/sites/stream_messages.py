"""Datagrams in which gateways tell each other where streams began."""

from __future__ import annotations

import attrs

from cactusstile.transport import codec

_SCHEMA = codec.load_schema(__file__, "sites.capnp")


@codec.register(0, _SCHEMA, "BegunStream")
@attrs.frozen
class BegunStream:
    """Where a stream began.

    Attributes:
      id: Id of the attempt that brought its first event.
      service: Name of the service; empty if the origin is not known.
      build: Build of the target that made the first event.
    """

    id: str
    service: str
    build: str


@codec.register(523, _SCHEMA, "BegunStreams")
@attrs.frozen
class BegunStreams:
    """Datagram: where streams began; also the answer to `FindStream`.

    Attributes:
      gateway: Address of the sender.
      streams: The streams.
    """

    gateway: str
    streams: tuple[BegunStream, ...]


@codec.register(524, _SCHEMA, "FindStream")
@attrs.frozen
class FindStream:
    """Datagram: where did a stream begin?

    Attributes:
      gateway: Address of the gateway that asks.
      id: Id of the attempt that brought its first event.
    """

    gateway: str
    id: str
