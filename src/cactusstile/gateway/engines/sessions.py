"""Determines which parts of a prompt later prompts share.

The last part of a prompt belongs either to a single request or to a session.
This differs by route and is inferred from how often last parts return.
"""

from __future__ import annotations

import collections

import attrs

from cactusstile.gateway.engines import prompts

# Last parts that are retained for each route.
MAX_PARTS_PER_ROUTE = 4096
# Fraction of returning last parts from which they count as parts of sessions.
MIN_RETURNING_FRACTION = 0.1
# Weight of the newest prompt in that fraction.
EWMA_WEIGHT = 0.05


@attrs.define
class _RouteParts:
    """Statistics of the last parts of one route's prompts.

    Attributes:
      last: Ids of last parts, the most recent at the end.
      returning_fraction: Moving fraction of last parts that were seen before.
    """

    last: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )
    returning_fraction: float = 0.0


@attrs.define
class Sessions:
    """Statistics of returning prompt parts, by route."""

    routes: dict[str, _RouteParts] = attrs.field(factory=dict)

    def add(self, route: str, prompt: prompts.Prompt) -> None:
        """Records a prompt."""
        if not prompt.parts:
            return
        route_parts = self.routes.setdefault(route, _RouteParts())
        last = prompt.parts[-1].id
        returned = last in route_parts.last
        route_parts.returning_fraction += EWMA_WEIGHT * (
            float(returned) - route_parts.returning_fraction
        )
        route_parts.last[last] = None
        route_parts.last.move_to_end(last)
        if len(route_parts.last) > MAX_PARTS_PER_ROUTE:
            route_parts.last.popitem(last=False)

    def shared_parts(
        self, route: str, prompt: prompts.Prompt
    ) -> tuple[prompts.Part, ...]:
        """Returns the parts that other prompts are expected to share.

        >>> sessions = Sessions()
        >>> prompt = prompts.parse(None, None, "a:10,b:20,c:30")
        >>> sessions.shared_parts("r", prompt)[-1].id
        'b'
        >>> for _ in range(9):
        ...     sessions.add("r", prompt)
        >>> sessions.shared_parts("r", prompt)[-1].id
        'c'
        """
        route_parts = self.routes.get(route)
        if (
            route_parts is not None
            and route_parts.returning_fraction >= MIN_RETURNING_FRACTION
        ):
            return prompt.parts
        if len(prompt.parts) <= 1:
            return prompt.parts
        return prompt.parts[:-1]
