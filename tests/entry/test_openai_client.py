"""Compatibility of the entry with the unmodified openai client library."""

from __future__ import annotations

import openai
import pytest
from tests.entry import support

from cactusstile import verdict
from cactusstile.agent import messages
from cactusstile.fakes import scripted_agent

pytestmark = pytest.mark.anyio


def _client(site: support.Site, key: str = "key-of-bank") -> openai.AsyncOpenAI:
    return openai.AsyncOpenAI(
        api_key=key, base_url=f"{site.url}/v1", max_retries=0
    )


async def test_chat_answer_is_the_same_complete_and_streamed(
    site: support.Site,
) -> None:
    async with _client(site) as client:
        complete = await client.chat.completions.create(
            model="chat:tone",
            messages=[{"role": "user", "content": "Scan 7?"}],
            max_tokens=6,
        )
        stream = await client.chat.completions.create(
            model="chat:tone",
            messages=[{"role": "user", "content": "Scan 7?"}],
            max_tokens=6,
            stream=True,
            stream_options={"include_usage": True},
        )
        chunks = [chunk async for chunk in stream]
    run = site.agents[0].runs[0]
    expected = scripted_agent.detokenize(scripted_agent.output_tokens(run))
    texts = [
        chunk.choices[0].delta.content or ""
        for chunk in chunks
        if chunk.choices
    ]
    assert complete.choices[0].message.content == expected
    assert "".join(texts) == expected
    assert run.adapter == "tone@2"
    assert chunks[0].choices[0].delta.role == "assistant"
    assert chunks[-2].choices[0].finish_reason == "length"
    for usage in (complete.usage, chunks[-1].usage):
        assert usage is not None
        assert usage.completion_tokens == 6
        assert usage.prompt_tokens == len(run.tokens)


async def test_completion_is_streamed(site: support.Site) -> None:
    async with _client(site) as client:
        stream = await client.completions.create(
            model="chat", prompt="hello", max_tokens=10, stream=True
        )
        texts = [chunk.choices[0].text async for chunk in stream]
    assert "".join(texts) == support.expected_text(10)


async def test_models_lists_only_models_of_the_workspace(
    site: support.Site,
) -> None:
    async with _client(site) as client:
        names = [entry.id async for entry in client.models.list()]
    async with _client(site, "key-of-clinic") as client:
        others = [entry.id async for entry in client.models.list()]
    assert (names, others) == (["chat", "chat:tone"], [])


async def test_errors_map_to_exceptions_of_the_client_library(
    site: support.Site,
) -> None:
    async with _client(site, "wrong") as client:
        with pytest.raises(openai.AuthenticationError):
            await client.models.list()
    async with _client(site, "key-of-clinic") as client:
        with pytest.raises(openai.NotFoundError) as caught:
            await client.completions.create(model="chat", prompt="x")
    assert caught.value.code == "unknown_model"
    assert caught.value.response.headers["cactusstile-verdict"] == "not_run"
    assert site.agents[0].runs == []


async def test_client_library_does_not_retry_what_may_have_run(
    site: support.Site,
) -> None:
    """Guards against automatic retries of the library.

    The library retries failed requests unless a response header forbids it.
    """

    async def refuse_as_lost(*_: object) -> object:
        refusal = verdict.Refusal(
            verdict.Verdict.MAY_HAVE_RUN,
            verdict.Reason.TARGET_LOST,
            "the engine died",
            0.1,
        )
        return messages.to_refused(refusal)

    site.agents[0].script = refuse_as_lost
    client = openai.AsyncOpenAI(
        api_key="key-of-bank", base_url=f"{site.url}/v1", max_retries=2
    )
    async with client:
        with pytest.raises(openai.APIStatusError):
            await client.completions.create(
                model="chat",
                prompt="x",
                extra_headers={"Cactusstile-Repeatable": "no"},
            )
    assert len(site.agents[0].runs) == 1
