"""Seeded requests of returning callers, with the expected answers.

Each conversation consists of a few requests at heavy-tailed intervals. The
expected answers are computed in advance, so that a request can be sent on
schedule regardless of the outcome of the previous one.
"""

from __future__ import annotations

import random
import typing

import attrs

from cactusstile import tokens
from cactusstile.entry import prompts
from cactusstile.fakes import oracle

if typing.TYPE_CHECKING:
    from cactusstile.state import model

MAX_TOKENS = 16
MAX_VISITS = 6
END_PROBABILITY = 0.15
SYSTEM_REPEATS = 16
QUESTION_WORDS = (10, 60)
SHORT_GAP_S = 4.0
LONG_GAP_MEDIAN_S = 15.0
LONG_GAP_SIGMA = 1.0
LONG_GAP_FRACTION = 0.5


@attrs.frozen
class Visit:
    """A request of a returning caller.

    Attributes:
      at_s: Scheduled time from the start of the trace in seconds.
      scope: Scope of the prompt.
      messages: Conversation up to this question.
      prompt: Tokens of the rendered conversation.
      answer: Expected output tokens.
    """

    at_s: float
    scope: tokens.Scope
    messages: tuple[prompts.ChatMessage, ...]
    prompt: tuple[int, ...]
    answer: tuple[int, ...]


def generate(
    fleet: model.Fleet, seed: int, duration_s: float, min_tokens: float
) -> list[Visit]:
    """Returns the requests in order of time.

    Args:
      fleet: Fleet whose workspaces send requests, in proportion to their
        shares, to its first deployment.
      seed: Seed of the random generator.
      duration_s: Duration of the trace in seconds.
      min_tokens: Prompt tokens after which no further conversation is added.
    """
    rng = random.Random(seed)
    deployment = next(iter(fleet.deployments.values()))
    workspaces = sorted(fleet.workspaces.values(), key=lambda item: item.name)
    visits: list[Visit] = []
    offered = number = 0
    while offered < min_tokens:
        [workspace] = rng.choices(
            workspaces, weights=[item.share for item in workspaces]
        )
        scope = tokens.Scope(
            workspace.name, deployment.name, deployment.version
        )
        start_s = rng.uniform(-0.5 * duration_s, duration_s)
        for visit in _generate_conversation(rng, scope, number, start_s):
            if 0 <= visit.at_s < duration_s:
                visits.append(visit)
                offered += len(visit.prompt)
        number += 1
    return sorted(visits, key=lambda visit: visit.at_s)


def unlimited_cache_share(visits: list[Visit]) -> float:
    """Returns the fraction of prompt tokens that miss an unlimited cache."""
    seen: set[bytes] = set()
    computed = total = 0
    for visit in visits:
        keys = tokens.block_keys(visit.scope, visit.prompt)
        found = sum(key in seen for key in keys)
        computed += len(visit.prompt) - found * tokens.BLOCK_TOKENS
        total += len(visit.prompt)
        seen.update(keys)
    return computed / max(1, total)


def _generate_conversation(
    rng: random.Random, scope: tokens.Scope, number: int, start_s: float
) -> list[Visit]:
    system = f"Rules of {scope.workspace}. " * SYSTEM_REPEATS
    messages = [prompts.ChatMessage("system", system)]
    visits = []
    at_s = start_s
    for turn in range(MAX_VISITS):
        words = rng.randint(*QUESTION_WORDS)
        text = " ".join(str(rng.random()) for _ in range(words))
        question = f"conversation {number}, turn {turn}: {text}"
        messages.append(prompts.ChatMessage("user", question))
        rendered = prompts.render_chat(messages)
        prompt = tuple(tokens.byte_tokenizer(rendered))
        answer = tuple(oracle.answer(scope, prompt, MAX_TOKENS))
        visits.append(Visit(at_s, scope, tuple(messages), prompt, answer))
        if rng.random() < END_PROBABILITY:
            break
        reply = prompts.ChatMessage("assistant", oracle.detokenize(answer))
        messages.append(reply)
        at_s += _gap_s(rng)
    return visits


def _gap_s(rng: random.Random) -> float:
    if rng.random() < LONG_GAP_FRACTION:
        return LONG_GAP_MEDIAN_S * rng.lognormvariate(0, LONG_GAP_SIGMA)
    return 1.0 + rng.expovariate(1 / SHORT_GAP_S)
