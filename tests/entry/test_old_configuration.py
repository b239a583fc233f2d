"""Callers of an entry that stood still while the configuration changed."""

from __future__ import annotations

import anyio
import pytest
from tests.entry import support

from cactusstile.control import exceptions
from cactusstile.fakes import scripted_agent
from cactusstile.state import confirmed_revisions

pytestmark = pytest.mark.anyio


async def ask(newest: int | None) -> list[int]:
    """Returns the statuses for an unknown key, model and service."""

    async def read_revision() -> int:
        if newest is None:
            raise exceptions.ControlError("no leader")
        return newest

    revisions = confirmed_revisions.ConfirmedRevisions(read_revision)
    parts = {"read_revision": revisions.read}
    agents = [scripted_agent.ScriptedAgent()]
    prompt = {"model": "added", "prompt": "hello", "max_tokens": 8}
    async with support.open_site(agents, own_parts=parts) as site:
        answers = [
            await site.request("/v1/completions", prompt, key="added"),
            await site.request("/v1/completions", prompt),
            await site.request("/services/added/x", b""),
            await site.complete(),
        ]
    return [answer.status for answer in answers]


@pytest.mark.parametrize("newest", [2, None])
async def test_key_model_or_service_is_refused_finally_by_an_old_copy(
    newest: int | None,
) -> None:
    assert await ask(newest) == [503, 503, 503, 200]


async def test_refusal_by_the_newest_configuration_is_not_final() -> None:
    assert await ask(1) == [401, 404, 404, 200]


async def test_each_caller_asks_control_or_takes_an_answer_from_before() -> (
    None
):
    began_s: list[float] = []

    async def read_revision() -> int:
        began_s.append(anyio.current_time())
        await anyio.sleep(0.1)
        return len(began_s)

    revisions = confirmed_revisions.ConfirmedRevisions(read_revision)
    answers: list[int | None] = []

    async def read() -> None:
        answers.append(await revisions.read())

    async with anyio.create_task_group() as group:
        group.start_soon(read)
        await anyio.sleep(0.05)
        for _ in range(20):
            group.start_soon(read)
    assert answers == [1] + [2] * 20
    assert len(began_s) == 2
