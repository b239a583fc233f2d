"""Estimates the duration of streams.

Before a planned restart, a stream that would outlast the process is refused
immediately, so that the caller retries at another gateway instead of losing the
stream midway.
"""

from __future__ import annotations

import contextlib
import typing

import anyio
import attrs

if typing.TYPE_CHECKING:
    import collections.abc

    CountEvents = collections.abc.Callable[[], int]

# Weight of the newest stream in the moving average of its route.
EWMA_WEIGHT = 0.1
# Assumed duration per expected token before the first observation.
INITIAL_S_PER_TOKEN = 0.01
# The callers' estimates of output tokens are correct at the median, but often
# far off.
SAFETY_FACTOR = 3.0


@attrs.frozen(eq=False)
class RunningStream:
    """A stream that a target sends.

    Attributes:
      opened_s: Loop time at which its head was read.
      count_events: Returns the number of its events so far.
    """

    opened_s: float
    count_events: CountEvents


@attrs.define
class StreamPace:
    """Duration of streams per event; an event holds one token or more.

    The delay before the head counts apart: it does not grow with the tokens.

    Attributes:
      delay_s: Moving average of the delay, by route, in seconds.
      s_per_event: Moving average over ended streams, by route, in seconds.
      running: Streams that have not ended, by route.
    """

    delay_s: dict[str, float] = attrs.field(factory=dict)
    s_per_event: dict[str, float] = attrs.field(factory=dict)
    running: dict[str, set[RunningStream]] = attrs.field(factory=dict)

    @contextlib.contextmanager
    def follow(
        self, route: str, started_s: float, count_events: CountEvents
    ) -> collections.abc.Iterator[None]:
        """Observes a stream, whose head was read, in the context.

        Args:
          route: Name of its route.
          started_s: Loop time at which it was asked for.
          count_events: Returns the number of its events so far.
        """
        opened_s = anyio.current_time()
        _average(self.delay_s, route, opened_s - started_s)
        stream = RunningStream(opened_s, count_events)
        streams = self.running.setdefault(route, set())
        streams.add(stream)
        try:
            yield
        finally:
            streams.remove(stream)
        self.add(route, count_events(), anyio.current_time() - opened_s)

    def add(self, route: str, events: int, duration_s: float) -> None:
        """Records a completed stream, from its head to its end."""
        if events > 0:
            _average(self.s_per_event, route, duration_s / events)

    def max_duration_s(
        self, route: str, expected_tokens: int, max_tokens: int, now_s: float
    ) -> float:
        """Returns an upper estimate of a stream's duration.

        >>> pace = StreamPace()
        >>> pace.add("r", 100, 0.5)
        >>> pace.max_duration_s("r", 100, 1000, 9.0)
        1.5
        >>> pace.max_duration_s("r", 100, 120, 9.0)
        0.6
        >>> pace.running["r"] = {RunningStream(8.0, lambda: 20)}
        >>> pace.max_duration_s("r", 100, 120, 9.0)
        6.0
        """
        tokens = float(max_tokens)
        if expected_tokens > 0:
            tokens = min(
                tokens or float("inf"), SAFETY_FACTOR * expected_tokens
            )
        ended_s = self.s_per_event.get(route, INITIAL_S_PER_TOKEN)
        s_per_event = max(ended_s, self._running_s_per_event(route, now_s))
        return self.delay_s.get(route, 0.0) + tokens * s_per_event

    def _running_s_per_event(self, route: str, now_s: float) -> float:
        """Returns the mean of running streams; 0 without an event.

        Soon after a start only short streams have ended.
        """
        elapsed_s = 0.0
        events = 0
        for stream in self.running.get(route, ()):
            elapsed_s += now_s - stream.opened_s
            events += stream.count_events()
        return elapsed_s / events if events else 0.0


def _average(values: dict[str, float], route: str, sample: float) -> None:
    """Adds a sample to the moving average of a route."""
    before = values.get(route, sample)
    values[route] = before + EWMA_WEIGHT * (sample - before)
