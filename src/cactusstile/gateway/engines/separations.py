"""Keeps long prompts and streams apart, service by service."""

from __future__ import annotations

import logging
import typing

import anyio

from cactusstile.gateway.engines import engine_memory
from cactusstile.routing import separation

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.gateway import exchange
    from cactusstile.gateway import target_view
    from cactusstile.gateway.engines import placement
    from cactusstile.gateway.engines import prompts
    from cactusstile.sites import messages
    from cactusstile.sites import model

logger = logging.getLogger(__name__)


def _add_nothing(view: target_view.TargetView) -> float:
    del view
    return 0.0


class Separations:
    """What this gateway saw of each service's prompts and streams.

    Attributes:
      services: Mix of the prompts, by service.
    """

    def __init__(self) -> None:
        """Separates nothing until streams pause for too long."""
        self.services: dict[str, separation.Separation] = {}

    def surcharge(
        self,
        prompt: prompts.Prompt,
        candidates: collections.abc.Sequence[target_view.TargetView],
        now_s: float,
    ) -> placement.AddedCost:
        """Returns a function that adds cost to engines for other prompts."""
        if not candidates:
            return _add_nothing
        known = self.services.get(candidates[0].target.service)
        if known is None or not known.is_active(now_s):
            return _add_nothing
        ids = [view.target.id for view in candidates]
        preferred = known.engines_for(prompt.tokens, ids, now_s)
        added = separation.surcharge_tokens(prompt.tokens)
        return lambda view: 0.0 if view.target.id in preferred else added

    def record_work(
        self,
        view: target_view.TargetView,
        prompt: prompts.Prompt,
        work: exchange.Work,
    ) -> None:
        """Records the work of a prompt that is sent to an engine."""
        if not prompt.tokens:
            return
        known = self._separation(view.target.service)
        output_tokens = float(prompt.expected_tokens)
        if not output_tokens:
            limit = prompt.max_output_tokens
            output_tokens = engine_memory.OUTPUT_FRACTION * limit
        known.record_prompt(
            prompt.tokens, work.unread_tokens, output_tokens, work.started_s
        )

    def record_peer_prompts(
        self,
        service: str,
        sent: collections.abc.Iterable[messages.SentPrompt],
        now_s: float,
    ) -> None:
        """Records prompts that other gateways sent to engines of a service."""
        known = self._separation(service)
        for prompt in sent:
            tokens = sum(part.tokens for part in prompt.parts)
            known.record_peer_prompt(tokens, now_s)

    def record_pauses(
        self,
        route: model.Route,
        view: target_view.TargetView,
        longest_pause_s: float,
    ) -> None:
        """Records the longest pause of a stream that an engine completed."""
        now_s = anyio.current_time()
        known = self._separation(view.target.service)
        if known.record_stream(longest_pause_s, route.gap_s, now_s):
            logger.info(
                "streams pause for too long; long prompts are kept apart",
                extra={
                    "service": view.target.service,
                    "route": route.name,
                    "streams": round(known.streams.value(now_s), 1),
                    "late": round(known.late_streams.value(now_s), 1),
                    "long_fraction": round(known.long_fraction(now_s), 2),
                },
            )

    def _separation(self, service: str) -> separation.Separation:
        return self.services.setdefault(service, separation.Separation())
