"""How long streams are expected to last.

Answers planned restarts: a stream that would outlast the process is refused at
once, so that its caller goes to another gateway instead of losing it midway.
"""

from __future__ import annotations

import attrs

# Weight of the newest stream in the pace of its route.
STEP = 0.1
# Length before anything was observed, for each token that a caller expects.
FIRST_S_PER_TOKEN = 0.01
# Callers' estimates are right at the median but often far off.
SAFETY = 3.0


@attrs.define
class StreamPace:
    """Duration of streams for each token that their callers expected.

    Attributes:
      s_per_token: Pace by route.
    """

    s_per_token: dict[str, float] = attrs.field(factory=dict)

    def note(self, route: str, expected_tokens: int, took_s: float) -> None:
        """Notes a stream that ended."""
        if expected_tokens <= 0:
            return
        sample = took_s / expected_tokens
        before = self.s_per_token.get(route, sample)
        self.s_per_token[route] = before + STEP * (sample - before)

    def longest_s(
        self, route: str, expected_tokens: int, max_tokens: int
    ) -> float:
        """Returns how long a stream may well last.

        >>> pace = StreamPace()
        >>> pace.note("r", 100, 0.5)
        >>> pace.longest_s("r", 100, 1000), pace.longest_s("r", 100, 120)
        (1.5, 0.6)
        """
        tokens = float(max_tokens)
        if expected_tokens > 0:
            tokens = min(tokens or float("inf"), SAFETY * expected_tokens)
        return tokens * self.s_per_token.get(route, FIRST_S_PER_TOKEN)
