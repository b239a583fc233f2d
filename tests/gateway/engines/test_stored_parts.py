from __future__ import annotations

import collections.abc

import attrs

from cactusstile.gateway.engines import fetch_costs
from cactusstile.gateway.engines import prompts
from cactusstile.gateway.engines import stored_parts
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.transport import address

STORES = (
    model.Store("a", address.Address("127.0.0.1", 1), "d", 10_000),
    model.Store("b", address.Address("127.0.0.1", 2), "d", 10_000),
)
PROMPT = prompts.parse("m", "900,9", "x:200,y:500,own:200")
RETURNING = PROMPT.parts[:2]


def update(
    store: model.Store,
    *parts: tuple[str, int],
    is_open: bool = True,
    whole: bool = True,
    until_ms: float = 5000.0,
) -> messages.StoreUpdate:
    changes = tuple(messages.KeptPart("s", name, size) for name, size in parts)
    return messages.StoreUpdate(
        str(store.address), is_open, until_ms, whole, changes
    )


def make_stores(*updates: messages.StoreUpdate) -> stored_parts.StoredParts:
    stores = stored_parts.StoredParts()
    stores.apply(messages.StoreUpdates(updates), 10.0)
    return stores


def plan(
    stores: stored_parts.StoredParts,
    now_s: float = 10.0,
    salt: str = "s",
    holder: str | None = None,
) -> stored_parts.TransferPlan:
    return stores.plan(
        PROMPT,
        RETURNING,
        salt,
        STORES,
        holder=lambda _: holder,
        now_s=now_s,
    )


def are_saved(
    transfers: stored_parts.TransferPlan,
) -> collections.abc.Sequence[bool]:
    """Returns for each part of the prompt whether it is saved."""
    return [store is not None for store in transfers.saves]


def test_stored_part_is_fetched_and_missing_part_is_saved() -> None:
    transfers = plan(
        make_stores(update(STORES[0], ("x", 200)), update(STORES[1]))
    )
    assert transfers.fetches[0] == stored_parts.Fetch("127.0.0.1:1", 200)
    assert transfers.until_ms == 5000.0
    # A part that no other prompt shares is not saved.
    assert are_saved(transfers) == [False, True, False]


def test_part_missing_in_stores_is_fetched_from_engine() -> None:
    """KV cache of a prompt on another engine is copied, not recomputed."""
    stores = make_stores(update(STORES[0], ("x", 200)), update(STORES[1]))
    transfers = plan(stores, holder="127.0.0.1:9")
    assert transfers.fetches == (
        stored_parts.Fetch("127.0.0.1:1", 200),
        stored_parts.Fetch("127.0.0.1:9", 500),
        stored_parts.Fetch("127.0.0.1:9", 200),
    )
    # Only fetches from a store have a deadline.
    assert transfers.until_ms == 5000.0
    assert plan(make_stores(), holder="127.0.0.1:9").until_ms is None


def test_part_is_not_fetched_over_slow_link() -> None:
    stores = make_stores()
    stores.costs.record_fetch(
        "127.0.0.1:9", 500, fetch_costs.FirstEvent("r", 0, 5.0), 10.0
    )
    assert not any(plan(stores, holder="127.0.0.1:9").fetches)


def test_nothing_is_fetched_under_another_salt() -> None:
    transfers = plan(make_stores(update(STORES[0], ("x", 200))), salt="other")
    assert not any(transfers.fetches)


def test_closed_store_is_not_used() -> None:
    closed = make_stores(update(STORES[0], ("x", 200), is_open=False))
    assert not any(plan(closed).fetches)
    assert not any(are_saved(plan(closed)))


def test_store_is_not_used_after_update_expires() -> None:
    stores = make_stores(update(STORES[0], ("x", 200)))
    late_s = 10.0 + stored_parts.UPDATE_MAX_AGE_S + 0.1
    assert not any(plan(stores, late_s).fetches)
    assert not any(are_saved(plan(stores, late_s)))


def test_part_is_saved_once_until_deduplication_expires() -> None:
    stores = make_stores(update(STORES[0]))
    assert are_saved(plan(stores)) == [True, True, False]
    assert are_saved(plan(stores)) == [False, False, False]
    later_s = 10.0 + stored_parts.SAVE_DEDUPLICATION_S
    again = update(STORES[0], whole=False)
    stores.apply(messages.StoreUpdates((again,)), later_s)
    assert are_saved(plan(stores, later_s + 0.1)) == [True, True, False]


def test_part_is_not_saved_to_full_store() -> None:
    assert not any(
        are_saved(plan(make_stores(update(STORES[0], ("z", 9_400)))))
    )


def test_retired_parts_take_room_until_they_are_freed() -> None:
    """Guards against saves that a full store drops."""
    retired = attrs.evolve(
        update(STORES[0], ("z", 1_000)), retired_tokens=8_400
    )
    assert not any(are_saved(plan(make_stores(retired))))


def test_parts_on_their_way_to_a_store_take_room() -> None:
    stores = make_stores(update(STORES[0], ("z", 9_000)))
    assert are_saved(plan(stores)) == [True, False, False]
    other = prompts.parse("m", "900,9", "other:200")
    transfers = stores.plan(
        other, other.parts, "s", STORES, holder=lambda _: None, now_s=10.0
    )
    assert are_saved(transfers) == [True]
    third = prompts.parse("m", "900,9", "third:200")
    transfers = stores.plan(
        third, third.parts, "s", STORES, holder=lambda _: None, now_s=10.0
    )
    assert are_saved(transfers) == [False]


def test_removed_part_is_not_fetched() -> None:
    stores = make_stores(update(STORES[0], ("x", 200)))
    gone = update(STORES[0], ("x", 0), whole=False)
    stores.apply(messages.StoreUpdates((gone,)), 10.0)
    assert not any(plan(stores).fetches)
    assert stores.stores["127.0.0.1:1"].used_tokens == 0


def test_slow_store_is_not_used() -> None:
    stores = make_stores(
        update(STORES[0], ("y", 500), ("x", 200)), update(STORES[1])
    )
    for _ in range(3):
        stores.costs.record_fetch(
            "127.0.0.1:1", 700, fetch_costs.FirstEvent("r", 0, 2.0), 10.0
        )
    assert not any(plan(stores).fetches)
    # Parts in the slow store are not saved to another store meanwhile.
    assert not any(are_saved(plan(stores)))
