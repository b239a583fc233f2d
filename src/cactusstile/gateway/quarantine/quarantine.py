"""Refuses requests under which targets end, together with other gateways.

A gateway tells all others at once of a target that ended under its requests,
and of answers that exonerate a suspect key. What it knows is repeated to a few
gateways at a time, which reaches those that start and replaces lost
datagrams.

The module does no I/O; see `datagram_exchange`.
"""

from __future__ import annotations

import collections.abc
import logging
import random

import anyio

from cactusstile import verdict
from cactusstile.gateway import site_view
from cactusstile.gateway.quarantine import broken_attempts
from cactusstile.gateway.quarantine import decision
from cactusstile.gateway.quarantine import evidence as evidences
from cactusstile.gateway.quarantine import holds
from cactusstile.gateway.quarantine import request_keys
from cactusstile.sites import ages
from cactusstile.sites import hold_messages
from cactusstile.sites import model
from cactusstile.sites import quarantine_messages

Send = collections.abc.Callable[[quarantine_messages.EndEvidence, str], None]

logger = logging.getLogger(__name__)

# Time for which an answer must have gone on before it exonerates its request.
SETTLING_S = 0.2
# Time between two repeats, and the gateways that one goes to.
REPEAT_INTERVAL_S = 0.5
REPEAT_RECEIVERS = 2
# Rounds of repeats of which one includes the ends that are not urgent.
ROUNDS_PER_WHOLE_REPEAT = 10
# Shortest time between two decisions, for each suspect request: many targets
# may end together under hundreds.
DECISION_INTERVAL_PER_END_S = 0.00005
# Longest wait before answers are told: most gateways exonerate a common key at
# the same time, and the first to tell it spares the others.
MAX_ANSWER_DELAY_S = 0.02
MAX_ENDS_PER_MESSAGE = 100
MAX_ANSWERED_PER_MESSAGE = 500


class Quarantine:
    """Evidence against requests, shared with other gateways.

    Attributes:
      site: Local view of the site, with the list of gateways.
      send: Sends a message to the gateway with an address.
      evidence: What is known.
      broken: Attempts whose targets may have ended.
      holds: Holds that the registries keep.
      answered_holds: Ids of holds whose requests were answered all the same.
      names: Route and workspace of a refused request, by quarantined keys.
    """

    def __init__(self, site: site_view.SiteView) -> None:
        """Knows nothing and sends nothing yet."""
        self.site = site
        self.send: Send = lambda *_: None
        self.evidence = evidences.Evidence()
        self.broken = broken_attempts.BrokenAttempts()
        self.holds = holds.Holds()
        self.answered_holds: set[str] = set()
        self.names: dict[frozenset[str], tuple[str, str]] = {}
        self._decided_s = float("-inf")
        self._rounds = 0
        self._untold: set[str] = set()
        self._changed = anyio.Event()

    def is_held(self, keys: request_keys.RequestKeys) -> bool:
        """Returns whether a request must not be sent to targets."""
        if self.holds.is_trial(keys):
            return False
        if self.holds.find(keys):
            return True
        ends = len(self.evidence.ends)
        self._decide(DECISION_INTERVAL_PER_END_S * ends)
        if not self.evidence.quarantined:
            return False
        return self.evidence.is_quarantined(keys.all)

    def refuse_if_held(
        self, keys: request_keys.RequestKeys, outcome: verdict.Verdict
    ) -> None:
        """Refuses a request that must not be sent to targets.

        Args:
          keys: Keys of the request.
          outcome: Whether the request may have run.

        Raises:
          RefusedError: Targets end under the request, or under prompts with
            the same parts.
        """
        if not self.is_held(keys):
            return
        if self.holds.begin_trial(keys, anyio.current_time()):
            return
        for held in self.evidence.quarantined:
            if held <= keys.all:
                self.names[held] = keys.route, keys.workspace
        raise verdict.refuse(
            verdict.Reason.QUARANTINED,
            "several targets ended under this request or under prompts with "
            "the same parts; change the request",
            verdict=outcome,
            retry_after_s=self.evidence.remaining_s(anyio.current_time()),
        )

    def record_end(
        self,
        listed_start: str,
        keys: request_keys.RequestKeys,
        sent_s: float,
        ended_s: float,
    ) -> None:
        """Records that a target ended before it had answered a request.

        Args:
          listed_start: Identity of the target's start that the list showed
            when the request was sent.
          keys: Keys of the request.
          sent_s: Loop time from which the target may have run the request.
          ended_s: Loop time at which the target ended.
        """
        now_s = anyio.current_time()
        start_id = self.evidence.find_start(listed_start, sent_s)
        suspect = decision.SuspectRequest(
            start_id, keys.request, keys.parts, sent_s, ended_s
        )
        if not self.evidence.add_end(suspect):
            return
        # Without the parts that an answer here exonerates.
        stored = self.evidence.ends[suspect.target, suspect.request]
        message = quarantine_messages.EndEvidence(
            (_encode_end(stored, now_s),), ()
        )
        for receiver in self.site.other_gateways():
            self.send(message, receiver)

    def record_unlisted_ends(self) -> None:
        """Records the ends that only the platform's list tells."""
        views = self.site.targets.by_id
        if not self.broken.attempts or self.site.listed_s is None:
            return
        listed = broken_attempts.Listed(
            {name: view.leaving for name, view in views.items()},
            {name: view.target.born_ms for name, view in views.items()},
            {view.target.address for view in views.values()},
            self.site.listed_s,
        )
        for attempt in self.broken.take_ended(listed, anyio.current_time()):
            self.record_end(
                attempt.target.start_id,
                attempt.keys,
                attempt.sent_s,
                attempt.broken_s,
            )

    def record_answer(self, keys: request_keys.RequestKeys) -> None:
        """Records that a target answers a request."""
        now_s = anyio.current_time()
        suspect = keys.all & self.evidence.suspect_keys
        for key in keys.all:
            self.evidence.add_answer(key, now_s)
        self._tell_soon(suspect)
        for hold in self.holds.find(keys):
            self.answered_holds.add(hold.id)

    def apply_holds(self, item: hold_messages.HoldsInForce) -> None:
        """Applies the holds that the registries keep."""
        released = self.holds.apply(item, anyio.current_time())
        for hold, released_s in released:
            for key in hold.keys:
                self.evidence.add_answer(key, released_s)

    def receive(self, message: quarantine_messages.EndEvidence) -> None:
        """Applies what another gateway knows."""
        now_s = anyio.current_time()
        for answered in message.answered:
            answered_s = now_s - ages.to_s(answered.age_ms)
            self.evidence.add_answer(answered.key, answered_s)
            self._untold.discard(answered.key)
        for end in message.ends:
            suspect = _decode_end(end, now_s)
            self.evidence.add_end(suspect)
            # The sender does not know of the answers that exonerate a key.
            self._tell_soon(self.evidence.answered_keys(suspect))

    async def run(self) -> None:
        """Tells other gateways what is known while the process runs."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_answers)
            while True:
                await anyio.sleep(REPEAT_INTERVAL_S)
                self.record_unlisted_ends()
                self.repeat()

    async def _run_answers(self) -> None:
        while True:
            await self._changed.wait()
            await anyio.sleep(random.random() * MAX_ANSWER_DELAY_S)
            self._changed = anyio.Event()
            self.tell_answers()

    def tell_answers(self) -> None:
        """Tells all gateways of the answers that they may not know."""
        if not self._untold:
            return
        now_s = anyio.current_time()
        told = sorted(self._untold)[:MAX_ANSWERED_PER_MESSAGE]
        self._untold.clear()
        message = quarantine_messages.EndEvidence(
            (), self._encode_answers(told, now_s)
        )
        for receiver in self.site.other_gateways():
            self.send(message, receiver)

    def repeat(self) -> None:
        """Repeats ends to a few gateways, the urgent ones each time."""
        now_s = anyio.current_time()
        self.evidence.is_stale |= bool(self.evidence.ends)
        self._decide(0.0)
        if not self.evidence.ends:
            return
        others = self.site.other_gateways()
        receivers = random.sample(others, min(REPEAT_RECEIVERS, len(others)))
        self._rounds += 1
        known = list(self.evidence.ends.values())
        if self._rounds % ROUNDS_PER_WHOLE_REPEAT:
            known = self.evidence.urgent_ends(now_s)
        ends = [_encode_end(end, now_s) for end in known]
        for start in range(0, len(ends), MAX_ENDS_PER_MESSAGE):
            part = tuple(ends[start : start + MAX_ENDS_PER_MESSAGE])
            message = quarantine_messages.EndEvidence(part, ())
            for receiver in receivers:
                self.send(message, receiver)

    def _decide(self, interval_s: float) -> None:
        """Decides anew if something changed and the last time is past."""
        now_s = anyio.current_time()
        if not self.evidence.is_stale or now_s - self._decided_s < interval_s:
            return
        self._decided_s = now_s
        before = self.evidence.quarantined
        self.evidence.decide(now_s)
        if self.evidence.quarantined == before:
            return
        decided = set(self.evidence.quarantined)
        self.names = {
            held: name for held, name in self.names.items() if held in decided
        }
        logger.warning(
            "requests under which targets end are quarantined",
            extra={
                "quarantined": [
                    sorted(keys) for keys in self.evidence.quarantined
                ]
            },
        )

    def _tell_soon(self, keys: collections.abc.Set[str]) -> None:
        if keys:
            self._untold |= keys
            self._changed.set()

    def _encode_answers(
        self, keys: collections.abc.Iterable[str], now_s: float
    ) -> tuple[quarantine_messages.AnsweredKey, ...]:
        return tuple(
            quarantine_messages.AnsweredKey(
                key, ages.to_ms(now_s - self.evidence.answered[key])
            )
            for key in keys
            if key in self.evidence.answered
        )


class AnswerObserver:
    """Observes the current attempt: whether the target answers its request.

    Attributes:
      quarantine: Is told of an answer that goes on.
      keys: Keys of the request.
      is_answered: Whether the answer has gone on for long enough, or is whole.
      began_s: Loop time at which the attempt began.
    """

    def __init__(
        self, quarantine: Quarantine, keys: request_keys.RequestKeys
    ) -> None:
        """Observes an attempt that has not been answered yet."""
        self.quarantine = quarantine
        self.keys = keys
        self.begin_attempt()

    def begin_attempt(self) -> None:
        """Forgets how far the answer of an earlier target had come."""
        self.is_answered = False
        self.began_s = anyio.current_time()
        self._first_event_s: float | None = None

    def record_event(self) -> None:
        """Records that an event arrived."""
        if self.is_answered:
            return
        now_s = anyio.current_time()
        if self._first_event_s is None:
            self._first_event_s = now_s
        elif now_s - self._first_event_s >= SETTLING_S:
            self.record_whole()

    def record_whole(self) -> None:
        """Records that the answer is complete."""
        if not self.is_answered:
            self.is_answered = True
            self.quarantine.record_answer(self.keys)

    def record_end(self, target: model.Target, ended_s: float) -> None:
        """Records that the target ended before it had answered."""
        self.quarantine.record_end(
            target.start_id, self.keys, self.began_s, ended_s
        )

    def record_break(self, target: model.Target, broken_s: float) -> None:
        """Records that the answer broke off, for whatever reason."""
        self.quarantine.broken.add(
            broken_attempts.BrokenAttempt(
                target, self.keys, self.began_s, broken_s
            )
        )


def _encode_end(
    suspect: decision.SuspectRequest, now_s: float
) -> quarantine_messages.TargetEnd:
    return quarantine_messages.TargetEnd(
        suspect.target,
        suspect.request,
        tuple(sorted(suspect.parts)),
        ages.to_ms(now_s - suspect.ended_s),
        ages.to_ms(suspect.ended_s - suspect.sent_s),
    )


def _decode_end(
    end: quarantine_messages.TargetEnd, now_s: float
) -> decision.SuspectRequest:
    ended_s = now_s - ages.to_s(end.age_ms)
    return decision.SuspectRequest(
        end.target,
        end.request,
        frozenset(end.parts),
        ended_s - ages.to_s(end.ran_ms),
        ended_s,
    )
