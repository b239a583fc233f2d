"""What targets announce about themselves in the heads of their answers."""

from __future__ import annotations

import re

from cactusstile.http import messages
from cactusstile.platform import headers

_LEAVING = "1"
_UNAVAILABLE = 503
_DECIMAL = re.compile(r"[0-9]{1,9}(?:\.[0-9]{1,20})?")


def is_leaving(head: messages.ResponseHead) -> bool:
    """Returns whether a target announces that it leaves.

    >>> is_leaving(messages.ResponseHead(200, ((headers.LEAVING, b"1"),)))
    True
    >>> is_leaving(messages.ResponseHead(200, ()))
    False
    """
    return (head.find(headers.LEAVING) or "").strip() == _LEAVING


def pause_s(head: messages.ResponseHead) -> float:
    """Returns how long a target that rejects wants no requests, in seconds.

    Returns 0 for other answers, and if the time is absent or malformed. Dates
    are not understood.

    >>> fields = ((headers.RETRY_AFTER, b"0.25"),)
    >>> pause_s(messages.ResponseHead(503, fields))
    0.25
    >>> pause_s(messages.ResponseHead(200, fields))
    0.0
    """
    if head.status != _UNAVAILABLE:
        return 0.0
    text = (head.find(headers.RETRY_AFTER) or "").strip()
    if _DECIMAL.fullmatch(text) is None:
        return 0.0
    return float(text)


def limit_per_s(head: messages.ResponseHead) -> float | None:
    """Returns the requests per second that a target takes from all senders.

    Returns None if the target names no limit, or a malformed one.

    >>> limit_per_s(messages.ResponseHead(200, ((headers.LIMIT, b"1.4"),)))
    1.4
    >>> limit_per_s(messages.ResponseHead(200, ((headers.LIMIT, b"-1e3"),)))
    """
    text = (head.find(headers.LIMIT) or "").strip()
    if _DECIMAL.fullmatch(text) is None:
        return None
    return float(text)
