"""Sends a request to one target and relays its answer."""

from __future__ import annotations

import contextlib
import typing

import anyio
import attrs

from cactusstile.gateway import admission
from cactusstile.gateway import answer_memory
from cactusstile.gateway import dispatching
from cactusstile.gateway import exchange
from cactusstile.gateway import records
from cactusstile.gateway import retries
from cactusstile.gateway import streams
from cactusstile.gateway import target_limits
from cactusstile.gateway import target_requests
from cactusstile.gateway import target_view
from cactusstile.gateway.engines import backups
from cactusstile.gateway.engines import prompts
from cactusstile.gateway.engines import return_times
from cactusstile.gateway.engines import stream_pace
from cactusstile.gateway.quarantine import quarantine as quarantines
from cactusstile.http import messages as http_messages
from cactusstile.http import targets
from cactusstile.platform import headers
from cactusstile.platform import loads
from cactusstile.sites import messages

if typing.TYPE_CHECKING:
    import collections.abc

    AnnounceLoad = collections.abc.Callable[[], None]
    AnnounceFetch = collections.abc.Callable[[messages.ObservedFetch], None]
    AnnounceLimit = collections.abc.Callable[[target_limits.TargetLimit], None]
    AnnouncePrompt = collections.abc.Callable[[str, str, prompts.Prompt], None]


class Sender:
    """Makes single attempts and counts their work.

    Attributes:
      pool: Connections to targets.
      dispatcher: Prepares attempts and updates the views from their outcome.
      times: When refused callers may return; learns of runs that end.
      quarantine: Requests that must not be sent to targets.
      pace: Estimated duration of streams.
      answers: Limit on the large answers that are held; none by default.
      announce_prompt: Announces to other gateways that an engine was sent a
        prompt; called with the engine's id, the salt and the prompt.
      announce_fetch: Announces to other gateways how long a fetch took.
      announce_limit: Tells other gateways the limit that a target names.
      announce_load: Tells other gateways that the load of a target changed.
    """

    def __init__(
        self,
        pool: targets.Pool,
        dispatcher: dispatching.Dispatcher,
        times: return_times.ReturnTimes,
        quarantine: quarantines.Quarantine,
    ) -> None:
        """Sends over `pool`; see the attributes."""
        self.pool = pool
        self.dispatcher = dispatcher
        self.times = times
        self.quarantine = quarantine
        self.pace = stream_pace.StreamPace()
        self.answers = answer_memory.AnswerMemory()
        self.announce_prompt: AnnouncePrompt = lambda *_: None
        self.announce_fetch: AnnounceFetch = lambda _: None
        self.announce_limit: AnnounceLimit = lambda _: None
        self.announce_load: AnnounceLoad = lambda: None

    async def send(
        self,
        admitted: admission.AdmittedRequest,
        view: target_view.TargetView,
        relay: streams.StreamRelay,
        attempts: retries.Attempts,
        record: records.RequestRecord,
    ) -> None:
        """Sends a request to one target and relays its answer."""
        if not attempts.resuming:
            attempts.backup = self.dispatcher.choose_backup(admitted, view)
        with self.answers.hold() as holding:
            opened = await self._attempt(
                admitted, view, relay, attempts, record, holding=holding
            )
            if isinstance(opened, exchange.Answer):
                await self._relay_answer(opened, relay)

    async def _attempt(
        self,
        admitted: admission.AdmittedRequest,
        view: target_view.TargetView,
        relay: streams.StreamRelay,
        attempts: retries.Attempts,
        record: records.RequestRecord,
        *,
        holding: answer_memory.Holding,
    ) -> exchange.Answer | exchange.OpenStream:
        """Returns the answer of one attempt; a stream is already relayed."""
        prepared = self.dispatcher.prepare(admitted, view, relay, attempts)
        dispatch = attrs.evolve(prepared, is_return=attempts.is_return)
        work = self.dispatcher.estimate_work(admitted, view, dispatch)
        self._describe(admitted, work, dispatch, record)
        before = relay.events
        self._announce(admitted.prompt, view, dispatch, work)
        try:
            async with (
                self._count_work(view, work, attempts.backup),
                self._open_attempt(
                    admitted, view, dispatch, record, holding
                ) as opened,
            ):
                view.record_load(loads.find(opened.head), anyio.current_time())
                if isinstance(opened, exchange.OpenStream):
                    record.attempts[-1].first_event_s = anyio.current_time()
                    self._record_first_event(admitted, dispatch, work)
                    await self._relay_stream(
                        opened, admitted, view, work, relay
                    )
            view.record_success(anyio.current_time())
        except anyio.get_cancelled_exc_class():
            self._record_timeout(admitted, view, record)
            raise
        finally:
            record.set_events(relay.events - before, relay.longest_gap_s)
        return opened

    def _announce(
        self,
        prompt: prompts.Prompt,
        view: target_view.TargetView,
        dispatch: target_requests.Dispatch,
        work: exchange.Work,
    ) -> None:
        """Records a prompt that is sent to an engine, and tells others."""
        self.dispatcher.separations.record_work(view, prompt, work)
        view.cached.add(dispatch.salt, prompt)
        self.announce_prompt(view.target.id, dispatch.salt, prompt)

    def _open_attempt(
        self,
        admitted: admission.AdmittedRequest,
        view: target_view.TargetView,
        dispatch: target_requests.Dispatch,
        record: records.RequestRecord,
        holding: answer_memory.Holding,
    ) -> contextlib.AbstractAsyncContextManager[
        exchange.Answer | exchange.OpenStream
    ]:
        """Opens an attempt that heeds and records the target's notices."""
        sent_s = float("-inf")

        def record_head(head: http_messages.ResponseHead) -> None:
            is_own = head.find(headers.REQUEST_ID) == admitted.id
            asked_s = sent_s if is_own else float("-inf")
            view.notices.record(head, anyio.current_time(), asked_s)
            record.add_notices(head)
            self.announce_limit(view.notices.limit)

        def may_send() -> bool:
            nonlocal sent_s
            sent_s = anyio.current_time()
            return self._may_send(admitted, view, sent_s)

        return exchange.open_attempt(
            self.pool,
            admitted,
            dispatch,
            may_send,
            record_head,
            holding=holding,
        )

    def _may_send(
        self,
        admitted: admission.AdmittedRequest,
        view: target_view.TargetView,
        now_s: float,
    ) -> bool:
        """Returns whether a request may be sent now; if so, counts it."""
        if now_s >= admitted.answer_deadline_s:
            return False
        may_decide = self.dispatcher.site.view_age.may_decide()
        if not may_decide or self.quarantine.is_held(admitted.keys):
            return False
        if not view.accepts_requests(now_s):
            return False
        view.spend(now_s)
        self.quarantine.holds.end_trial(admitted.keys)
        return True

    def _describe(
        self,
        admitted: admission.AdmittedRequest,
        work: exchange.Work,
        dispatch: target_requests.Dispatch,
        record: records.RequestRecord,
    ) -> None:
        """Records the work of an attempt and its weights."""
        record.set_work(admitted, work, dispatch)
        if dispatch.weights is None:
            return
        announced = self.dispatcher.site.weights
        name = admitted.prompt.model
        since_s = announced.lacking_since_s(name, dispatch.weights)
        outdated_s = None
        if since_s is not None:
            outdated_s = anyio.current_time() - since_s
        record.set_weights(dispatch.weights, outdated_s)

    def _record_first_event(
        self,
        admitted: admission.AdmittedRequest,
        dispatch: target_requests.Dispatch,
        work: exchange.Work,
    ) -> None:
        """Records the first event of a stream."""
        observed = self.dispatcher.record_first_event(admitted, dispatch, work)
        if observed is not None:
            self.announce_fetch(observed)

    async def _relay_stream(
        self,
        opened: exchange.OpenStream,
        admitted: admission.AdmittedRequest,
        view: target_view.TargetView,
        work: exchange.Work,
        relay: streams.StreamRelay,
    ) -> None:
        """Relays a stream that has begun, and records its duration."""
        view.unread_tokens -= work.unread_tokens
        work.unread_tokens = 0
        self.announce_load()
        before = relay.events
        with self.pace.follow(
            admitted.route.name,
            work.started_s,
            lambda: relay.events - before,
        ):
            await relay.feed(opened, retries.origin_at(view.target))
        self.dispatcher.separations.record_pauses(
            admitted.route, view, relay.longest_gap_s
        )

    def _record_timeout(
        self,
        admitted: admission.AdmittedRequest,
        view: target_view.TargetView,
        record: records.RequestRecord,
    ) -> None:
        """Records a failure if the target sent nothing until the deadline."""
        now_s = anyio.current_time()
        if record.attempts[-1].first_event_s is not None:
            return
        if now_s >= admitted.answer_deadline_s:
            view.record_failure(now_s)

    async def _relay_answer(
        self, answer: exchange.Answer, relay: streams.StreamRelay
    ) -> None:
        """Relays a complete answer, unless events were already sent."""
        if answer.was_run:
            relay.observer.record_whole()
        if relay.started:
            return
        relayed = exchange.relayed_answer(answer)
        await relay.responder.respond(*relayed)

    @contextlib.asynccontextmanager
    async def _count_work(
        self,
        view: target_view.TargetView,
        work: exchange.Work,
        backup: backups.Backup | None,
    ) -> collections.abc.AsyncIterator[None]:
        """Adds an attempt's work and its copy to the views until it ends."""
        view.inflight += 1
        view.unread_tokens += work.unread_tokens
        view.tokens += work.memory_tokens
        if backup is not None:
            backup.view.tokens += backup.tokens
        self.announce_load()
        try:
            yield
        finally:
            view.inflight -= 1
            view.tokens -= work.memory_tokens
            view.unread_tokens -= work.unread_tokens
            if backup is not None:
                backup.view.tokens -= backup.tokens
            self.announce_load()
            self.times.record_end(work.memory_tokens, anyio.current_time())
