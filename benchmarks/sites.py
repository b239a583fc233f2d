"""Sizes of the two sites and speeds that the model assumes."""

from __future__ import annotations

import attrs

from cactusstile.routing import choice
from cactusstile.routing import rendezvous
from cactusstile.state import model

BLOCK_BYTES = 2 * 1024 * 1024
DEPLOYMENT = "chat"


@attrs.frozen
class Engine:
    """Speeds and sizes of one engine.

    Attributes:
      prefill_tokens_per_s: Prompt tokens computed per second.
      decode_s_per_token: Seconds per output token of a run.
      chunk_tokens: Prompt tokens computed in one prefill chunk.
      slots: Maximum number of concurrent runs.
      cache_blocks: Capacity of accelerator memory in blocks.
    """

    prefill_tokens_per_s: float = 1000.0
    decode_s_per_token: float = 0.02
    chunk_tokens: int = 512
    slots: int = 24
    cache_blocks: int = 2500


@attrs.frozen
class Site:
    """A site.

    Attributes:
      name: Name of the site.
      engines: Engines of the model pool.
      stores: Stores of the site.
      links: Limited links by sorted pair of data centres.
      weights: Cost weights of the deployment.
      round_trip_s: Round-trip time between any two VMs in seconds.
      store_memory_blocks: Capacity of a store's memory tier in blocks.
      store_disk_blocks: Capacity of a store's disk tier in blocks.
      engine: Speeds and sizes of each engine.
    """

    name: str
    engines: tuple[rendezvous.Member, ...]
    stores: tuple[rendezvous.Member, ...]
    links: dict[tuple[str, str], model.Link]
    weights: choice.Weights
    round_trip_s: float
    store_memory_blocks: int = 10_000
    store_disk_blocks: int = 40_000
    engine: Engine = Engine()


def _members(
    kind: str, count: int, data_centres: tuple[str, ...]
) -> tuple[rendezvous.Member, ...]:
    return tuple(
        rendezvous.Member(
            f"{kind}-{number}", data_centres[number % len(data_centres)]
        )
        for number in range(count)
    )


def _links(
    data_centres: tuple[str, ...], bytes_per_s: float, price: float
) -> dict[tuple[str, str], model.Link]:
    links = {}
    for low in sorted(data_centres):
        for high in sorted(data_centres):
            if low < high:
                links[low, high] = model.Link((low, high), bytes_per_s, price)
    return links


_LAGOS = ("ikeja", "lekki", "yaba", "apapa")
_PENANG = ("prai", "bayan", "kulim")

LEDGERFIELD = Site(
    name="ledgerfield",
    engines=_members("engine", 9, _LAGOS),
    stores=_members("store", 2, _LAGOS),
    links=_links(_LAGOS, 1.0e9, 0.5),
    weights=choice.Weights(first_token=4.0, recompute=1.0, link=0.5),
    round_trip_s=0.001,
)
TERAS = Site(
    name="teras",
    engines=_members("engine", 5, _PENANG),
    stores=_members("store", 2, _PENANG),
    links=_links(_PENANG, 0.4e9, 1.0),
    weights=choice.Weights(first_token=1.0, recompute=2.0, link=1.0),
    round_trip_s=0.0005,
)
SITES = {site.name: site for site in (LEDGERFIELD, TERAS)}
