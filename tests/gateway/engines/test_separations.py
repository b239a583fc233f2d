"""Long prompts and streams that compete for engines, in virtual time."""

from __future__ import annotations

import random

import anyio
import anyio.abc
import attrs
import pytest
from tests.gateway import engine_model
from tests.support import virtual_clock

from cactusstile.gateway import exchange
from cactusstile.gateway import target_view
from cactusstile.gateway.engines import placement
from cactusstile.gateway.engines import prompts
from cactusstile.gateway.engines import separations
from cactusstile.routing import separation
from cactusstile.sites import model
from cactusstile.transport import address

pytestmark = pytest.mark.anyio
ENGINES = 14
DAY_S = 20.0
ALLOWED_PAUSE_S = 0.15
LONG = prompts.Prompt("m", 6000, 10, 40)
SHORT = prompts.Prompt("m", 600, 58, 200)
LONG_PER_S = 26.0
SHORT_PER_S = 52.0
ROUTE = model.Route(
    "r", "h", "/", model.Kind.STREAM, (), 15.0, gap_s=ALLOWED_PAUSE_S
)


@pytest.fixture
def anyio_backend() -> virtual_clock.Backend:
    return virtual_clock.BACKEND


@attrs.define
class Play:
    """A gateway in front of engines of a model.

    Attributes:
      engines: The engines, by id.
      views: Views of them.
      separations: The decision.
      begin_s: Loop time at which the day begins.
      paused: Whether each stream of the second half paused for too long.
      first_s: Time to the first event of its long prompts.
    """

    engines: dict[str, engine_model.Engine]
    views: list[target_view.TargetView]
    separations: separations.Separations
    begin_s: float = attrs.field(factory=anyio.current_time)
    paused: list[bool] = attrs.field(factory=list)
    first_s: list[float] = attrs.field(factory=list)

    async def ask(self, prompt: prompts.Prompt, name: str) -> None:
        begun_s = anyio.current_time()
        surcharge = self.separations.surcharge(prompt, self.views, begun_s)
        jitter = placement.request_jitter(name, 1)
        view = placement.choose_engine(
            self.views,
            prompt,
            added_cost=lambda view: jitter(view) + surcharge(view),
            cache_scope="shared",
            affinity_key="",
            stored_tokens=lambda _: 0,
            now_s=begun_s,
        )
        assert view is not None
        work = exchange.Work(prompt.tokens, 0, 0.0, prompt.tokens, begun_s)
        self.separations.record_work(view, prompt, work)
        view.inflight += 1
        view.unread_tokens += prompt.tokens
        view.tokens += prompt.tokens
        engine = self.engines[view.target.id]
        run = engine.submit(0, prompt.tokens, prompt.expected_tokens)
        await run.first_event.wait()
        view.unread_tokens -= prompt.tokens
        first_s = anyio.current_time() - begun_s
        await run.ended.wait()
        view.inflight -= 1
        view.tokens -= prompt.tokens
        self.separations.record_pauses(ROUTE, view, run.longest_pause_s)
        if begun_s < self.begin_s + DAY_S / 2:
            return
        if prompt is SHORT:
            self.paused.append(run.longest_pause_s > ALLOWED_PAUSE_S)
        else:
            self.first_s.append(first_s)

    async def arrive(
        self, prompt: prompts.Prompt, per_s: float, group: anyio.abc.TaskGroup
    ) -> None:
        draw = random.Random(per_s)
        number = 0
        while anyio.current_time() < self.begin_s + DAY_S:
            await anyio.sleep(draw.expovariate(per_s))
            number += 1
            group.start_soon(self.ask, prompt, f"{per_s}-{number}")


async def play() -> Play:
    engines = {}
    views = []
    for number in range(ENGINES):
        name = f"e-{number}"
        engines[name] = engine_model.Engine(47_000)
        where = address.Address("h", number + 1)
        target = model.Target(name, "pool", where, "d", 48)
        cached = prompts.CachedParts(47_000)
        views.append(target_view.TargetView(target, cached))
    played = Play(engines, views, separations.Separations())
    async with anyio.create_task_group() as group:
        for engine in engines.values():
            group.start_soon(engine.serve)
        async with anyio.create_task_group() as asking:
            asking.start_soon(played.arrive, LONG, LONG_PER_S, asking)
            asking.start_soon(played.arrive, SHORT, SHORT_PER_S, asking)
        group.cancel_scope.cancel()
    return played


async def test_streams_pause_beside_long_prompts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(engine_model, "PREFILL_TOKENS_PER_S", 40_800)
    monkeypatch.setattr(engine_model, "STEP_S", 0.005)
    apart = await play()
    monkeypatch.setattr(separation, "MAX_LATE_FRACTION", 2.0)
    mixed = await play()
    paused = sum(apart.paused) / len(apart.paused)
    assert paused <= 0.5 * sum(mixed.paused) / len(mixed.paused)
    # Long prompts have fewer engines, and hold each other up less.
    assert sorted(apart.first_s)[len(apart.first_s) // 2] < 0.635


def make_separation(now_s: float) -> separation.Separation:
    known = separation.Separation()
    known.record_prompt(9000, 6000, 10.0, now_s)
    known.record_prompt(800, 1840, 10.0, now_s)
    for _ in range(20):
        known.record_stream(0.3, 0.25, now_s)
    return known


def test_prompts_are_mixed_although_streams_pause() -> None:
    known = make_separation(5.0)
    engines = [f"e{number}" for number in range(8)]
    long = known.engines_for(9000, engines, 5.0)
    short = known.engines_for(800, engines, 5.0)
    assert (len(long), len(short)) == (6, 2)
    assert long | short == set(engines)
    # The engines that stay keep their part when another one ends.
    gone = sorted(long)[0]
    rest = [name for name in engines if name != gone]
    moved = known.engines_for(9000, rest, 5.0) ^ (long - {gone})
    assert len(moved) <= 1


def test_gateways_cut_engines_by_their_own_few_prompts() -> None:
    """Each sees a handful of prompts; together they see what the mix is."""
    known = make_separation(5.0)
    assert known.long_fraction(5.0) > 0.7
    for _ in range(60):
        known.record_peer_prompt(800, 5.0)
    assert known.long_fraction(5.0) < 0.1


def test_prompts_are_kept_apart_for_ever() -> None:
    known = make_separation(5.0)
    assert known.is_active(5.0 + separation.RELEASE_AFTER_S - 0.1)
    assert not known.is_active(5.0 + separation.RELEASE_AFTER_S)


def test_single_engine_is_kept_from_a_kind_of_prompt() -> None:
    known = make_separation(5.0)
    assert known.engines_for(800, ["e"], 5.0) == {"e"}
    assert known.engines_for(9000, ["a", "b"], 5.0) != known.engines_for(
        800, ["a", "b"], 5.0
    )


def test_route_without_an_objective_for_pauses_is_judged_by_them() -> None:
    known = separation.Separation()
    for _ in range(100):
        known.record_stream(3.0, 0.0, 5.0)
    assert not known.is_active(5.0)
