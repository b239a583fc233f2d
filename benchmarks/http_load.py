"""Load tool over HTTP: all real roles in one process, fake targets.

    python -m benchmarks.http_load --site teras --corrupt

Callers' conversations return on a fixed schedule (open loop); latencies count
from the scheduled time, and each answer is compared with the oracle's, token by
token. With `--corrupt`, all blocks that stores hold in memory are flipped half
way. One process does the work of all: figures say little about speed.
"""

from __future__ import annotations

import collections
import json
import pathlib
import random
import socket
import sys
import tempfile
import typing

import anyio
import attrs
import fire
import httpcore
from hdrh import histogram

from cactusstile import tokens
from cactusstile.entry import prompts
from cactusstile.fakes import engine
from cactusstile.fakes import oracle
from cactusstile.local import site as local_site
from cactusstile.settings import ini
from cactusstile.state import fleet_file
from cactusstile.state import model
from cactusstile.transport import address

HOST = "127.0.0.1"
MAX_LATENCY_US = 600_000_000
DIGITS = 3
MAX_TOKENS = 8
HTTP_OK = 200
ENGINE = engine.EngineSettings(
    cache_blocks=192, prompt_token_s=0.0005, output_token_s=0.005
)


@attrs.define
class Tally:
    """Figures of one run.

    Attributes:
      first_token: Times to first token in microseconds.
      answers: Answers received whole.
      wrong: Those that differ from the oracle's.
      refusals: Failed requests by status and reason.
      prompt_tokens: Prompt tokens of all answers.
      cached_tokens: Those not computed again.
    """

    first_token: histogram.HdrHistogram = attrs.field(
        factory=lambda: histogram.HdrHistogram(1, MAX_LATENCY_US, DIGITS)
    )
    answers: int = 0
    wrong: int = 0
    refusals: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    prompt_tokens: int = 0
    cached_tokens: int = 0


@attrs.frozen
class Caller:
    """What a caller needs.

    Attributes:
      url: Address of the chat completions.
      key: Key of the workspace.
      scope: Scope of the workspace's blocks.
      connections: Shared connections.
    """

    url: str
    key: str
    scope: tokens.Scope
    connections: httpcore.AsyncConnectionPool


async def _visit(
    caller: Caller,
    messages: list[prompts.ChatMessage],
    at_s: float,
    tally: Tally,
) -> str | None:
    """Sends one request; returns the answer, or None if it was refused."""
    body = {
        "model": caller.scope.deployment,
        "stream": True,
        "stream_options": {"include_usage": True},
        "max_tokens": MAX_TOKENS,
        "messages": [attrs.asdict(message) for message in messages],
    }
    text = ""
    async with caller.connections.stream(
        "POST",
        caller.url,
        headers={
            "authorization": f"Bearer {caller.key}",
            "content-type": "application/json",
        },
        content=json.dumps(body).encode(),
    ) as response:
        if response.status != HTTP_OK:
            await response.aread()
            tally.refusals[str(response.status)] += 1
            return None
        async for event in _events(response):
            choices = event.get("choices") or []
            piece = choices[0]["delta"].get("content") if choices else None
            if piece and not text:
                micros = round((anyio.current_time() - at_s) * 1e6)
                tally.first_token.record_value(micros)
            text += piece or ""
            _count_usage(event, tally)
    _check(caller, messages, text, tally)
    return text


async def _events(
    response: httpcore.Response,
) -> typing.AsyncIterator[dict[str, typing.Any]]:
    buffered = b""
    async for data in response.aiter_stream():
        buffered += data
        *lines, buffered = buffered.split(b"\n")
        for line in lines:
            payload = line.removeprefix(b"data: ").strip()
            if line.startswith(b"data: ") and payload != b"[DONE]":
                yield json.loads(payload)


def _count_usage(event: dict[str, typing.Any], tally: Tally) -> None:
    usage = event.get("usage")
    if not usage:
        return
    details = usage.get("prompt_tokens_details") or {}
    tally.prompt_tokens += usage["prompt_tokens"]
    tally.cached_tokens += details.get("cached_tokens", 0)


def _check(
    caller: Caller,
    messages: list[prompts.ChatMessage],
    text: str,
    tally: Tally,
) -> None:
    prompt = tokens.byte_tokenizer(prompts.render_chat(messages))
    right = oracle.answer(caller.scope, prompt, MAX_TOKENS)
    tally.answers += 1
    tally.wrong += tokens.byte_tokenizer(text) != right


async def _converse(
    caller: Caller, number: int, times_s: list[float], tally: Tally
) -> None:
    rng = random.Random(number)
    system = f"Rules of {caller.scope.workspace}. " * 20
    messages = [prompts.ChatMessage("system", system)]
    for turn, at_s in enumerate(times_s):
        words = " ".join(str(rng.random()) for _ in range(40))
        question = f"conversation {number}, turn {turn}: {words}"
        messages.append(prompts.ChatMessage("user", question))
        await anyio.sleep_until(at_s)
        answer = await _visit(caller, messages, at_s, tally)
        if answer is None:
            messages.pop()
            continue
        messages.append(prompts.ChatMessage("assistant", answer))


def _corrupt(site: local_site.LocalSite) -> int:
    """Flips the content that stores hold in memory; returns the blocks."""
    count = 0
    for store in site.stores.values():
        for record in store.kept.records.values():
            if record.data is not None:
                record.data = bytes(byte ^ 1 for byte in record.data)
                count += 1
    return count


def _free_ports(count: int) -> list[int]:
    sockets = [socket.socket() for _ in range(count)]
    try:
        for opened in sockets:
            opened.bind((HOST, 0))
        return [opened.getsockname()[1] for opened in sockets]
    finally:
        for opened in sockets:
            opened.close()


def _settings(fleet: model.Fleet, folder: str) -> local_site.LocalSettings:
    ports = _free_ports(len(fleet.targets) + 3)
    targets = {
        name: attrs.evolve(target, agent=address.Address(HOST, ports.pop()))
        for name, target in fleet.targets.items()
    }
    return local_site.LocalSettings(
        attrs.evolve(fleet, targets=targets),
        pathlib.Path(folder),
        address.Address(HOST, 0),
        address.Address(HOST, 0),
        HOST,
        tuple(ports),
        ENGINE,
    )


async def _run(
    site_name: str, seed: int, conversations: int, seconds: float, corrupt: bool
) -> Tally:
    folder = pathlib.Path("examples") / site_name
    fleet = fleet_file.read(folder / "fleet.ini")
    keys_file = folder / "demo-keys.ini"
    parser = ini.parse_text(keys_file.read_text(), str(keys_file))
    keys = dict(parser["keys"])
    deployment = next(iter(fleet.deployments.values()))
    rng = random.Random(seed)
    tally = Tally()
    with tempfile.TemporaryDirectory() as data:
        async with (
            local_site.open_site(_settings(fleet, data)) as site,
            httpcore.AsyncConnectionPool(max_connections=256) as connections,
            anyio.create_task_group() as group,
        ):
            url = f"http://{site.entry.callers_address()}/v1/chat/completions"
            start_s = anyio.current_time() + 0.5
            for number in range(conversations):
                workspace, key = rng.choice(sorted(keys.items()))
                scope = tokens.Scope(
                    workspace, deployment.name, deployment.version
                )
                times_s = sorted(
                    start_s + rng.uniform(0, seconds) for _ in range(4)
                )
                caller = Caller(url, key, scope, connections)
                group.start_soon(_converse, caller, number, times_s, tally)
            if corrupt:
                await anyio.sleep_until(start_s + seconds / 2)
                print(f"corrupted {_corrupt(site)} kept blocks")
    return tally


def main(
    site: str = "teras",
    seed: int = 1,
    conversations: int = 60,
    seconds: float = 20.0,
    *,
    corrupt: bool = False,
) -> None:
    """Runs conversations of four visits each and prints the figures."""
    tally = anyio.run(_run, site, seed, conversations, seconds, corrupt)
    percentiles = [
        f"p{percent} {tally.first_token.get_value_at_percentile(percent) / 1e3}"
        for percent in (50, 95, 99)
    ]
    computed = 1 - tally.cached_tokens / max(1, tally.prompt_tokens)
    print(f"{site}, seed {seed}: time to first token ms {percentiles}")
    print(f"answers {tally.answers}, wrong {tally.wrong}")
    print(f"refusals {dict(tally.refusals)}, computed share {computed:.4f}")


if __name__ == "__main__":
    sys.exit(fire.Fire(main))
