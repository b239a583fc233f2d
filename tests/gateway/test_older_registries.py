"""A gateway of this build beside a registry of an older one."""

from __future__ import annotations

import collections.abc
import contextlib
import typing

import anyio
import pytest
from tests.gateway import support

from cactusstile.gateway import control_watch
from cactusstile.gateway import site_view
from cactusstile.sites import messages
from cactusstile.transport import address

pytestmark = pytest.mark.anyio


class _Inbox:
    received_s = 0.0


class OlderRegistry:
    """Answers no questions, and closes connections that bring one."""

    def __init__(self) -> None:
        self.notices: list[object] = []
        self.inbox = _Inbox()

    def notify(self, message: object, *, pings: bool = True) -> None:
        del pings
        self.notices.append(message)

    @contextlib.asynccontextmanager
    async def open_stream(
        self, message: object, *, pings: bool = True
    ) -> collections.abc.AsyncIterator[OlderRegistry]:
        del message, pings
        yield self

    async def __anext__(self) -> object:
        await anyio.sleep(0.01)
        return messages.Confirmation(0, ())


@pytest.mark.parametrize("is_configured", [True, False])
async def test_registry_of_an_older_build_gets_what_it_cannot_read(
    *, is_configured: bool
) -> None:
    registry = OlderRegistry()
    place = address.Address("127.0.0.1", 1)
    site = site_view.SiteView()
    if is_configured:
        site.replace_configuration(support.configuration(support.route()))
    watch = control_watch.ControlWatch(
        typing.cast("typing.Any", None),
        site,
        (place,),
        messages.GatewayMember("127.0.0.1:2", "d", 100.0),
    )
    with anyio.move_on_after(0.2):
        await watch._receive_items(typing.cast("typing.Any", registry), place)
    assert watch.site.confirmed_s is not None
    assert not registry.notices
