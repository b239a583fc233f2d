"""Faults that the load tool injects into the simulation."""

from __future__ import annotations

import functools
import typing

if typing.TYPE_CHECKING:
    import collections.abc

    from benchmarks import model
    from benchmarks import sites

Fault: typing.TypeAlias = "collections.abc.Callable[[model.Simulation], None]"


def build(site: sites.Site, start_s: float, end_s: float) -> dict[str, Fault]:
    """Returns the faults by name, for measurement from `start_s` to `end_s`."""
    first = site.stores[0].name
    return {
        "dead_store": kill_store(first, start_s, end_s),
        "slow_links": slow_links(0.1, start_s),
        "flipped_blocks": flip_blocks((start_s + end_s) / 2),
    }


def kill_store(name: str, at_s: float, end_s: float) -> Fault:
    """Returns a fault: the store loses its blocks and is down until `end_s`."""

    def apply(simulation: model.Simulation) -> None:
        def restart_store() -> None:
            simulation.stores[name].alive = True

        simulation.timeline.after(
            at_s, functools.partial(simulation.lose_store, name)
        )
        simulation.timeline.after(end_s, restart_store)

    return apply


def slow_links(factor: float, at_s: float) -> Fault:
    """Returns a fault that scales the bandwidth of all links by `factor`."""

    def apply(simulation: model.Simulation) -> None:
        def reduce_bandwidth() -> None:
            for link in simulation.links.values():
                link.bytes_per_s *= factor

        simulation.timeline.after(at_s, reduce_bandwidth)

    return apply


def flip_blocks(at_s: float) -> Fault:
    """Returns a fault that corrupts every second stored block."""

    def apply(simulation: model.Simulation) -> None:
        def corrupt_blocks() -> None:
            for store in simulation.stores.values():
                for record in list(store.stored_blocks.records.values())[::2]:
                    record.data = b"\xff" + (record.data or b"")[1:]

        simulation.timeline.after(at_s, corrupt_blocks)

    return apply
