"""Attempts that broke off, and what later lists tell of their targets."""

from __future__ import annotations

import collections.abc
import contextlib

import anyio
import pytest
from tests.gateway import support
from tests.support import raw_target

from cactusstile.sites import model

pytestmark = pytest.mark.anyio
# Longer than a target may be missing by mistake.
LATER_S = 3.0


@contextlib.asynccontextmanager
async def open_broken(
    *lists_s: float,
) -> collections.abc.AsyncIterator[tuple[support.GatewayHarness, model.Target]]:
    """Breaks an attempt; the lists received at these times lack its target."""
    config = support.configuration(support.route(model.Kind.ONCE))
    async with (
        raw_target.open_target(raw_target.send_raw(b""), id="t-1") as target,
        support.open_gateways(1, config, [target]) as (gateway,),
    ):
        await gateway.ask(support.request(b"POST"))
        now_s = anyio.current_time()
        for age_s in lists_s:
            gateway.site.replace_targets((), now_s + age_s)
            gateway.forwarder.quarantine.record_unlisted_ends()
        yield gateway, target.target


async def test_target_that_one_list_lacks_is_not_taken_for_ended() -> None:
    async with open_broken(0.0) as (gateway, target):
        quarantine = gateway.forwarder.quarantine
        assert not quarantine.evidence.ends
        gateway.site.replace_targets((target,), anyio.current_time())
        quarantine.record_unlisted_ends()
        gateway.site.replace_targets((), anyio.current_time() + LATER_S)
        quarantine.record_unlisted_ends()
        assert not quarantine.evidence.ends


async def test_target_that_later_lists_lack_counts_as_ended() -> None:
    async with open_broken(0.0, LATER_S) as (gateway, _):
        ends = gateway.forwarder.quarantine.evidence.ends
        assert [key[0] for key in ends] == ["t-1"]
