"""Chooses targets for requests and updates the views from the outcomes."""

from __future__ import annotations

import typing

import anyio

from cactusstile import verdict
from cactusstile.gateway import admission
from cactusstile.gateway import exchange
from cactusstile.gateway import retries
from cactusstile.gateway import routes
from cactusstile.gateway import site_view
from cactusstile.gateway import streams
from cactusstile.gateway import target_requests
from cactusstile.gateway import target_view
from cactusstile.gateway.engines import backups
from cactusstile.gateway.engines import engine_memory
from cactusstile.gateway.engines import fetch_costs
from cactusstile.gateway.engines import peer_parts
from cactusstile.gateway.engines import placement
from cactusstile.gateway.engines import return_times
from cactusstile.gateway.engines import sessions
from cactusstile.gateway.engines import stored_parts
from cactusstile.gateway.engines import weights_limit
from cactusstile.platform import headers
from cactusstile.platform import loads
from cactusstile.sites import messages
from cactusstile.sites import model
from cactusstile.sites import salts

if typing.TYPE_CHECKING:
    import collections.abc

# Default delay after which a caller may retry.
RETRY_AFTER_S = 0.2
# Back-off for a target whose address now belongs to another target; the
# platform's list reflects the change within this time.
MISDIRECTED_BACKOFF_S = 5.0


class Dispatcher:
    """Chooses targets.

    Attributes:
      site: Local view of the site.
      weights: Decides whose weights are too old.
      sessions: Statistics of returning prompt parts, by route.
      separations: Decides whether long prompts are kept apart; of `site`.
    """

    def __init__(self, site: site_view.SiteView, weights_s: float) -> None:
        """Chooses among the targets of `site`.

        Args:
          site: Local view of the site.
          weights_s: Grace period in seconds after new weights are announced; no
            request may start on older weights after it.
        """
        self.site = site
        self.weights = weights_limit.WeightsLimit(site.weights, weights_s)
        self.sessions = sessions.Sessions()
        self.separations = site.separations

    def choose_service(
        self,
        admitted: admission.AdmittedRequest,
        origin: retries.StreamOrigin | None = None,
    ) -> str:
        """Returns the service of a request, by its route's traffic weights.

        A stream goes on at the service where it began, if the route still
        sends requests to it.

        Raises:
          RefusedError: No target of the route is live.
        """
        if origin is not None:
            for share in admitted.route.shares:
                if share.service == origin.service and share.weight > 0:
                    return origin.service
        live = self.site.targets.live_services()
        service = routes.pick_service(admitted.route, admitted.id, live)
        if service is None:
            raise verdict.refuse(
                verdict.Reason.NO_TARGET,
                "no target of this route is live",
                retry_after_s=RETRY_AFTER_S,
            )
        return service

    def choose_target(
        self,
        admitted: admission.AdmittedRequest,
        service: str,
        attempts: retries.Attempts,
        *,
        memory_limit: float | None = None,
    ) -> target_view.TargetView | None:
        """Returns an untried target, or the backup's engine when resuming.

        Args:
          admitted: The request.
          service: Service of the request.
          attempts: Attempts so far.
          memory_limit: Fraction of an engine's memory that may be filled; None
            for no limit.

        Returns:
          None if no target is left, or no engine has room.
        """
        now_s = anyio.current_time()
        if attempts.resuming and attempts.backup is not None:
            return attempts.backup.view
        candidates = self.candidates(admitted, service, attempts)
        if admitted.route.kind is model.Kind.STREAM:
            return self._choose_engine(
                admitted, candidates, memory_limit, now_s
            )
        return placement.choose_service_target(candidates, admitted.id, now_s)

    def candidates(
        self,
        admitted: admission.AdmittedRequest,
        service: str,
        attempts: retries.Attempts,
    ) -> list[target_view.TargetView]:
        """Returns the targets that a request may be sent to now.

        A target that appears to fail is returned only if there is no other. One
        that does not accept requests, or an engine on outdated weights, is
        never returned.
        """
        now_s = anyio.current_time()
        permitted = []
        for view in self.untried(admitted, service, attempts):
            if not view.accepts_requests(now_s):
                continue
            if not self.weights.is_outdated(view, admitted.prompt.model, now_s):
                permitted.append(view)
        usable = [view for view in permitted if view.is_usable(now_s)]
        return usable or permitted

    def untried(
        self,
        admitted: admission.AdmittedRequest,
        service: str,
        attempts: retries.Attempts,
    ) -> list[target_view.TargetView]:
        """Returns the targets of a service that a request may be sent to.

        They may be unusable for the moment.
        """
        views = self.site.targets_within(service, admitted.regions)
        found = []
        for view in views:
            if view.is_emptying:
                continue
            if attempts.permits(view.target):
                found.append(view)
        return found

    def retry_after_s(
        self, admitted: admission.AdmittedRequest, service: str
    ) -> float:
        """Returns the time after which a refused caller may return.

        No target of the service accepts requests before that, unless the caller
        cannot wait so long.
        """
        now_s = anyio.current_time()
        longest_s = return_times.longest_wait_s(
            admitted.caller_deadline_s - now_s
        )
        pause_s = self.site.targets.remaining_pause_s(service, now_s)
        return max(RETRY_AFTER_S, min(pause_s, longest_s))

    def refuse_if_paused(
        self,
        admitted: admission.AdmittedRequest,
        service: str,
        until_s: float,
    ) -> None:
        """Refuses a request if no target accepts it within its wait.

        Args:
          admitted: The request.
          service: Service of the request.
          until_s: Loop time until which the request may wait.

        Raises:
          RefusedError: All targets of the service asked for a longer pause.
        """
        now_s = anyio.current_time()
        pause_s = self.site.targets.remaining_pause_s(service, now_s)
        if not pause_s or now_s + pause_s < until_s:
            return
        raise verdict.refuse(
            verdict.Reason.OVERLOADED,
            "all targets of the service ask for a pause; retry later",
            retry_after_s=self.retry_after_s(admitted, service),
        )

    def _choose_engine(
        self,
        admitted: admission.AdmittedRequest,
        candidates: list[target_view.TargetView],
        memory_limit: float | None,
        now_s: float,
    ) -> target_view.TargetView | None:
        prompt = admitted.prompt
        shared_parts = self.sessions.shared_parts(admitted.route.name, prompt)
        jitter = placement.request_jitter(admitted.id, len(self.site.gateways))
        surcharge = self.separations.surcharge(prompt, candidates, now_s)
        return placement.choose_engine(
            candidates,
            prompt,
            added_cost=lambda view: jitter(view) + surcharge(view),
            cache_scope=self._cache_scope(admitted),
            affinity_key=shared_parts[-1].id if shared_parts else "",
            stored_tokens=lambda salt: self.site.stored.prefix_tokens(
                prompt, salt, now_s
            ),
            memory_limit=memory_limit,
            now_s=now_s,
        )

    def prepare(
        self,
        admitted: admission.AdmittedRequest,
        view: target_view.TargetView,
        relay: streams.StreamRelay,
        attempts: retries.Attempts,
    ) -> target_requests.Dispatch:
        """Returns the target and the parameters of an attempt."""
        last_event_id = relay.splitter.last_id
        name = admitted.prompt.model
        weights = self.weights.expected(name, view)
        backup = attempts.backup
        if backup is not None and attempts.resuming:
            salt = salts.make(admitted.cache_scope, name, weights or 0)
            return target_requests.Dispatch(
                view.target,
                salt,
                backup.weights,
                last_event_id,
                from_copy=True,
            )
        salt = salts.make(self._cache_scope(admitted), name, weights or 0)
        if not name or weights is None:
            return target_requests.Dispatch(
                view.target, salt, last_event_id=last_event_id
            )
        copy_to = None if backup is None else backup.view.target.address
        return target_requests.Dispatch(
            view.target,
            salt,
            weights,
            last_event_id,
            self._plan_transfers(admitted, view, salt),
            copy_to,
            begin_by_s=self.weights.begin_by_s(
                name, weights, anyio.current_time()
            ),
        )

    def _cache_scope(self, admitted: admission.AdmittedRequest) -> str:
        """Returns the scope in force; a request may wait while it changes."""
        table = self.site.table
        if table is None:
            return admitted.cache_scope
        return table.cache_scope(admitted.workspace)

    def _plan_transfers(
        self,
        admitted: admission.AdmittedRequest,
        view: target_view.TargetView,
        salt: str,
    ) -> stored_parts.TransferPlan:
        """Returns the parts of the prompt that an engine fetches and saves.

        A prompt that is bound to regions is neither saved nor fetched: others
        could not tell whose part it is.
        """
        if admitted.regions:
            return stored_parts.NO_TRANSFERS
        return self.site.stored.plan(
            admitted.prompt,
            self.sessions.shared_parts(admitted.route.name, admitted.prompt),
            salt,
            self.site.stores(),
            holder=self._make_holder_lookup(view),
            now_s=anyio.current_time(),
        )

    def choose_backup(
        self,
        admitted: admission.AdmittedRequest,
        view: target_view.TargetView,
    ) -> backups.Backup | None:
        """Returns the backup of a run; None if the run is not copied."""
        service = self.site.service(view.target.service)
        if service is None or service.engine is None:
            return None
        if not service.engine.backs_up or admitted.route.may_repeat:
            return None
        if not backups.is_worthwhile(admitted.prompt):
            return None
        return backups.choose(
            self.site.targets_within(view.target.service, admitted.regions),
            view,
            admitted.prompt,
            engine_memory.needed_tokens(admitted.prompt, 0),
            anyio.current_time(),
        )

    def _make_holder_lookup(
        self, chosen: target_view.TargetView
    ) -> collections.abc.Callable[[tuple[str, str]], str | None]:
        """Returns a function that finds another engine that holds a part."""
        now_s = anyio.current_time()
        views = self.site.targets.of_service(chosen.target.service)
        return lambda key: peer_parts.find_holder(views, chosen, key, now_s)

    def estimate_work(
        self,
        admitted: admission.AdmittedRequest,
        view: target_view.TargetView,
        dispatch: target_requests.Dispatch,
    ) -> exchange.Work:
        """Returns the expected work of a request at a target."""
        now_s = anyio.current_time()
        prompt = admitted.prompt
        cached_tokens = view.cached.prefix_tokens(dispatch.salt, prompt)
        fetched = max(0, dispatch.transfers.fetched_tokens - cached_tokens)
        unread = max(0, prompt.tokens - cached_tokens - fetched)
        cost = unread + placement.queue_cost(view, prompt, now_s)
        memory = engine_memory.needed_tokens(prompt, cached_tokens)
        return exchange.Work(unread, fetched, cost, memory, now_s)

    def record_first_event(
        self,
        admitted: admission.AdmittedRequest,
        dispatch: target_requests.Dispatch,
        work: exchange.Work,
    ) -> messages.ObservedFetch | None:
        """Updates the cost estimates from an engine's time to first event.

        Returns what other gateways should know of a fetch.
        """
        now_s = anyio.current_time()
        sample = fetch_costs.FirstEvent(
            admitted.route.name, work.cost_tokens, now_s - work.started_s
        )
        costs = self.site.stored.costs
        if not work.fetched_tokens:
            costs.record_prefill(sample)
            return None
        source, _ = dispatch.transfers.main_source()
        return costs.record_fetch(source, work.fetched_tokens, sample, now_s)

    def record_failure(
        self, view: target_view.TargetView, error: exchange.AttemptError
    ) -> None:
        """Updates the view of a target after a failed attempt."""
        if error.is_withdrawn:
            return
        now_s = anyio.current_time()
        if error.answer is not None:
            view.record_load(loads.find(error.answer.head), now_s)
        if error.is_misdirected:
            self._record_misdirected(view, error, now_s)
        elif error.reason.startswith("rejected"):
            view.record_rejection(now_s)
        elif error.answer is not None:
            view.record_error()
        else:
            view.record_failure(now_s, eject_now=not error.was_sent)

    def _record_misdirected(
        self,
        view: target_view.TargetView,
        error: exchange.AttemptError,
        now_s: float,
    ) -> None:
        """Handles an address of another target, or unexpected weights."""
        answer = error.answer
        target_id = (
            None if answer is None else answer.head.find(headers.TARGET_ID)
        )
        if target_id is not None and target_id == view.target.id:
            # Only the weights differ: assume the newest announced versions.
            for name, version in self.site.weights.newest_versions().items():
                view.set_weights(name, version)
            return
        view.backoff_until_s = now_s + MISDIRECTED_BACKOFF_S
