from __future__ import annotations

from cactusstile.routing import link_use
from cactusstile.routing import rendezvous
from cactusstile.state import model
from cactusstile.store import transfer
from cactusstile.transport import address

HERE = address.Address("127.0.0.1", 1)


def test_link_use_counts_limited_links_alone() -> None:
    rate = 1000.0 * link_use.TYPICAL_BLOCK_BYTES
    link = model.Link(("ikeja", "lekki"), rate, price=1.0)
    fleet = model.Fleet(links={link.data_centres: link})
    store = model.Target("s", model.TargetKind.STORE, HERE, "ikeja")
    far = rendezvous.Member("a", "lekki")
    moved = link_use.TransferEstimator(fleet, store)
    assert moved.link_ms(far, 10) == 20.0
    assert moved.link_ms(rendezvous.Member("b", "ikeja"), 10) == 0.0
    assert moved.link_ms(rendezvous.Member("c", "yaba"), 10) == 0.0
    assert moved.import_ms(far, 10) == 10.0 + transfer.FETCH_OVERHEAD_MS
    small = link_use.TransferEstimator(
        fleet, store, link_use.TYPICAL_BLOCK_BYTES / 2
    )
    assert small.link_ms(far, 10) == 10.0
    without = link_use.TransferEstimator(fleet, None)
    assert without.link_ms(far, 10) == 0.0
    assert without.import_ms(far, 10) == float("inf")
