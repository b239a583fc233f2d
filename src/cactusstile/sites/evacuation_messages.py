"""Messages about data centres that are evacuated; see `routing.evacuation`."""

from __future__ import annotations

import typing

import attrs

from cactusstile.transport import codec

_SCHEMA = codec.load_schema(__file__, "sites.capnp")


@codec.register(535, _SCHEMA, "BeginEvacuation")
@attrs.frozen
class BeginEvacuation:
    """Command: targets of a data centre receive nothing new."""

    data_centre: str


@codec.register(536, _SCHEMA, "EndEvacuation")
@attrs.frozen
class EndEvacuation:
    """Command: a data centre is used again."""

    data_centre: str


@codec.register(537, _SCHEMA, "EvacuationOutcome")
@attrs.frozen
class EvacuationOutcome:
    """Result of these commands.

    Attributes:
      is_done: Whether the state is as the command asks; False only if too many
        data centres are evacuated.
    """

    is_done: bool


@codec.register(0, _SCHEMA, "EndedEvacuation")
@attrs.frozen
class EndedEvacuation:
    """A data centre whose evacuation ended.

    Attributes:
      data_centre: The data centre.
      age_ms: Time since then, in ms.
    """

    data_centre: str
    age_ms: int


@codec.register(538, _SCHEMA, "EvacuationsInForce")
@attrs.frozen
class EvacuationsInForce:
    """Item: evacuated data centres, and those that came back.

    Attributes:
      data_centres: Data centres that receive nothing new.
      ended: Data centres whose evacuation ended.
    """

    data_centres: tuple[str, ...]
    ended: tuple[EndedEvacuation, ...]


Command: typing.TypeAlias = BeginEvacuation | EndEvacuation
