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


def contents(
    epoch: int, *parts: model.KeptPart, following: int = 1
) -> stores.Contents:
    return stores.Contents(epoch, following, parts)


def events(
    epoch: int, clock_ms: float, *changes: model.KeptPart, gap: bool = False
) -> stores.Events:
    return stores.Events(epoch, 2, gap, clock_ms, changes)


def test_part_is_announced_once_the_store_confirmed_it() -> None:
    held = store_contents.StoreContents("a")
    held.replace(contents(7, PART))
    assert not held.take_update().open
    assert held.take(events(7, 1000.0))
    update = held.take_update()
    assert (update.open, update.whole) == (True, True)
    assert update.changes[0].id == "p"
    assert update.fetch_until_ms == 1000.0 + store_contents.LEASE_MS
    held.take(events(7, 1100.0, model.KeptPart("s", "p", 0)))
    assert held.take_update().changes[0].tokens == 0


def test_restarted_store_opens_after_all_leases_are_over() -> None:
    held = store_contents.StoreContents("a")
    held.replace(contents(7, PART))
    held.take(events(7, 1000.0))
    assert not held.take(events(8, 1400.0))
    held.replace(contents(8))
    assert held.take(events(8, 1500.0))
    assert not held.take_update().open
    held.take(events(8, 1000.0 + store_contents.LEASE_MS + 1))
    update = held.take_update()
    assert (update.open, update.changes) == (True, ())


def test_gap_in_the_events_has_the_list_read_anew() -> None:
    held = store_contents.StoreContents("a")
    held.replace(contents(7, PART))
    assert not held.take(events(7, 1000.0, gap=True))
    held.replace(contents(7, PART))
    assert held.take(events(7, 1001.0))
    assert held.is_open()


def test_part_is_freed_after_no_fetch_can_reach_it() -> None:
    held = store_contents.StoreContents("a")
    held.replace(contents(7, PART))
    held.take(events(7, 1000.0))
    permitted = held.take_update()
    held.retire([("s", "p")])
    assert held.take_update().changes[0].tokens == 0
    assert held.freeable() == ()
    held.take(events(7, permitted.fetch_until_ms))
    assert held.freeable() == ()
    last_ms = permitted.fetch_until_ms + store_contents.UPDATE_MS
    held.take(events(7, last_ms + 1, PART))
    assert held.freeable() == (PART,)
    # What is to be freed is not announced again.
    assert held.take_update().changes == ()
    held.note_freed((PART,))
    assert held.freeable() == ()


def test_outdated_and_oldest_parts_make_room() -> None:
    held = store_contents.StoreContents("a")
    old = model.KeptPart(salts.make("w", "m", 1), "a", 60)
    new = [
        model.KeptPart(salts.make("w", "m", 2), str(number), 60)
        for number in range(3)
    ]
    held.replace(contents(7, old, *new))
    assert store_eviction.outdated(held.parts, {"m": 2}) == [(old.salt, "a")]
    assert store_eviction.outdated(held.parts, {"m": 1}) == []
    assert store_eviction.surplus(held, 300) == []
    assert store_eviction.surplus(held, 250) == [(old.salt, "a")]


class LeasedStore(stateful.RuleBasedStateMachine):
    """A store that restarts, its leader, and one gateway's fetches.

    No fetch that may still run was permitted for contents that the store has
    lost, once another part may be written there.
    """

    def __init__(self) -> None:
        super().__init__()
        self.clock_ms = 0.0
        self.epoch = 1
        self.held = store_contents.StoreContents("a")
        self.held.replace(contents(self.epoch, PART))
        self.permitted: tuple[int, float] = (0, 0.0)

    @stateful.rule(passed_ms=strategies.integers(1, 2500))
    def wait(self, passed_ms: int) -> None:
        self.clock_ms += passed_ms

    @stateful.rule()
    def restart(self) -> None:
        self.epoch += 1

    @stateful.rule()
    def poll(self) -> None:
        if not self.held.take(events(self.epoch, self.clock_ms)):
            self.held.replace(contents(self.epoch, PART))

    @stateful.rule()
    def lose_contact(self) -> None:
        known = self.held.epoch
        self.held.lose()
        if known is not None:
            self.held.replace(contents(self.epoch, PART))

    @stateful.rule()
    def permit(self) -> None:
        update = self.held.whole()
        if not update.open:
            return
        epoch, until_ms = self.permitted
        if epoch and epoch != self.held.epoch:
            # The gateway may now save under the new epoch.
            assert self.clock_ms >= until_ms or self.held.clock_ms >= until_ms
        assert self.held.epoch is not None
        self.permitted = (self.held.epoch, update.fetch_until_ms)


TestLeasedStore = LeasedStore.TestCase
TestLeasedStore.settings = hypothesis.settings(
    max_examples=60, stateful_step_count=30
)
