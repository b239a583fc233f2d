from __future__ import annotations

import random
import typing

import hypothesis
import pytest
from hypothesis import strategies

from cactusstile import verdict
from cactusstile.limits import fair_queue

Entry = fair_queue.Entry[int]


class QueueHarness:
    """A queue with a clock that the test sets."""

    def __init__(self, **bounds: int) -> None:
        self.now_s = 0.0
        self.refused: list[tuple[Entry, verdict.Refusal]] = []
        self.queue = fair_queue.FairQueue[int](
            lambda: self.now_s,
            lambda entry, refusal: self.refused.append((entry, refusal)),
            bounds=fair_queue.Bounds(**bounds),
            tokens_per_s=1000.0,
        )

    def push(self, workspace: str, tokens: int, **options: typing.Any) -> Entry:
        entry = Entry(workspace, tokens, 0, **options)
        self.queue.push(entry)
        return entry


def test_pop_divides_work_by_share() -> None:
    harness = QueueHarness(workspace_entries=1000)
    for _ in range(300):
        harness.push("long", 400)
        harness.push("short", 100)
        harness.push("double", 100, share=2.0)
    work = {"long": 0, "short": 0, "double": 0}
    for _ in range(350):
        entry = harness.queue.pop()
        assert entry is not None
        work[entry.workspace] += entry.tokens
    assert abs(work["long"] - work["short"]) <= 400
    assert abs(work["double"] - 2 * work["short"]) <= 800


def test_pop_serves_old_low_priority_before_new_high_priority() -> None:
    harness = QueueHarness()
    low = harness.push("a", 10, priority=0)
    harness.now_s = 2 * fair_queue.AGEING_S_PER_PRIORITY + 1
    high = harness.push("a", 10, priority=2)
    assert [harness.queue.pop(), harness.queue.pop()] == [low, high]
    harness.push("a", 10, priority=0)
    high = harness.push("a", 10, priority=2)
    assert harness.queue.pop() is high


def test_expired_entry_is_refused_as_not_run() -> None:
    harness = QueueHarness()
    entry = harness.push("a", 10, deadline_s=1.0)
    assert harness.queue.next_deadline_s() == 1.0
    harness.now_s = 1.0
    assert harness.queue.pop() is None
    refused, refusal = harness.refused[0]
    assert refused is entry
    assert refusal.verdict is verdict.Verdict.NOT_RUN
    assert refusal.reason is verdict.Reason.DEADLINE_EXCEEDED
    with pytest.raises(verdict.RefusedError):
        harness.push("a", 10, deadline_s=0.5)


def test_full_queue_evicts_from_the_workspace_with_most_tokens() -> None:
    harness = QueueHarness(entries=10)
    for _ in range(10):
        harness.push("storm", 100)
    with pytest.raises(verdict.RefusedError) as caught:
        harness.push("storm", 100)
    assert caught.value.refusal.retry_after_s > 0
    harness.push("quiet", 100)
    assert [entry.workspace for entry, _ in harness.refused] == ["storm"]
    assert harness.refused[0][1].retry_after_s > 0
    assert harness.queue.count == 10


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
def test_queue_stays_within_bounds_and_removes_each_entry_once(
    steps: list[tuple[str, str, int]],
) -> None:
    harness = QueueHarness(
        entries=8, tokens=200, workspace_entries=5, workspace_tokens=120
    )
    pushed: list[Entry] = []
    removed: list[Entry] = []
    for action, workspace, number in steps:
        if action == "push":
            deadline_s = harness.now_s + number + 1
            try:
                entry = harness.push(workspace, number, deadline_s=deadline_s)
            except verdict.RefusedError:
                continue
            pushed.append(entry)
        elif action == "pop":
            popped = harness.queue.pop()
            removed += [popped] if popped else []
        elif action == "remove" and pushed:
            victim = pushed[number % len(pushed)]
            removed += [victim] if harness.queue.remove(victim) else []
        else:
            harness.now_s += number / 10
        assert harness.queue.count <= 8
        assert harness.queue.tokens <= 200
    while remaining := harness.queue.pop():
        removed.append(remaining)
    removed += [entry for entry, _ in harness.refused]
    assert harness.queue.count == harness.queue.tokens == 0
    assert sorted(map(id, removed)) == sorted(map(id, pushed))


def _waits_of_others(storm_factor: float, *, fair: bool = True) -> list[float]:
    """Simulates one server; ten workspaces each offer 7 % of its capacity.

    The first workspace offers `storm_factor` times as much. Without `fair`, all
    requests share one flow.

    Returns:
      Sorted waits in seconds of the other workspaces.
    """
    harness = QueueHarness()
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
    idle_at_s = 0.0
    while arrivals or harness.queue.count:
        if arrivals and (
            arrivals[0][0] <= idle_at_s or not harness.queue.count
        ):
            harness.now_s, name, number = arrivals.pop(0)
            idle_at_s = max(idle_at_s, harness.now_s)
            try:
                harness.queue.push(Entry(name, 100, number))
            except verdict.RefusedError:
                assert number == 0 or not fair
            continue
        harness.now_s = idle_at_s
        entry = harness.queue.pop()
        assert entry is not None
        if entry.item != 0:
            waits.append(idle_at_s - entry.queued_s)
        idle_at_s += entry.tokens / 1000
    return sorted(waits)


def _p95(waits: list[float]) -> float:
    return waits[int(len(waits) * 0.95)]


def test_storm_of_one_workspace_leaves_p95_wait_of_others() -> None:
    baseline = _p95(_waits_of_others(1.0))
    storm = _p95(_waits_of_others(10.0))
    unfair = _p95(_waits_of_others(10.0, fair=False))
    assert storm <= 1.25 * baseline
    assert unfair > 1.25 * baseline


def test_charged_work_counts_like_queued_work() -> None:
    harness = QueueHarness()
    harness.queue.charge("a", 1000)
    harness.push("a", 10)
    expected = harness.push("b", 10)
    assert harness.queue.pop() is expected


@pytest.mark.parametrize("given", [0, 250, 5000])
def test_work_ahead_matches_the_order_of_pop(given: int) -> None:
    harness = QueueHarness()
    harness.queue.charge("storm", 1000)
    harness.queue.charge("own", given)
    for _ in range(20):
        harness.push("storm", 100)
    harness.push("own", 100)
    entries, tokens = harness.queue.work_ahead("own")
    own_entry = harness.push("own", 100)
    ahead = 0
    while harness.queue.pop() is not own_entry:
        ahead += 1
    assert abs(entries - ahead) <= 1
    assert abs(tokens - 100 * ahead) <= 100
