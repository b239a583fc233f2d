from __future__ import annotations

from cactusstile.routing import link_use
from cactusstile.routing import rendezvous
from cactusstile.state import model
from cactusstile.store import transfer
from cactusstile.transport import address

LOCAL_ADDRESS = address.Address("127.0.0.1", 1)


def test_link_use_includes_only_limited_links() -> None:
    rate = 1000.0 * link_use.TYPICAL_BLOCK_BYTES
    link = model.Link(("ikeja", "lekki"), rate, price=1.0)
    fleet = model.Fleet(links={link.data_centres: link})
    store = model.Target("s", model.TargetKind.STORE, LOCAL_ADDRESS, "ikeja")
    far = rendezvous.Member("a", "lekki")
    estimator = link_use.TransferEstimator(fleet, store)
    assert estimator.link_ms(far, 10) == 20.0
    assert estimator.link_ms(rendezvous.Member("b", "ikeja"), 10) == 0.0
    assert estimator.link_ms(rendezvous.Member("c", "yaba"), 10) == 0.0
    assert estimator.import_ms(far, 10) == 10.0 + transfer.FETCH_OVERHEAD_MS
    half_size_blocks = link_use.TransferEstimator(
        fleet, store, link_use.TYPICAL_BLOCK_BYTES / 2
    )
    assert half_size_blocks.link_ms(far, 10) == 10.0
    without_store = link_use.TransferEstimator(fleet, None)
    assert without_store.link_ms(far, 10) == 0.0
    assert without_store.import_ms(far, 10) == float("inf")
