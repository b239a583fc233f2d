from __future__ import annotations

import random
import typing

import hypothesis
import pytest
from hypothesis import strategies

from cactusstile import verdict
from cactusstile.limits import fair_queue

Entry = fair_queue.Entry[int]


class Bench:
    """A queue on a clock that tests set."""

    def __init__(self, **bounds: int) -> None:
        self.now_s = 0.0
        self.refused: list[tuple[Entry, verdict.Refusal]] = []
        self.queue = fair_queue.FairQueue[int](
            lambda: self.now_s,
            lambda entry, refusal: self.refused.append((entry, refusal)),
            bounds=fair_queue.Bounds(**bounds),
            tokens_per_s=1000.0,
        )

    def push(self, workspace: str, tokens: int, **rest: typing.Any) -> Entry:
        entry = Entry(workspace, tokens, 0, **rest)
        self.queue.push(entry)
        return entry


def test_pop_shares_by_weighted_work() -> None:
    bench = Bench(workspace_entries=1000)
    for _ in range(300):
        bench.push("long", 400)
        bench.push("short", 100)
        bench.push("double", 100, share=2.0)
    work = {"long": 0, "short": 0, "double": 0}
    for _ in range(350):
        entry = bench.queue.pop()
        assert entry is not None
        work[entry.workspace] += entry.tokens
    assert abs(work["long"] - work["short"]) <= 400
    assert abs(work["double"] - 2 * work["short"]) <= 800


def test_pop_ages_low_priority_past_high() -> None:
    bench = Bench()
    low = bench.push("a", 10, priority=0)
    bench.now_s = 2 * fair_queue.AGEING_S_PER_PRIORITY + 1
    high = bench.push("a", 10, priority=2)
    assert [bench.queue.pop(), bench.queue.pop()] == [low, high]
    bench.push("a", 10, priority=0)
    high = bench.push("a", 10, priority=2)
    assert bench.queue.pop() is high


def test_expired_entry_is_refused_not_run() -> None:
    bench = Bench()
    entry = bench.push("a", 10, deadline_s=1.0)
    assert bench.queue.next_deadline_s() == 1.0
    bench.now_s = 1.0
    assert bench.queue.pop() is None
    refused, refusal = bench.refused[0]
    assert refused is entry
    assert refusal.verdict is verdict.Verdict.NOT_RUN
    assert refusal.reason is verdict.Reason.DEADLINE_EXCEEDED
    with pytest.raises(verdict.RefusedError):
        bench.push("a", 10, deadline_s=0.5)


def test_full_queue_pushes_out_the_fullest_workspace() -> None:
    bench = Bench(entries=10)
    for _ in range(10):
        bench.push("storm", 100)
    with pytest.raises(verdict.RefusedError) as caught:
        bench.push("storm", 100)
    assert caught.value.refusal.retry_after_s > 0
    bench.push("quiet", 100)
    assert [entry.workspace for entry, _ in bench.refused] == ["storm"]
    assert bench.refused[0][1].retry_after_s > 0
    assert bench.queue.count == 10


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["push", "pop", "remove", "tick"]),
            strategies.sampled_from("abc"),
            strategies.integers(0, 60),
        ),
        max_size=60,
    )
)
def test_queue_stays_bounded_and_ends_each_entry_once(
    steps: list[tuple[str, str, int]],
) -> None:
    bench = Bench(
        entries=8, tokens=200, workspace_entries=5, workspace_tokens=120
    )
    pushed: list[Entry] = []
    ended: list[Entry] = []
    for action, workspace, number in steps:
        if action == "push":
            deadline_s = bench.now_s + number + 1
            try:
                entry = bench.push(workspace, number, deadline_s=deadline_s)
            except verdict.RefusedError:
                continue
            pushed.append(entry)
        elif action == "pop":
            popped = bench.queue.pop()
            ended += [popped] if popped else []
        elif action == "remove" and pushed:
            victim = pushed[number % len(pushed)]
            ended += [victim] if bench.queue.remove(victim) else []
        else:
            bench.now_s += number / 10
        assert bench.queue.count <= 8
        assert bench.queue.tokens <= 200
    while rest := bench.queue.pop():
        ended.append(rest)
    ended += [entry for entry, _ in bench.refused]
    assert bench.queue.count == bench.queue.tokens == 0
    assert sorted(map(id, ended)) == sorted(map(id, pushed))


def _waits_of_others(storm_factor: float, *, fair: bool = True) -> list[float]:
    """One server, ten workspaces, each offering 7 % of its capacity."""
    bench = Bench()
    rng = random.Random(7)
    arrivals = []
    for number in range(10):
        name = f"w{number}" if fair or number else "w1"
        rate = 0.7 * (storm_factor if number == 0 else 1.0)
        at_s = rng.expovariate(rate)
        while at_s < 2000:
            arrivals.append((at_s, name if fair else "all", number))
            at_s += rng.expovariate(rate)
    arrivals.sort()
    waits = []
    free_s = 0.0
    while arrivals or bench.queue.count:
        if arrivals and (arrivals[0][0] <= free_s or not bench.queue.count):
            bench.now_s, name, number = arrivals.pop(0)
            free_s = max(free_s, bench.now_s)
            try:
                bench.queue.push(Entry(name, 100, number))
            except verdict.RefusedError:
                assert number == 0 or not fair
            continue
        bench.now_s = free_s
        entry = bench.queue.pop()
        assert entry is not None
        if entry.item != 0:
            waits.append(free_s - entry.queued_s)
        free_s += entry.tokens / 1000
    return sorted(waits)


def _p95(waits: list[float]) -> float:
    return waits[int(len(waits) * 0.95)]


def test_storm_of_one_workspace_leaves_p95_wait_of_others() -> None:
    quiet = _p95(_waits_of_others(1.0))
    storm = _p95(_waits_of_others(10.0))
    unfair = _p95(_waits_of_others(10.0, fair=False))
    assert storm <= 1.25 * quiet
    assert unfair > 1.25 * quiet


def test_charged_work_counts_as_if_it_had_waited() -> None:
    bench = Bench()
    bench.queue.charge("a", 1000)
    bench.push("a", 10)
    expected = bench.push("b", 10)
    assert bench.queue.pop() is expected


@pytest.mark.parametrize("given", [0, 250, 5000])
def test_entries_ahead_are_those_that_go_first(given: int) -> None:
    bench = Bench()
    bench.queue.charge("storm", 1000)
    bench.queue.charge("own", given)
    for _ in range(20):
        bench.push("storm", 100)
    bench.push("own", 100)
    entries, tokens = bench.queue.work_ahead("own")
    mine = bench.push("own", 100)
    ahead = 0
    while bench.queue.pop() is not mine:
        ahead += 1
    assert abs(entries - ahead) <= 1
    assert abs(tokens - 100 * ahead) <= 100
