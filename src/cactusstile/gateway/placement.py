"""Chooses the target of a request.

Answers days on which prompts return and targets are unevenly loaded: a prompt
goes where most of it is held, unless the queue there costs more than reading
it anew elsewhere. Takes plain data and returns a choice.
"""

from __future__ import annotations

import hashlib
import typing

import attrs

from cactusstile.gateway import prompts
from cactusstile.gateway import target_view

if typing.TYPE_CHECKING:
    import collections.abc

    KeptTokens = collections.abc.Callable[[str], int]
    Spread = collections.abc.Callable[[target_view.TargetView], float]

# Prompt tokens that one running request delays a new one by.
TOKENS_PER_RUNNING = 50.0
# Largest difference by which a request prefers one engine to another for its id
# alone, for each gateway.
SPREAD_TOKENS_PER_GATEWAY = 30.0
MAX_SPREAD_TOKENS = 2000.0
# Part of an unseen request's prompt that is still to be read, on average.
UNREAD_PART = 0.3
# Share of a prompt's tokens that its home is preferred by.
HOME_BONUS_SHARE = 0.5
# Time to fetch a token, as a share of the time to read it.
FETCH_COST = 0.12
# Part of the bound of output tokens that answers reach on average.
OUTPUT_PART = 0.25
# Part of an engine's memory that running requests may fill.
MEMORY_PART = 0.85
# Cost of a token that does not fit, in prompt tokens to be read.
MEMORY_WEIGHT = 2.0
# Factor on the queue of a target that is not warm yet.
COLD_FACTOR = 2.0
# Weight of a target's share of failed requests, in its own slots.
FAILURE_WEIGHT = 4.0


@attrs.frozen
class _Holding:
    """What an engine holds of a prompt.

    Attributes:
      view: The engine.
      salt: Salt of its KV cache.
      tokens: First tokens of the prompt that it holds.
    """

    view: target_view.TargetView
    salt: str
    tokens: int


def choose_engine(
    views: collections.abc.Sequence[target_view.TargetView],
    prompt: prompts.Prompt,
    *,
    spread: Spread,
    wall: str,
    session: str,
    kept: KeptTokens,
    now_s: float,
) -> target_view.TargetView | None:
    """Returns the engine that is expected to answer first, if any.

    Costs are counted in prompt tokens to be read before the first event. While
    nothing is known of the prompt, as after a restart, the home of `session` is
    preferred, since other gateways send it there too.

    Args:
      views: Engines to choose from.
      prompt: Prompt of the request.
      spread: Returns what the request's id adds to an engine's cost.
      wall: Those with whom its KV cache is shared.
      session: Identity of the part by which the prompt returns.
      kept: Returns the first tokens that stores hold under a salt.
      now_s: Loop time.
    """
    best = None
    best_cost = float("inf")
    holdings = [_holding(view, prompt, wall) for view in views]
    most_held = max((one.tokens for one in holdings), default=0)
    in_stores = {salt: kept(salt) for salt in {one.salt for one in holdings}}
    home = None if most_held else _home(views, session)
    for one in holdings:
        elsewhere = max(in_stores[one.salt], most_held)
        cost = engine_cost(one.view, prompt, one.tokens, elsewhere, now_s)
        cost += spread(one.view)
        if one.view is home:
            cost -= HOME_BONUS_SHARE * prompt.tokens
        if cost < best_cost:
            best, best_cost = one.view, cost
    return best


def _holding(
    view: target_view.TargetView, prompt: prompts.Prompt, wall: str
) -> _Holding:
    salt = view.salt(prompt.model, wall)
    return _Holding(view, salt, view.held.held_tokens(salt, prompt))


def spread_of(request_id: str, gateways: int) -> Spread:
    """Returns what a request's id adds to the cost of an engine.

    Gateways that know the same would otherwise all choose the same engine until
    they hear of each other's choice. The more there are, the more they spread.

    Args:
      request_id: Identity of the request.
      gateways: Gateways that choose among the same engines.
    """
    most = min(MAX_SPREAD_TOKENS, SPREAD_TOKENS_PER_GATEWAY * gateways)

    def spread(view: target_view.TargetView) -> float:
        share = int.from_bytes(_score(request_id, view)[:2], "big") / 65_536
        return most * share

    return spread


def engine_cost(
    view: target_view.TargetView,
    prompt: prompts.Prompt,
    held_tokens: int,
    elsewhere_tokens: int,
    now_s: float,
) -> float:
    """Returns the prompt tokens that an engine reads before an answer.

    Args:
      view: The engine.
      prompt: Prompt of the request.
      held_tokens: First tokens that the engine holds.
      elsewhere_tokens: First tokens that a store or another engine holds.
      now_s: Loop time.
    """
    fetched = max(0, elsewhere_tokens - held_tokens)
    missing = prompt.tokens - held_tokens - fetched + FETCH_COST * fetched
    penalty = 1.0 + FAILURE_WEIGHT * view.failure_share
    cost = missing + queue_cost(view, prompt, now_s)
    needed = memory_tokens(prompt, held_tokens)
    cost += MEMORY_WEIGHT * _overflow(view, needed, now_s)
    return cost * penalty


def memory_tokens(prompt: prompts.Prompt, held_tokens: int) -> int:
    """Returns the tokens of an engine's memory that a request adds.

    Requests share the memory of the parts that they have in common.
    """
    output_tokens = int(OUTPUT_PART * prompt.max_output_tokens)
    return prompt.tokens - held_tokens + output_tokens


def _overflow(
    view: target_view.TargetView, needed_tokens: int, now_s: float
) -> int:
    """Returns the tokens that do not fit an engine's memory.

    An engine without room puts a request back in the middle of its stream and
    reads it anew later.
    """
    needed = view.memory_tokens(now_s) + needed_tokens
    return max(0, needed - int(MEMORY_PART * view.held.limit_tokens))


def queue_cost(
    view: target_view.TargetView, prompt: prompts.Prompt, now_s: float
) -> float:
    """Returns the prompt tokens that an engine reads for others first."""
    unread = view.others_unread(now_s)
    if unread is None:
        unread = int(view.others(now_s) * UNREAD_PART * prompt.tokens)
    queue = float(view.unread_tokens + unread)
    queue += TOKENS_PER_RUNNING * view.occupied(now_s)
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
    """Returns the plain target with the shortest queue, if any.

    Targets that are equal are told apart by the request's id, so that
    gateways do not all choose the same one.
    """
    best = None
    best_cost = (float("inf"), b"")
    for view in views:
        load = view.occupied(now_s) / view.slots()
        load += FAILURE_WEIGHT * view.failure_share
        if view.target.cold_s > 0:
            load += 1.0
        cost = (load, _score(request_id, view))
        if cost < best_cost:
            best, best_cost = view, cost
    return best


def _home(
    views: collections.abc.Sequence[target_view.TargetView],
    session: str,
) -> target_view.TargetView | None:
    """Returns the engine that all gateways prefer for a session."""
    if not session:
        return None
    best = None
    best_score = b""
    for view in views:
        score = _score(session, view)
        if score > best_score:
            best, best_score = view, score
    return best


def _score(key: str, view: target_view.TargetView) -> bytes:
    name = view.target.id.encode()
    return hashlib.blake2b(key.encode(), key=name[:64], digest_size=8).digest()
