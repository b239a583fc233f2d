"""Which data centres receive nothing new, and which came back lately.

Operators evacuate a data centre before work on it, or because of trouble there.
When the evacuation ends, its targets may be cold.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    import collections.abc


@attrs.define
class Evacuations:
    """Evacuated data centres.

    >>> known = Evacuations()
    >>> known.replace({"north"}, {"south": 90.0})
    >>> known.permits("north"), known.permits("south")
    (False, True)
    >>> known.may_be_cold("south", 92.0, cold_start_s=3.0)
    True
    >>> known.may_be_cold("south", 93.0, cold_start_s=3.0)
    False

    Attributes:
      data_centres: Data centres that are evacuated.
      ended_s: Loop time at which an evacuation ended, by data centre.
    """

    data_centres: frozenset[str] = frozenset()
    ended_s: dict[str, float] = attrs.field(factory=dict)

    def replace(
        self,
        data_centres: collections.abc.Iterable[str],
        ended_s: collections.abc.Mapping[str, float],
    ) -> None:
        """Replaces all that is known; see the attributes."""
        self.data_centres = frozenset(data_centres)
        self.ended_s = dict(ended_s)

    def permits(self, data_centre: str) -> bool:
        """Returns whether new work may be sent to a data centre."""
        return data_centre not in self.data_centres

    def may_be_cold(
        self, data_centre: str, now_s: float, cold_start_s: float
    ) -> bool:
        """Returns whether targets may be cold since an evacuation ended.

        Args:
          data_centre: Data centre of the targets.
          now_s: Loop time.
          cold_start_s: Time for which a target is cold after its start.
        """
        ended_s = self.ended_s.get(data_centre)
        return ended_s is not None and now_s - ended_s < cold_start_s
