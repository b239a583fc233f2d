"""Which regions may run a request, and keep what it leaves in memory.

Routes and workspaces may name regions. Where both do, both bind.
"""

from __future__ import annotations

import typing

import attrs

if typing.TYPE_CHECKING:
    import collections.abc


@attrs.frozen
class Regions:
    """Regions of the data centres.

    >>> regions = Regions({"ikeja": "lagos", "prai": "north"})
    >>> regions.permits((frozenset({"lagos"}),), "ikeja")
    True
    >>> regions.permits((frozenset({"lagos"}), frozenset({"north"})), "ikeja")
    False
    >>> regions.permits((), "unknown")
    True
    >>> regions.permits((frozenset({"lagos"}),), "unknown")
    False

    Attributes:
      by_data_centre: Region of each data centre.
    """

    by_data_centre: collections.abc.Mapping[str, str] = attrs.field(
        factory=dict
    )

    def permits(
        self,
        bounds: collections.abc.Iterable[collections.abc.Set[str]],
        data_centre: str,
    ) -> bool:
        """Returns whether a data centre is in a region of each bound.

        Args:
          bounds: Sets of regions; without any, all data centres are permitted.
          data_centre: The data centre; if its region is not known, no bound
            contains it.
        """
        region = self.by_data_centre.get(data_centre)
        return all(region in bound for bound in bounds)
