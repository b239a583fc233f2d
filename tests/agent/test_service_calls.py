from __future__ import annotations

import random

import anyio
import attrs
import pytest

from cactusstile import verdict
from cactusstile.agent import claims
from cactusstile.agent import messages
from cactusstile.agent import service_calls
from cactusstile.fakes import site
from cactusstile.targets import service

pytestmark = pytest.mark.anyio

NOT_RUN = verdict.Verdict.NOT_RUN.value
MAY_HAVE_RUN = verdict.Verdict.MAY_HAVE_RUN.value


def _call(key: str = "k1", **changes: object) -> messages.ServiceCall:
    call = messages.ServiceCall(
        request_key=key,
        attempt=0,
        workspace="bank",
        service=site.SERVICE,
        method="POST",
        path="/stock",
        headers=(),
        body=key.encode(),
        repeatable=False,
    )
    return attrs.evolve(call, **changes)  # type: ignore[arg-type]


def _count(opened: site.Site, key: str) -> int:
    return sum(served.count("bank", key) for served in opened.services.values())


async def test_retry_at_another_agent_gets_the_stored_answer() -> None:
    async with (
        site.open_site() as opened,
        site.open_service_agent(opened, "a"),
        site.open_service_agent(opened, "b"),
    ):
        first = await opened.call("a", _call())
        second = await opened.call("b", _call(attempt=1))
        assert isinstance(first, messages.ServiceReply)
        assert second == first
        assert _count(opened, "k1") == 1


async def test_lost_answer_is_told_as_may_have_run_to_all() -> None:
    async with (
        site.open_site() as opened,
        site.open_service_agent(opened, "a"),
        site.open_service_agent(opened, "b"),
    ):
        opened.services["a"].answers_to_drop = 1
        for target in ("a", "b", "a"):
            answer = await opened.call(target, _call())
            assert isinstance(answer, messages.Refused)
            assert answer.verdict == MAY_HAVE_RUN
        assert _count(opened, "k1") == 1


async def test_unreachable_service_releases_the_claim() -> None:
    async with (
        site.open_site() as opened,
        site.open_agent(opened, "dead", "service", "http://127.0.0.1:9"),
        site.open_service_agent(opened, "b"),
    ):
        answer = await opened.call("dead", _call())
        assert isinstance(answer, messages.Refused)
        assert answer.verdict == NOT_RUN
        await anyio.sleep(0.05)
        second = await opened.call("b", _call(attempt=1))
        assert isinstance(second, messages.ServiceReply)
        assert _count(opened, "k1") == 1


async def test_call_does_not_run_if_claim_answer_is_lost(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claims, "RELEASE_INTERVAL_S", 0.05)
    async with (
        site.open_site() as opened,
        site.open_service_agent(opened, "a"),
    ):
        opened.control.claim_answers_to_drop = 1
        answer = await opened.call("a", _call())
        assert isinstance(answer, messages.Refused)
        assert answer.verdict == NOT_RUN
        assert _count(opened, "k1") == 0
        await anyio.sleep(0.2)
        second = await opened.call("a", _call(attempt=1))
        assert isinstance(second, messages.ServiceReply)
        assert _count(opened, "k1") == 1


async def test_claim_that_was_taken_over_in_a_freeze_does_not_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(claims, "MAX_CONFIRMATION_AGE_S", 0.1)
    async with (
        site.open_site() as opened,
        site.open_service_agent(opened, "frozen"),
        site.open_service_agent(opened, "b"),
    ):
        answers: list[object] = []

        async def call_frozen() -> None:
            answers.append(await opened.call("frozen", _call()))

        opened.control.grant_delay_s = 0.5
        async with anyio.create_task_group() as group:
            group.start_soon(call_frozen)
            await anyio.sleep(0.1)
            opened.control.grant_delay_s = 0.0
            digest = service_calls.content_digest(_call())
            held = await opened.control.read_claim("bank", "k1", digest)
            await opened.control.release_claim("bank", "k1", held.claim_id)
            second = await opened.call("b", _call(attempt=1))
            assert isinstance(second, messages.ServiceReply)
        (answer,) = answers
        assert isinstance(answer, messages.Refused)
        assert answer.verdict == NOT_RUN
        assert _count(opened, "k1") == 1


async def test_claimed_call_completes_without_its_caller() -> None:
    async with (
        site.open_site() as opened,
        site.open_service_agent(opened, "a"),
        site.open_service_agent(opened, "b"),
    ):
        opened.services["a"].answer_delay_s = 0.2
        with anyio.move_on_after(0.1):
            await opened.call("a", _call())
        await anyio.sleep(0.3)
        answer = await opened.call("b", _call(attempt=1))
        assert isinstance(answer, messages.ServiceReply)
        assert _count(opened, "k1") == 1


async def test_key_of_another_request_is_refused() -> None:
    async with (
        site.open_site() as opened,
        site.open_service_agent(opened, "a"),
    ):
        await opened.call("a", _call())
        answer = await opened.call("a", _call(body=b"other"))
        assert isinstance(answer, messages.Refused)
        assert (answer.verdict, answer.reason) == (NOT_RUN, "bad_request")
        assert _count(opened, "k1") == 1


async def test_oversized_answer_is_refused_as_may_have_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(service, "MAX_ANSWER_BYTES", 4)
    async with (
        site.open_site() as opened,
        site.open_service_agent(opened, "a"),
    ):
        answer = await opened.call("a", _call(repeatable=True))
        assert isinstance(answer, messages.Refused)
        assert answer.verdict == MAY_HAVE_RUN


async def test_deadline_bounds_the_call() -> None:
    async with (
        site.open_site() as opened,
        site.open_service_agent(opened, "a"),
    ):
        opened.services["a"].answer_delay_s = 5.0
        with anyio.fail_after(2.0):
            answer = await opened.call("a", _call(time_left_ms=200))
        assert isinstance(answer, messages.Refused)
        assert answer.verdict == MAY_HAVE_RUN


class _History:
    """Calls two agents under faults and records the outcomes of callers."""

    def __init__(self, opened: site.Site, seed: int) -> None:
        self.outcomes: dict[str, list[str]] = {}
        self._opened = opened
        self._random = random.Random(seed)

    async def call(self, key: str) -> None:
        for attempt in range(6):
            target = self._random.choice("ab")
            call = _call(key, attempt=attempt)
            answer = await self._opened.call(target, call)
            answers = self.outcomes.setdefault(key, [])
            if isinstance(answer, messages.ServiceReply):
                answers.append("done")
                return
            assert isinstance(answer, messages.Refused)
            answers.append(answer.verdict)
            await anyio.sleep(self._random.uniform(0, 0.1))

    async def inject_faults(self) -> None:
        control = self._opened.control
        for _ in range(20):
            await anyio.sleep(0.02)
            fault = self._random.randrange(4)
            if fault == 0:
                target = self._random.choice("ab")
                self._opened.services[target].answers_to_drop += 1
            elif fault == 1:
                control.claim_answers_to_drop += 1
            else:
                control.unavailable = fault == 2
        control.unavailable = False


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
async def test_history_under_faults_runs_each_request_at_most_once(
    seed: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(claims, "RELEASE_INTERVAL_S", 0.05)
    async with (
        site.open_site() as opened,
        site.open_service_agent(opened, "a"),
        site.open_service_agent(opened, "b"),
    ):
        opened.control.call_delay_s = 0.005
        history = _History(opened, seed)
        async with anyio.create_task_group() as group:
            group.start_soon(history.inject_faults)
            for number in range(40):
                group.start_soon(history.call, f"k{number % 25}")
        for key, answers in history.outcomes.items():
            count = _count(opened, key)
            assert count <= 1, (key, answers)
            if "done" in answers:
                assert count == 1, (key, answers)
            if set(answers) == {NOT_RUN}:
                assert count == 0, (key, answers)
