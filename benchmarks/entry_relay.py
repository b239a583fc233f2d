"""Measures the relayed tokens and requests per second of an entry process.

    python -m benchmarks.entry_relay --streams 1,16,64 --batches 1,4,16

The entry runs alone in this process; an agent and the callers run in child
processes, so that the processor time of this process is that of the entry.
Without an interval the agent sends as fast as flow control permits, which
measures the throughput of one core; with an interval, the delay from agent to
caller is of interest. Prints one line for each measured point.
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
    """Load of one measured point.

    Attributes:
      streams: Number of concurrent requests.
      batch: Number of tokens in a batch.
      tokens: Number of output tokens of a request.
      interval_s: Seconds between two batches of a stream; 0 for no interval.
      duration_s: Duration of the measurement in seconds.
    """

    streams: int
    batch: int
    tokens: int
    interval_s: float
    duration_s: float


@attrs.define
class Counts:
    """Results of the callers; one delay in microseconds for each read."""

    requests: int = 0
    broken: int = 0
    refused: int = 0
    batches: int = 0
    events: int = 0
    delays: histogram.HdrHistogram = attrs.field(
        factory=lambda: histogram.HdrHistogram(1, _MAX_DELAY_US, 3)
    )


def build_script(load: Load) -> scripted_agent.Script:
    """Returns a script of an agent whose batches contain their send time."""
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
    """Serves as the agent until the parent process sends a message."""
    agent = scripted_agent.ScriptedAgent(script=build_script(load))

    async def serve() -> None:
        async with scripted_agent.open_agent(agent, SECRETS):
            pipe.send(agent.bound)
            await _receive_message(pipe)

    anyio.run(serve)


def run_callers(pipe: Pipe, url: address.Address, load: Load) -> None:
    """Sends requests on `load.streams` connections; reports the results."""
    counts = Counts()

    async def send_requests(end_s: float) -> None:
        async with await anyio.connect_tcp(url.host, url.port) as raw:
            while anyio.current_time() < end_s:
                await raw.send(_build_request(load))
                await _read_answer(raw, counts)

    async def run() -> None:
        end_s = anyio.current_time() + load.duration_s
        async with anyio.create_task_group() as group:
            for _ in range(load.streams):
                group.start_soon(send_requests, end_s)

    elapsed_s = -time.monotonic()
    anyio.run(run)
    elapsed_s += time.monotonic()
    counters = [
        counts.requests,
        counts.broken,
        counts.refused,
        counts.batches,
        counts.events,
    ]
    pipe.send((counters, counts.delays.encode(), elapsed_s))


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
    is_complete = False
    while True:
        now_ns = time.monotonic_ns()
        is_complete = is_complete or b"[DONE]" in data
        stamps = _STAMP.findall(data)
        counts.batches += len(stamps)
        counts.events += data.count(b"\r\ndata: ")
        for stamp in stamps[-1:]:
            delay_us = (now_ns - int(stamp)) // 1000
            counts.delays.record_value(max(1, delay_us))
        if data.endswith(_END):
            break
        data = data[1 - _STAMP_BYTES :] + await raw.receive()
    counts.requests += is_complete
    counts.broken += not is_complete


async def _receive_message(pipe: Pipe) -> typing.Any:
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
    """Measures one point and returns its line of the report."""
    spawn = multiprocessing.get_context("spawn")
    with contextlib.ExitStack() as children:

        def start(target: typing.Any, *arguments: object) -> Pipe:
            parent_end, child_end = spawn.Pipe()
            child = spawn.Process(
                target=target, args=(child_end, *arguments), daemon=True
            )
            child.start()
            children.callback(child.join, 5)
            return parent_end

        agent = start(run_agent, load)
        async with open_entry(await _receive_message(agent)) as entry:
            streams_per_process = max(1, load.streams // CALLER_PROCESSES)
            process_load = attrs.evolve(load, streams=streams_per_process)
            url = entry.callers_address()
            callers = [
                start(run_callers, url, process_load)
                for _ in range(min(load.streams, CALLER_PROCESSES))
            ]
            cpu_s = -time.process_time()
            answers = [await _receive_message(pipe) for pipe in callers]
            cpu_s += time.process_time()
        agent.send("stop")
    return _summarize(load, answers, cpu_s)


def _summarize(load: Load, answers: list[typing.Any], cpu_s: float) -> str:
    delays = histogram.HdrHistogram(1, _MAX_DELAY_US, 3)
    requests, broken, refused, batches, events = (
        sum(counters[position] for counters, _, _ in answers)
        for position in range(5)
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
        f"broken {broken} refused {refused}  core {cpu_s / elapsed_s:4.0%}  "
        f"us/batch {cpu_s / max(1, batches) * 1e6:6.1f}  "
        f"batches/event {batches / max(1, events):5.2f}  "
        f"delay ms p50 {p50_ms:.1f} p99 {p99_ms:.1f}"
    )


def main() -> None:
    """Measures all points selected by the arguments."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--streams", default="1,16,64,256")
    parser.add_argument("--batches", default="1,4,16")
    parser.add_argument("--tokens", type=int, default=1024)
    parser.add_argument("--interval-s", type=float, default=0.0)
    parser.add_argument("--duration-s", type=float, default=4.0)
    arguments = parser.parse_args()
    print(f"target: {TARGET_TOKENS_PER_S} tokens/s a VM", flush=True)
    for batch in map(int, arguments.batches.split(",")):
        for streams in map(int, arguments.streams.split(",")):
            load = Load(
                streams,
                batch,
                arguments.tokens,
                arguments.interval_s,
                arguments.duration_s,
            )
            print(anyio.run(measure, load), flush=True)


if __name__ == "__main__":
    main()
