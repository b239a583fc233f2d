"""A prompt that comes again and ends each engine that runs it."""

from __future__ import annotations

import pytest
from tests.entry import support

from cactusstile import verdict
from cactusstile.agent import messages
from cactusstile.fakes import scripted_agent
from cactusstile.transport import incoming

pytestmark = pytest.mark.anyio
ENGINES = 14
# The users' rule: ends that are forgiven, and arrivals after them.
FORGIVEN_ENDS = 3
FORGIVEN_ARRIVALS = 3
ENGINE_ENDED = messages.to_refused(
    verdict.Refusal(
        verdict.Verdict.MAY_HAVE_RUN,
        verdict.Reason.TARGET_LOST,
        "the engine died",
        0.5,
    )
)


async def _end(_: incoming.Responder, run: messages.Run) -> object:
    del run
    return ENGINE_ENDED


async def test_prompt_that_comes_again_ends_one_engine_after_another() -> None:
    agents = [
        scripted_agent.ScriptedAgent(f"engine-{number}")
        for number in range(ENGINES)
    ]
    for agent in agents:
        agent.script = _end
    async with support.open_site(agents) as site:
        for _ in range(ENGINES):
            await site.complete()
    runs = sum(len(agent.runs) for agent in agents)
    assert runs <= FORGIVEN_ENDS + FORGIVEN_ARRIVALS
