"""Forwards requests: attempt after attempt until an answer or a refusal."""

from __future__ import annotations

import contextlib
import typing

import anyio

from cactusstile import verdict
from cactusstile.gateway import admission
from cactusstile.gateway import backups
from cactusstile.gateway import budget as budgets
from cactusstile.gateway import dispatching
from cactusstile.gateway import exchange
from cactusstile.gateway import prompts
from cactusstile.gateway import records
from cactusstile.gateway import refusals
from cactusstile.gateway import retries
from cactusstile.gateway import site_view
from cactusstile.gateway import stream_pace
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
    TellPrompt = collections.abc.Callable[[str, str, prompts.Prompt], None]

# Time after which a caller may try again, while this gateway knows no
# configuration yet.
START_RETRY_AFTER_S = 1.0
# The same, when any other gateway can serve the request.
STOP_RETRY_AFTER_S = 0.01


class Forwarder:
    """Handles the requests of callers.

    Attributes:
      site: What is known of the site.
      pool: Connections to targets.
      budget: Bound of repeated requests.
      record: Takes what happened to each request.
      dispatcher: Chooses targets and learns from answers.
      pace: How long streams last.
      tell_prompt: Tells other gateways which prompt an engine was sent, by the
        engine's id and the salt.
      ends_s: Loop time at which the process ends; None while it goes on.
    """

    def __init__(
        self,
        site: site_view.SiteView,
        pool: targets.Pool,
        budget: budgets.RepeatBudget,
        record: Record,
        weights_s: float,
    ) -> None:
        """Forwards to the targets of `site`; see `dispatching`."""
        self.site = site
        self.pool = pool
        self.budget = budget
        self.record = record
        self.dispatcher = dispatching.Dispatcher(site, weights_s)
        self.pace = stream_pace.StreamPace()
        self.tell_prompt: TellPrompt = lambda *_: None
        self.ends_s: float | None = None

    async def handle(
        self, request: messages.Request, responder: responders.Responder
    ) -> None:
        """Answers one request; see `http.callers`."""
        record = records.RequestRecord(
            id=request.find(headers.REQUEST_ID) or "",
            received_s=request.received_s,
        )
        try:
            admitted = await self._admit(request)
            record.note_admitted(admitted)
            self.dispatcher.sessions.note(admitted.route.name, admitted.prompt)
            self._check_stop(admitted)
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

    async def _admit(self, request: messages.Request) -> admission.Admitted:
        """Admits a request; one that comes just after a start may wait.

        All gateways start at the same moment after a loss of power, and know
        the configuration about a second later: a refusal would cost callers
        their retry while no other gateway could serve it.
        """
        if self.site.table is None:
            hold_s = admission.hold_s(request)
            with anyio.move_on_after(hold_s):
                await self.site.configured.wait()
        if self.site.table is None:
            raise verdict.refuse(
                verdict.Reason.STALE_CONFIGURATION,
                "no configuration is known yet",
                retry_after_s=START_RETRY_AFTER_S,
            )
        admitted = admission.admit(self.site.table, request)
        await self._wait_for_stores(admitted)
        return admitted

    async def _wait_for_stores(self, admitted: admission.Admitted) -> None:
        """Lets a long prompt wait until it is known what stores hold."""
        known = self.site.stores_known.is_set() or not self.site.stores()
        wait_s = admission.stores_wait_s(
            admitted.prompt.tokens,
            anyio.current_time() - self.site.configured_s,
            known=known,
        )
        if wait_s > 0:
            with anyio.move_on_after(wait_s):
                await self.site.stores_known.wait()

    def _check_stop(self, admitted: admission.Admitted) -> None:
        """Refuses a stream that may well outlast the process.

        Raises:
          RefusedError: It does; another gateway can serve it.
        """
        if self.ends_s is None or admitted.route.kind is not model.Kind.STREAM:
            return
        prompt = admitted.prompt
        longest_s = self.pace.longest_s(
            admitted.route.name,
            prompt.expected_tokens,
            prompt.max_output_tokens,
        )
        if anyio.current_time() + longest_s > self.ends_s:
            raise verdict.refuse(
                verdict.Reason.SHUTTING_DOWN,
                "this gateway stops before the stream would end",
                retry_after_s=STOP_RETRY_AFTER_S,
            )

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
            retry_after_s=dispatching.RETRY_AFTER_S,
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
        service = self.dispatcher.choose_service(admitted)
        self.budget.count_request(service, anyio.current_time())
        while True:
            view = self.dispatcher.choose_target(admitted, service, attempts)
            if view is None:
                reason = verdict.Reason.NO_TARGET
                await self._answer_error(responder, attempts, reason)
                return
            record.begin_attempt(view, anyio.current_time())
            attempts.begin(view.target)
            try:
                await self._attempt(admitted, view, relay, attempts, record)
                record.end_attempt("answered", anyio.current_time())
                return
            except exchange.AttemptError as error:
                record.end_attempt(error.reason, anyio.current_time())
                attempts.fail(error)
                self.dispatcher.note_failure(view, error)
                if await self._may_resume(service, attempts, view, relay):
                    attempts.resuming = True
                    continue
                attempts.resuming = False
                if self._may_repeat(service, attempts, error):
                    continue
                reason = verdict.Reason.TARGET_LOST
                await self._answer_error(responder, attempts, reason)
                return

    async def _may_resume(
        self,
        service: str,
        attempts: retries.Attempts,
        view: target_view.TargetView,
        relay: streams.Relay,
    ) -> bool:
        """Returns whether a broken run goes on from its copy."""
        backup = attempts.backup
        if backup is None or attempts.resuming:
            return False
        # Without an event's id the run could only begin anew.
        if relay.splitter.last_id is None or not relay.started:
            return False
        if not await backups.has_ended(view.target):
            return False
        now_s = anyio.current_time()
        return backup.view.answers(now_s) and self.budget.spend(service, now_s)

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
        self,
        responder: responders.Responder,
        attempts: retries.Attempts,
        reason: verdict.Reason,
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
        raise verdict.refuse(
            reason,
            "no target answered the request",
            verdict=attempts.final_verdict(),
            retry_after_s=dispatching.RETRY_AFTER_S,
        )

    async def _attempt(
        self,
        admitted: admission.Admitted,
        view: target_view.TargetView,
        relay: streams.Relay,
        attempts: retries.Attempts,
        record: records.RequestRecord,
    ) -> None:
        """Sends a request to one target and relays its answer."""
        if not attempts.resuming:
            attempts.backup = self.dispatcher.choose_backup(admitted, view)
        dispatch = self.dispatcher.prepare(admitted, view, relay, attempts)
        work = self.dispatcher.estimate(admitted, view, dispatch)
        record.note_work(admitted, work, dispatch)
        before = relay.events
        view.held.note(dispatch.salt, admitted.prompt)
        self.tell_prompt(view.target.id, dispatch.salt, admitted.prompt)
        try:
            async with (
                _counted(view, work, attempts.backup),
                exchange.open_attempt(self.pool, admitted, dispatch) as opened,
            ):
                load = opened.head.find(headers.LOAD)
                view.note_load(load, anyio.current_time())
                if isinstance(opened, exchange.OpenStream):
                    record.attempts[-1].first_event_s = anyio.current_time()
                    self.dispatcher.note_first_event(dispatch, work)
                    view.unread_tokens -= work.unread_tokens
                    work.unread_tokens = 0
                    await relay.feed(opened)
                    self._note_stream(admitted, work)
            view.note_success()
        except anyio.get_cancelled_exc_class():
            self._note_silence(admitted, view, record)
            raise
        finally:
            record.attempts[-1].events = relay.events - before
        if isinstance(opened, exchange.Answer):
            await self._pass_on(opened, relay.responder)

    def _note_stream(
        self, admitted: admission.Admitted, work: exchange.Work
    ) -> None:
        """Learns from a stream that ended whole."""
        self.pace.note(
            admitted.route.name,
            admitted.prompt.expected_tokens,
            anyio.current_time() - work.started_s,
        )

    def _note_silence(
        self,
        admitted: admission.Admitted,
        view: target_view.TargetView,
        record: records.RequestRecord,
    ) -> None:
        """Notes a target that said nothing until the time was over."""
        now_s = anyio.current_time()
        if record.attempts[-1].first_event_s is not None:
            return
        if now_s >= admitted.answer_by_s:
            view.note_failure(now_s)

    async def _pass_on(
        self, answer: exchange.Answer, responder: responders.Responder
    ) -> None:
        """Passes a whole answer on, unless events were sent already."""
        if responder.started:
            return
        await responder.respond(*exchange.passed_on(answer))


@contextlib.asynccontextmanager
async def _counted(
    view: target_view.TargetView,
    work: exchange.Work,
    backup: backups.Backup | None,
) -> collections.abc.AsyncIterator[None]:
    """Counts the work of an attempt, and its copy, while it goes on."""
    view.inflight += 1
    view.unread_tokens += work.unread_tokens
    view.tokens += work.memory_tokens
    if backup is not None:
        backup.view.tokens += backup.tokens
    try:
        yield
    finally:
        view.inflight -= 1
        view.tokens -= work.memory_tokens
        view.unread_tokens -= work.unread_tokens
        if backup is not None:
            backup.view.tokens -= backup.tokens
