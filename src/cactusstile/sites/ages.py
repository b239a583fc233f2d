"""Ages in messages, since the clocks of processes differ."""

from __future__ import annotations

MAX_AGE_MS = 2**32 - 1
_MS_PER_S = 1000


def to_ms(age_s: float) -> int:
    """Returns an age in the unit of messages; see `MAX_AGE_MS`.

    >>> to_ms(0.25), to_ms(float("inf")) == MAX_AGE_MS
    (250, True)
    """
    if age_s * _MS_PER_S >= MAX_AGE_MS:
        return MAX_AGE_MS
    return max(0, int(age_s * _MS_PER_S))


def to_s(age_ms: int) -> float:
    """Returns an age of a message in seconds.

    >>> to_s(250)
    0.25
    """
    return age_ms / _MS_PER_S
