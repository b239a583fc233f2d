"""The product's policy and the baselines it is compared with.

A policy chooses the engine of a request and the blocks to import before it
starts, or refuses the request. It also selects the blocks to export.
"""

from __future__ import annotations

import collections
import collections.abc
import functools
import itertools
import typing

import attrs

from benchmarks import engines
from benchmarks import model
from benchmarks import sites
from cactusstile import tokens
from cactusstile.agent import messages
from cactusstile.limits import confinement
from cactusstile.routing import candidates
from cactusstile.routing import choice
from cactusstile.routing import rendezvous
from cactusstile.store import block_store
from cactusstile.store import transfer

if typing.TYPE_CHECKING:
    from cactusstile.limits import token_bucket

Loads: typing.TypeAlias = "dict[str, collections.Counter[str]]"
Route: typing.TypeAlias = (
    "collections.abc.Callable["
    "[model.Simulation, engines.Run], engines.Engine | None]"
)


@attrs.frozen
class Options:
    """Variations of the product's policy.

    Attributes:
      probes: Number of agents to probe.
      load_factor: Bound on an engine's load relative to the average; infinite
        for no bound.
      reserve: Whether the chosen engine reserves capacity for the run.
      stores: Whether blocks are stored.
      fetch_always: Whether to fetch and export regardless of link use.
      near_store: Whether a candidate in the store's data centre is probed.
      link_aware: Whether the choice includes the cost of link use.
      confine: Whether a storming workspace is confined to some engines.
      lagging: Whether probe replies are based on the last load report.
    """

    probes: int = candidates.MAX_CANDIDATES
    load_factor: float = candidates.LOAD_FACTOR
    reserve: bool = True
    stores: bool = True
    fetch_always: bool = False
    near_store: bool = True
    confine: bool = True
    lagging: bool = False
    link_aware: bool = True


@attrs.frozen
class Policy:
    """Routing and export decisions.

    Attributes:
      name: Name in the report.
      route: Returns the engine and sets the run's blocks to import; sets the
        run's refusal and returns None if the run is refused.
      export: Decides on exports; None exports nothing.
      value: Eviction value of stored blocks; None for the product's.
    """

    name: str
    route: Route
    export: model.ExportRule | None = None
    value: block_store.Value | None = None


def round_robin() -> Policy:
    """Returns a policy that selects engines in turn."""
    numbers = itertools.count()

    def route(simulation: model.Simulation, run: engines.Run) -> engines.Engine:  # noqa: ARG001
        engines = list(simulation.engines.values())
        return engines[next(numbers) % len(engines)]

    return Policy("round_robin", route)


def least_loaded() -> Policy:
    """Returns a policy that selects by lagging load reports of the engines."""

    def route(simulation: model.Simulation, run: engines.Run) -> engines.Engine:  # noqa: ARG001
        engines = simulation.engines.values()
        return min(engines, key=lambda engine: engine.reported_tokens)

    return Policy("least_loaded", route)


def least_recently_used(record: block_store.Record, now_s: float) -> float:
    """Returns an eviction value that depends only on the last visit."""
    return record.visited_s - now_s


def product(
    name: str = "cactusstile", options: Options | None = None
) -> Policy:
    """Returns the product's policy or a variation of it."""
    resolved_options = options or Options()
    loads: Loads = collections.defaultdict(collections.Counter)
    route = functools.partial(_route, resolved_options, loads)
    if not resolved_options.stores:
        return Policy(name, route)
    rule = (
        _export_always
        if resolved_options.fetch_always
        else _export_if_worthwhile
    )
    return Policy(name, route, rule)


def _route(
    options: Options,
    loads: Loads,
    simulation: model.Simulation,
    run: engines.Run,
) -> engines.Engine | None:
    request = run.request
    store = simulation.store_of(request) if options.stores else None
    stored_blocks = len(store.leading(request)) if store else 0
    probed = _probe(options, loads, simulation, run, store)
    import_time = functools.partial(_import_ms, options, simulation, store)
    decision = choice.choose(
        probed,
        choice.Request(request.prompt_tokens, time_left_ms=60_000),
        simulation.site.weights,
        import_time,
        functools.partial(_link_ms, options, simulation, store),
        stored_blocks=stored_blocks,
    )
    if not decision.options:
        run.refusal = decision.refusal
        return None
    best = decision.options[0]
    engine = simulation.engines[best.member.name]
    run.fetch_blocks = stored_blocks if best.import_blocks else 0
    _reserve_capacity(options, loads, simulation, engine, run)
    return engine


def _probe(
    options: Options,
    loads: Loads,
    simulation: model.Simulation,
    run: engines.Run,
    store: model.Store | None,
) -> list[choice.Candidate]:
    near = store.member.data_centre if store and options.near_store else ""
    ranked_engines = _rank_engines(options, simulation, run)
    selected = candidates.select(
        ranked_engines,
        loads[run.request.workspace],
        count=options.probes,
        load_factor=options.load_factor,
        near=near,
    )
    probed = []
    for member in selected:
        engine = simulation.engines[member.name]
        reply = _reply(options, engine, run)
        probed.append(choice.Candidate(member, reply))
    waits_ms = [entry.reply.wait_ms for entry in probed if entry.reply]
    simulation.confining.observe_waits(sites.DEPLOYMENT, waits_ms)
    return probed


def _rank_engines(
    options: Options, simulation: model.Simulation, run: engines.Run
) -> list[rendezvous.Member]:
    request = run.request
    confining = simulation.confining
    confining.use.record(request.workspace, request.prompt_tokens)
    confined = confining.is_confined(request.workspace, sites.DEPLOYMENT)
    if not options.confine or not confined:
        return simulation.table.first(
            request.prefix_key, len(simulation.engines)
        )
    count = confinement.confined_count(len(simulation.engines))
    allowed = simulation.table.first(request.workspace.encode(), count)
    return rendezvous.rank(request.prefix_key, allowed)


def _reply(
    options: Options, engine: engines.Engine, run: engines.Run
) -> messages.ProbeReply:
    request = run.request
    prompt = request.keys[: request.prompt_blocks]
    resident = engine.resident(prompt)
    speed = engine.speed.prefill_tokens_per_s
    missing = request.prompt_tokens - resident * tokens.BLOCK_TOKENS
    wait_ms = engine.wait_ms(request.workspace)
    if options.lagging:
        wait_ms = engine.reported_tokens / speed * 1000
    return messages.ProbeReply(
        revision=1,
        version="v1",
        resident_blocks=resident,
        queued_tokens=engine.queue.tokens,
        running=engine.running,
        slots=engine.speed.slots,
        wait_ms=round(wait_ms),
        prefill_ms=round(missing / speed * 1000),
    )


def _import_ms(
    options: Options,
    simulation: model.Simulation,
    store: model.Store | None,
    member: rendezvous.Member,
    count: int,
) -> float:
    if store is None:
        return float("inf")
    if options.fetch_always:
        return 0.0
    link = simulation.link(member, store.member)
    return transfer.transfer_ms(count * sites.BLOCK_BYTES, link)


def _link_ms(
    options: Options,
    simulation: model.Simulation,
    store: model.Store | None,
    member: rendezvous.Member,
    count: int,
) -> float:
    if store is None or options.fetch_always or not options.link_aware:
        return 0.0
    link = simulation.link(member, store.member)
    return transfer.link_cost_ms(count * sites.BLOCK_BYTES, link)


def _reserve_capacity(
    options: Options,
    loads: Loads,
    simulation: model.Simulation,
    engine: engines.Engine,
    run: engines.Run,
) -> None:
    """Counts the run until it starts, and reserves capacity for it."""
    workspace_loads = loads[run.request.workspace]
    workspace_loads[engine.member.name] += 1
    work_tokens = run.request.prompt_tokens if options.reserve else 0
    resident = engine.resident(run.request.keys[: run.request.prompt_blocks])
    available_tokens = max(resident, run.fetch_blocks) * tokens.BLOCK_TOKENS
    work_tokens = max(0, work_tokens - available_tokens)
    engine.reserved_tokens += work_tokens

    def release() -> None:
        engine.reserved_tokens -= work_tokens

    def decrement_load() -> None:
        workspace_loads[engine.member.name] -= 1

    simulation.timeline.after(simulation.site.round_trip_s, release)
    wait_s = engine.wait_ms(run.request.workspace) / 1000
    simulation.timeline.after(
        wait_s + work_tokens / engine.speed.prefill_tokens_per_s, decrement_load
    )


def _export_always(
    engine: engines.Engine,  # noqa: ARG001
    run: engines.Run,  # noqa: ARG001
    count: int,
    link: token_bucket.TokenBucket | None,
) -> bool | None:
    if link is not None:
        link.try_take(count * sites.BLOCK_BYTES, float("inf"))
    return True


def _export_if_worthwhile(
    engine: engines.Engine,
    run: engines.Run,
    count: int,
    link: token_bucket.TokenBucket | None,
) -> bool | None:
    size = count * sites.BLOCK_BYTES
    block_ms = tokens.BLOCK_TOKENS / engine.speed.prefill_tokens_per_s * 1000
    need = transfer.FetchCandidate(count, size, count * block_ms)
    returns = engine.visits.returns
    chance = returns.return_probability(run.request.workspace)
    weights = choice.Weights()
    if not transfer.is_export_worthwhile(need, chance, weights, link):
        return False
    if link is not None and not link.try_take_background(size):
        return None
    return True
