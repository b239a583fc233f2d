"""Holds in the replicated state.

The functions are free of I/O; see `sites.hold_messages`.
"""

from __future__ import annotations

import typing

import attrs

from cactusstile.sites import ages
from cactusstile.sites import hold_messages

if typing.TYPE_CHECKING:
    import collections.abc

MAX_HOLDS = 1000
# Holds that were released last; gateways drop their evidence against them.
MAX_RELEASED = 50
# Time after its last change for which a hold is in force.
MAX_AGE_S = 86_400.0


@attrs.frozen
class HoldTable:
    """Holds of the replicated state.

    Attributes:
      holds: Holds in force.
      released: Holds that were released last, oldest first.
    """

    holds: tuple[hold_messages.Hold, ...] = ()
    released: tuple[hold_messages.Hold, ...] = ()

    def find(self, hold_id: str) -> hold_messages.Hold | None:
        """Returns a hold in force, or None."""
        for hold in self.holds:
            if hold.id == hold_id:
                return hold
        return None

    def after(self, command: hold_messages.Command) -> HoldTable | None:
        """Returns the table after a command; None if it has no effect."""
        if isinstance(command, hold_messages.ReportHold):
            return self.add(command.hold)
        if isinstance(command, hold_messages.ReleaseHold):
            return self.release(command.id)
        return self.begin_trial(command.id, command.number)

    def add(self, hold: hold_messages.Hold) -> HoldTable | None:
        """Returns the table with a hold; None if it is full.

        A hold replaces those that hold only some of its requests.
        """
        keys = set(hold.keys)
        if any(keys >= set(known.keys) for known in self.holds):
            return self
        remaining = [
            known for known in self.holds if not keys < set(known.keys)
        ]
        if len(remaining) >= MAX_HOLDS:
            return None
        released = [one for one in self.released if one.id != hold.id]
        return HoldTable((*remaining, hold), tuple(released))

    def release(self, hold_id: str) -> HoldTable | None:
        """Returns the table without a hold; None if it is not in force."""
        hold = self.find(hold_id)
        if hold is None:
            return None
        holds = tuple(one for one in self.holds if one is not hold)
        released = (*self.released, hold)
        return HoldTable(holds, released[-MAX_RELEASED:])

    def begin_trial(self, hold_id: str, number: int) -> HoldTable | None:
        """Returns the table with another trial; None if it is not the next."""
        hold = self.find(hold_id)
        if hold is None or number != hold.trials + 1:
            return None
        changed = attrs.evolve(hold, trials=number)
        holds = [changed if one is hold else one for one in self.holds]
        return HoldTable(tuple(holds), self.released)


class HoldAges:
    """When this process learned of the holds and of their trials.

    Followers record it, too, so that a new leader knows their age.
    """

    def __init__(self) -> None:
        """Knows of no hold."""
        self._since_s: dict[hold_messages.Hold, float] = {}

    def update(self, table: HoldTable, now_s: float) -> None:
        """Records the holds that are new since the last call."""
        self._since_s = {
            hold: self._since_s.get(hold, now_s) for hold in table.holds
        } | {
            _released_key(hold): self._since_s.get(_released_key(hold), now_s)
            for hold in table.released
        }

    def age_s(self, hold: hold_messages.Hold, now_s: float) -> float:
        """Returns the time since a hold in force changed."""
        return now_s - self._since_s.get(hold, now_s)

    def in_force(
        self, table: HoldTable, now_s: float
    ) -> hold_messages.HoldsInForce:
        """Returns the item that gateways receive."""

        def with_ages(
            holds: collections.abc.Iterable[hold_messages.Hold],
        ) -> tuple[hold_messages.HoldInForce, ...]:
            return tuple(
                hold_messages.HoldInForce(
                    hold, ages.to_ms(self.age_s(hold, now_s))
                )
                for hold in holds
            )

        released = [_released_key(hold) for hold in table.released]
        return hold_messages.HoldsInForce(
            with_ages(table.holds), with_ages(released)
        )

    def expired(self, table: HoldTable, now_s: float) -> list[str]:
        """Returns the ids of holds that are too old."""
        return [
            hold.id
            for hold in table.holds
            if self.age_s(hold, now_s) > MAX_AGE_S
        ]


def _released_key(hold: hold_messages.Hold) -> hold_messages.Hold:
    """Returns a released hold as it differs from the same one in force."""
    return attrs.evolve(hold, route="", workspace="", trials=0)
