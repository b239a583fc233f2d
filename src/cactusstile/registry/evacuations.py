"""Evacuated data centres in the replicated state.

The classes do no I/O; see `routing.evacuation`.
"""

from __future__ import annotations

import typing

import attrs

from cactusstile.sites import ages
from cactusstile.sites import evacuation_messages

if typing.TYPE_CHECKING:
    import collections.abc

# Bounds the state; beyond it the oldest ends are forgotten.
MAX_DATA_CENTRES = 1000


@attrs.frozen
class EvacuationTable:
    """Data centres of the replicated state, oldest first.

    Attributes:
      evacuated: Data centres that receive nothing new.
      ended: Data centres whose evacuation ended.
    """

    evacuated: tuple[str, ...] = ()
    ended: tuple[str, ...] = ()

    def after(
        self, command: evacuation_messages.Command
    ) -> EvacuationTable | None:
        """Returns the table after a command; None if it is full.

        >>> table = EvacuationTable()
        >>> table = table.after(evacuation_messages.BeginEvacuation("a"))
        >>> table.after(evacuation_messages.EndEvacuation("a"))
        EvacuationTable(evacuated=(), ended=('a',))
        """
        name = command.data_centre
        is_evacuated = name in self.evacuated
        others = tuple(one for one in self.evacuated if one != name)
        if isinstance(command, evacuation_messages.EndEvacuation):
            if not is_evacuated:
                return self
            ended = (*self._ended_without(name), name)
            return EvacuationTable(others, ended[-MAX_DATA_CENTRES:])
        if is_evacuated:
            return self
        if len(others) >= MAX_DATA_CENTRES:
            return None
        return EvacuationTable((*others, name), self._ended_without(name))

    def _ended_without(self, name: str) -> tuple[str, ...]:
        return tuple(one for one in self.ended if one != name)


@attrs.define
class EvacuationAges:
    """When this process learned that evacuations ended.

    Followers record it, too, so that a new leader knows the ages.

    Attributes:
      ended_s: Loop time of each end, by data centre.
    """

    ended_s: dict[str, float] = attrs.field(factory=dict)

    def update(self, table: EvacuationTable, now_s: float) -> None:
        """Records the ends that are new since the last call."""
        self.ended_s = {
            name: self.ended_s.get(name, now_s) for name in table.ended
        }

    def in_force(
        self, table: EvacuationTable, now_s: float
    ) -> evacuation_messages.EvacuationsInForce:
        """Returns the item that gateways receive."""
        ended = tuple(
            evacuation_messages.EndedEvacuation(
                name, ages.to_ms(now_s - self.ended_s.get(name, now_s))
            )
            for name in table.ended
        )
        return evacuation_messages.EvacuationsInForce(table.evacuated, ended)


def describe(
    table: EvacuationTable,
) -> collections.abc.Mapping[str, collections.abc.Sequence[str]]:
    """Returns the table as operators see it."""
    return {"evacuated": table.evacuated, "ended": table.ended}
