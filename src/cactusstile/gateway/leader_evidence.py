"""Evidence that the control group has no leader.

Without one no change is accepted. A view that was current when the last leader
was lost stays the newest.
"""

from __future__ import annotations

import typing

import attrs

from cactusstile.control import attempts
from cactusstile.transport import exceptions as transport_exceptions

if typing.TYPE_CHECKING:
    import collections.abc

# Time for which evidence holds; a process that starts may lead soon.
VALID_S = 1.5
# Voters of a group that tolerates the loss of one.
MIN_VOTERS = 3
_MAX_CAUSES = 4


def shows_no_leader(error: BaseException) -> bool:
    """Returns whether an error proves that a process follows no leader.

    It knows none, or nothing listens at its address. A process that is silent
    proves nothing.
    """
    if isinstance(error, transport_exceptions.RemoteError):
        return error.code == attempts.NOT_LEADER and not error.detail
    cause: BaseException | None = error
    for _ in range(_MAX_CAUSES):
        if cause is None or isinstance(cause, ConnectionRefusedError):
            break
        cause = cause.__cause__
    return isinstance(cause, ConnectionRefusedError)


@attrs.define
class LeaderEvidence:
    """Control processes that lately followed no leader.

    Attributes:
      seen_s: Boot time of the evidence, by address of the process.
    """

    seen_s: dict[str, float] = attrs.field(factory=dict)

    def record(self, process: str, boot_s: float) -> None:
        """Records that a process followed no leader.

        Args:
          process: Its address.
          boot_s: Boot time at which it was asked; the answer may have waited.
        """
        self.seen_s[process] = boot_s

    def proves_none(
        self, members: collections.abc.Collection[str], boot_s: float
    ) -> bool:
        """Returns whether too few members are left to have a leader.

        Some members may be learners, which have no vote: a single one that is
        left leads nobody, but two may be a majority of three voters.

        Args:
          members: Addresses of the members of the control group.
          boot_s: Present boot time.

        >>> evidence = LeaderEvidence({"a": 10.0, "b": 10.5})
        >>> evidence.proves_none(("a", "b", "c"), 11.0)
        True
        >>> evidence.proves_none(("a", "b", "c"), 11.9)
        False
        >>> evidence.proves_none(("a", "b", "c", "d", "e"), 11.0)
        False
        """
        left = 0
        for member in members:
            seen_s = self.seen_s.get(member, float("-inf"))
            left += boot_s - seen_s > VALID_S
        if len(members) < MIN_VOTERS:
            return bool(members) and not left
        return left <= 1
