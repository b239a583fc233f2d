"""Decides which engines are for long prompts, and which for short ones.

An engine that prefills a long prompt slows down all of its streams. The load
that this answers: long and short prompts together leave no engine without a
long prompt to prefill, and the streams pause for longer than callers bear.

The module does no I/O. Processes that see a similar mix of prompts choose
similar engines without any message.
"""

from __future__ import annotations

import hashlib
import math
import typing

import attrs

if typing.TYPE_CHECKING:
    import collections.abc

LONG_PROMPT_TOKENS = 2000
# Work of an output token, in prompt tokens to prefill.
TOKENS_PER_OUTPUT_TOKEN = 10.0
# Half-life of what was seen.
HALF_LIFE_S = 10.0
# Fraction of streams that may miss their pause objective, and the number of
# streams from which it is judged.
MAX_LATE_FRACTION = 0.05
MIN_STREAMS = 10.0
# Time without too many late streams after which prompts are mixed again.
RELEASE_AFTER_S = 60.0
# Added cost at an engine of the other part: for a long prompt, as a multiple of
# its tokens; for a short one, in tokens.
LONG_SURCHARGE_FACTOR = 2.0
SHORT_SURCHARGE_TOKENS = 4000.0


@attrs.define
class FadingSum:
    """A sum whose terms fade; see `HALF_LIFE_S`.

    >>> total = FadingSum()
    >>> total.add(8.0, 0.0)
    >>> total.value(HALF_LIFE_S)
    4.0
    """

    _value: float = 0.0
    _updated_s: float = 0.0

    def add(self, term: float, now_s: float) -> None:
        """Adds a term."""
        self._value = self.value(now_s) + term
        self._updated_s = now_s

    def value(self, now_s: float) -> float:
        """Returns the sum at a loop time."""
        elapsed_s = max(0.0, now_s - self._updated_s)
        return self._value * math.exp2(-elapsed_s / HALF_LIFE_S)


def is_long(prompt_tokens: int) -> bool:
    """Returns whether a prompt is to be kept apart from streams."""
    return prompt_tokens >= LONG_PROMPT_TOKENS


def surcharge_tokens(prompt_tokens: int) -> float:
    """Returns the added cost of a prompt at an engine of the other part."""
    if is_long(prompt_tokens):
        return LONG_SURCHARGE_FACTOR * prompt_tokens
    return SHORT_SURCHARGE_TOKENS


@attrs.define
class Prompts:
    """Prompts of one length, long or short.

    Attributes:
      count: Prompts that all gateways sent.
      own_count: Prompts that this process sent.
      own_work: Their work, in prompt tokens.
    """

    count: FadingSum = attrs.field(factory=FadingSum)
    own_count: FadingSum = attrs.field(factory=FadingSum)
    own_work: FadingSum = attrs.field(factory=FadingSum)

    def work(self, now_s: float) -> float:
        """Returns the work of all gateways' prompts, as far as it is known."""
        own_count = self.own_count.value(now_s)
        if not own_count:
            return 0.0
        mean = self.own_work.value(now_s) / own_count
        return mean * self.count.value(now_s)


@attrs.define
class Separation:
    """Mix of the prompts of one service, and whether they are separated.

    Attributes:
      long: Long prompts.
      short: All others.
      streams: Streams that ended.
      late_streams: Those that paused for longer than their route allows.
      active_until_s: Loop time until which prompts are separated.
    """

    long: Prompts = attrs.field(factory=Prompts)
    short: Prompts = attrs.field(factory=Prompts)
    streams: FadingSum = attrs.field(factory=FadingSum)
    late_streams: FadingSum = attrs.field(factory=FadingSum)
    active_until_s: float = float("-inf")

    def record_prompt(
        self,
        prompt_tokens: int,
        unread_tokens: int,
        output_tokens: float,
        now_s: float,
    ) -> None:
        """Records a prompt that was sent to an engine.

        Args:
          prompt_tokens: Length of the prompt.
          unread_tokens: What the engine has to prefill of it.
          output_tokens: Expected length of its answer.
          now_s: Loop time.
        """
        work = unread_tokens + TOKENS_PER_OUTPUT_TOKEN * output_tokens
        prompts = self.long if is_long(prompt_tokens) else self.short
        prompts.own_count.add(1.0, now_s)
        prompts.own_work.add(work, now_s)
        prompts.count.add(1.0, now_s)

    def record_peer_prompt(self, prompt_tokens: int, now_s: float) -> None:
        """Records a prompt that another gateway sent."""
        prompts = self.long if is_long(prompt_tokens) else self.short
        prompts.count.add(1.0, now_s)

    def record_stream(
        self, longest_pause_s: float, allowed_s: float, now_s: float
    ) -> bool:
        """Records a stream that ended; returns whether separation begins.

        Args:
          longest_pause_s: Longest time between two of its events.
          allowed_s: Objective of its route; 0 if it has none.
          now_s: Loop time.
        """
        if not allowed_s:
            return False
        self.streams.add(1.0, now_s)
        if longest_pause_s > allowed_s:
            self.late_streams.add(1.0, now_s)
        count = self.streams.value(now_s)
        late = self.late_streams.value(now_s)
        if count < MIN_STREAMS or late <= MAX_LATE_FRACTION * count:
            return False
        begins = not self.is_active(now_s)
        self.active_until_s = now_s + RELEASE_AFTER_S
        return begins

    def is_active(self, now_s: float) -> bool:
        """Returns whether prompts are separated now."""
        return now_s < self.active_until_s

    def long_fraction(self, now_s: float) -> float:
        """Returns the part of the work that long prompts make."""
        long_work = self.long.work(now_s)
        total = long_work + self.short.work(now_s)
        return long_work / total if total else 0.0

    def engines_for(
        self,
        prompt_tokens: int,
        engines: collections.abc.Iterable[str],
        now_s: float,
    ) -> frozenset[str]:
        """Returns the engines that a prompt should be sent to.

        Args:
          prompt_tokens: Length of the prompt.
          engines: Ids of the engines that can be used.
          now_s: Loop time.

        Returns:
          All engines if prompts are not separated.
        """
        ordered = sorted(engines, key=_rank)
        if not self.is_active(now_s) or len(ordered) < len(("long", "short")):
            return frozenset(ordered)
        count = round(self.long_fraction(now_s) * len(ordered))
        count = min(max(count, 1), len(ordered) - 1)
        if is_long(prompt_tokens):
            return frozenset(ordered[:count])
        return frozenset(ordered[count:])


def _rank(engine: str) -> bytes:
    return hashlib.blake2b(engine.encode(), digest_size=8).digest()
