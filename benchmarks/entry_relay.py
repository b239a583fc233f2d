"""Measures one entry process: relayed tokens and requests per second.

    python -m benchmarks.entry_relay --streams 1,16,64 --batches 1,4,16

The entry runs alone in this process; an agent and the callers run in child
processes, so that this process's time is the entry's own. Without an interval
the agent sends as fast as it is told, which shows what one core relays; with
one, the delay from agent to caller tells. Prints one line for each point.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import multiprocessing
import re
import time
import typing

import anyio
import anyio.abc
import attrs
from hdrh import histogram

from cactusstile.agent import messages
from cactusstile.entry import daemon
from cactusstile.fakes import scripted_agent
from cactusstile.settings import entry as entry_settings
from cactusstile.settings import process
from cactusstile.state import holder
from cactusstile.state import model
from cactusstile.transport import address
from cactusstile.transport import handshake
from cactusstile.transport import incoming
from cactusstile.transport import pool

if typing.TYPE_CHECKING:
    import collections.abc
    from multiprocessing import connection

    Pipe = connection.Connection[typing.Any, typing.Any]

SECRETS = handshake.Secrets(b"a-secret-of-benchmarks")
LOCAL = address.Address("127.0.0.1", 0)
KEY = "key"
CALLER_PROCESSES = 2
TARGET_TOKENS_PER_S = 47_000
POLL_S = 0.02
REFUSED_PAUSE_S = 0.1
_STAMP = re.compile(rb"<(\d{18})>")
_STAMP_BYTES = 20
_END = b"0\r\n\r\n"
_MAX_DELAY_US = 60_000_000


@attrs.frozen
class Load:
    """One point of the measurement.

    Attributes:
      streams: Requests at once.
      batch: Tokens in a batch.
      tokens: Output tokens of a request.
      interval_s: Time between two batches of a stream; 0 for none.
      duration_s: Length of the measurement.
    """

    streams: int
    batch: int
    tokens: int
    interval_s: float
    duration_s: float


@attrs.define
class Counts:
    """What the callers saw; delays in microseconds of each read's end."""

    requests: int = 0
    broken: int = 0
    refused: int = 0
    batches: int = 0
    events: int = 0
    delays: histogram.HdrHistogram = attrs.field(
        factory=lambda: histogram.HdrHistogram(1, _MAX_DELAY_US, 3)
    )


def build_script(load: Load) -> scripted_agent.Script:
    """Returns an agent's answer whose texts carry the time of sending."""
    tokens = tuple(range(load.batch))
    padding = "x" * max(0, 4 * load.batch - _STAMP_BYTES)

    async def script(
        responder: incoming.Responder, run: messages.Run
    ) -> object:
        next_s = anyio.current_time()
        for first in range(0, run.max_tokens, load.batch):
            text = f"<{time.monotonic_ns():018d}>{padding}"
            await responder.send(messages.RunTokens(first, tokens, text))
            next_s += load.interval_s
            await anyio.sleep(max(0.0, next_s - anyio.current_time()))
        return scripted_agent.run_end(run)

    return script


def run_agent(pipe: Pipe, load: Load) -> None:
    """Serves as the agent until the parent speaks."""
    agent = scripted_agent.ScriptedAgent(script=build_script(load))

    async def serve() -> None:
        async with scripted_agent.open_agent(agent, SECRETS):
            pipe.send(agent.bound)
            await _wait_for(pipe)

    anyio.run(serve)


def run_callers(pipe: Pipe, url: address.Address, load: Load) -> None:
    """Asks on `load.streams` connections; sends what was seen."""
    counts = Counts()

    async def ask(end_s: float) -> None:
        async with await anyio.connect_tcp(url.host, url.port) as raw:
            while anyio.current_time() < end_s:
                await raw.send(_build_request(load))
                await _read_answer(raw, counts)

    async def run() -> None:
        end_s = anyio.current_time() + load.duration_s
        async with anyio.create_task_group() as group:
            for _ in range(load.streams):
                group.start_soon(ask, end_s)

    elapsed_s = -time.monotonic()
    anyio.run(run)
    elapsed_s += time.monotonic()
    seen = [
        counts.requests,
        counts.broken,
        counts.refused,
        counts.batches,
        counts.events,
    ]
    pipe.send((seen, counts.delays.encode(), elapsed_s))


def _build_request(load: Load) -> bytes:
    body = json.dumps(
        {
            "model": "chat",
            "prompt": "hello",
            "max_tokens": load.tokens,
            "stream": True,
        }
    )
    return (
        f"POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
        f"{KEY}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
    ).encode()


async def _read_answer(raw: anyio.abc.ByteStream, counts: Counts) -> None:
    data = await raw.receive()
    if not data.startswith(b"HTTP/1.1 200"):
        counts.refused += 1
        await anyio.sleep(REFUSED_PAUSE_S)
        return
    whole = False
    while True:
        now_ns = time.monotonic_ns()
        whole = whole or b"[DONE]" in data
        stamps = _STAMP.findall(data)
        counts.batches += len(stamps)
        counts.events += data.count(b"\r\ndata: ")
        for stamp in stamps[-1:]:
            delay_us = (now_ns - int(stamp)) // 1000
            counts.delays.record_value(max(1, delay_us))
        if data.endswith(_END):
            break
        data = data[1 - _STAMP_BYTES :] + await raw.receive()
    counts.requests += whole
    counts.broken += not whole


async def _wait_for(pipe: Pipe) -> typing.Any:
    while not pipe.poll():  # noqa: ASYNC110
        await anyio.sleep(POLL_S)
    return pipe.recv()


def _build_fleet(agent: address.Address) -> model.Fleet:
    target = model.Target("e", model.TargetKind.ENGINE, agent, "ikeja", "chat")
    return model.Fleet(
        "site",
        1,
        {"bank": model.Workspace("bank", (), max_running=100_000)},
        {"chat": model.Deployment("chat", "m", "v1")},
        targets={"e": target},
    )


@contextlib.asynccontextmanager
async def open_entry(
    agent: address.Address,
) -> collections.abc.AsyncIterator[daemon.Entry]:
    """Runs an entry in front of one agent."""
    common = process.ProcessSettings("e", "ikeja", LOCAL, LOCAL, (), SECRETS)
    settings = entry_settings.EntrySettings(
        common, LOCAL, 1_000_000, 1 << 30, 100_000, 0.1, 0.0, "error"
    )
    fleet = holder.FleetHolder()
    fleet.advance(_build_fleet(agent))
    fleet.confirmed.set()
    identity = handshake.Identity("entry", "e")
    async with pool.open_pool(identity, SECRETS) as peers:
        parts = daemon.Parts(fleet, peers, {KEY: "bank"}.get)
        async with daemon.open_entry(settings, parts) as entry:
            yield entry


async def measure(load: Load) -> str:
    """Measures one point and returns its line."""
    spawn = multiprocessing.get_context("spawn")
    with contextlib.ExitStack() as children:

        def start(target: typing.Any, *arguments: object) -> Pipe:
            near, far = spawn.Pipe()
            child = spawn.Process(
                target=target, args=(far, *arguments), daemon=True
            )
            child.start()
            children.callback(child.join, 5)
            return near

        agent = start(run_agent, load)
        async with open_entry(await _wait_for(agent)) as entry:
            share = max(1, load.streams // CALLER_PROCESSES)
            part = attrs.evolve(load, streams=share)
            url = entry.callers_address()
            callers = [
                start(run_callers, url, part)
                for _ in range(min(load.streams, CALLER_PROCESSES))
            ]
            used_s = -time.process_time()
            answers = [await _wait_for(pipe) for pipe in callers]
            used_s += time.process_time()
        agent.send("stop")
    return _summarize(load, answers, used_s)


def _summarize(load: Load, answers: list[typing.Any], used_s: float) -> str:
    delays = histogram.HdrHistogram(1, _MAX_DELAY_US, 3)
    requests, broken, refused, batches, events = (
        sum(seen[position] for seen, _, _ in answers) for position in range(5)
    )
    elapsed_s = max(elapsed_s for _, _, elapsed_s in answers)
    for _, encoded, _ in answers:
        delays.decode_and_add(encoded)
    tokens = batches * load.batch
    p50_ms = delays.get_value_at_percentile(50) / 1000
    p99_ms = delays.get_value_at_percentile(99) / 1000
    return (
        f"streams {load.streams:4d}  batch {load.batch:3d}  "
        f"tokens/s {tokens / elapsed_s:9.0f}  "
        f"requests/s {requests / elapsed_s:7.1f}  "
        f"broken {broken} refused {refused}  core {used_s / elapsed_s:4.0%}  "
        f"us/batch {used_s / max(1, batches) * 1e6:6.1f}  "
        f"batches/event {batches / max(1, events):5.2f}  "
        f"delay ms p50 {p50_ms:.1f} p99 {p99_ms:.1f}"
    )


def main() -> None:
    """Measures all points that the arguments ask for."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", default="1,16,64,256")
    parser.add_argument("--batches", default="1,4,16")
    parser.add_argument("--tokens", type=int, default=1024)
    parser.add_argument("--interval-s", type=float, default=0.0)
    parser.add_argument("--duration-s", type=float, default=4.0)
    asked = parser.parse_args()
    print(f"target: {TARGET_TOKENS_PER_S} tokens/s a VM", flush=True)
    for batch in map(int, asked.batches.split(",")):
        for streams in map(int, asked.streams.split(",")):
            load = Load(
                streams,
                batch,
                asked.tokens,
                asked.interval_s,
                asked.duration_s,
            )
            print(anyio.run(measure, load), flush=True)


if __name__ == "__main__":
    main()
