"""Engines that are believed to hold a part of a prompt.

Answers days on which prompts are sent away from the engine that read them,
since it is loaded, leaves or has failed: what it holds is moved instead of
being read again. A miss costs the engine a millisecond.
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

    Args:
      views: Engines of the service.
      chosen: Engine that the request goes to.
      key: Salt and id of the part.
      now_s: Loop time.
    """
    if key in chosen.held.parts:
        return None
    for view in views:
        if view is chosen or not view.answers(now_s):
            continue
        if key in view.held.parts:
            return str(view.target.address)
    return None
