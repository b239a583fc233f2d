"""What targets announced in their answers to this gateway.

Notices bind this gateway at once, as long as the target's process runs. They
outlive the views of targets: a list that lags may still show a target as it was
before, or lack it for a while.
"""

from __future__ import annotations

import logging
import typing

import attrs

from cactusstile.gateway import target_limits
from cactusstile.http import messages
from cactusstile.platform import headers
from cactusstile.platform import notices

if typing.TYPE_CHECKING:
    import collections.abc

logger = logging.getLogger(__name__)

# Longest pause that a target is granted.
MAX_PAUSE_S = 300.0
# Time between two log lines about the pauses of one target.
PAUSE_LOG_INTERVAL_S = 10.0
# Targets without a view whose notices are retained.
MAX_UNLISTED = 1000


@attrs.define
class TargetNotices:
    """Notices of one incarnation of a target.

    Attributes:
      target_id: Id of the target.
      leaving: Whether the target announced that it leaves.
      paused_until_s: Loop time until which the target wants no requests.
      pauses: Number of pauses that the target asked for.
      pause_logged_s: Loop time of the last log line about them.
      limit: Limit that the target names.
    """

    target_id: str
    leaving: bool = False
    paused_until_s: float = float("-inf")
    pauses: int = 0
    pause_logged_s: float = float("-inf")
    limit: target_limits.TargetLimit = attrs.field(
        default=attrs.Factory(
            lambda self: target_limits.TargetLimit(
                self.target_id, target_limits.Gateways()
            ),
            takes_self=True,
        )
    )

    def accepts_from_s(self, now_s: float) -> float:
        """Returns the loop time from which the target takes requests."""
        return max(self.paused_until_s, self.limit.permits_from_s(now_s))

    def accepts_requests(self, now_s: float) -> bool:
        """Returns whether a request may be sent to the target now."""
        if self.leaving or now_s < self.paused_until_s:
            return False
        return self.limit.permits(now_s)

    def record(
        self,
        head: messages.ResponseHead,
        now_s: float,
        asked_s: float = float("-inf"),
    ) -> None:
        """Records the notices in the head of an answer.

        An answer of another target, which has taken over the address, is
        ignored.

        Args:
          head: Status and header fields of the answer.
          now_s: Loop time at which it arrived.
          asked_s: Loop time at which the request was sent that it answers;
            negative infinity if unknown.
        """
        if head.find(headers.TARGET_ID) not in (None, self.target_id):
            return
        if notices.is_leaving(head) and not self.leaving:
            self.leaving = True
            logger.info(
                "a target says that it leaves",
                extra={"target": self.target_id},
            )
        pause_s = min(notices.pause_s(head), MAX_PAUSE_S)
        if pause_s > 0:
            self._record_pause(pause_s, now_s)
        self._record_limit(notices.limit_per_s(head), now_s, asked_s)

    def _record_limit(
        self, per_s: float | None, now_s: float, asked_s: float
    ) -> None:
        # An answer that was under way when the limit was named may lack it.
        if per_s is None and asked_s <= self.limit.heard_s:
            return
        before = self.limit.per_s
        if not self.limit.record(per_s, now_s):
            return
        if before is None or per_s is None:
            logger.info(
                "a target names a limit or ends it",
                extra={"target": self.target_id, "limit_per_s": per_s},
            )

    def _record_pause(self, pause_s: float, now_s: float) -> None:
        self.pauses += 1
        self.paused_until_s = max(self.paused_until_s, now_s + pause_s)
        if now_s - self.pause_logged_s < PAUSE_LOG_INTERVAL_S:
            return
        self.pause_logged_s = now_s
        logger.info(
            "a target asks for a pause",
            extra={
                "target": self.target_id,
                "pause_s": pause_s,
                "pauses": self.pauses,
            },
        )


@attrs.define
class NoticeTable:
    """Notices of all targets.

    Attributes:
      by_incarnation: Notices of each incarnation, oldest first.
      gateways: Gateways that share the limits that targets name.
    """

    by_incarnation: dict[tuple[str, int], TargetNotices] = attrs.field(
        factory=dict
    )
    gateways: target_limits.Gateways = attrs.field(
        factory=target_limits.Gateways
    )

    def of(self, incarnation: tuple[str, int]) -> TargetNotices:
        """Returns the notices of an incarnation, which may be empty."""
        found = self.by_incarnation.get(incarnation)
        if found is None:
            target_id = incarnation[0]
            limit = target_limits.TargetLimit(target_id, self.gateways)
            found = TargetNotices(target_id, limit=limit)
            self.by_incarnation[incarnation] = found
        return found

    def forget_unlisted(
        self, listed: collections.abc.Container[tuple[str, int]]
    ) -> None:
        """Forgets the oldest unlisted incarnations beyond `MAX_UNLISTED`."""
        unlisted = []
        for incarnation in self.by_incarnation:
            if incarnation not in listed:
                unlisted.append(incarnation)
        for incarnation in unlisted[: max(0, len(unlisted) - MAX_UNLISTED)]:
            del self.by_incarnation[incarnation]
