"""Load tool: weighs the decisions in the model, by site, seed and fault.

python -m benchmarks.load --site ledgerfield --seed 1 --json out.json
"""

from __future__ import annotations

import collections
import collections.abc
import functools
import json
import pathlib
import sys
import typing

import attrs
import fire
from hdrh import histogram

from benchmarks import baselines
from benchmarks import model
from benchmarks import sites
from benchmarks import traces

MAX_LATENCY_US = 600_000_000
DIGITS = 3
WARM_UP_SHARE = 0.25
REPORT_LAG_S = 0.2

Fault: typing.TypeAlias = "collections.abc.Callable[[model.World], None]"


@attrs.frozen
class Result:
    """Figures of one run of the load tool.

    Attributes:
      policy: Name of the policy.
      requests: Requests after the warm-up.
      p50_ms: Median time to first token from the scheduled arrival.
      p95_ms: 95th percentile.
      p99_ms: 99th percentile.
      others_p95_ms: 95th percentile of workspaces that do not storm.
      computed_share: Share of prompt tokens that was computed.
      link_gb: Gigabytes over limited links.
      local_gb: Gigabytes between engines and stores of one data centre.
      utilization: Share of the engines' time spent on prompts.
      refusals: Refusals by verdict and reason.
    """

    policy: str
    requests: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    others_p95_ms: float
    computed_share: float
    link_gb: float
    local_gb: float
    utilization: float
    refusals: dict[str, int]


def run_policy(
    site: sites.Site,
    trace: list[traces.Request],
    policy: baselines.Policy,
    duration_s: float,
    *,
    fault: Fault | None = None,
    calm_workspaces: collections.abc.Container[str] | None = None,
) -> Result:
    """Runs a trace under a policy and returns its figures.

    Args:
      site: The site.
      trace: Arrivals.
      policy: The policy, freshly made.
      duration_s: Length of the trace.
      fault: Called at the start to schedule faults.
      calm_workspaces: Workspaces counted as others; all by default.
    """
    world = model.World(site, policy.value)
    runs = [model.Run(request) for request in trace]
    _schedule(world, policy, runs)
    if fault is not None:
        fault(world)
    warm_s = WARM_UP_SHARE * duration_s
    world.timeline.run(warm_s)
    before = _measure(world)
    world.timeline.run(duration_s)
    after = _measure(world)
    world.timeline.run(duration_s + 2 * model.GIVE_UP_S)
    measured = [run for run in runs if run.request.at_s >= warm_s]
    engine_s = (duration_s - warm_s) * len(world.engines)
    return _summarize(
        policy.name,
        measured,
        calm_workspaces,
        link_gb=(after.link_bytes - before.link_bytes) / 1e9,
        local_gb=(after.local_bytes - before.local_bytes) / 1e9,
        utilization=(after.busy_s - before.busy_s) / engine_s,
    )


@attrs.frozen
class _Reading:
    """Counters of a world at one time."""

    link_bytes: int
    local_bytes: int
    busy_s: float


def _measure(world: model.World) -> _Reading:
    return _Reading(
        world.fetched_bytes + world.exported_bytes,
        world.local_bytes,
        sum(engine.busy_s for engine in world.engines.values()),
    )


def _schedule(
    world: model.World, policy: baselines.Policy, runs: list[model.Run]
) -> None:
    for run in runs:
        arrive = functools.partial(_arrive, world, policy, run)
        world.timeline.after(run.request.at_s, arrive)
    _start_reports(world)
    if policy.export is not None:
        _start_exports(world, policy.export)


def _arrive(
    world: model.World, policy: baselines.Policy, run: model.Run
) -> None:
    engine = policy.route(world, run)
    if engine is None:
        return
    request = run.request
    engine.visits.visit(
        request.workspace, request.prefix_key, world.timeline.now_s
    )

    def admit() -> None:
        delay_s = world.fetch(engine, run) if run.fetch_blocks else 0.0
        world.timeline.after(delay_s, lambda: engine.submit(run))

    world.timeline.after(world.site.round_trip_s * 1.5, admit)


def _start_reports(world: model.World) -> None:
    """Publishes each engine's load at intervals, after a lag."""

    def publish(engine: model.Engine, value: float) -> None:
        engine.reported_tokens = value

    def report() -> None:
        for engine in world.engines.values():
            action = functools.partial(publish, engine, engine.queued_tokens())
            world.timeline.after(REPORT_LAG_S, action)
        world.timeline.after(model.REPORT_INTERVAL_S, report)

    report()


def _start_exports(world: model.World, rule: model.ExportRule) -> None:
    def export() -> None:
        for engine in world.engines.values():
            for _ in range(len(engine.exports)):
                run = engine.exports.popleft()
                if not world.export(engine, run, rule):
                    engine.exports.append(run)
        world.timeline.after(model.EXPORT_INTERVAL_S, export)

    export()


def _summarize(
    name: str,
    runs: list[model.Run],
    calm: collections.abc.Container[str] | None,
    *,
    link_gb: float,
    local_gb: float,
    utilization: float,
) -> Result:
    latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, DIGITS)
    others = histogram.HdrHistogram(1, MAX_LATENCY_US, DIGITS)
    refusals: collections.Counter[str] = collections.Counter()
    computed = total = 0
    for run in runs:
        if run.refusal is not None or run.first_token_s is None:
            refusals[_name_failure(run)] += 1
            continue
        micros = round(run.first_token_s * 1e6)
        latencies.record_value(micros)
        if calm is None or run.request.workspace in calm:
            others.record_value(micros)
        computed += run.computed_blocks
        total += run.request.prompt_blocks

    return Result(
        policy=name,
        requests=len(runs),
        p50_ms=_percentile_ms(latencies, 50),
        p95_ms=_percentile_ms(latencies, 95),
        p99_ms=_percentile_ms(latencies, 99),
        others_p95_ms=_percentile_ms(others, 95),
        computed_share=round(computed / max(1, total), 4),
        link_gb=round(link_gb, 1),
        local_gb=round(local_gb, 1),
        utilization=round(utilization, 3),
        refusals=dict(refusals),
    )


def _name_failure(run: model.Run) -> str:
    if run.refusal is None:
        return "unfinished"
    return f"{run.refusal.verdict.value}/{run.refusal.reason.value}"


def _percentile_ms(values: histogram.HdrHistogram, percent: float) -> float:
    micros = float(values.get_value_at_percentile(percent))
    return round(micros / 1000, 1)


def kill_store(name: str, at_s: float, end_s: float) -> Fault:
    """Returns a fault in which a store loses everything for a while."""

    def apply(world: model.World) -> None:
        def revive() -> None:
            world.stores[name].alive = True

        world.timeline.after(at_s, functools.partial(world.lose_store, name))
        world.timeline.after(end_s, revive)

    return apply


def slow_links(factor: float, at_s: float) -> Fault:
    """Returns a fault in which all links lose bandwidth."""

    def apply(world: model.World) -> None:
        def slow() -> None:
            for link in world.links.values():
                link.bytes_per_s *= factor

        world.timeline.after(at_s, slow)

    return apply


def print_table(results: list[Result]) -> None:
    """Prints results as a table."""
    print(
        f"{'policy':24}{'n':>7}{'p50 ms':>9}{'p95 ms':>9}{'p99 ms':>9}"
        f"{'others':>9}{'computed':>9}{'link GB':>9}{'local':>8}{'util':>6}"
        "  refusals"
    )
    for row in results:
        print(
            f"{row.policy:24}{row.requests:7}{row.p50_ms:9}{row.p95_ms:9}"
            f"{row.p99_ms:9}{row.others_p95_ms:9}{row.computed_share:9}"
            f"{row.link_gb:9}{row.local_gb:8}{row.utilization:6.2f}"
            f"  {row.refusals or ''}"
        )


def main(
    site: str = "ledgerfield",
    seed: int = 1,
    load: float = 0.7,
    duration_s: float = 1200.0,
    *,
    json_file: str = "",
    faults: bool = False,
    only: str = "",
) -> None:
    """Runs the product's policy and its baselines on one trace.

    Args:
      site: ledgerfield or teras.
      seed: Seed of the trace.
      load: Offered prompt work, computed whole, as a share of capacity.
      duration_s: Length of the trace in virtual seconds.
      json_file: File to write the figures to.
      faults: Whether to run the product under faults in place of baselines.
      only: Fault to run beside the quiet run; all by default.
    """
    chosen = sites.SITES[site]
    trace = traces.generate(chosen, seed, duration_s, load)
    floor = traces.unlimited_cache_share(trace, WARM_UP_SHARE * duration_s)
    print(f"{site}, seed {seed}, load {load}, {duration_s:.0f} s of arrivals")
    if faults:
        results = run_faults(chosen, seed, duration_s, load, only)
    else:
        results = run_baselines(chosen, trace, duration_s)
    print_table(results)
    print(f"unlimited cache computes a share of {floor:.4f}")
    report = {
        "site": site,
        "seed": seed,
        "load": load,
        "duration_s": duration_s,
        "unlimited_cache_share": floor,
    }
    if json_file:
        _write_report(pathlib.Path(json_file), report, results)


def _write_report(
    path: pathlib.Path, report: dict[str, object], results: list[Result]
) -> None:
    rows = [attrs.asdict(result) for result in results]
    text = json.dumps({**report, "results": rows}, indent=2)
    path.write_text(text + "\n")


def run_baselines(
    site: sites.Site, trace: list[traces.Request], duration_s: float
) -> list[Result]:
    """Runs the product and all baselines on one trace."""
    return [
        run_policy(site, trace, policy, duration_s)
        for policy in make_policies()
    ]


def run_faults(
    site: sites.Site,
    seed: int,
    duration_s: float,
    load: float,
    only: str = "",
) -> list[Result]:
    """Runs the product quietly, then under each fault or the one named.

    The storm is ten times the traffic of a large workspace; it and the faults
    begin with the measured time and last to its end.
    """
    start_s = WARM_UP_SHARE * duration_s
    quiet = traces.generate(site, seed, duration_s, load)
    blast = traces.Storm("w0", 10.0, start_s, duration_s)
    stormy = traces.generate(site, seed, duration_s, load, blast)
    calm = [f"w{index}" for index in range(1, traces.WORKSPACES)]
    first = site.stores[0].name
    cases: list[tuple[str, list[traces.Request], Fault | None]] = [
        ("quiet", quiet, None),
        ("storm", stormy, None),
        ("dead_store", quiet, kill_store(first, start_s, duration_s)),
        ("slow_links", quiet, slow_links(0.1, start_s)),
    ]
    return [
        run_policy(
            site,
            trace,
            baselines.product(name),
            duration_s,
            fault=fault,
            calm_workspaces=calm,
        )
        for name, trace, fault in cases
        if only in ("", name) or name == "quiet"
    ]


def make_policies() -> list[baselines.Policy]:
    """Returns the product's policy and all baselines."""
    options = baselines.Options
    return [
        baselines.product(),
        baselines.round_robin(),
        baselines.least_loaded(),
        baselines.product("no_kept_state", options(stores=False)),
        baselines.product("fetch_always", options(fetch_always=True)),
    ]


if __name__ == "__main__":
    sys.exit(fire.Fire(main))
