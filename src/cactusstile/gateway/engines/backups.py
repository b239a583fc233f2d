"""Copies of runs at a second engine, from which interrupted streams resume.

If an engine crashes in the middle of a long stream and the route does not
permit running the request again, the run resumes at the engine that holds the
copy. Only runs whose answer is long compared to the prompt are copied: for
others the memory of the copy costs more than a crash costs callers.
"""

from __future__ import annotations

import typing

import attrs

from cactusstile.gateway import target_view
from cactusstile.gateway.engines import engine_memory
from cactusstile.gateway.engines import prompts

if typing.TYPE_CHECKING:
    import collections.abc

# Upper bound of prompt tokens per expected output token for a copy.
MAX_PROMPT_TOKENS_PER_OUTPUT_TOKEN = 8.0
# Fraction of an engine's KV cache above which it receives no copies.
MAX_MEMORY_FRACTION = 0.6


@attrs.frozen
class Backup:
    """Copy of a run at a second engine.

    Attributes:
      view: The engine that holds the copy.
      weights: Version of the weights that the run started with.
      tokens: KV cache that the copy occupies, in tokens.
    """

    view: target_view.TargetView
    weights: int
    tokens: int


def is_worthwhile(prompt: prompts.Prompt) -> bool:
    """Returns whether a prompt's run is worth the memory of a copy.

    >>> is_worthwhile(prompts.Prompt("m", 800, 800, 300))
    True
    >>> is_worthwhile(prompts.Prompt("m", 9000, 200, 50))
    False
    """
    expected = float(prompt.expected_tokens)
    if not expected:
        expected = engine_memory.OUTPUT_FRACTION * prompt.max_output_tokens
    return prompt.tokens <= MAX_PROMPT_TOKENS_PER_OUTPUT_TOKEN * expected


def choose(
    views: collections.abc.Iterable[target_view.TargetView],
    primary: target_view.TargetView,
    prompt: prompts.Prompt,
    needed_tokens: int,
    now_s: float,
) -> Backup | None:
    """Returns the backup on the engine with the most free memory.

    Engines of the same data centre take precedence: copies cost less there.

    Args:
      views: Engines of the service.
      primary: Engine that runs the request.
      prompt: The request's prompt.
      needed_tokens: KV cache that the run occupies, in tokens.
      now_s: Loop time.
    """
    weights = primary.weights.get(prompt.model)
    if weights is None:
        return None
    best = None
    best_key = (True, 1.0)
    for view in views:
        if view is primary or not view.is_usable(now_s):
            continue
        if view.weights.get(prompt.model) != weights:
            continue
        if view.target.build != primary.target.build:
            continue
        limit = view.cached.capacity_tokens
        usage = (view.memory_tokens(now_s) + needed_tokens) / max(1, limit)
        is_remote = view.target.data_centre != primary.target.data_centre
        if usage < MAX_MEMORY_FRACTION and (is_remote, usage) < best_key:
            best, best_key = view, (is_remote, usage)
    if best is None:
        return None
    return Backup(best, weights, needed_tokens)
