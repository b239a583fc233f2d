"""More long prompts than the engines' memory holds, in virtual time."""

from __future__ import annotations

import collections
import collections.abc
import contextlib
import random

import anyio
import anyio.abc
import attrs
import pytest
from tests.gateway import engine_model
from tests.support import virtual_clock

from cactusstile import verdict
from cactusstile.gateway import admission
from cactusstile.gateway import dispatching
from cactusstile.gateway import retries
from cactusstile.gateway import site_view
from cactusstile.gateway import target_view
from cactusstile.gateway.engines import engine_queue
from cactusstile.gateway.engines import return_times
from cactusstile.gateway.peers import load_sharing
from cactusstile.http import messages as http_messages
from cactusstile.http import request_limits
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.transport import address

pytestmark = pytest.mark.anyio
ENGINES = 5
GATEWAYS = 7
MEMORY_TOKENS = 170_000
DAY_S = 20.0
EXCHANGE_S = 0.04
PATIENCE_S = 2.4
WORKSPACES = tuple(f"w-{number}" for number in range(10))
STORMING = "w-0"


@pytest.fixture
def anyio_backend() -> virtual_clock.Backend:
    return virtual_clock.BACKEND


@attrs.frozen
class Kind:
    """A kind of request.

    Attributes:
      priority: Priority of its route; 0 is the most urgent.
      per_s: Mean number of requests per second.
      tokens: Length of the prompt.
      output_tokens: Mean length of the answer.
      objective_s: Objective of the first event.
    """

    priority: int
    per_s: float
    tokens: int
    output_tokens: int
    objective_s: float


KINDS = {
    "brief": Kind(2, 22.0, 11_500, 380, 0.6),
    "note": Kind(1, 32.0, 800, 290, 0.3),
    "tag": Kind(0, 45.0, 2_300, 20, 0.4),
}


@attrs.define
class Results:
    """What callers got.

    Attributes:
      in_time: Answers within the objective, by kind.
      late: Later answers.
      refused: Refused requests.
      refused_by: Refused requests, by workspace.
      left: Callers that gave up without an event.
      retry_after_s: Times after which refused callers may return.
      longest_wait_s: Longest time from an arrival to a refusal.
      preempted: Runs that engines preempted.
    """

    in_time: collections.Counter[str] = attrs.field(factory=collections.Counter)
    late: collections.Counter[str] = attrs.field(factory=collections.Counter)
    refused: collections.Counter[str] = attrs.field(factory=collections.Counter)
    refused_by: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    left: collections.Counter[str] = attrs.field(factory=collections.Counter)
    retry_after_s: list[float] = attrs.field(factory=list)
    longest_wait_s: float = 0.0
    preempted: int = 0

    def asked(self, kind: str) -> int:
        return (
            self.in_time[kind]
            + self.late[kind]
            + self.refused[kind]
            + self.left[kind]
        )


@attrs.define
class Gateway:
    """The decisions of one gateway, without its connections."""

    site: site_view.SiteView
    dispatcher: dispatching.Dispatcher
    queue: engine_queue.EngineQueue
    sharing: load_sharing.LoadSharing


def _route(name: str) -> model.Route:
    kind = KINDS[name]
    return model.Route(
        name=name,
        host="h",
        prefix=f"/{name}/",
        kind=model.Kind.STREAM,
        shares=(model.Share("pool", 1.0),),
        timeout_s=15.0,
        objective_s=kind.objective_s,
        priority=kind.priority,
    )


def _configuration() -> model.SiteConfiguration:
    engine = model.Engine(64, MEMORY_TOKENS)
    return model.SiteConfiguration(
        1,
        tuple(map(_route, KINDS)),
        {"pool": model.Service("pool", 0, engine)},
        tuple(model.Workspace(name, (f"key-{name}",)) for name in WORKSPACES),
        request_limits.CallerLimits(),
    )


def _open_gateways() -> list[Gateway]:
    members = tuple(
        messages.GatewayMember(f"127.0.0.1:{number}", "d", 100.0)
        for number in range(1, GATEWAYS + 1)
    )
    gateways = []
    for member in members:
        site = site_view.SiteView(gateways=members)
        site.replace_configuration(_configuration())
        listed = tuple(
            model.Target(
                f"e-{number}",
                "pool",
                address.Address("127.0.0.1", 1000 + number),
                "d",
                64,
                weights=(model.Weights("m", 1),),
            )
            for number in range(ENGINES)
        )
        site.replace_targets(listed, 0.0)
        dispatcher = dispatching.Dispatcher(site, 10.0)
        queue = engine_queue.EngineQueue(dispatcher)
        sharing = load_sharing.LoadSharing(site, member)
        gateways.append(Gateway(site, dispatcher, queue, sharing))
    return gateways


async def _exchange(gateways: list[Gateway]) -> None:
    by_address = {gateway.sharing.own.address: gateway for gateway in gateways}
    while True:
        for gateway in gateways:
            for out in gateway.sharing.collect(anyio.current_time()):
                for receiver in out.receivers:
                    by_address[receiver].sharing.receive(
                        out.message, anyio.current_time()
                    )
        await anyio.sleep(EXCHANGE_S)


def _admit(
    gateway: Gateway, name: str, number: int, workspace: str
) -> admission.AdmittedRequest:
    kind = KINDS[name]
    request = http_messages.Request(
        b"POST",
        b"/%s/x" % name.encode(),
        (
            (b"host", b"h"),
            (b"x-cactusstile-attempt-id", b"%d" % number),
            (b"x-cactusstile-key", b"key-%s" % workspace.encode()),
            (b"x-cactusstile-model", b"m"),
            (
                b"x-cactusstile-token-usage",
                b"%d,%d" % (kind.tokens, 3 * kind.output_tokens),
            ),
            (
                b"x-cactusstile-prompt-prefix",
                b"own-%d:%d" % (number, kind.tokens),
            ),
            (b"x-cactusstile-deadline-ms", b"15000"),
        ),
        b"",
        received_s=anyio.current_time(),
    )
    assert gateway.site.table is not None
    return admission.admit(gateway.site.table, request)


async def _choose(
    gateway: Gateway, admitted: admission.AdmittedRequest, *, waits: bool
) -> target_view.TargetView:
    attempts = retries.Attempts(admitted.route)
    if waits:
        view = await gateway.queue.choose_target(admitted, "pool", attempts)
    else:
        view = gateway.dispatcher.choose_target(admitted, "pool", attempts)
    assert view is not None
    return view


@contextlib.contextmanager
def _count_work(
    gateway: Gateway, view: target_view.TargetView, kind: Kind
) -> collections.abc.Iterator[None]:
    needed = kind.tokens + kind.output_tokens
    view.inflight += 1
    view.tokens += needed
    try:
        yield
    finally:
        view.inflight -= 1
        view.tokens -= needed
        gateway.queue.times.record_end(needed, anyio.current_time())


async def _call(
    gateway: Gateway,
    engines: dict[str, engine_model.Engine],
    admitted: admission.AdmittedRequest,
    results: Results,
    *,
    waits: bool,
) -> None:
    """Makes one request and records what its caller got."""
    name = admitted.route.name
    kind = KINDS[name]
    started_s = admitted.request.received_s
    try:
        view = await _choose(gateway, admitted, waits=waits)
    except verdict.RefusedError as error:
        results.refused[name] += 1
        assert admitted.workspace is not None
        results.refused_by[admitted.workspace.name] += 1
        results.retry_after_s.append(error.refusal.retry_after_s)
        waited_s = anyio.current_time() - started_s
        results.longest_wait_s = max(results.longest_wait_s, waited_s)
        return
    engine = engines[view.target.id]
    run = engine.submit(
        admitted.engine_priority, kind.tokens, kind.output_tokens
    )
    with _count_work(gateway, view, kind):
        view.unread_tokens += kind.tokens
        with anyio.move_on_after(PATIENCE_S):
            await run.first_event.wait()
        view.unread_tokens -= kind.tokens
        if not run.first_event.is_set():
            engine.cancel(run)
            results.left[name] += 1
            return
        took_s = anyio.current_time() - started_s
        is_in_time = took_s <= kind.objective_s
        (results.in_time if is_in_time else results.late)[name] += 1
        await run.ended.wait()


async def _arrive(
    group: anyio.abc.TaskGroup,
    gateways: list[Gateway],
    engines: dict[str, engine_model.Engine],
    results: Results,
    *,
    waits: bool,
    storm_share: float,
    seed: int,
) -> None:
    """Starts the calls of a day at random times."""
    rng = random.Random(seed)
    workspace_rng = random.Random(seed)
    names = list(KINDS)
    rates = [kind.per_s for kind in KINDS.values()]
    started_s = anyio.current_time()
    number = 0
    while anyio.current_time() < started_s + DAY_S:
        await anyio.sleep(rng.expovariate(sum(rates)))
        number += 1
        name = rng.choices(names, rates)[0]
        gateway = rng.choice(gateways)
        workspace = workspace_rng.choice(WORKSPACES)
        if workspace_rng.random() < storm_share:
            workspace = STORMING
        admitted = _admit(gateway, name, number, workspace)

        async def call(
            gateway: Gateway = gateway,
            admitted: admission.AdmittedRequest = admitted,
        ) -> None:
            await _call(gateway, engines, admitted, results, waits=waits)

        group.start_soon(call)


async def _play(
    *, waits: bool = True, storm_share: float = 0.0, seed: int = 7
) -> Results:
    """Plays a day.

    Args:
      waits: Whether requests may wait; otherwise all are sent at once.
      storm_share: Share of the requests that one workspace sends in addition.
      seed: Seed of the arrivals.
    """
    results = Results()
    gateways = _open_gateways()
    engines = {
        f"e-{number}": engine_model.Engine(MEMORY_TOKENS)
        for number in range(ENGINES)
    }
    async with anyio.create_task_group() as servers:
        for engine in engines.values():
            servers.start_soon(engine.serve)
        servers.start_soon(_exchange, gateways)
        async with anyio.create_task_group() as group:
            await _arrive(
                group,
                gateways,
                engines,
                results,
                waits=waits,
                storm_share=storm_share,
                seed=seed,
            )
        servers.cancel_scope.cancel()
    results.preempted = sum(engine.preempted for engine in engines.values())
    return results


async def test_waiting_for_memory_serves_more_callers_in_time() -> None:
    """Guards against engines that preempt and prefill prompts repeatedly."""
    before = await _play(waits=False)
    after = await _play()
    for name in KINDS:
        assert after.asked(name) == before.asked(name)
        assert after.in_time[name] >= 0.99 * before.in_time[name]
    assert after.in_time["brief"] > 2 * before.in_time["brief"]
    assert after.preempted < before.preempted / 10
    assert not sum(after.left.values())


async def test_callers_without_room_are_refused_early_and_spread() -> None:
    results = await _play()
    assert results.refused["brief"]
    assert not results.refused["tag"]
    brief = KINDS["brief"]
    assert results.longest_wait_s <= brief.objective_s / 2
    assert min(results.retry_after_s) >= return_times.MIN_RETRY_S
    distinct = {round(delay_s, 1) for delay_s in results.retry_after_s}
    assert len(distinct) > 5


async def test_storming_workspace_waits_behind_the_others() -> None:
    """Nine quiet workspaces send as much as the storming one alone."""
    results = await _play(storm_share=0.45)
    storming = results.refused_by[STORMING]
    others = sum(results.refused_by.values()) - storming
    assert storming > 2 * others
