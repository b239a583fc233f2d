"""Finds engines that are assumed to cache a part of a prompt.

A prompt may be placed away from the engine that prefilled its prefix, because
that engine is loaded, is leaving or has failed. The KV cache is then copied
from that engine instead of being recomputed. A miss costs the engine one
millisecond.
"""

from __future__ import annotations

import typing

from cactusstile.gateway import target_view

if typing.TYPE_CHECKING:
    import collections.abc


def find_holder(
    views: collections.abc.Iterable[target_view.TargetView],
    chosen: target_view.TargetView,
    key: tuple[str, str],
    now_s: float,
) -> str | None:
    """Returns the address of an engine that a part may be fetched from.

    Returns None if there is no such engine, or if the chosen engine already
    caches the part.

    Args:
      views: Engines of the service.
      chosen: Engine that the request is sent to.
      key: Salt and id of the part.
      now_s: Loop time.
    """
    if key in chosen.cached.parts:
        return None
    for view in views:
        is_paused = now_s < view.notices.paused_until_s
        if view is chosen or is_paused or not view.is_reachable(now_s):
            continue
        if view.is_evacuated:
            continue
        if key in view.cached.parts:
            return str(view.target.address)
    return None
