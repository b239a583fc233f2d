"""Refusals of requests, with a verdict on whether the request ran."""

from __future__ import annotations

import enum

import attrs


class Verdict(enum.Enum):
    """Whether the work of a request may have started."""

    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    HAS_RUN = "has_run"


class Reason(enum.Enum):
    """Cause of a refusal; the values are stable and part of the public API."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_ROUTE = "unknown_route"
    TOO_LARGE = "too_large"
    OVERLOADED = "overloaded"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    TARGET_LEAVING = "target_leaving"
    TARGET_LOST = "target_lost"
    NO_TARGET = "no_target"
    VERSION_CHANGED = "version_changed"
    DUPLICATE = "duplicate"
    STALE_CONFIGURATION = "stale_configuration"
    CONTROL_UNAVAILABLE = "control_unavailable"
    QUARANTINED = "quarantined"
    SHUTTING_DOWN = "shutting_down"
    INTERNAL = "internal"


@attrs.frozen
class Refusal:
    """Final response to a request that the system does not complete.

    Attributes:
      verdict: Whether the request may have run.
      reason: Cause of the refusal.
      message: Description of the failure and of what the caller can do.
      retry_after_s: Time in seconds after which to retry; 0 means that a retry
        would not help.
    """

    verdict: Verdict
    reason: Reason
    message: str
    retry_after_s: float = 0.0


class RefusedError(Exception):
    """Raised when a request is refused.

    Attributes:
      refusal: The refusal.
    """

    def __init__(self, refusal: Refusal) -> None:
        """Wraps `refusal`."""
        super().__init__(refusal.message)
        self.refusal = refusal


def refuse(
    reason: Reason,
    message: str,
    *,
    verdict: Verdict = Verdict.NOT_RUN,
    retry_after_s: float = 0.0,
) -> RefusedError:
    """Returns an error that refuses a request.

    >>> refuse(Reason.NO_TARGET, "none is live").refusal.verdict
    <Verdict.NOT_RUN: 'not_run'>
    """
    return RefusedError(Refusal(verdict, reason, message, retry_after_s))
