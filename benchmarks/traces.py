"""Seeded traces of callers that return after heavy-tailed intervals."""

from __future__ import annotations

import hashlib
import random
import typing

import attrs

from cactusstile import tokens

if typing.TYPE_CHECKING:
    from benchmarks import sites

WORKSPACES = 10
LARGE_WORKSPACES = 3
LARGE_FRACTION = 0.65
MAX_PROMPT_BLOCKS = 500
SHORT_GAP_S = 45.0
LONG_GAP_MEDIAN_S = 300.0
LONG_GAP_SIGMA = 1.3
LONG_GAP_FRACTION = 0.5
END_CHANCES = (0.1, 0.2, 0.35)
_MEAN_EXTRA_QUESTION_BLOCKS = 25


@attrs.frozen
class Request:
    """One request of a trace.

    Attributes:
      at_s: Scheduled time from the start of the trace in seconds.
      workspace: Workspace of the caller.
      prefix_key: Key by which the prompt is routed.
      keys: Keys of all blocks: prompt, then output.
      prompt_blocks: Number of prompt blocks; the remaining ones are output.
      storm: Whether the request belongs to a workspace's storm.
    """

    at_s: float
    workspace: str
    prefix_key: bytes
    keys: tuple[bytes, ...]
    prompt_blocks: int
    storm: bool = False

    @property
    def prompt_tokens(self) -> int:
        """Returns the length of the prompt in tokens."""
        return self.prompt_blocks * tokens.BLOCK_TOKENS

    @property
    def output_tokens(self) -> int:
        """Returns the length of the answer in tokens."""
        return (len(self.keys) - self.prompt_blocks) * tokens.BLOCK_TOKENS


@attrs.frozen
class Storm:
    """Period in which a workspace multiplies its usual rate by `factor`."""

    workspace: str
    factor: float
    start_s: float
    end_s: float


def generate(
    site: sites.Site,
    seed: int,
    duration_s: float,
    load: float,
    storm: Storm | None = None,
) -> list[Request]:
    """Returns the requests of a site in order of time.

    Args:
      site: The site, which determines the capacity.
      seed: Seed of the random generator.
      duration_s: Duration of the trace in seconds.
      load: Offered prompt tokens, without any cache, as a fraction of the
        capacity of the site's engines.
      storm: Storm that adds requests; None for none.
    """
    capacity = len(site.engines) * site.engine.prefill_tokens_per_s
    min_tokens = load * capacity * duration_s
    arrivals = _generate_conversations(seed, duration_s, min_tokens)
    if storm is not None:
        arrivals += _generate_storm(arrivals, storm, seed, duration_s)
    arrivals.sort(key=lambda request: (request.at_s, request.keys[0]))
    return arrivals


def unlimited_cache_share(trace: list[Request], after_s: float) -> float:
    """Returns the fraction of prompt blocks that miss an unlimited cache.

    Args:
      trace: Requests in order of time.
      after_s: Start of the measured period in seconds.
    """
    seen: set[bytes] = set()
    computed = total = 0
    for request in trace:
        if request.at_s >= after_s:
            total += request.prompt_blocks
            prompt = request.keys[: request.prompt_blocks]
            computed += sum(key not in seen for key in prompt)
        seen.update(request.keys)
    return computed / max(1, total)


def traffic_fractions() -> list[float]:
    """Returns each workspace's fraction of the traffic.

    >>> len(traffic_fractions()), round(sum(traffic_fractions()), 6)
    (10, 1.0)
    """
    rest = WORKSPACES - LARGE_WORKSPACES
    large = [LARGE_FRACTION / LARGE_WORKSPACES] * LARGE_WORKSPACES
    return large + [(1 - LARGE_FRACTION) / rest] * rest


def _generate_conversations(
    seed: int, duration_s: float, min_tokens: float
) -> list[Request]:
    """Adds conversations at random times until `min_tokens` is reached."""
    rng = random.Random(seed)
    arrivals: list[Request] = []
    offered = 0
    number = 0
    while offered < min_tokens:
        [index] = rng.choices(range(WORKSPACES), weights=traffic_fractions())
        start_s = rng.uniform(-0.5 * duration_s, duration_s)
        for request in _generate_conversation(rng, index, number, start_s):
            if 0 <= request.at_s < duration_s:
                arrivals.append(request)
                offered += request.prompt_tokens
        number += 1
    return arrivals


def _generate_conversation(
    rng: random.Random, index: int, number: int, start_s: float
) -> list[Request]:
    workspace = f"w{index}"
    system_blocks = 16 + 8 * (index % 4)
    keys = [_key(workspace, "system", block) for block in range(system_blocks)]
    end_chance = END_CHANCES[index % len(END_CHANCES)]
    prefix_key = _key(workspace, "anchor", number)
    requests: list[Request] = []
    at_s = start_s
    while True:
        question_blocks = 4 + int(
            rng.expovariate(1 / _MEAN_EXTRA_QUESTION_BLOCKS)
        )
        answer = 2 + int(rng.expovariate(1 / 6))
        prompt_blocks = len(keys) + question_blocks
        for _ in range(question_blocks + answer):
            keys.append(_key(workspace, str(number), len(keys)))
        if len(keys) > MAX_PROMPT_BLOCKS:
            return requests
        requests.append(
            Request(at_s, workspace, prefix_key, tuple(keys), prompt_blocks)
        )
        if rng.random() < end_chance:
            return requests
        at_s += _gap_s(rng)


def _gap_s(rng: random.Random) -> float:
    if rng.random() < LONG_GAP_FRACTION:
        return LONG_GAP_MEDIAN_S * rng.lognormvariate(0, LONG_GAP_SIGMA)
    return 5 + rng.expovariate(1 / SHORT_GAP_S)


def _generate_storm(
    arrivals: list[Request], storm: Storm, seed: int, duration_s: float
) -> list[Request]:
    """Returns the additional requests of the storm."""
    rng = random.Random(seed + 1)
    workspace_requests = [
        request for request in arrivals if request.workspace == storm.workspace
    ]
    rate = (storm.factor - 1) * len(workspace_requests) / duration_s
    added: list[Request] = []
    at_s = storm.start_s
    number = 0
    while True:
        at_s += rng.expovariate(rate)
        if at_s >= storm.end_s:
            return added
        model = rng.choice(workspace_requests)
        keys = tuple(
            _key(storm.workspace, f"storm{number}", block)
            for block in range(len(model.keys))
        )
        added.append(
            attrs.evolve(
                model, at_s=at_s, keys=keys, prefix_key=keys[0], storm=True
            )
        )
        number += 1


def _key(workspace: str, conversation: str, block: int) -> bytes:
    text = f"{workspace}/{conversation}/{block}"
    return hashlib.blake2b(text.encode(), digest_size=tokens.KEY_BYTES).digest()
