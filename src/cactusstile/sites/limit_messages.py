"""Datagrams in which gateways tell each other the limits that targets name."""

from __future__ import annotations

import attrs

from cactusstile.transport import codec

_SCHEMA = codec.load_schema(__file__, "sites.capnp")


@codec.register(526, _SCHEMA, "TargetLimitNotice")
@attrs.frozen
class TargetLimitNotice:
    """Datagram: the limit that a target names, or that it names none.

    Attributes:
      target: Id of the target's incarnation.
      is_limited: Whether it names a limit.
      per_s: Requests per second that it takes from all gateways.
      age_ms: Time since it said so, in ms.
    """

    target: str
    is_limited: bool
    per_s: float
    age_ms: int
