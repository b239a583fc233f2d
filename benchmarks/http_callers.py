"""Callers of the load tool over HTTP: they send, listen, check and count."""

from __future__ import annotations

import collections
import collections.abc
import json
import typing

import anyio
import attrs
import httpcore
from hdrh import histogram

from cactusstile.fakes import oracle

if typing.TYPE_CHECKING:
    from benchmarks import http_trace
    from cactusstile.transport import address

Histogram: typing.TypeAlias = histogram.HdrHistogram
MAX_LATENCY_US = 600_000_000
DIGITS = 3
MAX_CONNECTIONS = 1024
HTTP_OK = 200


@attrs.frozen
class Figures:
    """What callers saw in one run.

    Attributes:
      answers: Answers that were whole.
      wrong: Answers, whole or cut, with a token that is not the oracle's.
      p50_ms: Median time to first token from the scheduled arrival.
      p95_ms: 95th percentile.
      p99_ms: 99th percentile.
      computed_share: Share of the answers' prompt tokens that was computed.
      refusals: Requests without a whole answer by verdict and code.
    """

    answers: int
    wrong: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    computed_share: float
    refusals: dict[str, int]


def new_histogram() -> Histogram:
    """Returns an empty histogram of microseconds."""
    return histogram.HdrHistogram(1, MAX_LATENCY_US, DIGITS)


def record(values: Histogram, seconds: float) -> None:
    """Counts a duration."""
    values.record_value(max(1, round(seconds * 1e6)))


def percentile_ms(values: Histogram, percent: float) -> float:
    """Returns a percentile in milliseconds."""
    return round(float(values.get_value_at_percentile(percent)) / 1000, 1)


@attrs.define
class Tally:
    """Counts of one run.

    Attributes:
      first_token: Times to first token.
      answers: Answers that were whole.
      wrong: Answers with a wrong token.
      refusals: Requests without a whole answer by verdict and code.
      prompt_tokens: Prompt tokens of all answers.
      cached_tokens: Those not computed again.
    """

    first_token: Histogram = attrs.field(factory=new_histogram)
    answers: int = 0
    wrong: int = 0
    refusals: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    prompt_tokens: int = 0
    cached_tokens: int = 0

    def summarize(self) -> Figures:
        """Returns the figures."""
        computed = self.prompt_tokens - self.cached_tokens
        return Figures(
            self.answers,
            self.wrong,
            percentile_ms(self.first_token, 50),
            percentile_ms(self.first_token, 95),
            percentile_ms(self.first_token, 99),
            round(computed / max(1, self.prompt_tokens), 4),
            dict(self.refusals),
        )


@attrs.define
class Heard:
    """What one request has brought so far.

    Attributes:
      text: Text of the answer.
      finished: Whether a finish reason and the end of the stream arrived.
      failure: Verdict and code of a refusal; empty without one.
    """

    text: str = ""
    finished: bool = False
    failure: str = ""


async def send_all(
    bound: address.Address,
    keys: dict[str, str],
    visits: list[http_trace.Visit],
    start_s: float,
    tally: Tally,
) -> None:
    """Sends all visits on schedule; returns when all are answered."""
    url = f"http://{bound}/v1/chat/completions"
    async with (
        httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS
        ) as connections,
        anyio.create_task_group() as group,
    ):

        async def send(visit: http_trace.Visit, due_s: float) -> None:
            heard = Heard()
            headers: dict[bytes | str, bytes | str] = {
                "authorization": f"Bearer {keys[visit.scope.workspace]}",
                "content-type": "application/json",
            }
            try:
                async with connections.stream(
                    "POST", url, headers=headers, content=_body(visit)
                ) as response:
                    await _listen(response, heard, due_s, tally)
            except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                heard.failure = f"cut/{type(error).__name__}"
            count(visit, heard, tally)

        for visit in visits:
            due_s = start_s + visit.at_s
            await anyio.sleep_until(due_s)
            group.start_soon(send, visit, due_s)


def count(visit: http_trace.Visit, heard: Heard, tally: Tally) -> None:
    """Compares what was heard with the right answer, token by token."""
    right = oracle.detokenize(visit.answer)
    size = len(right) // len(visit.answer)
    wanted = _split(right, size)
    got = _split(heard.text, size)
    if heard.failure or not heard.finished:
        tally.refusals[heard.failure or "cut/no end"] += 1
        tally.wrong += got != wanted[: len(got)]
        return
    tally.answers += 1
    tally.wrong += got != wanted


def _split(text: str, size: int) -> list[str]:
    """Returns the tokens of a text; all tokens of the oracle are as long.

    >>> _split("abc bcd cde ", 4)
    ['abc ', 'bcd ', 'cde ']
    """
    return [text[at : at + size] for at in range(0, len(text), size)]


def _body(visit: http_trace.Visit) -> bytes:
    body = {
        "model": visit.scope.deployment,
        "stream": True,
        "stream_options": {"include_usage": True},
        "max_tokens": len(visit.answer),
        "messages": [attrs.asdict(message) for message in visit.messages],
    }
    return json.dumps(body).encode()


async def _listen(
    response: httpcore.Response, heard: Heard, due_s: float, tally: Tally
) -> None:
    if response.status != HTTP_OK:
        heard.failure = _name_error(json.loads(await response.aread()))
        return
    finish_reason = None
    async for event in _events(response):
        if event is None:
            heard.finished = finish_reason is not None
            return
        if "error" in event:
            heard.failure = _name_error(event)
            return
        for choice in event.get("choices") or ():
            piece = choice["delta"].get("content")
            finish_reason = choice.get("finish_reason") or finish_reason
            if piece and not heard.text:
                record(tally.first_token, anyio.current_time() - due_s)
            heard.text += piece or ""
        _count_usage(event, tally)


def _name_error(answer: dict[str, typing.Any]) -> str:
    error = answer["error"]
    return f"{error['verdict']}/{error['code']}"


async def _events(
    response: httpcore.Response,
) -> collections.abc.AsyncIterator[dict[str, typing.Any] | None]:
    """Yields the events of a stream; None for its end mark."""
    buffered = b""
    async for data in response.aiter_stream():
        buffered += data
        *lines, buffered = buffered.split(b"\n")
        for line in lines:
            if not line.startswith(b"data: "):
                continue
            payload = line.removeprefix(b"data: ").strip()
            yield None if payload == b"[DONE]" else json.loads(payload)


def _count_usage(event: dict[str, typing.Any], tally: Tally) -> None:
    usage = event.get("usage")
    if not usage:
        return
    details = usage.get("prompt_tokens_details") or {}
    tally.prompt_tokens += usage["prompt_tokens"]
    tally.cached_tokens += details.get("cached_tokens", 0)
