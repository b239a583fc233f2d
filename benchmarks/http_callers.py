"""Callers of the HTTP load tool: send requests and check the answers."""

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
SIGNIFICANT_DIGITS = 3
MAX_CONNECTIONS = 1024
HTTP_OK = 200


@attrs.frozen
class Figures:
    """Results of one run as measured by the callers.

    Attributes:
      answers: Number of complete answers.
      wrong: Number of answers, complete or not, with a token that differs from
        the oracle's.
      p50_ms: Median time to first token from the scheduled arrival.
      p95_ms: 95th percentile of the time to first token.
      p99_ms: 99th percentile of the time to first token.
      computed_share: Fraction of prompt tokens that engines computed.
      refusals: Number of requests without a complete answer, by verdict and
        code.
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
    return histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def record(values: Histogram, seconds: float) -> None:
    """Records a duration."""
    values.record_value(max(1, round(seconds * 1e6)))


def percentile_ms(values: Histogram, percent: float) -> float:
    """Returns a percentile in milliseconds."""
    return round(float(values.get_value_at_percentile(percent)) / 1000, 1)


@attrs.define
class Tally:
    """Counts of one run.

    Attributes:
      first_token: Histogram of times to first token.
      answers: Number of complete answers.
      wrong: Number of answers with a wrong token.
      refusals: Number of requests without a complete answer, by verdict and
        code.
      prompt_tokens: Number of prompt tokens of all answers.
      cached_tokens: Number of these tokens that were not recomputed.
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
        """Returns the results."""
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
class ReceivedAnswer:
    """The part of an answer received so far.

    Attributes:
      text: Text of the answer.
      finished: Whether a finish reason and the end of the stream arrived.
      failure: Verdict and code of a refusal; empty for none.
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
    """Sends all requests on schedule; returns when all are answered."""
    url = f"http://{bound}/v1/chat/completions"
    async with (
        httpcore.AsyncConnectionPool(
            max_connections=MAX_CONNECTIONS
        ) as connections,
        anyio.create_task_group() as group,
    ):

        async def send(visit: http_trace.Visit, due_s: float) -> None:
            received = ReceivedAnswer()
            headers: dict[bytes | str, bytes | str] = {
                "authorization": f"Bearer {keys[visit.scope.workspace]}",
                "content-type": "application/json",
            }
            try:
                async with connections.stream(
                    "POST", url, headers=headers, content=_body(visit)
                ) as response:
                    await _read_answer(response, received, due_s, tally)
            except (httpcore.NetworkError, httpcore.ProtocolError) as error:
                received.failure = f"cut/{type(error).__name__}"
            count(visit, received, tally)

        for visit in visits:
            due_s = start_s + visit.at_s
            await anyio.sleep_until(due_s)
            group.start_soon(send, visit, due_s)


def count(
    visit: http_trace.Visit, received: ReceivedAnswer, tally: Tally
) -> None:
    """Compares an answer with the expected one, token by token."""
    expected_text = oracle.detokenize(visit.answer)
    size = len(expected_text) // len(visit.answer)
    expected_tokens = _split_tokens(expected_text, size)
    received_tokens = _split_tokens(received.text, size)
    if received.failure or not received.finished:
        tally.refusals[received.failure or "cut/no end"] += 1
        tally.wrong += (
            received_tokens != expected_tokens[: len(received_tokens)]
        )
        return
    tally.answers += 1
    tally.wrong += received_tokens != expected_tokens


def _split_tokens(text: str, size: int) -> list[str]:
    """Splits a text into tokens; all tokens have the same length.

    >>> _split_tokens("abc bcd cde ", 4)
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


async def _read_answer(
    response: httpcore.Response,
    received: ReceivedAnswer,
    due_s: float,
    tally: Tally,
) -> None:
    if response.status != HTTP_OK:
        received.failure = _describe_error(json.loads(await response.aread()))
        return
    finish_reason = None
    async for event in _events(response):
        if event is None:
            received.finished = finish_reason is not None
            return
        if "error" in event:
            received.failure = _describe_error(event)
            return
        for choice in event.get("choices") or ():
            delta = choice["delta"].get("content")
            finish_reason = choice.get("finish_reason") or finish_reason
            if delta and not received.text:
                record(tally.first_token, anyio.current_time() - due_s)
            received.text += delta or ""
        _count_usage(event, tally)


def _describe_error(answer: dict[str, typing.Any]) -> str:
    error = answer["error"]
    return f"{error['verdict']}/{error['code']}"


async def _events(
    response: httpcore.Response,
) -> collections.abc.AsyncIterator[dict[str, typing.Any] | None]:
    """Yields the events of a stream; None for the final marker."""
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
