"""A view that becomes old while a request waits for its target."""

from __future__ import annotations

import typing

import anyio
import pytest
from tests.gateway import support
from tests.support import raw_target

pytestmark = pytest.mark.anyio


async def test_request_that_waited_in_a_pause_is_sent_by_the_old_list() -> None:
    config = support.configuration(support.route())
    async with (
        raw_target.open_target(raw_target.answer(b"1")) as target,
        support.open_harness(config, target) as harness,
    ):
        age = harness.site.view_age
        age.limit_s, age.cut_off_s = 1.9, 3.0
        age.confirm(age.ask())
        choose = harness.forwarder.queue.choose_target

        async def choose_target(*arguments: typing.Any) -> typing.Any:
            # The process stands still while the request is in the queue.
            age.confirmed_s -= 10.0
            age.last_pause_s = anyio.current_time
            return await choose(*arguments)

        harness.forwarder.queue.choose_target = choose_target  # type: ignore[assignment,method-assign]
        answer = await harness.ask(support.request())
        assert not target.requests
        assert support.status(answer) == 503
