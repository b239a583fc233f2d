"""What all gateways together send to a cold target."""

from __future__ import annotations

import functools
import random

import anyio
import attrs
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.gateway import target_limits
from cactusstile.gateway import target_view
from cactusstile.gateway import warming
from cactusstile.gateway.engines import prompts
from cactusstile.routing import evacuation
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.transport import address

# The users' rule: requests in any second, by the rate that a target bears.
OVERSHOOT = 1.5
SLACK = 5
STEP_S = 0.01
COLD_PER_S = 10.0
COLD_START_S = 3.0
SERVICE = model.Service("s", cold_start_s=COLD_START_S, cold_per_s=COLD_PER_S)


def member(number: int) -> messages.GatewayMember:
    return messages.GatewayMember(f"g{number}", "d", 1.0)


def make_view(**state: object) -> target_view.TargetView:
    """Returns a view of a target that only one gateway sends to."""
    target = model.Target("t", "s", address.Address("h", 1), "north", 8)
    known = target_limits.Gateways("g0", lambda: (member(0),))
    view = target_view.TargetView(
        target,
        prompts.CachedParts(1),
        warming=warming.Warming("t", known),
        **state,  # type: ignore[arg-type]
    )
    view.warming.set_service(SERVICE)
    return view


def send_all(view: target_view.TargetView, begin_s: float, end_s: float) -> int:
    """Sends whatever the view accepts; returns the number of requests."""
    sent = 0
    now_s = begin_s
    while now_s < end_s:
        if view.accepts_requests(now_s):
            view.spend(now_s)
            sent += 1
        now_s += STEP_S
    return sent


@pytest.mark.parametrize("count", [1, 8, 31, 300])
@pytest.mark.parametrize("cold_per_s", [0.5, 10.0, 11.0, 60.0])
def test_gateways_send_more_than_a_cold_target_bears(
    cold_per_s: float, count: int
) -> None:
    """All gateways press; some start again, and lists of them differ."""
    draw = random.Random(count)
    everyone = tuple(member(number) for number in range(count))
    lists = [everyone] * count
    gateways = []
    for number in range(count):
        list_own = functools.partial(lists.__getitem__, number)
        known = target_limits.Gateways(f"g{number}", list_own)
        gateways.append(warming.Warming("t", known, cold_per_s))
    sent_s = []
    for step in range(int(12 / STEP_S)):
        now_s = 50.0 + step * STEP_S
        if step % 150 == 149:
            # One is gone for a second; the others learn of it at once or late.
            gone = draw.randrange(count)
            rest = tuple(one for one in everyone if one is not everyone[gone])
            for number in range(count):
                lists[number] = draw.choice([everyone, rest])
        for own in gateways:
            if own.permits(True, now_s):
                own.spend(True, now_s)
                sent_s.append(now_s)
    allowed = OVERSHOOT * cold_per_s + SLACK
    for begin_s in sent_s:
        assert sum(begin_s <= at < begin_s + 1.0 for at in sent_s) <= allowed
    # At least half of what a target bears is used.
    assert len(sent_s) >= 0.5 * 12 * cold_per_s


def test_warm_target_is_held_back() -> None:
    view = make_view(cold_until_s=3.0)
    assert not view.accepts_requests(0.0)
    assert send_all(view, 3.0, 4.0) == pytest.approx(1 / STEP_S, abs=1)


def test_service_without_a_rate_is_held_back() -> None:
    view = make_view(cold_until_s=3.0)
    view.warming.set_service(model.Service("s"))
    assert view.accepts_requests(0.0)


def test_target_that_came_back_under_its_id_gets_all_at_once() -> None:
    """It could not be reached, and the list still shows it as before."""
    view = make_view()
    view.record_failure(1.0, eject_now=True)
    view.record_success(2.0)
    assert send_all(view, 2.0, 3.0) <= OVERSHOOT * COLD_PER_S + SLACK
    assert view.accepts_requests(2.0 + COLD_START_S)


def test_failback_sends_all_to_a_data_centre_at_once() -> None:
    """The list shows late that its targets became cold meanwhile."""
    known = evacuation.Evacuations()
    view = make_view(evacuations=known)
    known.replace({"north"}, {})
    assert not view.accepts_requests(1.0)
    known.replace((), {"north": 2.0})
    assert send_all(view, 2.0, 3.0) <= OVERSHOOT * COLD_PER_S + SLACK
    assert view.accepts_requests(2.0 + COLD_START_S)


def test_target_that_becomes_cold_unannounced_gets_all_at_once() -> None:
    """It did not start again, and the list shows it 1.4 s later."""
    view = make_view()
    view.update_from_list(view.target, 1.0)
    sent = send_all(view, 2.0, 3.0)
    assert sent <= OVERSHOOT * COLD_PER_S + SLACK


def test_listed_cold_time_ends_with_an_older_list() -> None:
    view = make_view()
    cold = attrs.evolve(view.target, cold_s=2.0)
    view.update_from_list(cold, 5.0)
    assert view.is_cold(6.9)
    view.update_from_list(attrs.evolve(view.target, cold_s=0.0), 6.0)
    assert view.is_cold(6.9)
    assert not view.is_cold(7.0)


@pytest.mark.anyio
async def test_callers_wait_for_a_target_that_is_cold() -> None:
    """Others of its service have room, or the caller is told when to come."""
    service = attrs.evolve(SERVICE, name="plain", cold_per_s=0.5)
    configuration = attrs.evolve(
        support.configuration(support.route()), services={"plain": service}
    )
    async with (
        raw_target.open_target(raw_target.answer(), id="a") as cold,
        raw_target.open_target(raw_target.answer(), id="b") as warm,
        support.open_harness(configuration, cold, warm) as harness,
    ):
        listed = (attrs.evolve(cold.target, cold_s=60.0), warm.target)
        harness.site.replace_targets(listed, anyio.current_time())
        harness.site.targets.views["b", 0].inflight = 5
        assert support.status(await harness.ask(support.request())) == 200
        harness.site.replace_targets(listed[:1], anyio.current_time())
        refused = await harness.ask(support.request())
    assert cold.requests == []
    assert support.status(refused) == 503
    assert b"retry-after" in refused.lower()
