"""Local views of all listed targets."""

from __future__ import annotations

import attrs

from cactusstile.gateway import target_notices
from cactusstile.gateway import target_view
from cactusstile.gateway import warming
from cactusstile.gateway.engines import prompts
from cactusstile.gateway.peers import load_table
from cactusstile.routing import evacuation
from cactusstile.sites import messages
from cactusstile.sites import model

# Assumed KV cache of an engine whose size is not configured.
DEFAULT_CACHE_TOKENS = 50_000


@attrs.define
class TargetViews:
    """Views of all listed targets.

    Attributes:
      views: View of each target, by incarnation.
      by_service: Views of each service's targets.
      by_id: View of each target, by its id.
      peer_loads: Loads that other gateways report.
      notices: What targets announced in their answers.
      evacuations: Evacuated data centres.
    """

    views: dict[tuple[str, int], target_view.TargetView] = attrs.field(
        factory=dict
    )
    by_service: dict[str, list[target_view.TargetView]] = attrs.field(
        factory=dict
    )
    by_id: dict[str, target_view.TargetView] = attrs.field(factory=dict)
    peer_loads: load_table.LoadTable = attrs.field(factory=load_table.LoadTable)
    notices: target_notices.NoticeTable = attrs.field(
        factory=target_notices.NoticeTable
    )
    evacuations: evacuation.Evacuations = attrs.field(
        factory=evacuation.Evacuations
    )

    def update(
        self,
        listed: tuple[model.Target, ...],
        services: dict[str, model.Service],
        now_s: float,
    ) -> None:
        """Applies a list; views of targets that stay listed are retained."""
        views_by_incarnation = {}
        for target in listed:
            view = self.views.get(target.incarnation)
            capacity = _cache_capacity_tokens(services.get(target.service))
            if view is None:
                view = target_view.TargetView(
                    target,
                    prompts.CachedParts(capacity),
                    peer_loads=self.peer_loads,
                    notices=self.notices.of(target.incarnation),
                    evacuations=self.evacuations,
                    warming=warming.Warming(target.id, self.notices.gateways),
                )
            view.cached.capacity_tokens = capacity
            view.warming.set_service(services.get(target.service))
            view.update_from_list(target, now_s)
            views_by_incarnation[target.incarnation] = view
        self.views = views_by_incarnation
        self.notices.forget_unlisted(views_by_incarnation)
        self.by_id = {
            view.target.id: view for view in views_by_incarnation.values()
        }
        self.by_service = {}
        for view in views_by_incarnation.values():
            name = view.target.service
            self.by_service.setdefault(name, []).append(view)

    def of_service(self, service: str) -> list[target_view.TargetView]:
        """Returns the views of a service's targets."""
        return self.by_service.get(service, [])

    def remaining_pause_s(self, service: str, now_s: float) -> float:
        """Returns the time until a target of a service accepts requests.

        Returns 0 if one accepts requests now, or if all of them leave.
        """
        accepting_s = []
        for view in self.of_service(service):
            if not view.is_emptying:
                accepting_s.append(view.accepts_from_s(now_s))
        return max(0.0, min(accepting_s, default=now_s) - now_s)

    def record_peer_prompt(
        self, sent: messages.SentPrompt
    ) -> target_view.TargetView | None:
        """Records a prompt that another gateway sent; returns its engine.

        None if the engine is not listed here.
        """
        view = self.by_id.get(sent.target)
        if view is not None:
            parts = tuple(
                prompts.Part(part.id, part.tokens) for part in sent.parts
            )
            view.cached.add(sent.salt, prompts.Prompt(parts=parts))
        return view

    def live_services(self) -> set[str]:
        """Returns the services with a target that may receive requests."""
        live = set()
        for name, views in self.by_service.items():
            if any(not view.is_emptying for view in views):
                live.add(name)
        return live


def _cache_capacity_tokens(service: model.Service | None) -> int:
    if service is None or service.engine is None:
        return DEFAULT_CACHE_TOKENS
    return service.engine.kv_tokens or DEFAULT_CACHE_TOKENS
