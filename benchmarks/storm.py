"""Measures how a storm of one workspace affects the others.

    python -m benchmarks.storm --seed 1 --factor 10

An entry, agents and fake engines run on one event loop. Requests arrive on a
schedule, each with a new prompt. Prints the 95th percentile of the time to
first token of the workspaces that do not storm, in a quiet run and in a storm.
"""

from __future__ import annotations

import contextlib
import random
import sys
import time
import typing

import anyio
import attrs
import fire
import httpcore
from hdrh import histogram

from cactusstile.entry import daemon
from cactusstile.fakes import engine
from cactusstile.fakes import site as fake_site
from cactusstile.settings import entry as entry_settings
from cactusstile.settings import process
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    import collections.abc

LOCAL = address.Address("127.0.0.1", 0)
WORKSPACES = tuple(f"w{number}" for number in range(10))
STORMING_WORKSPACE = WORKSPACES[0]
PROMPT_CHARACTERS = 3200
MAX_PROMPT_CHARACTERS = 32_000
PROMPT_TOKENS = PROMPT_CHARACTERS // 4
OUTPUT_TOKENS = 4
ENGINE_SETTINGS = engine.EngineSettings(
    prompt_token_s=0.001, output_token_s=0.01
)
TIMEOUT_S = 30.0
MAX_LATENCY_US = 60_000_000
HTTP_OK = 200


@attrs.frozen
class Arrival:
    """A scheduled prompt; `at_s` is in seconds from the start of the run."""

    at_s: float
    workspace: str
    prompt: str


@attrs.define
class Counts:
    """Results measured by callers; latencies in us, without the storm."""

    answered: int = 0
    refused: int = 0
    storm_answered: int = 0
    storm_refused: int = 0
    latencies: histogram.HdrHistogram = attrs.field(
        factory=lambda: histogram.HdrHistogram(1, MAX_LATENCY_US, 3)
    )

    def record(self, workspace: str, latency_s: float | None) -> None:
        """Counts a prompt; `latency_s` is None if it was refused."""
        if workspace == STORMING_WORKSPACE:
            self.storm_answered += latency_s is not None
            self.storm_refused += latency_s is None
            return
        if latency_s is None:
            self.refused += 1
            return
        self.answered += 1
        self.latencies.record_value(max(1, round(latency_s * 1e6)))

    def percentile_ms(self, percent: float) -> float:
        """Returns a percentile of the time to first token without the storm."""
        return float(self.latencies.get_value_at_percentile(percent)) / 1000


def schedule(
    seed: int,
    rate: float,
    duration_s: float,
    factor: float,
    *,
    spread: bool = False,
) -> list[Arrival]:
    """Returns arrivals at `rate` per second for each workspace.

    All prompts have the same length unless `spread` is set, which draws lengths
    from an exponential distribution.
    """
    source = random.Random(seed)
    arrivals = []
    for workspace in WORKSPACES:
        workspace_rate = (
            rate * factor if workspace == STORMING_WORKSPACE else rate
        )
        at_s = source.expovariate(workspace_rate)
        while at_s < duration_s:
            length = PROMPT_CHARACTERS
            if spread:
                drawn_length = source.expovariate(1 / PROMPT_CHARACTERS)
                length = min(MAX_PROMPT_CHARACTERS, 64 + int(drawn_length))
            prompt = source.randbytes(length // 2).hex()
            arrivals.append(Arrival(at_s, workspace, prompt))
            at_s += source.expovariate(workspace_rate)
    return sorted(arrivals, key=lambda arrival: arrival.at_s)


@contextlib.asynccontextmanager
async def open_entry(
    engines: int, storm_factor: float
) -> collections.abc.AsyncIterator[daemon.Entry]:
    """Runs an entry in front of the agents of fake engines."""
    common = process.ProcessSettings(
        "entry-1", "ikeja", LOCAL, LOCAL, (), fake_site.SECRETS
    )
    defaults = {
        option.name: option.default for option in entry_settings.OPTIONS
    }
    changed = {"callers_listen": LOCAL, "storm_factor": storm_factor}
    settings = entry_settings.EntrySettings(common, **(defaults | changed))
    fleet = fake_site.build_fleet(WORKSPACES)
    async with contextlib.AsyncExitStack() as stack:
        opened = await stack.enter_async_context(fake_site.open_site(fleet))
        for number in range(engines):
            await stack.enter_async_context(
                fake_site.open_engine_agent(
                    opened, f"engine-{number}", ENGINE_SETTINGS
                )
            )
        keys = {workspace: workspace for workspace in WORKSPACES}
        parts = daemon.Parts(opened.fleet_holder, opened.peers, keys.get)
        yield await stack.enter_async_context(
            daemon.open_entry(settings, parts)
        )


async def measure(
    arrivals: collections.abc.Sequence[Arrival],
    engines: int,
    storm_factor: float,
) -> Counts:
    """Sends all arrivals on schedule and returns the callers' results."""
    counts = Counts()
    async with (
        open_entry(engines, storm_factor) as entry,
        httpcore.AsyncConnectionPool(max_connections=4096) as http,
        anyio.create_task_group() as group,
    ):
        url = f"http://{entry.callers_address()}/v1/completions"
        started_s = anyio.current_time()
        for arrival in arrivals:
            due_s = started_s + arrival.at_s
            await anyio.sleep_until(due_s)
            group.start_soon(_send_prompt, http, url, arrival, due_s, counts)
    return counts


async def _send_prompt(
    http: httpcore.AsyncConnectionPool,
    url: str,
    arrival: Arrival,
    due_s: float,
    counts: Counts,
) -> None:
    body = (
        f'{{"model": "{fake_site.DEPLOYMENT}", "prompt": "{arrival.prompt}", '
        f'"max_tokens": {OUTPUT_TOKENS}, "stream": true}}'
    ).encode()
    headers = [("Authorization", f"Bearer {arrival.workspace}")]
    latency_s = None
    with anyio.move_on_after(TIMEOUT_S):
        async with http.stream(
            "POST", url, headers=headers, content=body
        ) as answer:
            if answer.status == HTTP_OK:
                async for _ in answer.aiter_stream():
                    latency_s = anyio.current_time() - due_s
                    break
    counts.record(arrival.workspace, latency_s)


def main(  # noqa: PLR0917
    seed: int = 1,
    factor: float = 10.0,
    load: float = 0.7,
    engines: int = 6,
    duration_s: float = 60.0,
    storm_factor: float = 6.0,
    *,
    spread: bool = False,
) -> None:
    """Measures a quiet run and a storm.

    Args:
      seed: Seed of the arrivals.
      factor: Factor by which the storming workspace multiplies its rate.
      load: Prompt tokens of the quiet run as a fraction of capacity.
      engines: Number of fake engines.
      duration_s: Duration of each run in seconds.
      storm_factor: Setting `storm_factor` of the entry.
      spread: Whether prompt lengths are drawn from a distribution.
    """
    capacity = engines / (PROMPT_TOKENS * ENGINE_SETTINGS.prompt_token_s)
    rate = load * capacity / len(WORKSPACES)
    quiet_ms = 0.0
    for name, rate_factor in (("quiet", 1.0), ("storm", factor)):
        arrivals = schedule(seed, rate, duration_s, rate_factor, spread=spread)
        cpu_s = -time.process_time()
        counts = anyio.run(measure, arrivals, engines, storm_factor)
        cpu_s += time.process_time()
        p95_ms = counts.percentile_ms(95)
        quiet_ms = quiet_ms or p95_ms
        print(
            f"{name}: others {counts.answered} answered "
            f"{counts.refused} refused p50 {counts.percentile_ms(50):.0f} "
            f"p95 {p95_ms:.0f} ms ({p95_ms / quiet_ms:.2f}x); storming "
            f"workspace {counts.storm_answered} answered "
            f"{counts.storm_refused} refused; core {cpu_s / duration_s:.0%}",
            flush=True,
        )


if __name__ == "__main__":
    sys.exit(fire.Fire(main))
