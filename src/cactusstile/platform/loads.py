"""Load that targets name in the heads of their answers."""

from __future__ import annotations

import re

import attrs

from cactusstile.http import messages
from cactusstile.platform import headers

_WHOLE = re.compile(r"[0-9]{1,9}")


@attrs.frozen
class Load:
    """Load of a target.

    Attributes:
      running: Running requests.
      waiting: Queued requests.
      slots: Maximum of concurrently running requests.
      slowness: Time that work takes, relative to the usual; None if the target
        does not name it.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


def find(head: messages.ResponseHead) -> Load | None:
    """Returns the load that a target names; None without a readable one.

    >>> fields = ((headers.LOAD, b"3,0,48,130"),)
    >>> find(messages.ResponseHead(200, fields))
    Load(running=3, waiting=0, slots=48, slowness=1.3)
    >>> find(messages.ResponseHead(200, ((headers.LOAD, b"3,0"),)))
    """
    figures = []
    for part in (head.find(headers.LOAD) or "").split(","):
        if _WHOLE.fullmatch(part.strip()) is None:
            return None
        figures.append(int(part))
    if len(figures) == len(("running", "waiting", "slots")):
        return Load(figures[0], figures[1], figures[2])
    if len(figures) != len(("running", "waiting", "slots", "slowness")):
        return None
    return Load(figures[0], figures[1], figures[2], figures[3] / 100)
