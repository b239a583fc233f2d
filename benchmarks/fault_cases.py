"""Faults that the load tool schedules in the model."""

from __future__ import annotations

import functools
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from benchmarks import model
    from benchmarks import sites

Fault: typing.TypeAlias = "collections.abc.Callable[[model.World], None]"


def build(site: sites.Site, start_s: float, end_s: float) -> dict[str, Fault]:
    """Returns the faults by name, each from `start_s` to `end_s`."""
    first = site.stores[0].name
    return {
        "dead_store": kill_store(first, start_s, end_s),
        "slow_links": slow_links(0.1, start_s),
        "flipped_blocks": flip_blocks((start_s + end_s) / 2),
    }


def kill_store(name: str, at_s: float, end_s: float) -> Fault:
    """Returns a fault in which a store loses everything for a while."""

    def apply(world: model.World) -> None:
        def revive() -> None:
            world.stores[name].alive = True

        world.timeline.after(at_s, functools.partial(world.lose_store, name))
        world.timeline.after(end_s, revive)

    return apply


def slow_links(factor: float, at_s: float) -> Fault:
    """Returns a fault in which all links lose bandwidth."""

    def apply(world: model.World) -> None:
        def slow() -> None:
            for link in world.links.values():
                link.bytes_per_s *= factor

        world.timeline.after(at_s, slow)

    return apply


def flip_blocks(at_s: float) -> Fault:
    """Returns a fault in which every other kept block is damaged."""

    def apply(world: model.World) -> None:
        def flip() -> None:
            for store in world.stores.values():
                for record in list(store.kept.records.values())[::2]:
                    record.data = b"\xff" + (record.data or b"")[1:]

        world.timeline.after(at_s, flip)

    return apply
