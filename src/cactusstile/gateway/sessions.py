"""Tells by which part of its prompt a caller returns.

The last part of a prompt belongs to one request or to a session; which of the
two differs by route and is learnt from what returns.
"""

from __future__ import annotations

import collections

import attrs

from cactusstile.gateway import prompts

# Parts that are remembered for each route.
REMEMBERED_PARTS = 4096
# Share of last parts seen before from which they belong to sessions.
SESSION_SHARE = 0.1
# Weight of the newest prompt in that share.
STEP = 0.05


@attrs.define
class _RouteParts:
    """Last parts of one route's prompts, the newest at the end."""

    last: collections.OrderedDict[str, None] = attrs.field(
        factory=collections.OrderedDict
    )
    share: float = 0.0


@attrs.define
class Sessions:
    """What returns, by route."""

    routes: dict[str, _RouteParts] = attrs.field(factory=dict)

    def note(self, route: str, prompt: prompts.Prompt) -> None:
        """Notes a prompt."""
        if not prompt.parts:
            return
        seen = self.routes.setdefault(route, _RouteParts())
        last = prompt.parts[-1].id
        returned = last in seen.last
        seen.share += STEP * (float(returned) - seen.share)
        seen.last[last] = None
        seen.last.move_to_end(last)
        if len(seen.last) > REMEMBERED_PARTS:
            seen.last.popitem(last=False)

    def returning_parts(
        self, route: str, prompt: prompts.Prompt
    ) -> tuple[prompts.Part, ...]:
        """Returns the parts that other prompts are expected to share.

        >>> sessions = Sessions()
        >>> prompt = prompts.parse(None, None, "a:10,b:20,c:30")
        >>> sessions.returning_parts("r", prompt)[-1].id
        'b'
        >>> for _ in range(9):
        ...     sessions.note("r", prompt)
        >>> sessions.returning_parts("r", prompt)[-1].id
        'c'
        """
        seen = self.routes.get(route)
        if seen is not None and seen.share >= SESSION_SHARE:
            return prompt.parts
        if len(prompt.parts) <= 1:
            return prompt.parts
        return prompt.parts[:-1]
