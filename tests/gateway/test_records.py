from __future__ import annotations

import anyio
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.sites import model

pytestmark = pytest.mark.anyio


async def test_record_names_weights_of_attempt_and_their_age() -> None:
    async with raw_target.open_target(
        raw_target.stream_events([1]), weights=(model.Weights("m", 3),)
    ) as target:
        config = support.configuration(support.route(model.Kind.STREAM))
        async with support.open_harness(config, target) as harness:
            harness.site.weights.add("m", 4, anyio.current_time() - 2.0)
            fields = b"X-Cactusstile-Model: m\r\n"
            await harness.ask(support.request(b"POST", fields))
    logged = harness.records[0].fields()["attempts"][0]
    assert logged["weights"] == 3
    assert 2000 <= logged["outdated_ms"] < 4000


async def test_record_names_builds_and_the_resumed_request() -> None:
    async with raw_target.open_target(
        raw_target.stream_events([2]), build="v7"
    ) as target:
        config = support.configuration(
            support.route(model.Kind.STREAM, resumable=True)
        )
        async with support.open_harness(config, target) as harness:
            fields = b"Last-Event-Id: 1\r\nResumes: earlier\r\n"
            await harness.ask(support.request(b"POST", fields))
    logged = harness.records[0].fields()
    assert (logged["resumes"], logged["last_event"]) == ("earlier", 1)
    assert logged["attempts"][0]["build"] == "v7"
    sent = target.requests[0]
    assert raw_target.find_header(sent, b"resumes") == b"earlier"


async def test_record_hides_the_parts_of_a_prompt_whose_engine_ended() -> None:
    cut = raw_target.stream_events([], whole=False)
    parts = b"X-Cactusstile-Prompt-Prefix: a:10,b:20,own:5\r\n"
    async with raw_target.open_target(cut) as target:
        config = support.configuration(support.route(model.Kind.STREAM))
        async with support.open_harness(config, target) as harness:
            await harness.ask(support.request(b"POST", parts))
    logged = harness.records[0].fields()["attempts"][0]
    assert logged["outcome"] == "stream_broken"
    assert logged["parts"] == ("a", "b")


async def test_record_hides_which_request_a_target_broke_off() -> None:
    cut = raw_target.send_raw(b"", with_head=True)
    bodies = [b"same", b"same", b"other"]
    async with raw_target.open_target(cut, cut, cut) as target:
        config = support.configuration(support.route(max_attempts=1))
        async with support.open_harness(config, target) as harness:
            for number, body in enumerate(bodies):
                rest = b"X-Cactusstile-Deadline-Ms: 9%d\r\n" % number
                request = support.request(b"POST", rest, body)
                await harness.ask(request.replace(b": one", b": %d" % number))
    first, again, other = [
        record.fields()["attempts"][0]["fingerprint"]
        for record in harness.records
    ]
    assert first == again != other


async def test_record_hides_the_limit_that_a_target_names() -> None:
    fields = raw_target.SEAL + b"Server-Limit: 1.4\r\n"
    async with raw_target.open_target(raw_target.answer(rest=fields)) as target:
        config = support.configuration(support.route())
        async with support.open_harness(config, target) as harness:
            await harness.ask(support.request())
    logged = harness.records[0].fields()["attempts"][0]
    assert logged["limit_per_s"] == 1.4
