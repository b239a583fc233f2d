"""Fake platform: a lagging list of live and leaving VMs."""

from __future__ import annotations

import typing

import anyio
import attrs
from starlette import applications
from starlette import responses
from starlette import routing

if typing.TYPE_CHECKING:
    from starlette import requests

MAX_CHANGES = 10_000


@attrs.define
class Platform:
    """State of a fake platform.

    Attributes:
      lag_s: Seconds until a change appears in the list.
      changes: Changes as (time in seconds, VM, state), oldest first.
    """

    lag_s: float = 1.0
    changes: list[tuple[float, str, str]] = attrs.field(factory=list)

    def set_state(self, vm: str, state: str) -> None:
        """Sets the state of a VM: "live", "leaving" or "gone"."""
        self.changes.append((anyio.current_time(), vm, state))
        del self.changes[:-MAX_CHANGES]

    def list_vms(self) -> dict[str, str]:
        """Returns the currently visible states by VM, without gone VMs."""
        visible_s = anyio.current_time() - self.lag_s
        states = {}
        for time_s, vm, state in self.changes:
            if time_s > visible_s:
                break
            states[vm] = state
        return {vm: state for vm, state in states.items() if state != "gone"}


def build_app(platform: Platform) -> applications.Starlette:
    """Returns the ASGI application of a platform."""

    async def vms(_: requests.Request) -> responses.Response:
        entries = [
            {"name": vm, "state": state}
            for vm, state in platform.list_vms().items()
        ]
        return responses.JSONResponse({"vms": entries})

    return applications.Starlette(routes=[routing.Route("/vms", vms)])
