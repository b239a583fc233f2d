from __future__ import annotations

from cactusstile.routing import rendezvous
from cactusstile.routing import table
from cactusstile.store import location

CENTRES = ("ikeja", "lekki", "yaba", "apapa")


def test_store_lies_beside_the_home_that_entries_compute() -> None:
    """Entries rank homes by `table`; another ranking misses the store."""
    engines = [
        rendezvous.Member(f"engine-{number}", CENTRES[number % 4])
        for number in range(9)
    ]
    stores = [rendezvous.Member(f"store-{dc}", dc) for dc in CENTRES]
    homes = table.Table(engines)
    for number in range(100):
        key = number.to_bytes(16, "little")
        [home] = homes.first(key, 1)
        for known in (engines, homes):
            best = location.rank_stores(key, stores, known)[0]
            assert best.data_centre == home.data_centre
