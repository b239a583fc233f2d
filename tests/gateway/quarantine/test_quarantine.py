"""Gateways of a site whose targets end, with messages that are lost."""

from __future__ import annotations

import functools
import itertools
import random

import anyio
import anyio.abc
import attrs
import pytest
from tests.gateway.quarantine import support
from tests.support import virtual_clock

from cactusstile.gateway import site_view
from cactusstile.gateway.engines import prompts
from cactusstile.gateway.quarantine import evidence
from cactusstile.gateway.quarantine import quarantine
from cactusstile.gateway.quarantine import request_keys
from cactusstile.http import messages as http_messages
from cactusstile.sites import messages
from cactusstile.sites import quarantine_messages

pytestmark = pytest.mark.anyio
GATEWAYS = 8
DELAY_S = 0.002
LOSS = 0.1
ANSWER_S = 0.25
END_S = 0.1
DAY_S = 30.0
# The users' rule: ends that are forgiven, the time in which all gateways must
# know, and requests after it.
FORGIVEN_ENDS = 5
WINDOW_S = 3.0
FORGIVEN_REQUESTS = 3


@pytest.fixture
def anyio_backend() -> virtual_clock.Backend:
    return virtual_clock.BACKEND


def keys_of(parts: str) -> request_keys.RequestKeys:
    """Returns the keys of a prompt with these parts."""
    request = http_messages.Request(b"POST", b"/a/x", ())
    return request_keys.compute(request, prompts.parse("m", "15,5", parts))


@attrs.define
class Site:
    """Gateways, and what callers and targets saw.

    Attributes:
      draw: Random numbers of the run.
      group: Runs the tasks of the site.
      gateways: Running gateways by address.
      waiting: Sound prompts that targets have not answered yet, each with the
        address of its gateway.
      ends_s: Loop times at which targets ended.
      bad_sent_s: Loop times at which prompts with the bad part were sent.
      answered: Number of sound prompts that were answered.
      refused: Number of sound prompts that were refused.
    """

    draw: random.Random
    group: anyio.abc.TaskGroup
    gateways: dict[str, quarantine.Quarantine] = attrs.field(factory=dict)
    waiting: dict[int, tuple[str, request_keys.RequestKeys]] = attrs.field(
        factory=dict
    )
    ends_s: list[float] = attrs.field(factory=list)
    bad_sent_s: list[float] = attrs.field(factory=list)
    answered: int = 0
    refused: int = 0

    def start(self, address: str) -> None:
        """Starts a gateway, or starts it again without what it knew."""
        gateway = support.open_gateway(address, GATEWAYS, self.send)
        self.gateways[address] = gateway
        self.group.start_soon(gateway.run)

    def send(
        self, message: quarantine_messages.EndEvidence, receiver: str
    ) -> None:
        if self.draw.random() >= LOSS:
            self.group.start_soon(self.deliver, message, receiver)

    async def deliver(
        self, message: quarantine_messages.EndEvidence, receiver: str
    ) -> None:
        await anyio.sleep(DELAY_S)
        self.gateways[receiver].receive(message)

    async def ask(self, number: int, *, bad: bool) -> None:
        """Sends a prompt; one with the bad part ends its target."""
        address = f"g{self.draw.randrange(GATEWAYS)}"
        parts = f"all:5,rare{self.draw.randrange(40)}:5,{number:x}:5"
        if bad:
            parts = f"all:5,bad:5,{number:x}:5"
        keys = keys_of(parts)
        if self.gateways[address].is_held(keys):
            self.refused += not bad
            return
        if bad:
            self.bad_sent_s.append(anyio.current_time())
            await anyio.sleep(END_S)
            self.end_target(0.3, [(address, keys)])
            return
        self.waiting[number] = address, keys
        await anyio.sleep(ANSWER_S)
        if self.waiting.pop(number, None) is not None:
            self.answered += 1
            self.gateways[address].record_answer(keys)

    def end_target(
        self, share: float, under: list[tuple[str, request_keys.RequestKeys]]
    ) -> None:
        """Ends a target under prompts and a share of the waiting ones."""
        now_s = anyio.current_time()
        self.ends_s.append(now_s)
        target = f"t{len(self.ends_s)}"
        for number in list(self.waiting):
            if self.draw.random() < share:
                under.append(self.waiting.pop(number))
        for address, keys in under:
            gateway = self.gateways[address]
            gateway.record_end(target, keys, now_s - END_S, now_s)


async def play(seed: int, *, bad_per_s: float, ends_together: int) -> Site:
    """Plays a day with restarts of gateways and ends of targets."""
    random.seed(seed)
    async with anyio.create_task_group() as group:
        site = Site(random.Random(seed), group)
        for number in range(GATEWAYS):
            site.start(f"g{number}")
        for step in range(int(DAY_S * 50)):
            group.start_soon(functools.partial(site.ask, step, bad=False))
            if site.draw.random() < bad_per_s / 50:
                bad = functools.partial(site.ask, 10**6 + step, bad=True)
                group.start_soon(bad)
            if site.draw.random() < 0.3 / 50:
                site.start(f"g{site.draw.randrange(GATEWAYS)}")
            if ends_together and site.draw.random() < 0.2 / 50:
                for _ in range(ends_together):
                    site.end_target(0.5, [])
            await anyio.sleep(0.02)
        group.cancel_scope.cancel()
    return site


async def test_parts_that_are_answered_are_told_to_be_suspect() -> None:
    members = (messages.GatewayMember("g1", "d", 1.0),)
    known = quarantine.Quarantine(site_view.SiteView(gateways=members))
    sent: list[quarantine_messages.EndEvidence] = []
    known.send = lambda message, _: sent.append(message)
    known.record_answer(keys_of("all:5,rare1:5,1:5"))
    now_s = anyio.current_time()
    known.record_end("t1", keys_of("all:5,rare2:5,2:5"), now_s, now_s)
    (end,) = sent[0].ends
    assert end.parts == (request_keys.part_key("rare2"),)


async def test_each_of_hundreds_of_ends_costs_a_decision(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    decisions = []
    decide = evidence.Evidence.decide

    def count(known: evidence.Evidence, now_s: float) -> None:
        decisions.append(now_s)
        decide(known, now_s)

    monkeypatch.setattr(evidence.Evidence, "decide", count)
    known = quarantine.Quarantine(site_view.SiteView())
    for number in range(300):
        keys = keys_of(f"all:5,{number:x}:5")
        now_s = anyio.current_time()
        known.record_end(f"t{number % 9}", keys, now_s, now_s)
        known.is_held(keys)
    assert len(decisions) == 1
    await anyio.sleep(300 * 2 * quarantine.DECISION_INTERVAL_PER_END_S)
    known.is_held(keys)
    assert len(decisions) == 2


@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("bad_per_s", [0.7, 5.0])
async def test_prompts_with_a_bad_part_are_sent_on_after_many_ends(
    seed: int, bad_per_s: float
) -> None:
    site = await play(seed, bad_per_s=bad_per_s, ends_together=0)
    known_s = sorted(site.ends_s)[: FORGIVEN_ENDS + 1][-1] + WINDOW_S
    late = [at_s for at_s in site.bad_sent_s if at_s > known_s]
    assert len(late) <= FORGIVEN_REQUESTS
    assert site.refused < site.answered / 20


@pytest.mark.parametrize(
    ("ends_together", "seed"),
    [*itertools.product((1, 3, 9), range(5)), (9, 28)],
)
async def test_sound_prompts_are_refused_after_targets_ended_by_themselves(
    ends_together: int, seed: int
) -> None:
    site = await play(seed, bad_per_s=0.0, ends_together=ends_together)
    assert site.ends_s
    assert site.refused == 0


@pytest.mark.parametrize("gateways", [70, 300])
async def test_some_of_hundreds_of_gateways_learn_too_late(
    gateways: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(f"{__name__}.GATEWAYS", gateways)
    random.seed(gateways)
    bad = request_keys.RequestKeys("bad")
    async with anyio.create_task_group() as group:
        site = Site(random.Random(gateways), group)
        for number in range(gateways):
            site.start(f"g{number}")
        await anyio.sleep(quarantine.REPEAT_INTERVAL_S)
        for number in range(FORGIVEN_ENDS):
            site.end_target(0.0, [(f"g{number}", bad)])
            await anyio.sleep(END_S + DELAY_S)
        # These lost what they knew while the others go on.
        for number in range(gateways // 2):
            site.start(f"g{number}")
        await anyio.sleep(WINDOW_S)
        late = [one for one in site.gateways.values() if not one.is_held(bad)]
        group.cancel_scope.cancel()
    assert late == []
