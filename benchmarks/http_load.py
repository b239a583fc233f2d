"""Load tool over HTTP: all real roles in one process, fake engines.

    python -m benchmarks.http_load --site teras --json_file out.json

Returning callers send on a fixed schedule (open loop); latencies count from the
scheduled time, and each answer is compared with the oracle's, token by token.
Agents reach the stores of other data centres over links of limited bandwidth.
The product and its baselines serve the same trace, one after the other. One
process does the work of all: the lag of its loop is printed beside the figures.
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

# An address of this process alone: no other run takes its ports.
HOST = ".".join(["127", *(str(secrets.randbelow(253) + 1) for _ in "abc")])
CONTROL_PORTS = 3
START_DELAY_S = 0.5
REPORT_INTERVAL_S = 1.0
REPORT_LAG_S = 0.2
LAG_PROBE_S = 0.02
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
    """What is run.

    Attributes:
      site: ledgerfield or teras.
      seed: Seed of the trace.
      load: Prompt tokens, computed whole, as a share of what the engines
        compute.
      duration_s: Length of the trace in seconds.
      link_factor: Factor on the bandwidth of each declared link.
      fault: Name of a fault that begins half way; empty for none.
    """

    site: str = "teras"
    seed: int = 1
    load: float = 0.7
    duration_s: float = 60.0
    link_factor: float = LINK_FACTOR
    fault: str = ""


@attrs.frozen
class Result:
    """Figures of one policy.

    Attributes:
      policy: Its name.
      figures: What callers saw.
      link_bytes: Bytes over limited links, both directions.
      loop_lag_p99_ms: Lag of the one loop that does all work.
    """

    policy: str
    figures: http_callers.Figures
    link_bytes: int
    loop_lag_p99_ms: float


@attrs.frozen
class Report:
    """Figures of all policies on one trace.

    Attributes:
      plan: What was run.
      visits: Requests of the trace.
      unlimited_cache_share: Share of prompt tokens that an unlimited cache,
        shared by all engines, would compute.
      results: Figures by policy.
    """

    plan: Plan
    visits: int
    unlimited_cache_share: float
    results: list[Result]


@attrs.frozen
class Running:
    """A site under load.

    Attributes:
      site: Its parts.
      links: Its limited links.
    """

    site: local_site.LocalSite
    links: shaped_links.ShapedLinks


def kill_store(running: Running) -> None:
    """Kills the first store."""
    name = min(running.site.store_scopes, default="")
    if name:
        running.site.store_scopes[name].cancel()


def corrupt_stores(running: Running) -> None:
    """Flips all content that stores hold in memory."""
    for store in running.site.stores.values():
        for record in store.stored.records.values():
            if record.data is not None:
                record.data = bytes(byte ^ 1 for byte in record.data)


def slow_links(running: Running) -> None:
    """Leaves a tenth of the bandwidth of all links."""
    running.links.slow_down(SLOW_LINK_FACTOR)


FAULTS: dict[str, collections.abc.Callable[[Running], None]] = {
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
    """Serves a trace under a policy; returns the figures.

    Args:
      plan: What is run.
      fleet: Fleet of the site; see `read_site`.
      keys: Callers' keys by workspace.
      visits: The trace.
      policy: The policy.
    """
    prepared = policy.prepare(_move_agents(fleet))
    links = shaped_links.ShapedLinks(prepared)
    reports: dict[str, int] = {}
    tally = http_callers.Tally()
    lag = http_callers.new_histogram()
    with tempfile.TemporaryDirectory() as folder:
        settings = build_settings(prepared, folder, policy, links, reports)
        async with (
            local_site.open_site(settings) as site,
            anyio.create_task_group() as group,
        ):
            group.start_soon(_report_loads, site, reports)
            group.start_soon(_measure_lag, lag)
            start_s = anyio.current_time() + START_DELAY_S
            group.start_soon(_break, plan, Running(site, links), start_s)
            bound = site.entry.callers_address()
            await http_callers.send_all(bound, keys, visits, start_s, tally)
            group.cancel_scope.cancel()
    return Result(
        policy.name,
        tally.summarize(),
        links.passed_bytes(),
        http_callers.percentile_ms(lag, 99),
    )


def run_all(plan: Plan, names: str | tuple[str, ...] = "") -> Report:
    """Runs policies one after the other.

    Args:
      plan: What is run.
      names: Names of policies, separated by commas or as a tuple; all if
        empty.

    Raises:
      ValueError: If a name of a policy or fault is unknown.
    """
    wanted = names.split(",") if isinstance(names, str) else names
    known = {policy.name: policy for policy in http_policies.all_policies()}
    unknown = {*wanted, plan.fault} - {"", *known, *FAULTS}
    if unknown:
        raise ValueError(f"unknown: {unknown}; write {[*known, *FAULTS]}")
    fleet, keys = read_site(plan)
    visits = generate(plan, fleet)
    floor = http_trace.unlimited_cache_share(visits)
    results = [
        anyio.run(run_policy, plan, fleet, keys, visits, policy)
        for name, policy in known.items()
        if not names or name in wanted
    ]
    return Report(plan, len(visits), round(floor, 4), results)


def read_site(plan: Plan) -> tuple[model.Fleet, dict[str, str]]:
    """Returns a site's fleet with its links scaled, and the callers' keys."""
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
    wanted = plan.load * capacity * plan.duration_s
    return http_trace.generate(fleet, plan.seed, plan.duration_s, wanted)


async def _break(plan: Plan, running: Running, start_s: float) -> None:
    """Begins the plan's fault half way."""
    await anyio.sleep_until(start_s + plan.duration_s / 2)
    if plan.fault:
        FAULTS[plan.fault](running)


async def _report_loads(
    site: local_site.LocalSite, reports: dict[str, int]
) -> None:
    """Publishes the requests at each agent at intervals, after a lag."""
    while True:
        loads = {name: one.node.busy for name, one in site.agents.items()}
        await anyio.sleep(REPORT_LAG_S)
        reports.update(loads)
        await anyio.sleep(REPORT_INTERVAL_S - REPORT_LAG_S)


async def _measure_lag(lag: http_callers.Histogram) -> None:
    while True:
        due_s = anyio.current_time() + LAG_PROBE_S
        await anyio.sleep_until(due_s)
        http_callers.record(lag, anyio.current_time() - due_s)


def free_ports(count: int) -> list[int]:
    """Returns ports that nobody listens on now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for opened in sockets:
            opened.bind((HOST, 0))
        return [opened.getsockname()[1] for opened in sockets]
    finally:
        for opened in sockets:
            opened.close()


def _move_agents(fleet: model.Fleet) -> model.Fleet:
    """Returns the fleet with its agents at free ports of this machine."""
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
        seen = row.figures
        print(
            f"{row.policy:15}{seen.answers:8}{seen.wrong:6}{seen.p50_ms:9}"
            f"{seen.p95_ms:9}{seen.p99_ms:9}{seen.computed_share:9}"
            f"{row.link_bytes / 1e6:9.1f}{row.loop_lag_p99_ms:8}"
            f"  {seen.refusals or ''}"
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
      load: Prompt tokens, computed whole, as a share of what engines compute.
      duration_s: Length of the trace in seconds.
      link_factor: Factor on the bandwidth of each declared link.
      fault: kill_store, corrupt_stores or slow_links, half way.
      policies: Names separated by commas; all by default.
      json_file: File to write the figures to.

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
