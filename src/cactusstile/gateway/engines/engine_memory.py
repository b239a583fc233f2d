"""Decides whether a prompt fits the memory of an engine.

Load: more long prompts at once than the engines' memory holds. An engine
without memory preempts the newest of its least urgent runs and prefills it
again later. The repeated prefill slows down all of its runs, so that more of
them overlap and less fits. A prompt is therefore sent only to an engine that
has room for it; see `engine_queue` for those that wait.
"""

from __future__ import annotations

import typing

from cactusstile.gateway.engines import prompts

if typing.TYPE_CHECKING:
    from cactusstile.gateway import target_view

# Average length of an answer, as a fraction of its limit of output tokens.
OUTPUT_FRACTION = 0.25
# Fraction of an engine's memory that the least urgent requests may fill. The
# rest is for answers that are longer than expected.
LIMIT_FRACTION = 0.85
# Added to the limit for each level by which a request is more urgent. Beyond
# its memory an engine preempts less urgent runs for it.
HEADROOM_FRACTION_PER_LEVEL = 0.1
MAX_HEADROOM_LEVELS = 2
# Workspaces that ask for far more than the others leave room for them.
MIN_HEADROOM_LEVELS = -1


def needed_tokens(prompt: prompts.Prompt, cached_tokens: int) -> int:
    """Returns the KV cache that a request adds to an engine, in tokens.

    Requests share the memory of their common prefixes.
    """
    output_tokens = int(OUTPUT_FRACTION * prompt.max_output_tokens)
    return prompt.tokens - cached_tokens + output_tokens


def limit_fraction(levels: int) -> float:
    """Returns the fraction of an engine's memory that a request may fill.

    Args:
      levels: Number of priorities by which the request is more urgent than the
        least urgent ones; -1 for one that leaves room for those.

    >>> limit_fraction(0), limit_fraction(1), limit_fraction(8)
    (0.85, 0.95, 1.05)
    >>> limit_fraction(-1)
    0.75
    """
    headroom = min(max(levels, MIN_HEADROOM_LEVELS), MAX_HEADROOM_LEVELS)
    fraction = LIMIT_FRACTION + HEADROOM_FRACTION_PER_LEVEL * headroom
    return round(fraction, 2)


def has_room(
    view: target_view.TargetView, needed: int, limit: float, now_s: float
) -> bool:
    """Returns whether an engine has memory for a request.

    A request that exceeds the limit by itself fits an engine without runs.

    Args:
      view: The engine.
      needed: KV cache that the request adds, in tokens.
      limit: Fraction of the engine's memory that may be filled.
      now_s: Loop time.
    """
    limit_tokens = limit * view.cached.capacity_tokens
    used = view.memory_tokens(now_s)
    return used + min(needed, limit_tokens) <= limit_tokens


def overflow_tokens(
    view: target_view.TargetView, needed: int, now_s: float
) -> int:
    """Returns how many tokens of a request exceed an engine's memory."""
    total = view.memory_tokens(now_s) + needed
    return max(0, total - int(LIMIT_FRACTION * view.cached.capacity_tokens))
