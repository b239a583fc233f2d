from __future__ import annotations

from cactusstile.routing import rendezvous
from cactusstile.routing import table
from cactusstile.store import location

DATA_CENTRES = ("ikeja", "lekki", "yaba", "apapa")


def test_best_store_is_in_data_centre_of_home_target() -> None:
    """Guards against stores and entries ranking home targets differently.

    Entries rank home targets by `table`. With another ranking, an entry assumes
    a store that does not hold the blocks of the prompt.
    """
    engines = [
        rendezvous.Member(f"engine-{number}", DATA_CENTRES[number % 4])
        for number in range(9)
    ]
    stores = [
        rendezvous.Member(f"store-{data_centre}", data_centre)
        for data_centre in DATA_CENTRES
    ]
    engine_table = table.Table(engines)
    for number in range(100):
        key = number.to_bytes(16, "little")
        [home] = engine_table.first(key, 1)
        for ranked in (engines, engine_table):
            best = location.rank_stores(key, stores, ranked)[0]
            assert best.data_centre == home.data_centre
