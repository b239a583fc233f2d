"""The rule that bounds the retries of all gateways to one service."""

from __future__ import annotations

import bisect
import typing

if typing.TYPE_CHECKING:
    import collections.abc

# Beginnings of windows that are checked in the time of one window.
STEPS = 100


def most_beyond(
    requests: collections.abc.Iterable[float],
    retries: collections.abc.Iterable[float],
    *,
    ratio: float,
    slack: float,
    window_s: float,
) -> float:
    """Returns by how many retries a window breaks the rule; 0 for none.

    Args:
      requests: Times at which callers sent their requests.
      retries: Times of the arrivals beyond the first of each request.
      ratio: Retries allowed for each request.
      slack: Further retries allowed in a window.
      window_s: Length of a window. Its requests are those of the window itself,
        of the one before it or of the one half a window before it, whichever
        has most.
    """
    sent = sorted(requests)
    repeated = sorted(retries)
    if not repeated:
        return 0.0
    begins = list(repeated)
    step_s = window_s / STEPS
    begin_s = repeated[0] - window_s
    while begin_s < repeated[-1]:
        begins.append(begin_s)
        begin_s += step_s
    most = 0.0
    for begin_s in begins:
        counted = max(
            _count(sent, begin_s - back_s, window_s)
            for back_s in (0.0, window_s / 2, window_s)
        )
        allowed = ratio * counted + slack
        most = max(most, _count(repeated, begin_s, window_s) - allowed)
    return most


def _count(times: list[float], begin_s: float, window_s: float) -> int:
    first = bisect.bisect_left(times, begin_s)
    return bisect.bisect_left(times, begin_s + window_s) - first
