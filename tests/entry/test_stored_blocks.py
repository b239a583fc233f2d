from __future__ import annotations

import asyncio
import time

import attrs
import pytest

from cactusstile import tokens
from cactusstile.agent import messages
from cactusstile.entry import calls
from cactusstile.entry import home_routes
from cactusstile.entry import routes
from cactusstile.fakes import site as fake_site
from cactusstile.state import model
from cactusstile.store import blocks
from cactusstile.store import client
from cactusstile.transport import address

pytestmark = pytest.mark.anyio

ANSWER_LIMIT_S = 5.0
BLOCK_BYTES = 1000
PROMPT = tuple(range(1600))
SCOPE = tokens.Scope("bank", fake_site.DEPLOYMENT, "v1")
CALL = calls.PromptCall(
    "key", "bank", fake_site.DEPLOYMENT, "", PROMPT, b"prefix-key", 8
)


def _probed(name: str, data_centre: str, wait_ms: int) -> routes.ProbedTarget:
    target = model.Target(
        name,
        model.TargetKind.ENGINE,
        address.Address("127.0.0.1", 1),
        data_centre,
        fake_site.DEPLOYMENT,
    )
    reply = messages.ProbeReply(
        1, "v1", 0, 0, 0, 8, wait_ms, 400, block_bytes=BLOCK_BYTES
    )
    return routes.ProbedTarget(target, reply)


def _chain(keys: list[bytes]) -> list[blocks.Block]:
    """Returns blocks without content, one behind the other."""
    content = b"\0" * BLOCK_BYTES
    chained = []
    previous = b""
    for position, key in enumerate(keys):
        checksum = blocks.checksum(SCOPE, key, content)
        chained.append(
            blocks.Block(key, previous, position, content, checksum, 1000)
        )
        previous = key
    return chained


# The store runs in the process that queries it: a pause stops both.
@pytest.mark.parametrize("pause_s", [0.0, 2 * client.HAVE_TIMEOUT_S])
async def test_prompt_is_placed_near_its_stored_blocks(
    pause_s: float, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against a placement that ignores the cost of fetching blocks.

    Transferring the complete prompt over the limited link takes 200 ms.
    """
    monkeypatch.setattr(client, "HAVE_TIMEOUT_S", ANSWER_LIMIT_S)
    loop = asyncio.get_running_loop()
    keys = tokens.block_keys(SCOPE, PROMPT)
    link = model.Link(
        ("ikeja", "lekki"), len(keys) * BLOCK_BYTES / 0.2, price=0.0
    )
    near, far = _probed("near", "ikeja", 300), _probed("far", "lekki", 0)
    async with fake_site.open_site() as site, fake_site.open_store(site):
        site.apply(links={link.data_centres: link})
        routing = home_routes.build(
            lambda: site.fleet_holder.fleet,
            peers=site.peers,
        )
        loop.call_soon(time.sleep, pause_s)
        stored = await routing.find_stored_blocks(CALL, "v1", keys)
        assert stored == client.StoredPrefix(
            site.fleet_holder.fleet.targets["store-1"]
        )
        stores = client.StoreClient(
            site.peers, lambda _: site.fleet_holder.fleet.stores()
        )
        written = _chain(keys)
        assert await stores.keep(SCOPE, b"prefix-key", written) == len(keys)
        loop.call_soon(time.sleep, pause_s)
        stored = await routing.find_stored_blocks(CALL, "v1", keys)
        assert (stored.blocks, stored.total_bytes) == (100, 100 * BLOCK_BYTES)
        other = attrs.evolve(CALL, workspace="clinic")
        assert not (await routing.find_stored_blocks(other, "v1", keys)).blocks
        placement = routing.choose(CALL, "", [far, near], stored)
        assert placement.target.name == "near"
