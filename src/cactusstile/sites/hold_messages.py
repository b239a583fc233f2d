"""Messages about holds: sets of keys whose requests must not be sent.

The registries keep holds in their log, so that one that gateways decided
outlives all of them; see `gateway.quarantine`.
"""

from __future__ import annotations

import collections.abc
import hashlib
import typing

import attrs

from cactusstile.transport import codec

_SCHEMA = codec.load_schema(__file__, "sites.capnp")
_ID_BYTES = 8


@codec.register(0, _SCHEMA, "Hold")
@attrs.frozen
class Hold:
    """A set of keys; a request that has all of them must not be sent.

    Attributes:
      id: Id of the set; see `hold_id`.
      keys: The keys, sorted.
      route: Route of a request that was refused; empty if unknown.
      workspace: Workspace of that request; empty without one.
      trials: Number of requests that gateways were permitted to send all the
        same, to learn whether targets still end.
    """

    id: str
    keys: tuple[str, ...]
    route: str
    workspace: str
    trials: int = 0


def hold_id(keys: collections.abc.Iterable[str]) -> str:
    """Returns the id of a set of keys, the same at all gateways.

    >>> hold_id(["a", "b"]) == hold_id({"b", "a"}) != hold_id(["a"])
    True
    """
    data = ",".join(sorted(keys)).encode()
    return hashlib.blake2b(data, digest_size=_ID_BYTES).hexdigest()


@codec.register(0, _SCHEMA, "HoldInForce")
@attrs.frozen
class HoldInForce:
    """A hold, with the time since it or its trials changed.

    Attributes:
      hold: The hold.
      age_ms: Time since the change, in ms.
    """

    hold: Hold
    age_ms: int


@codec.register(518, _SCHEMA, "HoldsInForce")
@attrs.frozen
class HoldsInForce:
    """Item: all holds.

    Attributes:
      holds: Holds in force.
      released: Holds that were released lately, with the time since then.
    """

    holds: tuple[HoldInForce, ...]
    released: tuple[HoldInForce, ...]


@codec.register(530, _SCHEMA, "ReportHold")
@attrs.frozen
class ReportHold:
    """Call of a gateway to the leader: put a hold in force.

    The same message is the command in the registries' log.
    """

    hold: Hold


@codec.register(531, _SCHEMA, "ReleaseHold")
@attrs.frozen
class ReleaseHold:
    """Call of a gateway to the leader, and command: end a hold."""

    id: str


@codec.register(532, _SCHEMA, "BeginTrial")
@attrs.frozen
class BeginTrial:
    """Call of a gateway to the leader, and command: permit one request.

    Attributes:
      id: Id of the hold.
      number: Number of the trial, counted from 1; another one is refused.
    """

    id: str
    number: int


@codec.register(533, _SCHEMA, "HoldOutcome")
@attrs.frozen
class HoldOutcome:
    """Answer to these calls, and result of the commands.

    Attributes:
      is_done: Whether the call had an effect, or had had it before.
    """

    is_done: bool


Command: typing.TypeAlias = ReportHold | ReleaseHold | BeginTrial
