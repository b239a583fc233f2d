"""Set-up of the tests of what targets tell in their answers."""

from __future__ import annotations

import typing

import anyio
import attrs

from cactusstile.gateway import metrics
from cactusstile.gateway import records
from cactusstile.http import targets
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    import collections.abc

    import pytest


@attrs.frozen
class HeldConnect:
    """The first connection that a gateway takes, held until `gate` is set.

    Attributes:
      begun: Set once the target is chosen.
      gate: Lets the gateway take the connection.
    """

    begun: anyio.Event = attrs.field(factory=anyio.Event)
    gate: anyio.Event = attrs.field(factory=anyio.Event)


def hold_first_connect(monkeypatch: pytest.MonkeyPatch) -> HeldConnect:
    """Holds the first request between its choice of a target and its send."""
    take = targets.Pool.take
    held = HeldConnect()

    async def take_late(
        pool: targets.Pool, target: address.Address, timeout_s: float
    ) -> targets.TargetConnection:
        if not held.begun.is_set():
            held.begun.set()
            await held.gate.wait()
        return await take(pool, target, timeout_s)

    monkeypatch.setattr(targets.Pool, "take", take_late)
    return held


def count_notices(
    ended: collections.abc.Iterable[records.RequestRecord], notice: str
) -> float | None:
    """Returns how many notices of a kind the gateway's metrics count."""
    counters = metrics.GatewayMetrics()
    for record in ended:
        counters.count(record)
    return counters.registry.get_sample_value(
        "cactusstile_gateway_target_notices_total", {"notice": notice}
    )
