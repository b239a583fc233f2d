"""What targets announce about themselves in the heads of their answers."""

from __future__ import annotations

from cactusstile.http import messages
from cactusstile.platform import headers

_LEAVING = "1"


def is_leaving(head: messages.ResponseHead) -> bool:
    """Returns whether a target announces that it leaves.

    >>> is_leaving(messages.ResponseHead(200, ((headers.LEAVING, b"1"),)))
    True
    >>> is_leaving(messages.ResponseHead(200, ()))
    False
    """
    return (head.find(headers.LEAVING) or "").strip() == _LEAVING
