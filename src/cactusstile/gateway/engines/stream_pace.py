"""Estimates the duration of streams.

Before a planned restart, a stream that would outlast the process is refused
immediately, so that the caller retries at another gateway instead of losing the
stream midway.
"""

from __future__ import annotations

import attrs

# Weight of the newest stream in the moving average of its route.
EWMA_WEIGHT = 0.1
# Assumed duration per expected token before the first observation.
INITIAL_S_PER_TOKEN = 0.01
# The callers' estimates of output tokens are correct at the median, but often
# far off.
SAFETY_FACTOR = 3.0


@attrs.define
class StreamPace:
    """Duration of streams per token that their callers expect.

    Attributes:
      s_per_token: Moving average, by route.
    """

    s_per_token: dict[str, float] = attrs.field(factory=dict)

    def add(self, route: str, expected_tokens: int, duration_s: float) -> None:
        """Records a completed stream."""
        if expected_tokens <= 0:
            return
        sample = duration_s / expected_tokens
        before = self.s_per_token.get(route, sample)
        self.s_per_token[route] = before + EWMA_WEIGHT * (sample - before)

    def max_duration_s(
        self, route: str, expected_tokens: int, max_tokens: int
    ) -> float:
        """Returns an upper estimate of a stream's duration.

        >>> pace = StreamPace()
        >>> pace.add("r", 100, 0.5)
        >>> pace.max_duration_s("r", 100, 1000)
        1.5
        >>> pace.max_duration_s("r", 100, 120)
        0.6
        """
        tokens = float(max_tokens)
        if expected_tokens > 0:
            tokens = min(
                tokens or float("inf"), SAFETY_FACTOR * expected_tokens
            )
        return tokens * self.s_per_token.get(route, INITIAL_S_PER_TOKEN)
