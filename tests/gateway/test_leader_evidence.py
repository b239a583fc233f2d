"""Evidence that waited while the process stood still."""

from __future__ import annotations

import contextlib
import typing

import anyio
import pytest

from cactusstile import clocks
from cactusstile.control import attempts
from cactusstile.gateway import control_watch
from cactusstile.gateway import site_view
from cactusstile.sites import messages
from cactusstile.transport import address
from cactusstile.transport import exceptions as transport_exceptions

pytestmark = pytest.mark.anyio


async def test_answer_that_lay_in_a_buffer_shows_that_nobody_leads_now(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = [100.0]
    monkeypatch.setattr(clocks, "boot_s", lambda: now_s[0])
    place = address.Address("127.0.0.1", 1)
    site = site_view.SiteView()
    site.control = (str(place),)
    member = messages.GatewayMember("127.0.0.1:2", "d", 100.0)
    watch = control_watch.ControlWatch(
        typing.cast("typing.Any", None), site, (place,), member
    )
    asked = anyio.Event()

    async def follow(target: address.Address) -> None:
        # The process stands still between the question and its answer.
        if asked.is_set():
            await anyio.sleep_forever()
        asked.set()
        now_s[0] += 10.0
        raise transport_exceptions.RemoteError(attempts.NOT_LEADER, "none")

    monkeypatch.setattr(watch, "_follow", follow)
    with anyio.move_on_after(0.5), contextlib.suppress(anyio.EndOfStream):
        await watch.run()
    assert asked.is_set()
    assert not watch.nobody_leads()
