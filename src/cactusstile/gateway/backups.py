"""Copies of runs at a second engine, from which broken streams go on.

Answers engines that crash in the middle of long streams, where the route
forbids that a request runs again: the run itself goes on at the engine that
holds its copy. Only streams whose answer is long beside their prompt are
copied; for the others the copy costs more memory than a crash costs callers.
"""

from __future__ import annotations

import typing

import attrs

from cactusstile.gateway import placement
from cactusstile.gateway import prompts
from cactusstile.gateway import target_view
from cactusstile.http import exceptions
from cactusstile.http import sockets
from cactusstile.sites import model

if typing.TYPE_CHECKING:
    import collections.abc

# Prompt tokens for each expected token of the answer, up to which a copy pays.
MAX_PROMPT_SHARE = 8.0
# Part of an engine's memory up to which it takes copies.
MEMORY_PART = 0.6
PROBE_TIMEOUT_S = 0.2


@attrs.frozen
class Backup:
    """Copy of a run at a second engine.

    Attributes:
      view: The engine.
      weights: Version of the weights that the run began on.
      tokens: Memory that the copy takes, in tokens.
    """

    view: target_view.TargetView
    weights: int
    tokens: int


def is_worthwhile(prompt: prompts.Prompt) -> bool:
    """Returns whether a request's run is copied.

    >>> is_worthwhile(prompts.Prompt("m", 800, 800, 300))
    True
    >>> is_worthwhile(prompts.Prompt("m", 9000, 200, 50))
    False
    """
    expected = float(prompt.expected_tokens)
    if not expected:
        expected = placement.OUTPUT_PART * prompt.max_output_tokens
    return prompt.tokens <= MAX_PROMPT_SHARE * expected


def choose(
    views: collections.abc.Iterable[target_view.TargetView],
    chosen: target_view.TargetView,
    prompt: prompts.Prompt,
    needed_tokens: int,
    now_s: float,
) -> Backup | None:
    """Returns where a run is copied to: the engine with the most room.

    Engines of the same data centre go first, since copies cost less there.

    Args:
      views: Engines of the service.
      chosen: Engine that runs the request.
      prompt: The request's prompt.
      needed_tokens: Memory that the run takes, in tokens.
      now_s: Loop time.
    """
    weights = chosen.weights.get(prompt.model)
    if weights is None:
        return None
    best = None
    best_rank = (True, 1.0)
    for view in views:
        if view is chosen or not view.is_usable(now_s):
            continue
        if view.weights.get(prompt.model) != weights:
            continue
        limit = view.held.limit_tokens
        used = (view.memory_tokens(now_s) + needed_tokens) / max(1, limit)
        far = view.target.data_centre != chosen.target.data_centre
        if used < MEMORY_PART and (far, used) < best_rank:
            best, best_rank = view, (far, used)
    if best is None:
        return None
    return Backup(best, weights, needed_tokens)


async def has_ended(target: model.Target) -> bool:
    """Returns whether nothing answers at a target's address any more.

    A run goes on elsewhere only then: one that still works on it would make
    the request run at more targets than its route allows.
    """
    try:
        opened = await sockets.connect(target.address, PROBE_TIMEOUT_S)
    except exceptions.UnreachableError:
        return True
    opened.close()
    return False
