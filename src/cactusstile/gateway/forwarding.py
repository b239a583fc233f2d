"""Forwards requests: repeats attempts until an answer or a refusal."""

from __future__ import annotations

import typing

import anyio

from cactusstile import verdict
from cactusstile.gateway import admission
from cactusstile.gateway import arrival
from cactusstile.gateway import budget as budgets
from cactusstile.gateway import dispatching
from cactusstile.gateway import exchange
from cactusstile.gateway import liveness
from cactusstile.gateway import records
from cactusstile.gateway import refusals
from cactusstile.gateway import retries
from cactusstile.gateway import sending
from cactusstile.gateway import site_view
from cactusstile.gateway import streams
from cactusstile.gateway import target_view
from cactusstile.gateway.engines import engine_queue
from cactusstile.gateway.peers import stream_directory
from cactusstile.gateway.quarantine import quarantine as quarantines
from cactusstile.http import messages
from cactusstile.http import responder as responders
from cactusstile.http import targets
from cactusstile.platform import headers
from cactusstile.sites import model

if typing.TYPE_CHECKING:
    import collections.abc

    Record = collections.abc.Callable[[records.RequestRecord], None]

# Delay after which a caller may retry when this gateway stops; short, since any
# other gateway can serve the request.
STOPPING_RETRY_AFTER_S = 0.01


class Forwarder:
    """Handles the requests of callers.

    Attributes:
      site: Local view of the site.
      budget: Retry budget.
      record: Called with the record of each request after its end.
      dispatcher: Chooses targets and updates their views.
      queue: Prompts that wait for an engine with room.
      sender: Sends a request to one target.
      directory: Knows where streams began that callers resume.
      quarantine: Requests that must not be sent to targets.
      stop_at_s: Loop time at which the process stops; None unless it is
        stopping.
    """

    def __init__(
        self,
        site: site_view.SiteView,
        pool: targets.Pool,
        budget: budgets.RetryBudget,
        record: Record,
        weights_s: float,
    ) -> None:
        """Forwards to the targets of `site`; see `dispatching`."""
        self.site = site
        self.budget = budget
        self.record = record
        self.dispatcher = dispatching.Dispatcher(site, weights_s)
        self.queue = engine_queue.EngineQueue(self.dispatcher)
        self.directory = stream_directory.StreamDirectory(site)
        self.quarantine = quarantines.Quarantine(site)
        self.sender = sending.Sender(
            pool, self.dispatcher, self.queue.times, self.quarantine
        )
        self.stop_at_s: float | None = None

    async def handle(
        self, request: messages.Request, responder: responders.Responder
    ) -> None:
        """Answers one request; see `http.callers`."""
        record = records.RequestRecord(
            id=request.find(headers.REQUEST_ID) or "",
            received_s=request.received_s,
        )
        try:
            admitted = await arrival.admit_when_ready(self.site, request)
            record.set_admitted(admitted)
            self._record_view(record, admitted.version)
            self.dispatcher.sessions.add(admitted.route.name, admitted.prompt)
            self._refuse_if_outlasting_stop(admitted)
            await self._serve(admitted, responder, record)
        except verdict.RefusedError as error:
            record.set_refusal(error.refusal)
            self._record_view(record, self.site.version)
            if not responder.started:
                await responder.respond(*refusals.answer(error.refusal))
        except anyio.get_cancelled_exc_class():
            record.outcome = "caller_left"
            self._record_view(record, self.site.version)
            raise
        finally:
            record.close(responder, anyio.current_time())
            self.record(record)

    def _record_view(self, record: records.RequestRecord, version: int) -> None:
        """Records by which view of the site a request is decided."""
        record.set_view(version, self.site.view_age.age_s())

    def _refuse_if_outlasting_stop(
        self, admitted: admission.AdmittedRequest
    ) -> None:
        """Refuses a stream that would probably outlast the process.

        Raises:
          RefusedError: The process stops first; another gateway can serve the
            stream.
        """
        if (
            self.stop_at_s is None
            or admitted.route.kind is not model.Kind.STREAM
        ):
            return
        prompt = admitted.prompt
        now_s = anyio.current_time()
        max_duration_s = self.sender.pace.max_duration_s(
            admitted.route.name,
            prompt.expected_tokens,
            prompt.max_output_tokens,
            now_s,
        )
        if now_s + max_duration_s > self.stop_at_s:
            raise verdict.refuse(
                verdict.Reason.SHUTTING_DOWN,
                "this gateway stops before the stream would end",
                retry_after_s=STOPPING_RETRY_AFTER_S,
            )

    async def _serve(
        self,
        admitted: admission.AdmittedRequest,
        responder: responders.Responder,
        record: records.RequestRecord,
    ) -> None:
        """Forwards a request within the timeout of its route.

        Raises:
          RefusedError: No target answered, or the timeout expired.
        """
        attempts = retries.Attempts(admitted.route)
        with anyio.CancelScope(deadline=admitted.answer_deadline_s) as scope:
            await self._try_targets(admitted, responder, attempts, record)
        if scope.cancelled_caught:
            raise _refuse_late(attempts)

    async def _try_targets(
        self,
        admitted: admission.AdmittedRequest,
        responder: responders.Responder,
        attempts: retries.Attempts,
        record: records.RequestRecord,
    ) -> None:
        """Sends a request to successive targets until one answers.

        Raises:
          RefusedError: No target answered.
        """
        await self._find_origin(admitted, attempts)
        relay = self._open_relay(admitted, responder, attempts)
        service = self.dispatcher.choose_service(admitted, attempts.origin)
        self.budget.count_request(service, anyio.current_time())
        while True:
            if anyio.current_time() >= admitted.answer_deadline_s:
                raise _refuse_late(attempts)
            view = await self._choose_target(admitted, service, attempts)
            if view is None:
                reason = verdict.Reason.NO_TARGET
                break
            record.begin_attempt(view, anyio.current_time())
            attempts.record_start(view.target)
            relay.observer.begin_attempt()
            try:
                await self.sender.send(admitted, view, relay, attempts, record)
                record.end_attempt("answered", anyio.current_time())
                return
            except exchange.AttemptError as error:
                record.fail_attempt(admitted, error, anyio.current_time())
                attempts.record_failure(error)
                await self._record_failure(view, error, relay.observer)
                if await self._may_go_on(service, attempts, view, relay, error):
                    continue
                reason = verdict.Reason.TARGET_LOST
                break
        retry_after_s = self.dispatcher.retry_after_s(admitted, service)
        await self._answer_error(responder, attempts, reason, retry_after_s)

    async def _choose_target(
        self,
        admitted: admission.AdmittedRequest,
        service: str,
        attempts: retries.Attempts,
    ) -> target_view.TargetView | None:
        """Returns the target of the next attempt; None if none is left.

        Raises:
          RefusedError: Targets end under the request, none has room, or this
            process stops before a stream would end.
        """
        outcome = attempts.final_verdict()
        request = admitted.request
        while True:
            await arrival.wait_until_confirmed(self.site, request, outcome)
            self.quarantine.refuse_if_held(admitted.keys, outcome)
            view = await self.queue.choose_target(admitted, service, attempts)
            if self.site.view_age.may_decide():
                break
        # It may have waited while targets ended, or a stop began.
        self.quarantine.refuse_if_held(admitted.keys, outcome)
        if not attempts.sent_count:
            self._refuse_if_outlasting_stop(admitted)
        return view

    async def _record_failure(
        self,
        view: target_view.TargetView,
        error: exchange.AttemptError,
        observer: quarantines.AnswerObserver,
    ) -> None:
        """Records a failure of a target, and the request if it ended then."""
        self.dispatcher.record_failure(view, error)
        if observer.is_answered or not error.is_broken_off:
            return
        if self._is_leaving(view):
            # It was going to end, whatever it ran.
            return
        broken_s = anyio.current_time()
        if await self._has_ended(view):
            observer.record_end(view.target, broken_s)
        else:
            observer.record_break(view.target, broken_s)

    async def _has_ended(self, view: target_view.TargetView) -> bool:
        """Returns whether a target certainly works on no request any more.

        One that is not listed may have left, and still finish its requests.
        """
        if not self._is_staying(view):
            return False
        return await liveness.has_ended(view) and self._is_staying(view)

    def _is_staying(self, view: target_view.TargetView) -> bool:
        """Returns whether this start of a target is listed, and stays."""
        is_listed = view.target.incarnation in self.site.targets.views
        return is_listed and not self._is_leaving(view)

    def _is_leaving(self, view: target_view.TargetView) -> bool:
        """Returns whether a target leaves, by any list since it was chosen.

        A target that a list lacked has another view since.
        """
        newest = self.site.targets.by_id.get(view.target.id, view)
        return view.leaving or newest.leaving

    def _is_list_old(self) -> bool:
        """Returns whether targets may have begun to leave unnoticed."""
        if self.site.listed_s is None or not self.site.view_age.may_decide():
            return True
        age_s = anyio.current_time() - self.site.listed_s
        return age_s > site_view.MAX_LIST_AGE_S

    async def _find_origin(
        self, admitted: admission.AdmittedRequest, attempts: retries.Attempts
    ) -> None:
        """Finds the build that may continue the stream of a caller.

        Raises:
          RefusedError: Nobody knows where the stream began, and targets of
            several builds serve or served lately.
        """
        if admitted.last_event_id is None or not admitted.route.may_repeat:
            return
        attempts.origin = await self.directory.find(admitted.resumed_id)
        if attempts.origin is not None:
            return
        attempts.sole_build = self.site.find_sole_build(admitted.route)
        if attempts.sole_build is None:
            raise verdict.refuse(
                verdict.Reason.NO_TARGET,
                "it is not known where the stream began; begin it anew",
                retry_after_s=dispatching.RETRY_AFTER_S,
            )

    def _open_relay(
        self,
        admitted: admission.AdmittedRequest,
        responder: responders.Responder,
        attempts: retries.Attempts,
    ) -> streams.StreamRelay:
        """Returns a relay that records where the stream begins."""

        def record_origin(origin: retries.StreamOrigin) -> None:
            if attempts.origin is not None:
                return
            attempts.origin = origin
            if admitted.route.may_repeat:
                stream_id = admitted.resumed_id or admitted.id
                self.directory.record(stream_id, origin)

        return streams.StreamRelay(
            responder,
            admitted.last_event_id,
            record_origin,
            quarantines.AnswerObserver(self.quarantine, admitted.keys),
        )

    async def _may_go_on(
        self,
        service: str,
        attempts: retries.Attempts,
        view: target_view.TargetView,
        relay: streams.StreamRelay,
        error: exchange.AttemptError,
    ) -> bool:
        """Returns whether another attempt follows; it may resume the run."""
        attempts.resuming = await self._may_resume(
            service, attempts, view, relay
        )
        return self._may_retry(service, attempts, error)

    async def _may_resume(
        self,
        service: str,
        attempts: retries.Attempts,
        view: target_view.TargetView,
        relay: streams.StreamRelay,
    ) -> bool:
        """Returns whether an interrupted run can resume from its copy."""
        backup = attempts.backup
        if backup is None or attempts.resuming:
            return False
        # Without an event id the run could only restart from the beginning.
        if relay.splitter.last_id is None or not relay.started:
            return False
        if self._is_list_old() or not await self._has_ended(view):
            return False
        now_s = anyio.current_time()
        if not backup.view.accepts_requests(now_s):
            return False
        return backup.view.is_reachable(now_s) and self.budget.try_spend(
            service, now_s
        )

    def _may_retry(
        self,
        service: str,
        attempts: retries.Attempts,
        error: exchange.AttemptError,
    ) -> bool:
        if attempts.resuming:
            return True
        if not attempts.may_retry():
            return False
        if not error.was_sent:
            return True
        return self.budget.try_spend(service, anyio.current_time())

    async def _answer_error(
        self,
        responder: responders.Responder,
        attempts: retries.Attempts,
        reason: verdict.Reason,
        retry_after_s: float,
    ) -> None:
        """Relays the last error answer of a target.

        Raises:
          RefusedError: There is no such answer, or it cannot be relayed.
        """
        if attempts.answer is not None and not responder.started:
            relayed = exchange.relayed_answer(attempts.answer)
            if relayed[0] not in exchange.NOT_RUN_STATUSES:
                await responder.respond(*relayed)
                return
        raise verdict.refuse(
            reason,
            "no target answered the request",
            verdict=attempts.final_verdict(),
            retry_after_s=retry_after_s,
        )


def _refuse_late(attempts: retries.Attempts) -> verdict.RefusedError:
    """Returns the refusal of a request whose time has run out."""
    return verdict.refuse(
        verdict.Reason.DEADLINE_EXCEEDED,
        "no answer within the time of the route",
        verdict=attempts.final_verdict(),
        retry_after_s=dispatching.RETRY_AFTER_S,
    )
