from __future__ import annotations

import collections.abc

from cactusstile.gateway import prompts
from cactusstile.gateway import stored_parts
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
    kept = tuple(messages.KeptPart("s", name, size) for name, size in parts)
    return messages.StoreUpdate(
        str(store.address), is_open, until_ms, whole, kept
    )


def kept(*updates: messages.StoreUpdate) -> stored_parts.StoredParts:
    found = stored_parts.StoredParts()
    found.apply(messages.StoreUpdates(updates), 10.0)
    return found


def plan(
    of: stored_parts.StoredParts,
    now_s: float = 10.0,
    salt: str = "s",
    holder: str | None = None,
) -> stored_parts.TransferPlan:
    return of.plan(
        PROMPT,
        RETURNING,
        salt,
        STORES,
        holder=lambda _: holder,
        now_s=now_s,
    )


def saved(of: stored_parts.TransferPlan) -> collections.abc.Sequence[bool]:
    return [one is not None for one in of.saves]


def test_part_that_is_whole_in_a_store_is_fetched_and_others_saved() -> None:
    found = plan(kept(update(STORES[0], ("x", 200)), update(STORES[1])))
    assert found.fetches[0] == stored_parts.Fetch("127.0.0.1:1", 200)
    assert found.until_ms == 5000.0
    # What belongs to the request alone is not saved.
    assert saved(found) == [False, True, False]


def test_part_that_no_store_holds_is_fetched_from_an_engine() -> None:
    """A prompt that goes elsewhere is moved instead of being read again."""
    stores = kept(update(STORES[0], ("x", 200)), update(STORES[1]))
    found = plan(stores, holder="127.0.0.1:9")
    assert found.fetches == (
        stored_parts.Fetch("127.0.0.1:1", 200),
        stored_parts.Fetch("127.0.0.1:9", 500),
        stored_parts.Fetch("127.0.0.1:9", 200),
    )
    # Only what comes from a store has to end in time.
    assert found.until_ms == 5000.0
    assert plan(kept(), holder="127.0.0.1:9").until_ms is None


def test_engine_whose_link_is_slow_is_not_fetched_from() -> None:
    stores = kept()
    stores.costs.record_fetch("127.0.0.1:9", 500, 0, 5.0, now_s=10.0)
    assert not any(plan(stores, holder="127.0.0.1:9").fetches)


def test_nothing_is_fetched_under_another_salt() -> None:
    found = plan(kept(update(STORES[0], ("x", 200))), salt="other")
    assert not any(found.fetches)


def test_nothing_is_fetched_or_saved_while_a_store_is_closed() -> None:
    closed = kept(update(STORES[0], ("x", 200), is_open=False))
    assert not any(plan(closed).fetches)
    assert not any(saved(plan(closed)))


def test_nothing_is_fetched_after_the_word_of_control_is_old() -> None:
    found = kept(update(STORES[0], ("x", 200)))
    late_s = 10.0 + stored_parts.UPDATE_MAX_AGE_S + 0.1
    assert not any(plan(found, late_s).fetches)
    assert not any(saved(plan(found, late_s)))


def test_part_is_saved_once() -> None:
    found = kept(update(STORES[0]))
    assert saved(plan(found)) == [True, True, False]
    assert saved(plan(found)) == [False, False, False]
    later_s = 10.0 + stored_parts.SAVE_DEDUPLICATION_S
    again = update(STORES[0], whole=False)
    found.apply(messages.StoreUpdates((again,)), later_s)
    assert saved(plan(found, later_s + 0.1)) == [True, True, False]


def test_full_store_takes_no_more() -> None:
    assert not any(saved(plan(kept(update(STORES[0], ("z", 9_400))))))


def test_part_that_is_gone_is_not_fetched() -> None:
    found = kept(update(STORES[0], ("x", 200)))
    gone = update(STORES[0], ("x", 0), whole=False)
    found.apply(messages.StoreUpdates((gone,)), 10.0)
    assert not any(plan(found).fetches)
    assert found.stores["127.0.0.1:1"].used_tokens == 0


def test_slow_store_is_left_alone_for_a_while() -> None:
    found = kept(update(STORES[0], ("y", 500), ("x", 200)), update(STORES[1]))
    for _ in range(3):
        found.costs.record_fetch("127.0.0.1:1", 700, 0, 2.0, 10.0)
    assert not any(plan(found).fetches)
    # What it holds is not saved elsewhere meanwhile.
    assert not any(saved(plan(found)))
