"""Load tool: compares policies in the simulation by site, seed and fault.

python -m benchmarks.load --site ledgerfield --seed 1 --json_file out.json
"""

from __future__ import annotations

import collections
import collections.abc
import functools
import json
import pathlib
import sys

import attrs
import fire
from hdrh import histogram

from benchmarks import baselines
from benchmarks import engines
from benchmarks import fault_cases
from benchmarks import model
from benchmarks import sites
from benchmarks import traces

MAX_LATENCY_US = 600_000_000
SIGNIFICANT_DIGITS = 3
WARM_UP_FRACTION = 0.25
REPORT_LAG_S = 0.2


@attrs.frozen
class Result:
    """Results of one policy.

    Attributes:
      policy: Name of the policy.
      requests: Number of requests after the warm-up.
      p50_ms: Median time to first token from the scheduled arrival.
      p95_ms: 95th percentile of the time to first token.
      p99_ms: 99th percentile of the time to first token.
      others_p95_ms: 95th percentile for workspaces without a storm.
      computed_share: Fraction of prompt tokens that engines computed.
      link_gb: Gigabytes transferred over limited links.
      local_gb: Gigabytes transferred inside data centres.
      utilization: Fraction of time that engines computed prompts.
      wrong: Number of answers that differ from the oracle's.
      refusals: Number of refusals by verdict and reason.
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
    wrong: int
    refusals: dict[str, int]


def run_policy(
    site: sites.Site,
    trace: list[traces.Request],
    policy: baselines.Policy,
    duration_s: float,
    *,
    fault: fault_cases.Fault | None = None,
    steady_workspaces: collections.abc.Container[str] | None = None,
) -> Result:
    """Runs a trace under a policy and returns the results.

    Args:
      site: The site.
      trace: Requests in order of time.
      policy: The policy; not used for another run before.
      duration_s: Duration of the trace in virtual seconds.
      fault: Called before the run to schedule a fault; None for none.
      steady_workspaces: Workspaces counted in `others_p95_ms`; None for all.
    """
    simulation = model.Simulation(site, policy.value)
    runs = [engines.Run(request) for request in trace]
    _schedule(simulation, policy, runs)
    if fault is not None:
        fault(simulation)
    warm_up_s = WARM_UP_FRACTION * duration_s
    simulation.timeline.run(warm_up_s)
    before = _read_counters(simulation)
    simulation.timeline.run(duration_s)
    after = _read_counters(simulation)
    simulation.timeline.run(duration_s + 2 * engines.QUEUE_TIMEOUT_S)
    measured = [run for run in runs if run.request.at_s >= warm_up_s]
    engine_s = (duration_s - warm_up_s) * len(simulation.engines)
    return _summarize(
        policy.name,
        measured,
        steady_workspaces,
        link_gb=(after.link_bytes - before.link_bytes) / 1e9,
        local_gb=(after.local_bytes - before.local_bytes) / 1e9,
        utilization=(after.busy_s - before.busy_s) / engine_s,
    )


@attrs.frozen
class _Counters:
    """Counters of the simulated site at one time."""

    link_bytes: int
    local_bytes: int
    busy_s: float


def _read_counters(simulation: model.Simulation) -> _Counters:
    return _Counters(
        simulation.fetched_bytes + simulation.exported_bytes,
        simulation.local_bytes,
        sum(engine.busy_s for engine in simulation.engines.values()),
    )


def _schedule(
    simulation: model.Simulation,
    policy: baselines.Policy,
    runs: list[engines.Run],
) -> None:
    for run in runs:
        arrive = functools.partial(_arrive, simulation, policy, run)
        simulation.timeline.after(run.request.at_s, arrive)
    _start_reports(simulation)
    if policy.export is not None:
        _start_exports(simulation, policy.export)


def _arrive(
    simulation: model.Simulation, policy: baselines.Policy, run: engines.Run
) -> None:
    engine = policy.route(simulation, run)
    if engine is None:
        return
    request = run.request
    engine.visits.visit(
        request.workspace, request.prefix_key, simulation.timeline.now_s
    )

    def admit() -> None:
        delay_s = simulation.fetch(engine, run) if run.fetch_blocks else 0.0
        simulation.timeline.after(delay_s, lambda: engine.submit(run))

    simulation.timeline.after(simulation.site.round_trip_s * 1.5, admit)


def _start_reports(simulation: model.Simulation) -> None:
    """Publishes each engine's load periodically, after a lag."""

    def publish(engine: engines.Engine, value: float) -> None:
        engine.reported_tokens = value

    def report() -> None:
        for engine in simulation.engines.values():
            action = functools.partial(publish, engine, engine.queued_tokens())
            simulation.timeline.after(REPORT_LAG_S, action)
        simulation.timeline.after(model.REPORT_INTERVAL_S, report)

    report()


def _start_exports(
    simulation: model.Simulation, rule: model.ExportRule
) -> None:
    def export() -> None:
        for engine in simulation.engines.values():
            for _ in range(len(engine.pending_exports)):
                run = engine.pending_exports.popleft()
                if not simulation.export(engine, run, rule):
                    engine.pending_exports.append(run)
        simulation.timeline.after(model.EXPORT_INTERVAL_S, export)

    export()


def _summarize(
    name: str,
    runs: list[engines.Run],
    steady: collections.abc.Container[str] | None,
    *,
    link_gb: float,
    local_gb: float,
    utilization: float,
) -> Result:
    latencies = histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    others = histogram.HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    refusals: collections.Counter[str] = collections.Counter()
    computed = total = 0
    for run in runs:
        if run.refusal is not None or run.first_token_s is None:
            refusals[_name_failure(run)] += 1
            continue
        latency_us = round(run.first_token_s * 1e6)
        latencies.record_value(latency_us)
        if steady is None or run.request.workspace in steady:
            others.record_value(latency_us)
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
        wrong=sum(run.is_wrong for run in runs),
        refusals=dict(refusals),
    )


def _name_failure(run: engines.Run) -> str:
    if run.refusal is None:
        return "unfinished"
    return f"{run.refusal.verdict.value}/{run.refusal.reason.value}"


def _percentile_ms(values: histogram.HdrHistogram, percent: float) -> float:
    latency_us = float(values.get_value_at_percentile(percent))
    return round(latency_us / 1000, 1)


def print_table(results: list[Result]) -> None:
    """Prints results as a table."""
    print(
        f"{'policy':24}{'n':>7}{'p50 ms':>9}{'p95 ms':>9}{'p99 ms':>9}"
        f"{'others':>9}{'computed':>9}{'link GB':>9}{'local':>8}{'util':>6}"
        f"{'wrong':>6}  refusals"
    )
    for row in results:
        print(
            f"{row.policy:24}{row.requests:7}{row.p50_ms:9}{row.p95_ms:9}"
            f"{row.p99_ms:9}{row.others_p95_ms:9}{row.computed_share:9}"
            f"{row.link_gb:9}{row.local_gb:8}{row.utilization:6.2f}"
            f"{row.wrong:6}  {row.refusals or ''}"
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
      load: Offered prompt tokens as a fraction of capacity without a cache.
      duration_s: Duration of the trace in virtual seconds.
      json_file: File to write the results to.
      faults: Whether to run the product under faults instead of baselines.
      only: Fault to run in addition to the quiet run; all by default.
    """
    chosen_site = sites.SITES[site]
    trace = traces.generate(chosen_site, seed, duration_s, load)
    missed = traces.unlimited_cache_share(trace, WARM_UP_FRACTION * duration_s)
    print(f"{site}, seed {seed}, load {load}, {duration_s:.0f} s of arrivals")
    if faults:
        results = run_faults(chosen_site, seed, duration_s, load, only)
    else:
        results = run_baselines(chosen_site, trace, duration_s)
    print_table(results)
    print(f"unlimited cache computes a share of {missed:.4f}")
    report = {
        "site": site,
        "seed": seed,
        "load": load,
        "duration_s": duration_s,
        "unlimited_cache_share": missed,
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
    """Runs the product without a fault, then under each fault or `only`.

    The storm multiplies the traffic of a large workspace by ten. The storm and
    the faults start after the warm-up.
    """
    start_s = WARM_UP_FRACTION * duration_s
    quiet_trace = traces.generate(site, seed, duration_s, load)
    storm = traces.Storm("w0", 10.0, start_s, duration_s)
    storm_trace = traces.generate(site, seed, duration_s, load, storm)
    steady_workspaces = [f"w{index}" for index in range(1, traces.WORKSPACES)]
    cases: list[tuple[str, list[traces.Request], fault_cases.Fault | None]] = [
        ("quiet", quiet_trace, None),
        ("storm", storm_trace, None),
    ]
    for name, fault in fault_cases.build(site, start_s, duration_s).items():
        cases.append((name, quiet_trace, fault))
    return [
        run_policy(
            site,
            trace,
            baselines.product(name),
            duration_s,
            fault=fault,
            steady_workspaces=steady_workspaces,
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
