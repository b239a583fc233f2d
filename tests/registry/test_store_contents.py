from __future__ import annotations

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from cactusstile.platform import stores
from cactusstile.registry import store_contents
from cactusstile.registry import store_eviction
from cactusstile.sites import model
from cactusstile.sites import salts

PART = model.KeptPart("s", "p", 100)


def part_list(
    epoch: int, *parts: model.KeptPart, following: int = 1
) -> stores.Contents:
    return stores.Contents(epoch, following, parts)


def event_batch(
    epoch: int, clock_ms: float, *changes: model.KeptPart, gap: bool = False
) -> stores.Events:
    return stores.Events(epoch, 2, gap, clock_ms, changes)


def test_part_is_announced_only_after_the_store_confirmed_its_epoch() -> None:
    contents = store_contents.StoreContents("a")
    contents.replace_parts(part_list(7, PART))
    assert not contents.collect_update().open
    assert contents.apply_events(event_batch(7, 1000.0))
    update = contents.collect_update()
    assert (update.open, update.whole) == (True, True)
    assert update.changes[0].id == "p"
    assert update.fetch_until_ms == 1000.0 + store_contents.LEASE_MS
    contents.apply_events(event_batch(7, 1100.0, model.KeptPart("s", "p", 0)))
    assert contents.collect_update().changes[0].tokens == 0


def test_restarted_store_opens_after_all_leases_are_over() -> None:
    contents = store_contents.StoreContents("a")
    contents.replace_parts(part_list(7, PART))
    contents.apply_events(event_batch(7, 1000.0))
    assert not contents.apply_events(event_batch(8, 1400.0))
    contents.replace_parts(part_list(8))
    assert contents.apply_events(event_batch(8, 1500.0))
    assert not contents.collect_update().open
    contents.apply_events(event_batch(8, 1000.0 + store_contents.LEASE_MS + 1))
    update = contents.collect_update()
    assert (update.open, update.changes) == (True, ())


def test_gap_in_the_events_requires_the_list_again() -> None:
    contents = store_contents.StoreContents("a")
    contents.replace_parts(part_list(7, PART))
    assert not contents.apply_events(event_batch(7, 1000.0, gap=True))
    contents.replace_parts(part_list(7, PART))
    assert contents.apply_events(event_batch(7, 1001.0))
    assert contents.is_open()


def test_part_is_freed_after_no_fetch_can_reach_it() -> None:
    contents = store_contents.StoreContents("a")
    contents.replace_parts(part_list(7, PART))
    contents.apply_events(event_batch(7, 1000.0))
    permitted = contents.collect_update()
    contents.retire([("s", "p")])
    assert contents.collect_update().changes[0].tokens == 0
    assert contents.freeable_parts() == ()
    contents.apply_events(event_batch(7, permitted.fetch_until_ms))
    assert contents.freeable_parts() == ()
    last_ms = permitted.fetch_until_ms + store_contents.MAX_UPDATE_INTERVAL_MS
    contents.apply_events(event_batch(7, last_ms + 1, PART))
    assert contents.freeable_parts() == (PART,)
    # A retired part is not announced again.
    assert contents.collect_update().changes == ()
    contents.remove_freed((PART,))
    assert contents.freeable_parts() == ()


def test_outdated_and_oldest_parts_are_evicted() -> None:
    contents = store_contents.StoreContents("a")
    old = model.KeptPart(salts.make("w", "m", 1), "a", 60)
    new = [
        model.KeptPart(salts.make("w", "m", 2), str(number), 60)
        for number in range(3)
    ]
    contents.replace_parts(part_list(7, old, *new))
    assert store_eviction.outdated_parts(contents.parts, {"m": 2}) == [
        (old.salt, "a")
    ]
    assert store_eviction.outdated_parts(contents.parts, {"m": 1}) == []
    assert store_eviction.surplus_parts(contents, 300) == []
    assert store_eviction.surplus_parts(contents, 250) == [(old.salt, "a")]


def test_eviction_leaves_room_for_several_of_the_largest_parts() -> None:
    """Parts are lost if gateways save more at once than there is room for."""
    contents = store_contents.StoreContents("a")
    parts = [model.KeptPart("s", str(number), 40) for number in range(22)]
    contents.replace_parts(part_list(7, *parts))
    evicted = store_eviction.surplus_parts(contents, 1000)
    assert evicted == [("s", "0"), ("s", "1")]
    left = 40 * (len(parts) - len(evicted))
    assert 1000 - left >= 4 * 40


def test_full_store_keeps_its_parts_while_another_has_room() -> None:
    full, empty = (store_contents.StoreContents(name) for name in "ab")
    full.replace_parts(part_list(7, model.KeptPart("s", "x", 990)))
    assert not store_eviction.is_site_full([full, empty], 2000)
    empty.replace_parts(part_list(8, model.KeptPart("s", "y", 900)))
    assert store_eviction.is_site_full([full, empty], 2000)


class LeasedStore(stateful.RuleBasedStateMachine):
    """Histories of a restarting store, the leader and one gateway's leases.

    A gateway must receive no lease on new contents while a lease on the
    contents from before a restart is valid: a fetch could meet another part
    that is being written.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock_ms = 0.0
        self.epoch = 1
        self.contents = store_contents.StoreContents("a")
        self.contents.replace_parts(part_list(self.epoch, PART))
        self.permitted: tuple[int, float] = (0, 0.0)

    @stateful.rule(passed_ms=strategies.integers(1, 2500))
    def wait(self, passed_ms: int) -> None:
        self.clock_ms += passed_ms

    @stateful.rule()
    def restart(self) -> None:
        self.epoch += 1

    @stateful.rule()
    def poll(self) -> None:
        if not self.contents.apply_events(
            event_batch(self.epoch, self.clock_ms)
        ):
            self.contents.replace_parts(part_list(self.epoch, PART))

    @stateful.rule()
    def lose_contact(self) -> None:
        known = self.contents.epoch
        self.contents.invalidate()
        if known is not None:
            self.contents.replace_parts(part_list(self.epoch, PART))

    @stateful.rule()
    def permit(self) -> None:
        update = self.contents.full_update()
        if not update.open:
            return
        epoch, until_ms = self.permitted
        if epoch and epoch != self.contents.epoch:
            # From here on the gateway may save parts in the new epoch.
            assert (
                self.clock_ms >= until_ms or self.contents.clock_ms >= until_ms
            )
        assert self.contents.epoch is not None
        self.permitted = (self.contents.epoch, update.fetch_until_ms)


TestLeasedStore = LeasedStore.TestCase
TestLeasedStore.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30
)
