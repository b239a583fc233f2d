"""What gateways send to a target in need while their lists differ."""

from __future__ import annotations

import random

import attrs
import pytest

from cactusstile.gateway import target_limits
from cactusstile.sites import messages

# The users' rule, in any window.
WINDOW_S = 4.0
FACTOR = 1.5
SLACK = 5
STEP_S = 0.01
DAY_S = 60.0


def member(number: int) -> messages.GatewayMember:
    return messages.GatewayMember(f"g{number}", "d", 1.0)


@attrs.define
class Gateway:
    """A gateway with its own list of the others, and its part of a limit."""

    number: int
    members: tuple[messages.GatewayMember, ...]
    limit: target_limits.TargetLimit = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        own = f"g{self.number}"
        gateways = target_limits.Gateways(own, lambda: self.members)
        self.limit = target_limits.TargetLimit("t", gateways)


def play(limit_per_s: float, count: int, seed: int) -> list[float]:
    """Plays gateways that restart; returns the times of their requests."""
    draw = random.Random(seed)
    everyone = tuple(member(number) for number in range(count))
    gateways = [Gateway(number, everyone) for number in range(count)]
    for gateway in gateways:
        gateway.limit.record(limit_per_s, 0.0)
    listed_s = [0.0] * count
    sent_s = []
    now_s = 0.0
    while now_s < DAY_S:
        now_s += STEP_S
        if draw.random() < STEP_S * 0.2:
            number = draw.randrange(count)
            gateways[number] = Gateway(number, ())
            gateways[number].limit.record(limit_per_s, now_s)
            listed_s[number] = now_s + draw.uniform(0.2, 2.0)
        known = tuple(
            one for one in everyone if listed_s[int(one.address[1:])] < now_s
        )
        for gateway in gateways:
            # Lists arrive at different times.
            if gateway.members != known and draw.random() < STEP_S * 4:
                gateway.members = known
            if gateway.limit.permits(now_s) and draw.random() < 0.5:
                gateway.limit.spend(now_s)
                sent_s.append(now_s)
    return sent_s


@pytest.mark.parametrize("count", [1, 8, 31])
@pytest.mark.parametrize("limit_per_s", [0.0, 0.4, 1.4, 6.0, 40.0])
def test_gateways_exceed_a_limit_while_their_lists_differ(
    limit_per_s: float, count: int
) -> None:
    for seed in range(3):
        sent_s = play(limit_per_s, count, seed)
        allowed = FACTOR * WINDOW_S * limit_per_s + SLACK
        for begin_s in sent_s:
            end_s = begin_s + WINDOW_S
            assert sum(begin_s <= at_s < end_s for at_s in sent_s) <= allowed
        # A gateway that starts again saves up for its first request anew.
        if limit_per_s > 1.0:
            assert len(sent_s) >= DAY_S * limit_per_s / 2


def test_newer_statement_of_a_target_is_replaced_by_an_older_one() -> None:
    limit = Gateway(1, (member(1),)).limit
    assert limit.record(2.0, 5.0)
    assert not limit.record(None, 4.0)
    assert limit.per_s == 2.0
    assert limit.record(None, 6.0)
    assert limit.permits(6.0)


def test_end_of_a_limit_is_told_only_once() -> None:
    limit = Gateway(1, (member(1),)).limit
    limit.record(2.0, 5.0)
    assert limit.is_to_be_told(5.0)
    limit.told_s = 5.0
    assert not limit.is_to_be_told(5.5)
    limit.record(None, 5.6)
    limit.told_s = 5.6
    assert limit.is_to_be_told(6.7)
    assert not limit.is_to_be_told(16.0)


def test_gateway_without_a_share_refuses_what_others_could_send() -> None:
    everyone = {f"g{number}" for number in range(31)}
    lacking = [
        own
        for own in everyone
        if not any(
            target_limits.share_per_s(f"t{number}", 1.0, everyone, own)
            for number in range(4)
        )
    ]
    assert lacking == []


def test_limit_lasts_as_long_as_its_sharers_have_nothing_to_send() -> None:
    everyone = tuple(member(number) for number in range(8))
    gateways = [Gateway(number, everyone) for number in range(8)]
    for gateway in gateways:
        gateway.limit.record(1.0, 0.0)
    addresses = {one.address for one in everyone}
    others = []
    for gateway in gateways:
        own = f"g{gateway.number}"
        if not target_limits.share_per_s("t", 1.0, addresses, own):
            others.append(gateway)
    assert len(others) == len(gateways) - 1
    for now_s in (DAY_S, 2 * DAY_S):
        permitted = any(one.limit.permits(now_s) for one in others)
    assert permitted
