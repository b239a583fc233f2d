from __future__ import annotations

import types
import typing

from cactusstile.agent import kept_parts
from cactusstile.routing import fleet_index
from cactusstile.state import model
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    from cactusstile.agent import node

AGENT = address.Address("127.0.0.1", 1)


def test_agent_and_entry_compute_the_same_stores() -> None:
    """Uses more stores than an entry lists, several in each data centre."""
    targets = {}
    for number in range(60):
        kind = (model.TargetKind.ENGINE, model.TargetKind.STORE)[number % 2]
        serves = "" if kind is model.TargetKind.STORE else "chat"
        name = f"{kind.value}-{number}"
        data_centre = f"dc{number % 9}"
        targets[name] = model.Target(name, kind, AGENT, data_centre, serves)
    fleet = model.Fleet(revision=1, targets=targets)
    agent = types.SimpleNamespace(fleet=fleet, declared=targets["engine-0"])
    locate = kept_parts.build_store_locator(typing.cast("node.Node", agent))
    index = fleet_index.FleetIndex(lambda: fleet)
    for number in range(100):
        key = number.to_bytes(16, "little")
        stores = index.stores("chat", key)
        assert locate(key) == stores
        [home_target] = index.home_targets("chat", key, count=1)
        assert stores[0].data_centre == home_target.data_centre
