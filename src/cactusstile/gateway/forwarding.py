"""Forwards requests: attempt after attempt until an answer or a refusal."""

from __future__ import annotations

import typing

import anyio

from cactusstile import verdict
from cactusstile.gateway import admission
from cactusstile.gateway import budget as budgets
from cactusstile.gateway import exchange
from cactusstile.gateway import placement
from cactusstile.gateway import records
from cactusstile.gateway import refusals
from cactusstile.gateway import retries
from cactusstile.gateway import routes
from cactusstile.gateway import sessions
from cactusstile.gateway import site_view
from cactusstile.gateway import streams
from cactusstile.gateway import target_view
from cactusstile.http import messages
from cactusstile.http import responder as responders
from cactusstile.http import targets
from cactusstile.platform import headers
from cactusstile.sites import model

if typing.TYPE_CHECKING:
    import collections.abc

    Record = collections.abc.Callable[[records.RequestRecord], None]

# Time after which a caller may try again when nothing better is known.
RETRY_AFTER_S = 0.2
# Time for which a target that rejected a request is passed over.
REJECTION_PAUSE_S = 0.05


class Forwarder:
    """Handles the requests of callers.

    Attributes:
      site: What is known of the site.
      pool: Connections to targets.
      budget: Bound of repeated requests.
      record: Takes what happened to each request.
      sessions: What returns, by route.
    """

    def __init__(
        self,
        site: site_view.SiteView,
        pool: targets.Pool,
        budget: budgets.RepeatBudget,
        record: Record,
    ) -> None:
        """Forwards to the targets of `site`."""
        self.site = site
        self.pool = pool
        self.budget = budget
        self.record = record
        self.sessions = sessions.Sessions()

    async def handle(
        self, request: messages.Request, responder: responders.Responder
    ) -> None:
        """Answers one request; see `http.callers`."""
        record = records.RequestRecord(
            id=request.find(headers.REQUEST_ID) or "",
            received_s=request.received_s,
        )
        try:
            admitted = self._admit(request)
            record.note_admitted(admitted)
            self.sessions.note(admitted.route.name, admitted.prompt)
            await self._serve(admitted, responder, record)
        except verdict.RefusedError as error:
            record.note_refusal(error.refusal)
            if not responder.started:
                await responder.respond(*refusals.answer(error.refusal))
        except anyio.get_cancelled_exc_class():
            record.outcome = "caller_left"
            raise
        finally:
            record.close(responder, anyio.current_time())
            self.record(record)

    def _admit(self, request: messages.Request) -> admission.Admitted:
        if self.site.table is None:
            raise verdict.refuse(
                verdict.Reason.STALE_CONFIGURATION,
                "no configuration is known yet",
                retry_after_s=RETRY_AFTER_S,
            )
        return admission.admit(self.site.table, request)

    async def _serve(
        self,
        admitted: admission.Admitted,
        responder: responders.Responder,
        record: records.RequestRecord,
    ) -> None:
        """Forwards a request until the time of its route is over."""
        attempts = retries.Attempts(admitted.route)
        with anyio.CancelScope(deadline=admitted.answer_by_s) as scope:
            await self._try_targets(admitted, responder, attempts, record)
        if not scope.cancelled_caught:
            return
        raise verdict.refuse(
            verdict.Reason.DEADLINE_EXCEEDED,
            "no answer within the time of the route",
            verdict=attempts.final_verdict(),
            retry_after_s=RETRY_AFTER_S,
        )

    async def _try_targets(
        self,
        admitted: admission.Admitted,
        responder: responders.Responder,
        attempts: retries.Attempts,
        record: records.RequestRecord,
    ) -> None:
        """Sends a request to one target after the other.

        Raises:
          RefusedError: No target answered.
        """
        relay = streams.Relay(responder, admitted.last_event_id)
        service = self._choose_service(admitted)
        self.budget.count_request(service, anyio.current_time())
        while True:
            view = self._choose_target(admitted, service, attempts)
            if view is None:
                raise self._give_up(attempts, verdict.Reason.NO_TARGET)
            record.begin_attempt(view, anyio.current_time())
            attempts.begin(view.target)
            try:
                await self._attempt(admitted, view, relay, record)
                record.end_attempt("answered", anyio.current_time())
                return
            except exchange.AttemptError as error:
                record.end_attempt(error.reason, anyio.current_time())
                attempts.fail(error)
                self._note_failure(view, error)
                if self._may_repeat(service, attempts, error):
                    continue
                await self._answer_error(responder, attempts)
                return

    def _may_repeat(
        self,
        service: str,
        attempts: retries.Attempts,
        error: exchange.AttemptError,
    ) -> bool:
        if not attempts.may_go_on():
            return False
        if not error.arrived:
            return True
        return self.budget.spend(service, anyio.current_time())

    async def _answer_error(
        self, responder: responders.Responder, attempts: retries.Attempts
    ) -> None:
        """Answers a request that no target served.

        Raises:
          RefusedError: No target gave an answer of its own.
        """
        if attempts.answer is not None and not responder.started:
            passed = exchange.passed_on(attempts.answer)
            if passed[0] not in exchange.PROMISING_STATUSES:
                await responder.respond(*passed)
                return
        raise self._give_up(attempts, verdict.Reason.TARGET_LOST)

    async def _attempt(
        self,
        admitted: admission.Admitted,
        view: target_view.TargetView,
        relay: streams.Relay,
        record: records.RequestRecord,
    ) -> None:
        """Sends a request to one target and relays its answer."""
        dispatch = self._dispatch(admitted, view, relay)
        work = self._estimate(admitted, view, dispatch)
        record.note_work(admitted, work, dispatch)
        view.inflight += 1
        view.unread_tokens += work.unread_tokens
        view.held.note(dispatch.salt, admitted.prompt)
        try:
            async with exchange.open_attempt(
                self.pool, admitted, dispatch
            ) as opened:
                load = opened.head.find(headers.LOAD)
                view.note_load(load, anyio.current_time())
                if isinstance(opened, exchange.OpenStream):
                    record.attempts[-1].first_event_s = anyio.current_time()
                    self._note_first_event(dispatch, work)
                    view.unread_tokens -= work.unread_tokens
                    work.unread_tokens = 0
                    await relay.feed(opened)
            view.note_success()
        finally:
            view.inflight -= 1
            view.unread_tokens -= work.unread_tokens
        if isinstance(opened, exchange.Answer):
            await self._pass_on(opened, relay.responder)

    def _estimate(
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
        return exchange.Work(unread, fetched, cost, now_s)

    def _note_first_event(
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

    def _dispatch(
        self,
        admitted: admission.Admitted,
        view: target_view.TargetView,
        relay: streams.Relay,
    ) -> exchange.Dispatch:
        """Returns with what a request goes to a target."""
        last_event_id = relay.splitter.last_id
        name = admitted.prompt.model
        weights = view.weights.get(name)
        if not name or weights is None:
            salt = view.salt(name, admitted.wall)
            return exchange.Dispatch(
                view.target, salt, last_event_id=last_event_id
            )
        salt = view.salt(name, admitted.wall)
        returning = self.sessions.returning_parts(
            admitted.route.name, admitted.prompt
        )
        plan = self.site.kept.plan(
            admitted.prompt,
            returning,
            salt,
            self.site.stores(),
            anyio.current_time(),
        )
        return exchange.Dispatch(
            view.target, salt, weights, last_event_id, plan
        )

    async def _pass_on(
        self, answer: exchange.Answer, responder: responders.Responder
    ) -> None:
        """Passes a whole answer on, unless events were sent already."""
        if responder.started:
            return
        await responder.respond(*exchange.passed_on(answer))

    def _note_failure(
        self, view: target_view.TargetView, error: exchange.AttemptError
    ) -> None:
        now_s = anyio.current_time()
        if error.answer is not None:
            load = error.answer.head.find(headers.LOAD)
            view.note_load(load, now_s)
        if error.reason.startswith("rejected"):
            view.refusing_until_s = now_s + REJECTION_PAUSE_S
        elif error.answer is not None:
            view.note_error()
        else:
            view.note_failure(now_s, at_once=not error.arrived)

    def _choose_service(self, admitted: admission.Admitted) -> str:
        live = self.site.targets.live_services()
        found = routes.share_of(admitted.route, admitted.id, live)
        if found is None:
            raise verdict.refuse(
                verdict.Reason.NO_TARGET,
                "no target of this route is live",
                retry_after_s=RETRY_AFTER_S,
            )
        return found

    def _choose_target(
        self,
        admitted: admission.Admitted,
        service: str,
        attempts: retries.Attempts,
    ) -> target_view.TargetView | None:
        now_s = anyio.current_time()
        fresh = []
        for view in self.site.targets.of(service):
            if view.target.leaving or view.target.incarnation in attempts.tried:
                continue
            fresh.append(view)
        usable = [view for view in fresh if view.is_usable(now_s)]
        # A target that seems to fail is still better than none.
        possible = usable or fresh
        if admitted.route.kind is model.Kind.STREAM:
            returning = self.sessions.returning_parts(
                admitted.route.name, admitted.prompt
            )
            session = returning[-1].id if returning else ""
            prompt = admitted.prompt
            return placement.choose_engine(
                possible,
                prompt,
                wall=admitted.wall,
                session=session,
                kept=lambda salt: self.site.kept.held_tokens(
                    prompt, salt, now_s
                ),
                now_s=now_s,
            )
        return placement.choose_service_target(possible, admitted.id, now_s)

    def _give_up(
        self, attempts: retries.Attempts, reason: verdict.Reason
    ) -> verdict.RefusedError:
        return verdict.refuse(
            reason,
            "no target answered the request",
            verdict=attempts.final_verdict(),
            retry_after_s=RETRY_AFTER_S,
        )
