"""Chooses the target of a request.

Prompts share prefixes with earlier prompts, and targets are loaded unevenly: a
prompt is sent to the engine that caches most of it, unless the queue there
costs more than recomputing the prompt elsewhere. The functions are free of I/O
and keep no state.

Costs are counted in prompt tokens to prefill. Unread tokens are those that an
engine has not prefilled yet.
"""

from __future__ import annotations

import hashlib
import typing

import attrs

from cactusstile.gateway import target_view
from cactusstile.gateway.engines import engine_memory
from cactusstile.gateway.engines import prompts

if typing.TYPE_CHECKING:
    import collections.abc

    StoredTokens = collections.abc.Callable[[str], int]
    AddedCost = collections.abc.Callable[[target_view.TargetView], float]

# Delay that each occupied slot adds to a new request, in prompt tokens.
QUEUE_TOKENS_PER_REQUEST = 50.0
# Upper bound of the pseudo-random cost that is added to an engine, for each
# gateway that chooses among the engines.
JITTER_TOKENS_PER_GATEWAY = 30.0
MAX_JITTER_TOKENS = 2000.0
# Average fraction of the prompt that is still unread, for requests of other
# gateways of which only the count is known.
UNREAD_FRACTION = 0.3
# Discount for the home target, as a fraction of the prompt's tokens.
HOME_BONUS_FRACTION = 0.5
# Time to fetch a token relative to the time to prefill it.
RELATIVE_FETCH_COST = 0.12
# Cost of a token that does not fit the memory, in prompt tokens.
OVERFLOW_WEIGHT = 2.0
# Factor on the queue of an engine that is still cold or has no free slot.
COLD_FACTOR = 2.0
# Weight of the fraction of requests that failed at a target: a factor on the
# cost of an engine, and an addition to the load per slot of a plain service.
FAILURE_WEIGHT = 4.0


@attrs.frozen
class _Candidate:
    """An engine that a prompt may be sent to.

    Attributes:
      view: The engine.
      salt: Salt of the KV cache there.
      tokens: Length of the prompt's prefix that the engine caches, in tokens.
    """

    view: target_view.TargetView
    salt: str
    tokens: int


def choose_engine(
    views: collections.abc.Sequence[target_view.TargetView],
    prompt: prompts.Prompt,
    *,
    added_cost: AddedCost,
    cache_scope: str,
    affinity_key: str,
    stored_tokens: StoredTokens,
    memory_limit: float | None = None,
    now_s: float,
) -> target_view.TargetView | None:
    """Returns the engine with the lowest cost; None if no engine has room.

    Args:
      views: Engines to choose from.
      prompt: Prompt of the request.
      added_cost: Returns what is added to an engine's cost, in prompt tokens.
      cache_scope: Isolation domain within which the KV cache is shared.
      affinity_key: Id of the last part that returns; empty without one.
      stored_tokens: Returns the tokens of the prefix that stores hold.
      memory_limit: Fraction of an engine's memory to fill; None for any.
      now_s: Loop time.
    """
    engines = [_candidate(view, prompt, cache_scope) for view in views]
    if memory_limit is not None:
        engines = _with_room(engines, prompt, memory_limit, now_s)
    best = None
    best_cost = float("inf")
    max_cached = max((engine.tokens for engine in engines), default=0)
    stored = _stored_by_salt(engines, stored_tokens)
    home = None if max_cached else _home_target(views, affinity_key)
    for engine in engines:
        fetchable = max(stored[engine.salt], max_cached)
        cost = engine_cost(engine.view, prompt, engine.tokens, fetchable, now_s)
        cost += added_cost(engine.view)
        if engine.view is home:
            cost -= HOME_BONUS_FRACTION * prompt.tokens
        if cost < best_cost:
            best, best_cost = engine.view, cost
    return best


def _stored_by_salt(
    engines: list[_Candidate], stored_tokens: StoredTokens
) -> dict[str, int]:
    """Returns the stored tokens of the prefix, for the salt of each engine."""
    salts = {engine.salt for engine in engines}
    return {salt: stored_tokens(salt) for salt in salts}


def _with_room(
    engines: list[_Candidate],
    prompt: prompts.Prompt,
    memory_limit: float,
    now_s: float,
) -> list[_Candidate]:
    """Returns the engines that have memory for a prompt."""
    roomy = []
    for engine in engines:
        needed = engine_memory.needed_tokens(prompt, engine.tokens)
        if engine_memory.has_room(engine.view, needed, memory_limit, now_s):
            roomy.append(engine)
    return roomy


def _candidate(
    view: target_view.TargetView, prompt: prompts.Prompt, cache_scope: str
) -> _Candidate:
    salt = view.salt(prompt.model, cache_scope)
    return _Candidate(view, salt, view.cached.prefix_tokens(salt, prompt))


def request_jitter(request_id: str, gateways: int) -> AddedCost:
    """Returns a function that adds pseudo-random cost to an engine.

    Gateways with the same view of the load would otherwise all choose the same
    engine until the next exchange of loads. The bound of the addition grows
    with the number of gateways.

    Args:
      request_id: Id of the request; seeds the addition.
      gateways: Number of gateways that choose among the same engines.
    """
    max_jitter = min(MAX_JITTER_TOKENS, JITTER_TOKENS_PER_GATEWAY * gateways)

    def jitter(view: target_view.TargetView) -> float:
        fraction = (
            int.from_bytes(_rendezvous_score(request_id, view)[:2], "big")
            / 65_536
        )
        return max_jitter * fraction

    return jitter


def engine_cost(
    view: target_view.TargetView,
    prompt: prompts.Prompt,
    cached_tokens: int,
    fetchable_tokens: int,
    now_s: float,
) -> float:
    """Returns the cost of a request at an engine, in prompt tokens.

    Args:
      view: The engine.
      prompt: Prompt of the request.
      cached_tokens: Length of the prefix that the engine caches, in tokens.
      fetchable_tokens: Length of the prefix that a store or another engine
        holds, in tokens.
      now_s: Loop time.
    """
    fetched = max(0, fetchable_tokens - cached_tokens)
    missing = (
        prompt.tokens - cached_tokens - fetched + RELATIVE_FETCH_COST * fetched
    )
    penalty = 1.0 + FAILURE_WEIGHT * view.failure_share
    cost = missing + queue_cost(view, prompt, now_s)
    needed = engine_memory.needed_tokens(prompt, cached_tokens)
    overflow = engine_memory.overflow_tokens(view, needed, now_s)
    cost += OVERFLOW_WEIGHT * overflow
    return cost * penalty * view.speed.slowness(now_s)


def queue_cost(
    view: target_view.TargetView, prompt: prompts.Prompt, now_s: float
) -> float:
    """Returns the work queued ahead of a request, in prompt tokens."""
    unread = view.peer_unread_tokens(now_s)
    if unread is None:
        unread = int(view.others(now_s) * UNREAD_FRACTION * prompt.tokens)
    queue = float(view.unread_tokens + unread)
    queue += QUEUE_TOKENS_PER_REQUEST * view.occupied(now_s)
    if view.occupied(now_s) >= view.slots():
        queue *= COLD_FACTOR
    if view.target.cold_s > 0:
        queue *= COLD_FACTOR
    return queue


def choose_service_target(
    views: collections.abc.Sequence[target_view.TargetView],
    request_id: str,
    now_s: float,
) -> target_view.TargetView | None:
    """Returns the plain service target with the lowest load per slot.

    Ties are broken by a hash of the request's id, so that gateways do not all
    choose the same target. Returns None if there is no target.
    """
    best = None
    best_cost = (float("inf"), b"")
    for view in views:
        load = (1 + view.occupied(now_s)) / view.slots()
        load *= view.speed.slowness(now_s)
        load += FAILURE_WEIGHT * view.failure_share
        if view.target.cold_s > 0:
            load += 1.0
        cost = (load, _rendezvous_score(request_id, view))
        if cost < best_cost:
            best, best_cost = view, cost
    return best


def _home_target(
    views: collections.abc.Sequence[target_view.TargetView],
    affinity_key: str,
) -> target_view.TargetView | None:
    """Returns the home target of a key, chosen by rendezvous hashing.

    All gateways prefer it while no engine is known to cache any of a prompt,
    for instance after a restart.
    """
    if not affinity_key:
        return None
    best = None
    best_score = b""
    for view in views:
        score = _rendezvous_score(affinity_key, view)
        if score > best_score:
            best, best_score = view, score
    return best


def _rendezvous_score(key: str, view: target_view.TargetView) -> bytes:
    name = view.target.id.encode()
    return hashlib.blake2b(key.encode(), key=name[:64], digest_size=8).digest()
