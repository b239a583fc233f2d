"""Load tool over HTTP: all roles in one process, with fake engines.

    python -m benchmarks.http_load --site teras --json_file out.json

Returning callers send on a fixed schedule (open loop). Latencies are measured
from the scheduled time, and each answer is compared with the oracle's, token by
token. Agents reach the stores of other data centres over links of limited
bandwidth. The product and its baselines serve the same trace one after the
other. All roles share one process, so the lag of its event loop is part of the
report.
"""

from __future__ import annotations

import collections.abc
import json
import pathlib
import secrets
import socket
import sys
import tempfile
import typing

import anyio
import attrs
import fire

from benchmarks import http_callers
from benchmarks import http_policies
from benchmarks import http_trace
from benchmarks import shaped_links
from cactusstile.fakes import engine
from cactusstile.local import site as local_site
from cactusstile.settings import ini
from cactusstile.state import fleet_file
from cactusstile.state import model
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    from cactusstile.entry import routes

# A random loopback address, so that concurrent runs do not share ports.
HOST = ".".join(["127", *(str(secrets.randbelow(253) + 1) for _ in "abc")])
CONTROL_PORTS = 3
START_DELAY_S = 0.5
REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 0.2
LAG_PROBE_INTERVAL_S = 0.02
LINK_FACTOR = 0.02
SLOW_LINK_FACTOR = 0.1
ENGINE = engine.EngineSettings(
    cache_blocks=256,
    block_bytes=4096,
    prompt_token_s=0.001,
    output_token_s=0.005,
)


@attrs.frozen
class Plan:
    """Parameters of a benchmark run.

    Attributes:
      site: ledgerfield or teras.
      seed: Seed of the trace.
      load: Offered prompt tokens as a fraction of the engines' capacity without
        a cache.
      duration_s: Duration of the trace in seconds.
      link_factor: Factor applied to the bandwidth of each declared link.
      fault: Name of a fault injected after half of the duration; empty for
        none.
    """

    site: str = "teras"
    seed: int = 1
    load: float = 0.7
    duration_s: float = 60.0
    link_factor: float = LINK_FACTOR
    fault: str = ""


@attrs.frozen
class Result:
    """Results of one policy.

    Attributes:
      policy: Name of the policy.
      figures: Results measured by the callers.
      link_bytes: Bytes over limited links in both directions.
      loop_lag_p99_ms: 99th percentile of the event loop's lag.
    """

    policy: str
    figures: http_callers.Figures
    link_bytes: int
    loop_lag_p99_ms: float


@attrs.frozen
class Report:
    """Results of all policies on one trace.

    Attributes:
      plan: Parameters of the run.
      visits: Number of requests in the trace.
      unlimited_cache_share: Fraction of prompt tokens that miss an unlimited
        cache shared by all engines.
      results: Results by policy.
    """

    plan: Plan
    visits: int
    unlimited_cache_share: float
    results: list[Result]


@attrs.frozen
class RunningSite:
    """A site under load.

    Attributes:
      site: Processes of the site.
      links: Limited links of the site.
    """

    site: local_site.LocalSite
    links: shaped_links.ShapedLinks


def kill_store(running: RunningSite) -> None:
    """Kills the first store."""
    name = min(running.site.store_scopes, default="")
    if name:
        running.site.store_scopes[name].cancel()


def corrupt_stores(running: RunningSite) -> None:
    """Flips a bit in each byte of the blocks that stores hold in memory."""
    for store in running.site.stores.values():
        for record in store.stored.records.values():
            if record.data is not None:
                record.data = bytes(byte ^ 1 for byte in record.data)


def slow_links(running: RunningSite) -> None:
    """Reduces the bandwidth of all links to a tenth."""
    running.links.slow_down(SLOW_LINK_FACTOR)


FAULTS: dict[str, collections.abc.Callable[[RunningSite], None]] = {
    "kill_store": kill_store,
    "corrupt_stores": corrupt_stores,
    "slow_links": slow_links,
}


async def run_policy(
    plan: Plan,
    fleet: model.Fleet,
    keys: dict[str, str],
    visits: list[http_trace.Visit],
    policy: http_policies.Policy,
) -> Result:
    """Serves a trace under a policy and returns the results.

    Args:
      plan: Parameters of the run.
      fleet: Fleet of the site; see `read_site`.
      keys: API keys of the callers by workspace.
      visits: Requests of the trace.
      policy: The policy.
    """
    prepared = policy.prepare(_assign_agent_ports(fleet))
    links = shaped_links.ShapedLinks(prepared)
    reports: dict[str, int] = {}
    tally = http_callers.Tally()
    loop_lag = http_callers.new_histogram()
    with tempfile.TemporaryDirectory() as folder:
        settings = build_settings(prepared, folder, policy, links, reports)
        async with (
            local_site.open_site(settings) as site,
            anyio.create_task_group() as group,
        ):
            group.start_soon(_report_loads, site, reports)
            group.start_soon(_measure_loop_lag, loop_lag)
            start_s = anyio.current_time() + START_DELAY_S
            group.start_soon(_inject, plan, RunningSite(site, links), start_s)
            bound = site.entry.callers_address()
            await http_callers.send_all(bound, keys, visits, start_s, tally)
            group.cancel_scope.cancel()
    return Result(
        policy.name,
        tally.summarize(),
        links.passed_bytes(),
        http_callers.percentile_ms(loop_lag, 99),
    )


def run_all(plan: Plan, names: str | tuple[str, ...] = "") -> Report:
    """Runs policies one after the other.

    Args:
      plan: Parameters of the run.
      names: Names of policies, separated by commas or as a tuple; all if
        empty.

    Raises:
      ValueError: If the name of a policy or of the fault is unknown.
    """
    requested = names.split(",") if isinstance(names, str) else names
    policies_by_name = {
        policy.name: policy for policy in http_policies.all_policies()
    }
    unknown = {*requested, plan.fault} - {"", *policies_by_name, *FAULTS}
    if unknown:
        raise ValueError(
            f"unknown policy or fault: {unknown}; "
            f"use {[*policies_by_name, *FAULTS]}"
        )
    fleet, keys = read_site(plan)
    visits = generate(plan, fleet)
    unlimited_cache_fraction = http_trace.unlimited_cache_share(visits)
    results = [
        anyio.run(run_policy, plan, fleet, keys, visits, policy)
        for name, policy in policies_by_name.items()
        if not names or name in requested
    ]
    return Report(
        plan, len(visits), round(unlimited_cache_fraction, 4), results
    )


def read_site(plan: Plan) -> tuple[model.Fleet, dict[str, str]]:
    """Returns a site's fleet with scaled links, and the callers' API keys."""
    folder = pathlib.Path(__file__).parent.parent / "examples" / plan.site
    fleet = fleet_file.read(folder / "fleet.ini")
    links = {
        pair: attrs.evolve(
            link, bytes_per_s=link.bytes_per_s * plan.link_factor
        )
        for pair, link in fleet.links.items()
    }
    keys_file = folder / "demo-keys.ini"
    parser = ini.parse_text(keys_file.read_text(), str(keys_file))
    return attrs.evolve(fleet, links=links), dict(parser["keys"])


def generate(plan: Plan, fleet: model.Fleet) -> list[http_trace.Visit]:
    """Returns the trace of a plan."""
    deployment = next(iter(fleet.deployments))
    capacity = len(fleet.targets_of(deployment)) / ENGINE.prompt_token_s
    min_tokens = plan.load * capacity * plan.duration_s
    return http_trace.generate(fleet, plan.seed, plan.duration_s, min_tokens)


async def _inject(plan: Plan, running: RunningSite, start_s: float) -> None:
    """Injects the fault of the plan after half of the duration."""
    await anyio.sleep_until(start_s + plan.duration_s / 2)
    if plan.fault:
        FAULTS[plan.fault](running)


async def _report_loads(
    site: local_site.LocalSite, reports: dict[str, int]
) -> None:
    """Publishes the load of each agent periodically, after a lag."""
    while True:
        loads = {name: agent.node.busy for name, agent in site.agents.items()}
        await anyio.sleep(REPORT_LAG_S)
        reports.update(loads)
        await anyio.sleep(REPORT_INTERVAL_S - REPORT_LAG_S)


async def _measure_loop_lag(loop_lag: http_callers.Histogram) -> None:
    while True:
        due_s = anyio.current_time() + LAG_PROBE_INTERVAL_S
        await anyio.sleep_until(due_s)
        http_callers.record(loop_lag, anyio.current_time() - due_s)


def free_ports(count: int) -> list[int]:
    """Returns currently unused ports of `HOST`."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for opened in sockets:
            opened.bind((HOST, 0))
        return [opened.getsockname()[1] for opened in sockets]
    finally:
        for opened in sockets:
            opened.close()


def _assign_agent_ports(fleet: model.Fleet) -> model.Fleet:
    """Returns the fleet with its agents at unused ports of `HOST`."""
    ports = free_ports(len(fleet.targets))
    targets = {
        name: attrs.evolve(target, agent=address.Address(HOST, port))
        for (name, target), port in zip(
            fleet.targets.items(), ports, strict=True
        )
    }
    return attrs.evolve(fleet, targets=targets)


def build_settings(
    fleet: model.Fleet,
    folder: str,
    policy: http_policies.Policy,
    links: shaped_links.ShapedLinks,
    reports: http_policies.Reports,
) -> local_site.LocalSettings:
    """Returns the settings of a site under a policy."""
    build = policy.build_routes

    def build_routes(find_fleet: local_site.FindFleet) -> routes.Routes:
        assert build is not None
        return build(find_fleet, reports)

    return local_site.LocalSettings(
        fleet,
        pathlib.Path(folder),
        address.Address(HOST, 0),
        address.Address(HOST, 0),
        HOST,
        tuple(free_ports(CONTROL_PORTS)),
        ENGINE,
        links.dial_from,
        build_routes if build is not None else None,
    )


def _print_table(results: list[Result]) -> None:
    print(
        f"{'policy':15}{'answers':>8}{'wrong':>6}{'p50 ms':>9}{'p95 ms':>9}"
        f"{'p99 ms':>9}{'computed':>9}{'link MB':>9}{'lag p99':>8}  refusals"
    )
    for row in results:
        figures = row.figures
        print(
            f"{row.policy:15}{figures.answers:8}{figures.wrong:6}{figures.p50_ms:9}"
            f"{figures.p95_ms:9}{figures.p99_ms:9}{figures.computed_share:9}"
            f"{row.link_bytes / 1e6:9.1f}{row.loop_lag_p99_ms:8}"
            f"  {figures.refusals or ''}"
        )


def main(
    *,
    site: str = "teras",
    seed: int = 1,
    load: float = 0.7,
    duration_s: float = 60.0,
    link_factor: float = LINK_FACTOR,
    fault: str = "",
    policies: str = "",
    json_file: str = "",
) -> int:
    """Runs the product and its baselines on one trace.

    Args:
      site: ledgerfield or teras.
      seed: Seed of the trace.
      load: Offered prompt tokens as a fraction of capacity without a cache.
      duration_s: Duration of the trace in seconds.
      link_factor: Factor applied to the bandwidth of each declared link.
      fault: kill_store, corrupt_stores or slow_links; injected after half of
        the duration.
      policies: Names separated by commas; all by default.
      json_file: File to write the results to.

    Returns:
      1 if an answer was wrong, otherwise 0.
    """
    plan = Plan(site, seed, load, duration_s, link_factor, fault)
    report = run_all(plan, policies)
    print(f"{attrs.asdict(plan)}")
    print(f"{report.visits} visits, {report.unlimited_cache_share} computed")
    print("of their prompt tokens by an unlimited cache")
    _print_table(report.results)
    if json_file:
        text = json.dumps(attrs.asdict(report), indent=1)
        pathlib.Path(json_file).write_text(text + "\n")
    return int(any(result.figures.wrong for result in report.results))


if __name__ == "__main__":
    sys.exit(fire.Fire(main))
