"""Entries of the platform's list that hold what nobody expects."""

from __future__ import annotations

import random
import typing

COUNT = 12
ODD_VALUES: tuple[typing.Any, ...] = (
    "\udcff\udcfe",
    "\x00",
    "",
    "x" * 10_000,
    "127.0.0.1:99999",
    "[::1]:80",
    None,
    True,
    -1,
    2**70,
    1e308,
    [],
    [None],
    [{"name": "\udcff", "version": -1}],
    {},
)


def draw(
    rng: random.Random, entry: dict[str, typing.Any], unused: str
) -> list[dict[str, typing.Any]]:
    """Returns odd entries.

    Args:
      rng: Draws them.
      entry: A sound entry, one field of which is replaced in each.
      unused: Address of their target, at which nothing listens.
    """
    drawn = []
    for number in range(COUNT):
        odd = {**entry, "models": [], "id": f"odd-{number}", "address": unused}
        odd[rng.choice(tuple(odd))] = rng.choice(ODD_VALUES)
        drawn.append(odd)
    return drawn
