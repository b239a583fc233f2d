"""KV cache that workspaces shared before one of them became isolated."""

from __future__ import annotations

import json
import typing

import attrs
import pytest
from tests.platform import test_configurations

from cactusstile.control import commands
from cactusstile.gateway import control_watch
from cactusstile.gateway import site_view
from cactusstile.registry import feed as feeds
from cactusstile.registry import operator
from cactusstile.registry import state
from cactusstile.sites import messages
from cactusstile.sites import model

if typing.TYPE_CHECKING:
    from cactusstile.consensus import replica
    from cactusstile.transport import pool as pools

pytestmark = pytest.mark.anyio
SHARED = {"bank": False, "clinic": False}
ISOLATED = {"bank": True, "clinic": False}


@attrs.define
class Site:
    """A registry's state and a gateway that follows it.

    Attributes:
      state: State of the registry.
      version: Version of the last configuration.
    """

    state: state.SiteState = attrs.field(factory=state.SiteState)
    version: int = 0

    def replace(self, isolated: dict[str, bool]) -> None:
        """Puts a configuration with these workspaces in force."""
        self.version += 1
        tenants = [
            {"name": name, "apiKeys": [f"key-{name}"], "isolated": flag}
            for name, flag in isolated.items()
        ]
        document = test_configurations.document(
            version=self.version, tenants=tenants
        )
        command = operator.make_command(json.dumps(document).encode())
        self.state.apply(self.version, commands.pack(command))

    def open_gateway(self) -> site_view.SiteView:
        """Returns the view of a gateway that knows what is in force now."""
        view = site_view.SiteView()
        watch = control_watch.ControlWatch(
            typing.cast("pools.Pool", None),
            view,
            (),
            messages.GatewayMember("g", "d", 1.0),
        )
        feed = feeds.Feed(self.state, typing.cast("replica.Replica", None), 1.0)
        watch._apply_item(feed._configuration_in_force())
        return view


def scope(view: site_view.SiteView, name: str) -> str:
    assert view.table is not None
    workspace = view.table.find_workspace(f"key-{name}")
    return view.table.cache_scope(workspace)


# Guards against requests that go on from the cache of an isolated workspace.
@pytest.mark.parametrize("between", ["nothing", "snapshot", "it is removed"])
async def test_cache_shared_before_a_workspace_is_isolated_is_not_used_after(
    between: str,
) -> None:
    site = Site()
    site.replace(SHARED)
    before = scope(site.open_gateway(), "clinic")
    assert scope(site.open_gateway(), "bank") == before
    if between == "it is removed":
        site.replace({"clinic": False})
    if between == "snapshot":
        site.state.restore(site.state.snapshot())
    site.replace(ISOLATED)
    assert scope(site.open_gateway(), "clinic") != before
    assert scope(site.open_gateway(), "bank") not in (
        before,
        scope(site.open_gateway(), "clinic"),
    )
    site.replace({"clinic": False})
    assert scope(site.open_gateway(), "clinic") != before


async def test_state_of_an_older_build_begins_a_new_scope() -> None:
    site = Site()
    site.replace(SHARED)
    before = scope(site.open_gateway(), "clinic")
    site.state.image = attrs.evolve(site.state.image, sharers=())
    site.replace(ISOLATED)
    assert scope(site.open_gateway(), "clinic") != before


async def test_workspace_that_never_shared_costs_others_no_cache() -> None:
    site = Site()
    site.replace({"clinic": False})
    before = scope(site.open_gateway(), "clinic")
    site.replace(ISOLATED)
    assert scope(site.open_gateway(), "clinic") == before
    site.replace(SHARED)
    assert scope(site.open_gateway(), "clinic") == before


async def test_request_that_waits_while_it_becomes_isolated_is_isolated() -> (
    None
):
    site = Site()
    site.replace(SHARED)
    admitted = model.Workspace("bank", ("key-bank",))
    site.replace(ISOLATED)
    table = site.open_gateway().table
    assert table is not None
    assert table.cache_scope(admitted) == "workspace-bank"
