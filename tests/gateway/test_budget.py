from __future__ import annotations

import pytest
from tests.gateway import budget_model
from tests.gateway import support
from tests.support import retry_rule

from cactusstile.gateway import budget
from cactusstile.gateway.peers import sharers

WINDOW_S = 10.0
SLACK = 58.0
CONFIRMATION_S = 0.4


def _new_budget(ratio: float = 0.0, slack: float = SLACK) -> budget.RetryBudget:
    return budget.RetryBudget(ratio, WINDOW_S, slack)


def _confirm(
    known: sharers.Sharers, count: int, begin_s: float, end_s: float
) -> None:
    at_s = begin_s
    while at_s < end_s:
        known.confirm(count, at_s)
        at_s += CONFIRMATION_S


def _spend_all(spent: budget.RetryBudget, now_s: float) -> int:
    count = 0
    while spent.try_spend("s", now_s):
        count += 1
    return count


def test_fresh_gateway_spends_none_of_the_slack() -> None:
    """Guards against a gateway that takes itself for the only one."""
    started = _new_budget()
    assert _spend_all(started, 0.0) == 0
    _confirm(started.sharers, 2, 1.0, 1.0 + 0.9 * WINDOW_S)
    assert _spend_all(started, 1.0 + 0.9 * WINDOW_S) == 0


def test_gateway_spends_its_share_after_a_window() -> None:
    settled = _new_budget()
    support.settle(settled.sharers, 2, 100.0)
    assert 0 < _spend_all(settled, 100.0) <= SLACK / 2


def test_restarts_within_a_window_spend_one_share() -> None:
    """Guards against starts that each grant the slack anew."""
    now_s, spent = 100.0, 0
    process = _new_budget()
    support.settle(process.sharers, 1, now_s)
    while now_s < 100.0 + WINDOW_S:
        spent += _spend_all(process, now_s)
        process = _new_budget()
        _confirm(process.sharers, 1, now_s, now_s + WINDOW_S / 4)
        now_s += WINDOW_S / 4
        spent += _spend_all(process, now_s)
    assert 0 < spent <= SLACK


def test_fresh_gateway_trusts_no_list_from_before_an_election() -> None:
    """Guards against a share by a list of which the rest was never seen."""
    started = _new_budget()
    _confirm(started.sharers, 1, 0.0, 1.0)
    _confirm(started.sharers, 1, 2 * WINDOW_S, 2 * WINDOW_S + 1.0)
    assert _spend_all(started, 2 * WINDOW_S + 1.0) == 0


def test_incomplete_list_after_an_election_leaves_the_share() -> None:
    """Guards against a quiet gateway that believes the first short list."""
    settled = _new_budget()
    support.settle(settled.sharers, 4, 100.0)
    _confirm(settled.sharers, 4, 100.0, 100.0 + 3 * WINDOW_S)
    after_s = 100.0 + 3 * WINDOW_S + 2.0
    _confirm(settled.sharers, 1, after_s, after_s + 2.0)
    assert 0 < _spend_all(settled, after_s + 2.0) <= SLACK / 4


def test_fresh_site_retries_within_the_ratio() -> None:
    """Guards against a start that leaves callers without any retry."""
    started = _new_budget(ratio=0.2)
    for number in range(20):
        started.count_request("s", number / 100)
    assert 0 < _spend_all(started, 0.2) <= 0.2 * 20


def test_requests_of_two_distant_bursts_do_not_add_up() -> None:
    """Guards against requests that no window of the rule holds together."""
    ratio, burst = 0.2, 400
    settled = _new_budget(ratio)
    support.settle(settled.sharers, 1, 100.0)
    sent, retries = [], []
    for at_s in (100.0, 100.0 + 0.7 * WINDOW_S):
        for _ in range(burst):
            sent.append(at_s)
            settled.count_request("s", at_s)
    now_s = sent[-1] + 0.1 * WINDOW_S
    _confirm(settled.sharers, 1, 100.0, now_s)
    while settled.try_spend("s", now_s):
        retries.append(now_s)
    assert retries
    beyond = retry_rule.most_beyond(
        sent, retries, ratio=ratio, slack=SLACK, window_s=WINDOW_S
    )
    assert beyond == 0


def test_gateway_cut_off_from_control_keeps_no_share_of_others() -> None:
    """Guards against a share that two hold, as the others divide it anew."""
    cut_off, follower = _new_budget(), _new_budget()
    for known in (cut_off.sharers, follower.sharers):
        support.settle(known, 2, 100.0)
    retries = []
    now_s = 100.0
    while now_s < 100.0 + 4 * WINDOW_S:
        now_s += CONFIRMATION_S
        follower.sharers.confirm(1, now_s)
        for gateway in (cut_off, follower):
            retries.extend([now_s] * _spend_all(gateway, now_s))
    assert retries
    beyond = retry_rule.most_beyond(
        [], retries, ratio=0.0, slack=SLACK, window_s=WINDOW_S
    )
    assert beyond == 0


@pytest.mark.parametrize("seed", range(20))
def test_retries_stay_within_the_rule_under_faults(seed: int) -> None:
    """Guards against shares that add up across restarts, cuts and elections."""
    faults = ("cut_off", "kill", "kill_all", "elect", "add", "remove")
    assert budget_model.run(seed, *faults) == 0


def test_restart_grants_no_second_ratio_for_one_window() -> None:
    """Guards against retries of a process whose predecessor had its own."""
    ratio = 0.2
    sent, retries = [], []
    process = _new_budget(ratio, slack=0.0)
    now_s = 0.0
    while now_s < 3 * WINDOW_S:
        if now_s == WINDOW_S:
            process = _new_budget(ratio, slack=0.0)
            process.known_since_s = now_s
        for _ in range(100):
            sent.append(now_s)
            process.count_request("s", now_s)
        if now_s >= WINDOW_S - 1.0:
            retries.extend([now_s] * _spend_all(process, now_s))
        now_s += 1.0
    assert retries
    beyond = retry_rule.most_beyond(
        sent, retries, ratio=ratio, slack=0.0, window_s=WINDOW_S
    )
    assert beyond == 0
