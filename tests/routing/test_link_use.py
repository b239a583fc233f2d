from __future__ import annotations

from cactusstile.routing import link_use
from cactusstile.routing import rendezvous
from cactusstile.state import model
from cactusstile.transport import address

HERE = address.Address("127.0.0.1", 1)


def test_link_use_counts_limited_links_alone() -> None:
    rate = 1000.0 * link_use.TYPICAL_BLOCK_BYTES
    link = model.Link(("ikeja", "lekki"), rate, price=1.0)
    fleet = model.Fleet(links={link.data_centres: link})
    store = model.Target("s", model.TargetKind.STORE, HERE, "ikeja")
    link_time = link_use.build(fleet, store)
    assert link_time(rendezvous.Member("a", "lekki"), 10) == 20.0
    assert link_time(rendezvous.Member("b", "ikeja"), 10) == 0.0
    assert link_time(rendezvous.Member("c", "yaba"), 10) == 0.0
    without = link_use.build(fleet, None)
    assert without(rendezvous.Member("a", "lekki"), 10) == 0.0
