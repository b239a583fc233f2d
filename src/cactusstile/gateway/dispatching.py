"""Chooses where a request goes, and learns from what becomes of it."""

from __future__ import annotations

import typing

import anyio

from cactusstile import verdict
from cactusstile.gateway import admission
from cactusstile.gateway import backups
from cactusstile.gateway import exchange
from cactusstile.gateway import peer_parts
from cactusstile.gateway import placement
from cactusstile.gateway import retries
from cactusstile.gateway import routes
from cactusstile.gateway import sessions
from cactusstile.gateway import site_view
from cactusstile.gateway import streams
from cactusstile.gateway import target_view
from cactusstile.platform import headers
from cactusstile.sites import model

if typing.TYPE_CHECKING:
    import collections.abc

# Time after which a caller may try again when nothing better is known.
RETRY_AFTER_S = 0.2
# Time for which a target is passed over whose address is another's now; the
# platform's list tells of it within this time.
MISDIRECTED_PAUSE_S = 5.0
# Part of the time for older weights after which their engines get no more
# requests; a request may wait there before it begins.
OUTDATED_PART = 0.8


class Dispatcher:
    """Chooses targets.

    Attributes:
      site: What is known of the site.
      sessions: What returns, by route.
    """

    def __init__(self, site: site_view.SiteView, weights_s: float) -> None:
        """Chooses among the targets of `site`.

        Args:
          site: What is known of the site.
          weights_s: Time from the naming of weights until no request may begin
            on older ones.
        """
        self.site = site
        self.weights_s = weights_s
        self.sessions = sessions.Sessions()

    def choose_service(self, admitted: admission.Admitted) -> str:
        """Returns the service of a request, by the weights of its route.

        Raises:
          RefusedError: No target of the route is live.
        """
        live = self.site.targets.live_services()
        found = routes.share_of(admitted.route, admitted.id, live)
        if found is None:
            raise verdict.refuse(
                verdict.Reason.NO_TARGET,
                "no target of this route is live",
                retry_after_s=RETRY_AFTER_S,
            )
        return found

    def choose_target(
        self,
        admitted: admission.Admitted,
        service: str,
        attempts: retries.Attempts,
    ) -> target_view.TargetView | None:
        """Returns a target that was not tried yet, if there is one."""
        now_s = anyio.current_time()
        if attempts.resuming and attempts.backup is not None:
            return attempts.backup.view
        fresh = []
        for view in self.site.targets.of(service):
            if view.target.leaving or view.target.incarnation in attempts.tried:
                continue
            fresh.append(view)
        usable = []
        for view in fresh:
            if view.is_usable(now_s) and not self._is_outdated(
                view, admitted.prompt.model, now_s
            ):
                usable.append(view)
        # A target that seems to fail is still better than none.
        possible = usable or fresh
        if admitted.route.kind is model.Kind.STREAM:
            return self._choose_engine(admitted, possible, now_s)
        return placement.choose_service_target(possible, admitted.id, now_s)

    def _choose_engine(
        self,
        admitted: admission.Admitted,
        possible: list[target_view.TargetView],
        now_s: float,
    ) -> target_view.TargetView | None:
        prompt = admitted.prompt
        returning = self.sessions.returning_parts(admitted.route.name, prompt)
        return placement.choose_engine(
            possible,
            prompt,
            spread=placement.spread_of(admitted.id, len(self.site.gateways)),
            wall=admitted.wall,
            session=returning[-1].id if returning else "",
            kept=lambda salt: self.site.kept.held_tokens(prompt, salt, now_s),
            now_s=now_s,
        )

    def _is_outdated(
        self, view: target_view.TargetView, name: str, now_s: float
    ) -> bool:
        """Returns whether an engine holds weights that are too old by now."""
        held = view.weights.get(name)
        newest = self.site.weights.get(name)
        if held is None or newest is None or held >= newest:
            return False
        since_s = now_s - self.site.named_s[name]
        return since_s > OUTDATED_PART * self.weights_s

    def prepare(
        self,
        admitted: admission.Admitted,
        view: target_view.TargetView,
        relay: streams.Relay,
        attempts: retries.Attempts,
    ) -> exchange.Dispatch:
        """Returns with what a request goes to a target."""
        last_event_id = relay.splitter.last_id
        name = admitted.prompt.model
        weights = view.weights.get(name)
        salt = view.salt(name, admitted.wall)
        backup = attempts.backup
        if backup is not None and attempts.resuming:
            return exchange.Dispatch(
                view.target,
                salt,
                backup.weights,
                last_event_id,
                from_copy=True,
            )
        if not name or weights is None:
            return exchange.Dispatch(
                view.target, salt, last_event_id=last_event_id
            )
        returning = self.sessions.returning_parts(
            admitted.route.name, admitted.prompt
        )
        plan = self.site.kept.plan(
            admitted.prompt,
            returning,
            salt,
            self.site.stores(),
            holder=self._holder_of(view),
            now_s=anyio.current_time(),
        )
        copy_to = None if backup is None else backup.view.target.address
        return exchange.Dispatch(
            view.target, salt, weights, last_event_id, plan, copy_to
        )

    def choose_backup(
        self,
        admitted: admission.Admitted,
        view: target_view.TargetView,
    ) -> backups.Backup | None:
        """Returns where a run is copied to, if that pays."""
        service = self.site.service(view.target.service)
        if service is None or service.engine is None:
            return None
        if not service.engine.backs_up or admitted.route.may_repeat:
            return None
        if not backups.is_worthwhile(admitted.prompt):
            return None
        return backups.choose(
            self.site.targets.of(view.target.service),
            view,
            admitted.prompt,
            placement.memory_tokens(admitted.prompt, 0),
            anyio.current_time(),
        )

    def _holder_of(
        self, chosen: target_view.TargetView
    ) -> collections.abc.Callable[[tuple[str, str]], str | None]:
        """Returns what finds another engine that holds a part."""
        now_s = anyio.current_time()
        views = self.site.targets.of(chosen.target.service)
        return lambda key: peer_parts.find_holder(views, chosen, key, now_s)

    def estimate(
        self,
        admitted: admission.Admitted,
        view: target_view.TargetView,
        dispatch: exchange.Dispatch,
    ) -> exchange.Work:
        """Returns the work that a request brings a target."""
        now_s = anyio.current_time()
        prompt = admitted.prompt
        held = view.held.held_tokens(dispatch.salt, prompt)
        fetched = max(0, dispatch.kept.fetched_tokens - held)
        unread = max(0, prompt.tokens - held - fetched)
        cost = unread + placement.queue_cost(view, prompt, now_s)
        memory = placement.memory_tokens(prompt, held)
        return exchange.Work(unread, fetched, cost, memory, now_s)

    def note_first_event(
        self, dispatch: exchange.Dispatch, work: exchange.Work
    ) -> None:
        """Learns from the time until an engine's answer began."""
        now_s = anyio.current_time()
        took_s = now_s - work.started_s
        costs = self.site.kept.costs
        if not work.fetched_tokens:
            costs.note_read(work.cost_tokens, took_s)
            return
        store, _ = dispatch.kept.main_source()
        costs.note_fetch(
            store, work.fetched_tokens, work.cost_tokens, took_s, now_s
        )

    def note_failure(
        self, view: target_view.TargetView, error: exchange.AttemptError
    ) -> None:
        """Learns from an attempt that failed."""
        now_s = anyio.current_time()
        if error.answer is not None:
            load = error.answer.head.find(headers.LOAD)
            view.note_load(load, now_s)
        if error.is_misdirected:
            self._note_misdirected(view, error, now_s)
        elif error.reason.startswith("rejected"):
            view.note_rejection(now_s)
        elif error.answer is not None:
            view.note_error()
        else:
            view.note_failure(now_s, at_once=not error.arrived)

    def _note_misdirected(
        self,
        view: target_view.TargetView,
        error: exchange.AttemptError,
        now_s: float,
    ) -> None:
        """Notes that a target is another one, or holds other weights."""
        answer = error.answer
        found = None if answer is None else answer.head.find(headers.TARGET_ID)
        if found is not None and found == view.target.id:
            # Only the weights differ; the newest that were named are likely.
            for name, version in self.site.weights.items():
                view.note_weights(name, version)
            return
        view.refusing_until_s = now_s + MISDIRECTED_PAUSE_S
