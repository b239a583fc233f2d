"""HTTP interface for callers: refusals, limits, options, plain services."""

from __future__ import annotations

import contextlib
import json

import anyio
import hypothesis
import hypothesis.strategies
import pytest
from tests.entry import support

from cactusstile import verdict
from cactusstile.agent import messages
from cactusstile.entry import daemon
from cactusstile.entry import openai_requests
from cactusstile.fakes import scripted_agent
from cactusstile.filters import exchange
from cactusstile.filters import json_body
from cactusstile.filters import request_options
from cactusstile.state import holder

pytestmark = pytest.mark.anyio


@pytest.mark.parametrize(
    ("body", "status", "hint"),
    [
        (b"{", 400, "valid JSON"),
        (b"[1]", 400, "object"),
        (b'{"a":' * 5000 + b"1" + b"}" * 5000, 400, "nests deeper"),
        (b'{"model":"chat","prompt":""}', 400, "prompt"),
        (b'{"model":"chat","prompt":"x","stop":"y"}', 400, "stop"),
        (b'{"model":"chat","prompt":"x","max_tokens":1e9}', 400, "max_tokens"),
        (b'{"model":"nope","prompt":"x"}', 404, "/v1/models"),
        (b'{"prompt":"' + b"x" * 200_000 + b'"}', 413, "100000"),
        (b'{"model":"chat","prompt":"\\ud800"}', 400, "surrogates"),
    ],
)
async def test_invalid_body_gets_error_that_names_the_fault(
    site: support.Site, body: bytes, status: int, hint: str
) -> None:
    response = await site.request("/v1/completions", body)
    error = support.error_of(response)
    assert response.status == status
    assert hint in error["message"]
    assert error["verdict"] == "not_run"
    assert support.header(response, "cactusstile-verdict") == "not_run"
    assert site.agents[0].runs == []


async def test_chunked_body_over_the_size_limit_is_refused(
    site: support.Site,
) -> None:
    """Guards against a size check that relies on Content-Length alone."""
    bound = site.entry.callers_address()
    head = (
        b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
        b"key-of-bank\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    chunk = b"8000\r\n" + b"x" * 0x8000 + b"\r\n"
    async with await anyio.connect_tcp(bound.host, bound.port) as client:
        await client.send(head + chunk * 5)
        with anyio.fail_after(2):
            answer = await client.receive()
    assert answer.startswith(b"HTTP/1.1 413")
    assert site.entry.bounds.memory.held_bytes == 0


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("Cactusstile-Deadline-Ms", "soon"),
        ("Cactusstile-Deadline-Ms", "0"),
        ("Cactusstile-Priority", "101"),
        ("Cactusstile-Repeatable", "maybe"),
        ("Idempotency-Key", "x" * 300),
    ],
)
async def test_invalid_option_header_is_named_in_the_error(
    site: support.Site, name: str, value: str
) -> None:
    response = await site.complete(8, **{name: value})
    assert response.status == 400
    assert name.lower() in support.error_of(response)["message"].lower()


async def test_repeated_option_header_is_refused(site: support.Site) -> None:
    response = await site.http.request(
        "POST",
        site.url + "/v1/completions",
        headers=[
            ("Authorization", "Bearer key-of-bank"),
            ("Cactusstile-Repeatable", "no"),
            ("Cactusstile-Repeatable", "yes"),
        ],
        content=b'{"model":"chat","prompt":"x"}',
    )
    assert response.status == 400
    assert site.agents[0].runs == []


async def test_request_options_are_forwarded_to_the_agent(
    site: support.Site,
) -> None:
    response = await site.complete(
        Cactusstile_Deadline_Ms="5000",
        Cactusstile_Priority="7",
        Cactusstile_Repeatable="no",
        Idempotency_Key="scan-7",
    )
    run = site.agents[0].runs[0]
    assert response.status == 200
    assert 4000 < run.time_left_ms <= 5000
    assert (run.priority, run.repeatable) == (7, False)
    assert (run.request_key, run.workspace) == ("c:scan-7", "bank")
    assert run.revision == 1


async def test_deadline_refuses_at_once_what_cannot_start(
    site: support.Site,
) -> None:
    site.agents[0].wait_ms = 60_500
    with anyio.fail_after(1):
        response = await site.complete(Cactusstile_Deadline_Ms="20000")
    assert response.status == 429
    assert support.header(response, "cactusstile-verdict") == "not_run"
    assert support.header(response, "retry-after") == "41"


async def test_deadline_during_run_cancels_it_and_reports_may_have_run(
    site: support.Site,
) -> None:
    site.agents[0].batch_interval_s = 0.05
    response = await site.complete(100, Cactusstile_Deadline_Ms="150")
    assert response.status == 504
    assert support.header(response, "cactusstile-verdict") == "may_have_run"
    with anyio.fail_after(1):
        await site.agents[0].was_cancelled.wait()


async def test_workspace_over_its_limit_does_not_affect_other_workspaces(
    site: support.Site,
) -> None:
    site.agents[0].batch_interval_s = 0.05
    statuses = []

    async def send_request() -> None:
        statuses.append((await site.complete(16)).status)

    async with anyio.create_task_group() as group:
        for _ in range(70):
            group.start_soon(send_request)
        await anyio.sleep(0.1)
        other = await site.request(
            "/v1/models", None, key="key-of-clinic", method="GET"
        )
    assert other.status == 200
    assert statuses.count(429) == 70 - 64
    assert statuses.count(200) == 64


async def test_entry_without_confirmed_configuration_is_not_ready(
    site: support.Site,
) -> None:
    fleet = holder.FleetHolder()
    site.entry.readiness.is_configured = fleet.confirmed.is_set
    ready = await site.http.request("GET", f"{site.url}/readyz")
    live = await site.http.request("GET", f"{site.url}/livez")
    assert (ready.status, live.status) == (503, 200)


async def test_entry_without_fleet_in_force_is_not_ready(
    site: support.Site,
) -> None:
    """Guards against readiness with an empty fleet.

    A quorum may confirm that no configuration was applied yet.
    """
    fleet = holder.FleetHolder()
    fleet.confirmed.set()
    parts = daemon.Parts(fleet, site.entry.dispatcher.peers, support.KEYS.get)
    async with daemon.open_entry(support.settings(), parts) as entry:
        url = f"http://{entry.callers_address()}/readyz"
        before = await site.http.request("GET", url)
        fleet.advance(support.build_fleet([]))
        after = await site.http.request("GET", url)
    assert (before.status, after.status) == (503, 200)


@pytest.mark.parametrize(
    ("headers", "expected_verdict"),
    [
        ([], verdict.Verdict.NOT_RUN),
        ([(b"idempotency-key", b"k")], verdict.Verdict.MAY_HAVE_RUN),
        (
            [(b"idempotency-key", b"k"), (b"cactusstile-repeatable", b"yes")],
            verdict.Verdict.NOT_RUN,
        ),
    ],
)
async def test_entry_that_just_started_does_not_speak_for_earlier_attempts(
    headers: list[tuple[bytes, bytes]], expected_verdict: verdict.Verdict
) -> None:
    async def fail_if_called(*_: object) -> None:
        raise AssertionError("passed on")

    context = exchange.build(
        {"headers": headers}, fail_if_called, fail_if_called
    )
    with pytest.raises(verdict.RefusedError) as refusal_info:
        await request_options.require_confirmed(lambda: False)(
            context, fail_if_called
        )
    assert refusal_info.value.refusal.verdict is expected_verdict


async def test_service_call_is_forwarded_without_caller_credentials(
    site: support.Site,
) -> None:
    response = await site.request(
        "/services/inventory/items/a%2Fb?x=1",
        b"body",
        headers={"X-Scan": "7", "Connection": "X-Private", "X-Private": "p"},
    )
    call = site.agents[0].calls[0]
    names = {header.name for header in call.headers}
    assert (response.status, response.content) == (200, b"body")
    assert (call.method, call.path) == ("POST", "/items/a%2Fb?x=1")
    assert "x-scan" in names
    assert names.isdisjoint({"authorization", "x-private", "connection"})
    assert call.repeatable is False


# Guards against fields of the caller's connection that a service receives, as
# only the last of several Connection fields is read.
async def test_fields_named_in_the_first_of_two_lines_are_passed_on(
    site: support.Site,
) -> None:
    await site.request(
        "/services/inventory/items",
        b"body",
        fields=(
            ("Connection", "X-Private"),
            ("Connection", "X-Other"),
            ("X-Private", "p"),
            ("X-Other", "o"),
            ("X-Scan", "7"),
        ),
    )
    names = {header.name for header in site.agents[0].calls[0].headers}
    assert "x-scan" in names
    assert names.isdisjoint({"x-private", "x-other", "connection"})


async def test_only_repeatable_service_calls_are_retried() -> None:
    agents = [scripted_agent.ScriptedAgent(name) for name in ("a", "b", "c")]

    def refuse_as_lost(_: messages.ServiceCall) -> object:
        refusal = verdict.Refusal(
            verdict.Verdict.MAY_HAVE_RUN, verdict.Reason.TARGET_LOST, "lost"
        )
        return messages.to_refused(refusal)

    for agent in agents:
        agent.service = refuse_as_lost
    async with support.open_site(agents) as site:
        posted = await site.request("/services/inventory/stock", b"+1")
        writes = sum(len(agent.calls) for agent in agents)
        await site.request("/services/inventory/stock", method="GET")
    reads = sum(len(agent.calls) for agent in agents) - writes
    assert support.header(posted, "cactusstile-verdict") == "may_have_run"
    assert support.header(posted, "x-should-retry") == "false"
    assert (writes, reads) == (1, 3)


# Guards against a body beyond the bounds on nesting, which are checked in bytes
# of UTF-8 while the body is read in any encoding.
def test_body_in_another_encoding_passes_the_bounds() -> None:
    nested = "[" * 2 * json_body.MAX_NESTING + "]" * 2 * json_body.MAX_NESTING
    body = '{"\u2200": ' + nested + ', "a": 1}'
    for encoding in ("utf-8", "utf-8-sig", "utf-16-le", "utf-16"):
        with pytest.raises(verdict.RefusedError):
            json_body.parse_object(body.encode(encoding))
    assert json_body.parse_object(b'\xef\xbb\xbf{"a": 1}') == {"a": 1}


JSON_VALUES = hypothesis.strategies.recursive(
    hypothesis.strategies.none()
    | hypothesis.strategies.booleans()
    | hypothesis.strategies.integers()
    | hypothesis.strategies.floats()
    | hypothesis.strategies.text(max_size=8),
    lambda inner: (
        hypothesis.strategies.lists(inner, max_size=4)
        | hypothesis.strategies.dictionaries(
            hypothesis.strategies.sampled_from(
                ["role", "content", "type", "text", "include_usage"]
            ),
            inner,
            max_size=4,
        )
    ),
    max_leaves=12,
)
FIELD_NAMES = hypothesis.strategies.sampled_from(
    ["model", "messages", "prompt", "max_tokens", "stream", "stream_options",
     "n", "stop", "response_format"]
)  # fmt: skip


@hypothesis.given(
    hypothesis.strategies.binary(max_size=64)
    | hypothesis.strategies.dictionaries(FIELD_NAMES, JSON_VALUES).map(
        lambda value: json.dumps(value).encode()
    )
)
def test_arbitrary_body_is_parsed_or_refused(data: bytes) -> None:
    for parse in (
        openai_requests.parse_chat,
        openai_requests.parse_completion,
    ):
        with contextlib.suppress(verdict.RefusedError):
            assert parse(json_body.parse_object(data)).model


async def test_malformed_headers_are_refused(
    site: support.Site,
) -> None:
    bound = site.entry.callers_address()
    for malformed_header in (
        b"Content-Length: -1\r\n",
        b"Content-Length: 99999999999999999999999\r\n",
        b"Authorization: Bearer \xff\xfe\r\n",
        b"Authorization: Bearer " + b"k" * 9000 + b"\r\n",
        b"Idempotency-Key: \x7f\r\n",
        b"X: " + b"y" * 70_000 + b"\r\n",
    ):
        head = (
            b"POST /v1/completions HTTP/1.1\r\nHost: x\r\n" + malformed_header
        )
        async with await anyio.connect_tcp(bound.host, bound.port) as client:
            await client.send(head + b"\r\n")
            with anyio.fail_after(2):
                answer = await client.receive()
        assert answer.startswith(b"HTTP/1.1 4"), (malformed_header[:40], answer)
    assert (await site.complete()).status == 200
