"""Announced versions of model weights, with the times of their announcement.

No request may begin at an engine that has lacked a version for longer than a
limit. Each version counts from its own announcement: a further one does not
excuse engines that lack the one before.
"""

from __future__ import annotations

import bisect

import attrs

# Versions of one model that are retained; older ones are long past any limit.
MAX_VERSIONS = 1000


@attrs.frozen(order=True)
class Announcement:
    """Announcement of a version.

    Attributes:
      version: The version.
      announced_s: Loop time of the announcement, in seconds.
    """

    version: int
    announced_s: float = attrs.field(order=False)


@attrs.define
class Announcements:
    """Announcements by model, in the order of the versions.

    >>> announcements = Announcements()
    >>> announcements.add("m", 2, 10.0), announcements.add("m", 3, 15.0)
    (True, True)
    >>> announcements.newest("m")
    Announcement(version=3, announced_s=15.0)
    >>> announcements.lacking_since_s("m", 1)
    10.0
    >>> announcements.lacking_since_s("m", 3) is None
    True

    Attributes:
      by_model: Announcements of each model.
    """

    by_model: dict[str, list[Announcement]] = attrs.field(factory=dict)

    def add(self, name: str, version: int, announced_s: float) -> bool:
        """Adds an announcement; returns whether the version is the newest.

        The earliest known time of a version counts: another process may tell
        of it again and know its age less well.
        """
        known = self.by_model.setdefault(name, [])
        added = Announcement(version, announced_s)
        place = bisect.bisect_left(known, added)
        if place == len(known):
            known.append(added)
            del known[:-MAX_VERSIONS]
            return True
        if known[place].version != version:
            known.insert(place, added)
        elif announced_s < known[place].announced_s:
            known[place] = added
        return False

    def newest(self, name: str) -> Announcement | None:
        """Returns the newest version of a model; None if none was announced."""
        known = self.by_model.get(name)
        return known[-1] if known else None

    def newest_versions(self) -> dict[str, int]:
        """Returns the newest version of each model."""
        return {
            name: known[-1].version for name, known in self.by_model.items()
        }

    def lacking_since_s(self, name: str, held: int) -> float | None:
        """Returns since when weights are outdated, as a loop time.

        Args:
          name: The model.
          held: Version of the weights.

        Returns:
          The time at which the first version after `held` was announced; None
          if there is none.
        """
        known = self.by_model.get(name)
        # Each choice of an engine asks for all of them; most hold the newest.
        if not known or known[-1].version <= held:
            return None
        place = bisect.bisect_right(known, Announcement(held, 0.0))
        return known[place].announced_s
