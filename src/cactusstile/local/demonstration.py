"""Demonstrates a prompt that is repeated after its engine evicted it."""

from __future__ import annotations

import json
import typing

import anyio
import attrs
import httpcore

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.local import site as local_site

SETTLE_S = 1.0
PROMPT_LINES = 60
MAX_TOKENS = 16
MAX_ANSWER_BYTES = 1024 * 1024
HTTP_OK = 200


@attrs.frozen
class DemoResult:
    """Result of one request with the demonstration prompt.

    Attributes:
      label: Condition under which the request was sent.
      prompt_tokens: Length of the prompt.
      cached_tokens: Prompt tokens that were not recomputed.
      imported_tokens: Those of the cached tokens that came from a store.
      answer_s: Time until the answer was complete, in seconds.
      text: Text of the answer.
    """

    label: str
    prompt_tokens: int
    cached_tokens: int
    imported_tokens: int
    answer_s: float
    text: str


async def show(
    site: local_site.LocalSite,
    deployment: str,
    key: str,
    write: collections.abc.Callable[[str], None],
) -> list[DemoResult]:
    """Sends one prompt three times and describes each result to `write`.

    The engines' caches are cleared before the last request.

    Raises:
      RuntimeError: If a request is refused.
    """
    prompt = "\n".join(
        f"asset {number:04d}: rack {number % 7}, seen by the auditor"
        for number in range(PROMPT_LINES)
    )
    results = []
    for label, evict in (
        ("first request", False),
        ("repeated at once", False),
        ("repeated after eviction by the engine", True),
    ):
        if evict:
            await anyio.sleep(SETTLE_S)
            for engine in site.engines.values():
                engine.cache.clear()
        result = await _send_prompt(site, deployment, key, prompt, label)
        results.append(result)
        write(
            f"{result.label}: {result.prompt_tokens} prompt tokens, "
            f"{result.cached_tokens} not recomputed "
            f"({result.imported_tokens} from a store), "
            f"answer after {result.answer_s * 1000:.0f} ms"
        )
    return results


async def _send_prompt(
    site: local_site.LocalSite,
    deployment: str,
    key: str,
    prompt: str,
    label: str,
) -> DemoResult:
    body = {
        "model": deployment,
        "messages": [{"role": "user", "content": prompt}],
        "max_tokens": MAX_TOKENS,
    }
    url = f"http://{site.entry.callers_address()}/v1/chat/completions"
    started_s = anyio.current_time()
    async with httpcore.AsyncConnectionPool() as connections:
        response = await connections.request(
            "POST",
            url,
            headers={
                "authorization": f"Bearer {key}",
                "content-type": "application/json",
            },
            content=json.dumps(body).encode(),
        )
    answer = json.loads(response.content)
    if response.status != HTTP_OK:
        raise RuntimeError(
            f"the site refused the request: {answer['error']['message']}"
        )
    usage = answer["usage"]
    details = usage["prompt_tokens_details"]
    return DemoResult(
        label,
        usage["prompt_tokens"],
        details["cached_tokens"],
        details.get("imported_tokens", 0),
        anyio.current_time() - started_s,
        answer["choices"][0]["message"]["content"],
    )
