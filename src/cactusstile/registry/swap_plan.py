"""Decides which engines swap their weights next, and how long they drain.

Load: engines that serve prompts while a new version is rolled out. A part of
the engines swaps at a time; the others serve meanwhile.
"""

from __future__ import annotations

import math
import operator
import typing

import attrs

from cactusstile.sites import model

if typing.TYPE_CHECKING:
    import collections.abc

# Fraction of the rollout limit within which all engines swap.
SWAP_WINDOW_FRACTION = 0.75
# Time to load weights while other engines load, too.
WEIGHTS_LOAD_S = 0.8
MIN_DRAIN_TIMEOUT_S = 0.3
# Fraction of a model's engines that swap at the same time.
CONCURRENT_SWAP_FRACTION = 0.5
_NONE: dict[tuple[str, int], float] = {}


@attrs.frozen
class Swap:
    """An engine and the weights that it has to load."""

    target: model.Target
    weights: model.Weights


def next_swaps(
    engines: collections.abc.Sequence[model.Target],
    wanted_versions: collections.abc.Mapping[str, int],
    completed: collections.abc.Set[tuple[tuple[str, int], str, int]],
    in_progress: set[tuple[str, int]],
    *,
    retry_at_s: collections.abc.Mapping[tuple[str, int], float] = _NONE,
    now_s: float = 0.0,
) -> list[Swap]:
    """Returns the swaps to start now.

    Args:
      engines: All listed targets.
      wanted_versions: Newest version by model.
      completed: Incarnation, model and version of the completed swaps, which
        the list shows only later.
      in_progress: Incarnations of the engines with a swap in progress.
      retry_at_s: Loop time before which an engine is not tried again, by the
        incarnation of engines whose last try failed.
      now_s: Loop time.
    """
    swaps = []
    for name, version in wanted_versions.items():
        holders = []
        lagging = []
        for target in engines:
            incarnation = target.incarnation
            held = _known_version(target, name, completed)
            if held is None or target.leaving:
                continue
            holders.append(incarnation)
            is_tried = now_s >= retry_at_s.get(incarnation, now_s)
            if held < version and is_tried and incarnation not in in_progress:
                lagging.append((held, incarnation in retry_at_s, target))
        # A further version must not let engines pass those that lack the one
        # before, and engines that fail must not hold the places of others.
        lagging.sort(key=operator.itemgetter(0, 1))
        for *_, target in lagging[: _free_places(holders, in_progress)]:
            swaps.append(Swap(target, model.Weights(name, version)))
    return swaps


def _known_version(
    target: model.Target,
    name: str,
    completed: collections.abc.Set[tuple[tuple[str, int], str, int]],
) -> int | None:
    """Returns the version that an engine holds by the list or by its swaps."""
    version = held_version(target, name)
    if version is None:
        return None
    for incarnation, swapped_name, swapped_version in completed:
        if (incarnation, swapped_name) == (target.incarnation, name):
            version = max(version, swapped_version)
    return version


def _free_places(
    holders: list[tuple[str, int]], in_progress: set[tuple[str, int]]
) -> int:
    """Returns how many more of a model's engines may swap now."""
    busy = len(in_progress.intersection(holders))
    return max(0, _max_concurrent_swaps(len(holders)) - busy)


def _max_concurrent_swaps(engines: int) -> int:
    """Returns how many engines may swap at the same time."""
    return max(1, round(CONCURRENT_SWAP_FRACTION * engines))


def drain_timeout_s(engines: int, rollout_limit_s: float) -> float:
    """Returns how long a swap waits for the runs of an engine, in seconds.

    The wait is bounded, since waiting for the end of long streams would delay
    the swaps of the remaining engines beyond the rollout limit.

    Args:
      engines: Number of engines that hold the model.
      rollout_limit_s: Time after which no request may start on older weights.

    >>> round(drain_timeout_s(9, 8.0), 2), drain_timeout_s(5, 2.0)
    (1.2, 0.3)
    """
    rounds = math.ceil(max(1, engines) / _max_concurrent_swaps(engines))
    return max(
        MIN_DRAIN_TIMEOUT_S,
        SWAP_WINDOW_FRACTION * rollout_limit_s / rounds - WEIGHTS_LOAD_S,
    )


def held_version(target: model.Target, name: str) -> int | None:
    """Returns the version of a model that a target holds; None for none."""
    for weights in target.weights:
        if weights.model == name:
            return weights.version
    return None
