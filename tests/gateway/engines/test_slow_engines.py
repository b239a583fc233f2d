"""Placing while targets are slow by turns, since they share their machines."""

from __future__ import annotations

import random

import attrs
import pytest

from cactusstile.gateway import target_speed
from cactusstile.gateway import target_view
from cactusstile.gateway.engines import placement
from cactusstile.gateway.engines import prompts
from cactusstile.sites import model
from cactusstile.transport import address

ENGINES = 28
SLOW_FRACTION = 0.15
SLOWNESS = 2.5
CHANGE_INTERVAL_S = 0.6
REQUESTS_PER_S = 150
LENGTH_S = 20.0
PROMPT = prompts.Prompt("m", 800, 800, 60)
# Time of a prompt at an engine of the usual speed.
RUN_S = 0.4


@attrs.define
class Play:
    """A gateway in front of engines that are slow by turns.

    Attributes:
      views: Views of the engines.
      sent_to_slow: Requests that were sent to a slow engine.
      sent: All requests.
    """

    views: list[target_view.TargetView]
    sent_to_slow: int = 0
    sent: int = 0
    ends: list[tuple[float, target_view.TargetView]] = attrs.field(factory=list)

    def run(self, draw: random.Random) -> None:
        slow: set[str] = set()
        now_s = 0.0
        change_s = 0.0
        while now_s < LENGTH_S:
            if now_s >= change_s:
                change_s += CHANGE_INTERVAL_S
                drawn = [v for v in self.views if draw.random() < SLOW_FRACTION]
                slow = {view.target.id for view in drawn}
            for end in [end for end in self.ends if end[0] <= now_s]:
                self.ends.remove(end)
                end[1].inflight -= 1
            self._send(now_s, slow)
            now_s += draw.expovariate(REQUESTS_PER_S)

    def _send(self, now_s: float, slow: set[str]) -> None:
        view = placement.choose_engine(
            self.views,
            PROMPT,
            added_cost=placement.request_jitter(str(self.sent), 1),
            cache_scope="shared",
            affinity_key="",
            stored_tokens=lambda _: 0,
            now_s=now_s,
        )
        assert view is not None
        slowness = SLOWNESS if view.target.id in slow else 1.0
        view.inflight += 1
        self.ends.append((now_s + RUN_S * slowness, view))
        # The head of the answer tells it.
        view.speed = target_speed.SpeedReport(slowness, now_s)
        self.sent += 1
        self.sent_to_slow += slowness > 1.0


def play(seed: int) -> float:
    """Returns the part of the requests that slow engines got."""
    views = []
    for number in range(ENGINES):
        where = address.Address("h", number + 1)
        target = model.Target(str(number), "s", where, "d", 48)
        views.append(
            target_view.TargetView(target, prompts.CachedParts(50_000))
        )
    played = Play(views)
    played.run(random.Random(seed))
    return played.sent_to_slow / played.sent


@pytest.mark.parametrize("seed", range(3))
def test_slow_engines_get_their_full_part(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    heeded = play(seed)
    monkeypatch.setattr(target_speed.SpeedReport, "slowness", lambda *_: 1.0)
    ignored = play(seed)
    assert heeded < 0.75 * ignored


def test_slow_engine_is_avoided_for_longer_than_it_is_slow() -> None:
    report = target_speed.SpeedReport(SLOWNESS, 10.0)
    assert report.slowness(10.0 + target_speed.MAX_AGE_S) == 1.0
    absurd = target_speed.SpeedReport(1e9, 10.0)
    assert absurd.slowness(10.0) == target_speed.MAX_SLOWNESS
