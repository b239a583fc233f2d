"""Requests whose route or workspace names regions."""

from __future__ import annotations

import json

import attrs
import pytest
from tests.gateway import support
from tests.platform import test_configurations
from tests.support import raw_target

from cactusstile.gateway import site_view
from cactusstile.platform import configurations
from cactusstile.routing import regions
from cactusstile.sites import model
from cactusstile.transport import address

pytestmark = pytest.mark.anyio
REGIONS = regions.Regions({"ikeja": "lagos", "prai": "north"})
KEY = b"X-Cactusstile-Key: k\r\n"


@pytest.mark.parametrize("bound", ["route", "workspace"])
async def test_request_reaches_a_target_outside_its_regions(bound: str) -> None:
    named = frozenset({"lagos"})
    route = support.route(regions=named if bound == "route" else frozenset())
    workspace = model.Workspace(
        "w", ("k",), regions=named if bound == "workspace" else frozenset()
    )
    config = support.configuration(route, workspaces=(workspace,))
    async with (
        raw_target.open_target(raw_target.reject(), id="a") as inside,
        raw_target.open_target(id="b") as outside,
        support.open_harness(config, inside, outside) as harness,
    ):
        harness.site.regions = REGIONS
        listed = (
            attrs.evolve(inside.target, data_centre="ikeja"),
            attrs.evolve(outside.target, data_centre="prai"),
        )
        harness.site.replace_targets(listed, 0.0)
        # It is neither sent there at first nor again after a rejection.
        data = await harness.ask(support.request(b"GET", KEY))
    assert support.status(data) == 503
    assert (len(inside.requests), outside.requests) == (1, [])


async def test_copy_of_a_prompt_leaves_its_regions() -> None:
    site = site_view.SiteView(regions=REGIONS)
    bounds = (frozenset({"lagos"}),)
    listed = []
    for name, where in (("a", "ikeja"), ("b", "prai"), ("c", "unknown")):
        listens = address.Address("h", 1)
        listed.append(model.Target(name, "plain", listens, where, 1))
    site.replace_targets(tuple(listed), 0.0)
    within = site.targets_within("plain", bounds)
    assert [view.target.id for view in within] == ["a"]
    assert len(site.targets_within("plain", ())) == len(listed)


def test_configuration_drops_the_regions() -> None:
    document = test_configurations.document()
    document["routes"][0]["allowedRegions"] = ["lagos"]
    decoded = configurations.decode(json.dumps(document).encode())
    assert decoded.routes[0].regions == {"lagos"}
    document["routes"][0]["allowedRegions"] = "lagos"
    with pytest.raises(model.InvalidConfigurationError, match="no list"):
        configurations.decode(json.dumps(document).encode())
