from __future__ import annotations

import anyio
import attrs
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.transport import address

pytestmark = pytest.mark.anyio
ONCE = model.Kind.ONCE
STREAM = model.Kind.STREAM
PROMISES = ("408", "421", "429", "503")


async def test_request_is_forwarded_unchanged() -> None:
    async with raw_target.open_target(raw_target.answer(b"hello")) as target:
        config = support.configuration(support.route(ONCE))
        async with support.open_harness(config, target) as harness:
            data = await harness.ask(
                support.request(b"POST", b"X-Other: 1\r\nTE: a\r\n", b"body")
            )
    assert support.status(data) == 200
    assert data.endswith(b"hello")
    assert b"x-cactusstile-response-seal: s" in data.lower()
    sent = target.requests[0]
    assert sent.startswith(b"POST /a/x?q=1 HTTP/1.1\r\n")
    assert sent.endswith(b"\r\n\r\nbody")
    assert raw_target.find_header(sent, b"x-other") == b"1"
    assert raw_target.find_header(sent, b"te") is None
    expected = raw_target.find_header(sent, b"x-cactusstile-expect-instance")
    assert expected == target.target.id.encode()


async def test_caller_cannot_set_the_systems_fields() -> None:
    workspace = model.Workspace("w", ("k",))
    config = support.configuration(support.route(), workspaces=(workspace,))
    forged = b"X-Cactusstile-Key: k\r\nX-Cactusstile-Tenant: other\r\n"
    forged += b"X-Cactusstile-Hold: 1\r\nKv-From: a\r\n"
    async with (
        raw_target.open_target(raw_target.answer()) as target,
        support.open_harness(config, target) as harness,
    ):
        await harness.ask(support.request(rest=forged))
    sent = target.requests[0]
    assert raw_target.find_header(sent, b"x-cactusstile-tenant") == b"w"
    for name in (b"x-cactusstile-key", b"x-cactusstile-hold", b"kv-from"):
        assert raw_target.find_header(sent, name) is None


async def test_deadline_passed_on_is_what_is_left() -> None:
    async with raw_target.open_target(raw_target.answer()) as target:
        config = support.configuration(support.route(timeout_s=0.8))
        async with support.open_harness(config, target) as harness:
            rest = b"X-Cactusstile-Deadline-Ms: 5000\r\n"
            await harness.ask(support.request(rest=rest))
    left = raw_target.find_header(
        target.requests[0], b"x-cactusstile-deadline-ms"
    )
    assert left is not None
    assert 0 < int(left) <= 800


async def test_request_after_start_waits_for_first_configuration() -> None:
    config = support.configuration(support.route())
    async with (
        raw_target.open_target(raw_target.answer()) as target,
        support.open_harness(None, target) as harness,
        await harness.connect() as stream,
    ):
        rest = b"X-Cactusstile-Deadline-Ms: 3000\r\n"
        await stream.send(support.request(rest=rest))
        await anyio.sleep(0.1)
        harness.site.replace_configuration(config)
        assert support.status(await support.read_to_end(stream)) == 200


async def test_target_whose_address_is_anothers_is_left_alone() -> None:
    async with (
        raw_target.open_target(
            raw_target.answer(b"", b"421 Other", b""), id="a"
        ) as gone,
        raw_target.open_target(
            raw_target.answer(), raw_target.answer(), id="b"
        ) as live,
    ):
        config = support.configuration(support.route(ONCE, max_attempts=1))
        async with support.open_harness(config, gone, live) as harness:
            harness.site.targets.views["b", 0].inflight = 3
            for _ in range(2):
                data = await harness.ask(support.request(b"POST"))
                assert support.status(data) == 200
    assert (len(gone.requests), len(live.requests)) == (1, 2)


async def test_request_without_configuration_route_or_key_is_refused() -> None:
    workspace = model.Workspace("w", ("k",))
    keyed = support.configuration(support.route(), workspaces=(workspace,))
    async with support.open_harness(None) as harness:
        rest = b"X-Cactusstile-Deadline-Ms: 300\r\n"
        data = await harness.ask(support.request(rest=rest))
        assert support.status(data) == 503
        assert b"retry-after" in data.lower()
    async with support.open_harness(keyed) as harness:
        assert support.status(await harness.ask(support.request())) == 401
        other = support.request().replace(b"/a/x", b"/b/x")
        assert support.status(await harness.ask(other)) == 404


async def test_rejected_request_goes_to_another_target() -> None:
    async with (
        raw_target.open_target(raw_target.reject(), id="a") as first,
        raw_target.open_target(raw_target.reject(), id="b") as second,
    ):
        config = support.configuration(support.route(ONCE))
        async with support.open_harness(config, first, second) as harness:
            data = await harness.ask(support.request(b"POST"))
    assert len(first.requests) == len(second.requests) == 1
    assert support.status(data) == 503
    assert b"retry-after" in data.lower()


async def test_rejected_request_respects_max_attempts_of_route() -> None:
    async with (
        raw_target.open_target(raw_target.reject(), id="a") as first,
        raw_target.open_target(raw_target.answer(), id="b") as second,
    ):
        config = support.configuration(support.route(ONCE, max_attempts=1))
        async with support.open_harness(config, first, second) as harness:
            harness.site.targets.views["b", 0].inflight = 3
            data = await harness.ask(support.request(b"POST"))
    assert support.status(data) == 503
    assert second.requests == []


@pytest.mark.parametrize(
    "script",
    [
        raw_target.send_raw(b""),
        raw_target.send_raw(b"garbage\r\n\r\n"),
        raw_target.send_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"),
        raw_target.send_raw(b"Content-Length: 9\r\n\r\ncut", with_head=True),
        raw_target.answer(rest=b""),
        *(
            raw_target.answer(status=code.encode() + b" Lies")
            for code in PROMISES
        ),
        raw_target.answer(rest=raw_target.SEAL + b"Content-Encoding: gzip\r\n"),
    ],
    ids=["closed", "garbage", "no-id", "cut", "unsealed", *PROMISES, "gzip"],
)
async def test_request_that_may_have_run_is_not_sent_again(
    script: raw_target.Script,
) -> None:
    async with (
        raw_target.open_target(script, id="a") as first,
        raw_target.open_target(raw_target.answer(), id="b") as second,
    ):
        config = support.configuration(support.route(ONCE))
        async with support.open_harness(config, first, second) as harness:
            harness.site.targets.views["b", 0].inflight = 3
            data = await harness.ask(support.request(b"POST"))
    assert len(first.requests) == 1
    assert second.requests == []
    # 408, 421, 429 and 503 would guarantee that the request did not run.
    assert support.status(data) == 502
    assert b"x-cactusstile-response-seal" not in data.lower()


async def test_lost_answer_to_long_body_is_recorded_as_broken() -> None:
    async with raw_target.open_target(raw_target.send_raw(b"")) as target:
        config = support.configuration(support.route(ONCE))
        async with support.open_harness(config, target) as harness:
            request_bytes = support.request(b"POST", body=b"a" * 200_000)
            assert support.status(await harness.ask(request_bytes)) == 502
            assert harness.records[0].attempts[0].outcome == "broken"


async def test_error_answer_of_target_is_relayed() -> None:
    error = raw_target.answer(b"bad", b"500 Oops")
    async with raw_target.open_target(error) as target:
        config = support.configuration(support.route())
        async with support.open_harness(config, target) as harness:
            data = await harness.ask(support.request())
    assert support.status(data) == 500
    assert data.endswith(b"bad")


async def test_unresponsive_target_is_ejected() -> None:
    scripts = [raw_target.silent(), raw_target.silent()]
    async with raw_target.open_target(*scripts) as target:
        config = support.configuration(support.route(ONCE, timeout_s=0.1))
        async with support.open_harness(config, target) as harness:
            view = next(iter(harness.site.targets.views.values()))
            for _ in range(2):
                assert view.is_usable(anyio.current_time())
                data = await harness.ask(support.request(b"POST"))
                assert support.status(data) == 504
            assert not view.is_usable(anyio.current_time())


async def test_failed_idempotent_request_is_retried() -> None:
    error = raw_target.answer(b"bad", b"500 Oops")
    async with (
        raw_target.open_target(error, id="a") as first,
        raw_target.open_target(raw_target.answer(b"good"), id="b") as second,
    ):
        config = support.configuration(support.route())
        async with support.open_harness(config, first, second) as harness:
            harness.site.targets.views["b", 0].inflight = 3
            data = await harness.ask(support.request())
    assert data.endswith(b"good")


async def test_repeats_keep_to_the_budget() -> None:
    error = raw_target.answer(b"bad", b"500 Oops")
    async with (
        raw_target.open_target(error, id="a") as first,
        raw_target.open_target(raw_target.answer(), id="b") as second,
    ):
        config = support.configuration(support.route())
        async with support.open_harness(
            config, first, second, ratio=0.0, slack=0.0
        ) as harness:
            harness.site.targets.views["b", 0].inflight = 3
            data = await harness.ask(support.request())
    # The target's own error answer is relayed instead.
    assert support.status(data) == 500
    assert data.endswith(b"bad")
    assert second.requests == []


async def test_refused_connection_does_not_count_as_attempt() -> None:
    async with raw_target.open_target(id="a") as gone:
        pass
    async with raw_target.open_target(raw_target.answer(), id="b") as live:
        config = support.configuration(support.route(ONCE, max_attempts=1))
        async with support.open_harness(config, gone, live) as harness:
            harness.site.targets.views["b", 0].inflight = 3
            data = await harness.ask(support.request(b"POST"))
    assert support.status(data) == 200


async def test_request_is_refused_at_route_timeout() -> None:
    async with raw_target.open_target(raw_target.silent()) as target:
        config = support.configuration(support.route(ONCE, timeout_s=0.2))
        async with support.open_harness(config, target) as harness:
            started_s = anyio.current_time()
            data = await harness.ask(support.request(b"POST"))
            took_s = anyio.current_time() - started_s
            assert support.status(data) == 504
            assert 0.15 < took_s < 0.7
            with anyio.fail_after(1):
                await target.closed.wait()


async def test_work_is_dropped_when_the_caller_leaves() -> None:
    async with raw_target.open_target(raw_target.silent()) as target:
        config = support.configuration(support.route())
        async with support.open_harness(config, target) as harness:
            stream = await harness.connect()
            await stream.send(support.request())
            while not target.requests:
                await anyio.sleep(0.01)
            await stream.aclose()
            with anyio.fail_after(0.5):
                await target.closed.wait()
            await anyio.sleep(0.05)
            assert harness.records[0].outcome == "caller_left"


async def test_late_answer_to_another_request_is_dropped() -> None:
    async def answer_twice(stream: object, request: bytes) -> bool:
        late = request.replace(b"one", b"old")
        assert await raw_target.answer(b"old")(stream, late)  # type: ignore[arg-type]
        return await raw_target.answer(b"new")(stream, request)  # type: ignore[arg-type]

    async with raw_target.open_target(answer_twice) as target:
        config = support.configuration(support.route(ONCE))
        async with support.open_harness(config, target) as harness:
            data = await harness.ask(support.request(b"POST"))
    assert data.endswith(b"new")


async def test_connection_with_bytes_after_an_answer_is_not_used_again() -> (
    None
):
    extra = raw_target.send_raw(
        b"Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n",
        with_head=True,
        keep=True,
    )
    async with raw_target.open_target(extra, raw_target.answer()) as target:
        config = support.configuration(support.route(ONCE))
        async with support.open_harness(config, target) as harness:
            assert support.status(await harness.ask(support.request())) == 200
            assert support.status(await harness.ask(support.request())) == 200
    assert target.connections == 2


async def test_stream_goes_on_at_another_target() -> None:
    async with (
        raw_target.open_target(
            raw_target.stream_events([1, 2], whole=False, rest=b"id: 3\nda"),
            id="a",
        ) as first,
        raw_target.open_target(
            raw_target.stream_events([2, 3, 4]), id="b"
        ) as second,
    ):
        config = support.configuration(support.route(STREAM, resumable=True))
        async with support.open_harness(config, first, second) as harness:
            harness.site.targets.views["b", 0].inflight = 3
            data = await harness.ask(support.request(b"POST"))
    ids = [line for line in data.split(b"\n") if line.startswith(b"id:")]
    assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
    assert data.endswith(b"0\r\n\r\n")
    resumed = raw_target.find_header(second.requests[0], b"last-event-id")
    assert resumed == b"2"


async def test_stream_that_cannot_go_on_does_not_look_whole() -> None:
    broken = raw_target.stream_events([1], whole=False)
    async with raw_target.open_target(broken) as target:
        config = support.configuration(support.route(STREAM))
        async with support.open_harness(config, target) as harness:
            data = await harness.ask(support.request(b"POST"))
    assert b"id: 1" in data
    assert not data.endswith(b"0\r\n\r\n")


async def test_stream_that_would_outlast_the_process_is_refused() -> None:
    whole = raw_target.stream_events([1])
    async with raw_target.open_target(whole) as target:
        config = support.configuration(support.route(STREAM))
        async with support.open_harness(config, target) as harness:
            harness.forwarder.stop_at_s = anyio.current_time() + 2.0
            usage = b"X-Cactusstile-Token-Usage: 10,900\r\n"
            hint = b"X-Cactusstile-Length-Hint: "
            long = support.request(b"POST", usage + hint + b"500\r\n")
            data = await harness.ask(long)
            assert support.status(data) == 503
            assert target.requests == []
            short = support.request(b"POST", usage + hint + b"10\r\n")
            assert support.status(await harness.ask(short)) == 200


async def test_stream_truncated_within_event_does_not_look_complete() -> None:
    cut = raw_target.stream_events([1], rest=b"id: 2\nda")
    async with raw_target.open_target(cut) as target:
        config = support.configuration(support.route(STREAM))
        async with support.open_harness(config, target) as harness:
            data = await harness.ask(support.request(b"POST"))
    assert b"id: 2" not in data
    assert not data.endswith(b"0\r\n\r\n")


async def test_long_prompt_after_start_waits_for_store_contents() -> None:
    """After a power loss all engines would recompute all prompts."""
    engine = model.Engine(8, 50_000)
    store = model.Store("k", address.Address("127.0.0.1", 9), "d", 10_000)
    config = attrs.evolve(
        support.configuration(support.route(STREAM)),
        services={"plain": model.Service("plain", 0, engine)},
        stores=(store,),
    )
    fields = (
        b"X-Cactusstile-Model: m\r\nX-Cactusstile-Token-Usage: 5000,9\r\n"
        b"X-Cactusstile-Prompt-Prefix: x:4000,y:1000\r\n"
    )
    async with (
        raw_target.open_target(
            raw_target.stream_events([1]), weights=(model.Weights("m", 3),)
        ) as target,
        support.open_harness(config, target) as harness,
        anyio.create_task_group() as group,
    ):
        group.start_soon(harness.ask, support.request(b"POST", fields))
        await anyio.sleep(0.1)
        assert target.requests == []
        salt = harness.site.targets.views[target.target.incarnation].salt(
            "m", "shared"
        )
        part = messages.KeptPart(salt, "x", 4000)
        update = messages.StoreUpdate("127.0.0.1:9", True, 9e9, True, (part,))
        harness.site.apply_store_updates(
            messages.StoreUpdates((update,)), anyio.current_time()
        )
        with anyio.fail_after(1.0):
            while not target.requests:
                await anyio.sleep(0.01)
    fetched = raw_target.find_header(
        target.requests[0], b"x-cactusstile-kv-fetch"
    )
    assert fetched == b"127.0.0.1:9/4000,-"
