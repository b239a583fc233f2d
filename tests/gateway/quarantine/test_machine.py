"""Any order of ends, answers, losses, restarts and cuts at several gateways."""

from __future__ import annotations

import asyncio
import random
import typing

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from tests.gateway.quarantine import support
from tests.support import virtual_clock

from cactusstile.gateway.quarantine import decision
from cactusstile.gateway.quarantine import quarantine
from cactusstile.gateway.quarantine import request_keys
from cactusstile.sites import quarantine_messages

GATEWAYS = 4
LOSS = 0.1
STEP_S = 0.5
RUN_S = 0.05
# The users' rule: ends that are forgiven, the time in which all gateways must
# know, and arrivals after it.
FORGIVEN_ENDS = 3
WINDOW_S = 3.0
FORGIVEN_ARRIVALS = 3
BAD = request_keys.RequestKeys("bad")
HOT = [
    request_keys.RequestKeys(f"hot{number}", frozenset(("shared",)))
    for number in range(3)
]
NUMBERS = strategies.integers(0, GATEWAYS - 1)


class Site(stateful.RuleBasedStateMachine):
    """Gateways in front of targets, some of which always answer."""

    def __init__(self) -> None:
        super().__init__()
        self.runner = asyncio.Runner(loop_factory=virtual_clock.VirtualTimeLoop)
        self.draw = random.Random(1)
        self.queue: list[tuple[str, str, quarantine_messages.EndEvidence]] = []
        self.gateways: dict[str, quarantine.Quarantine] = {}
        self.disturbed_s: dict[str, float] = {}
        self.cut: set[str] = set()
        self.ended = 0
        self.bad_ends_s: list[float] = []
        self.late_arrivals = 0
        self.coincidences = 0
        self.run(self.start_all())

    def run(
        self, steps: typing.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        self.runner.run(steps)

    def teardown(self) -> None:
        self.runner.close()

    async def start_all(self) -> None:
        for number in range(GATEWAYS):
            self.start_gateway(f"g{number}")
        self.answer_hot()

    def now_s(self) -> float:
        return self.runner.get_loop().time()

    def start_gateway(self, name: str) -> None:
        def send(
            message: quarantine_messages.EndEvidence, receiver: str
        ) -> None:
            self.queue.append((name, receiver, message))

        self.gateways[name] = support.open_gateway(name, GATEWAYS, send)
        self.disturbed_s[name] = self.now_s()

    def deliver(self) -> None:
        """Delivers what is under way; cut gateways get and send nothing."""
        while self.queue:
            sender, receiver, message = self.queue.pop(0)
            is_lost = self.draw.random() < LOSS
            if is_lost or {sender, receiver} & self.cut:
                continue
            self.gateways[receiver].receive(message)

    def end_target(
        self, under: list[tuple[str, request_keys.RequestKeys]]
    ) -> None:
        self.ended += 1
        for name, keys in under:
            gateway = self.gateways[name]
            ended_s = self.now_s()
            gateway.record_end(f"t{self.ended}", keys, ended_s - RUN_S, ended_s)

    async def keep_apart(self) -> None:
        """Waits, so that ends for different reasons do not coincide again."""
        if self.coincidences:
            await asyncio.sleep(2 * decision.ONE_CAUSE_S)
            self.answer_hot()
        self.coincidences += 1

    def answer_hot(self) -> None:
        for gateway in self.gateways.values():
            for keys in HOT:
                assert not gateway.is_held(keys), "a sound request was refused"
                gateway.record_answer(keys)

    async def pass_time(self, seconds: float) -> None:
        for _ in range(max(1, int(seconds / STEP_S))):
            await asyncio.sleep(STEP_S)
            self.answer_hot()
            for gateway in self.gateways.values():
                gateway.repeat()
                gateway.tell_answers()
            self.deliver()

    @stateful.rule(seconds=strategies.sampled_from([0.5, 1.0, 3.5, 8.0]))
    def wait(self, seconds: float) -> None:
        self.run(self.pass_time(seconds))

    @stateful.rule(
        number=NUMBERS, bystanders=strategies.lists(NUMBERS, max_size=3)
    )
    def ask_bad(self, number: int, bystanders: list[int]) -> None:
        async def ask() -> None:
            name = f"g{number}"
            if self.gateways[name].is_held(BAD):
                return
            if len(self.bad_ends_s) >= FORGIVEN_ENDS:
                known_s = self.bad_ends_s[FORGIVEN_ENDS - 1] + WINDOW_S
                in_touch_s = self.disturbed_s[name] + WINDOW_S
                is_late = self.now_s() > max(known_s, in_touch_s)
                self.late_arrivals += is_late and name not in self.cut
            await self.keep_apart()
            await asyncio.sleep(RUN_S)
            under = [(name, BAD)]
            for hot, other in zip(HOT, bystanders, strict=False):
                under.append((f"g{other}", hot))
            self.end_target(under)
            self.bad_ends_s.append(self.now_s())
            self.deliver()

        self.run(ask())

    @stateful.rule(
        count=strategies.integers(1, 4),
        at=strategies.lists(NUMBERS, min_size=1, max_size=3),
    )
    def lose_targets(self, count: int, at: list[int]) -> None:
        """Targets end together under sound requests, for other reasons."""

        async def lose() -> None:
            await self.keep_apart()
            for _ in range(count):
                under = [
                    (f"g{number}", hot)
                    for number, hot in zip(at, HOT, strict=False)
                ]
                self.end_target(under)
            self.deliver()

        self.run(lose())

    @stateful.rule(number=NUMBERS)
    def restart(self, number: int) -> None:
        async def start() -> None:
            self.start_gateway(f"g{number}")

        self.run(start())

    @stateful.rule(number=NUMBERS)
    def cut_off(self, number: int) -> None:
        # More than half are always connected.
        if not self.cut:
            self.cut.add(f"g{number}")

    @stateful.rule()
    def heal(self) -> None:
        for name in self.cut:
            self.disturbed_s[name] = self.now_s()
        self.cut.clear()

    @stateful.invariant()
    def keeps_the_rule(self) -> None:
        assert self.late_arrivals <= FORGIVEN_ARRIVALS


Site.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=40, deadline=None
)
TestSite = Site.TestCase
