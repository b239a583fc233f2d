"""Shows a prompt that returns after its engine has forgotten it."""

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
class Visit:
    """One visit of the returning caller.

    Attributes:
      label: What came before it.
      prompt_tokens: Length of the prompt.
      cached_tokens: Prompt tokens that were not computed again.
      imported_tokens: Those of them that came from a store.
      first_answer_s: Time until the answer was complete, in seconds.
      text: The answer.
    """

    label: str
    prompt_tokens: int
    cached_tokens: int
    imported_tokens: int
    first_answer_s: float
    text: str


async def show(
    site: local_site.LocalSite,
    deployment: str,
    key: str,
    write: collections.abc.Callable[[str], None],
) -> list[Visit]:
    """Visits three times and describes each visit through `write`.

    Raises:
      RuntimeError: If an answer is refused.
    """
    prompt = "\n".join(
        f"asset {number:04d}: rack {number % 7}, seen by the auditor"
        for number in range(PROMPT_LINES)
    )
    visits = []
    for label, forget in (
        ("first visit", False),
        ("return at once", False),
        ("return after the engine has forgotten", True),
    ):
        if forget:
            await anyio.sleep(SETTLE_S)
            for engine in site.engines.values():
                engine.cache.clear()
        visit = await _visit(site, deployment, key, prompt, label)
        visits.append(visit)
        write(
            f"{visit.label}: {visit.prompt_tokens} prompt tokens, "
            f"{visit.cached_tokens} not computed again "
            f"({visit.imported_tokens} from a store), "
            f"answer after {visit.first_answer_s * 1000:.0f} ms"
        )
    return visits


async def _visit(
    site: local_site.LocalSite,
    deployment: str,
    key: str,
    prompt: str,
    label: str,
) -> Visit:
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
        raise RuntimeError(f"the site refused: {answer['error']['message']}")
    usage = answer["usage"]
    details = usage["prompt_tokens_details"]
    return Visit(
        label,
        usage["prompt_tokens"],
        details["cached_tokens"],
        details.get("imported_tokens", 0),
        anyio.current_time() - started_s,
        answer["choices"][0]["message"]["content"],
    )
