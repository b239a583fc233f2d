"""Refuses prompts under which targets end, together with other gateways.

A gateway tells all others at once of a target that ended under its prompts, and
of answers that exonerate a suspect part. What it knows is repeated to a few
gateways at a time, which reaches those that start and replaces lost datagrams.

The module does no I/O; see `datagram_exchange`.
"""

from __future__ import annotations

import collections.abc
import logging
import random

import anyio

from cactusstile import verdict
from cactusstile.gateway import site_view
from cactusstile.gateway.engines import prompts
from cactusstile.gateway.quarantine import evidence as evidences
from cactusstile.gateway.quarantine import request_keys
from cactusstile.sites import ages
from cactusstile.sites import quarantine_messages

Send = collections.abc.Callable[[quarantine_messages.PromptEvidence, str], None]

logger = logging.getLogger(__name__)

# The last part of a prompt is its own and tells nothing about other prompts.
MIN_PARTS = 2
# Time for which an answer must have gone on before it exonerates its prompt.
SETTLING_S = 0.2
# Time between two repeats, and the gateways that one goes to.
REPEAT_INTERVAL_S = 0.5
REPEAT_RECEIVERS = 2
# Shortest time between two decisions, for each suspect prompt: many targets may
# end together under hundreds.
DECISION_INTERVAL_PER_END_S = 0.00005
# Longest wait before answers are told: most gateways exonerate a common part at
# the same time, and the first to tell it spares the others.
MAX_ANSWER_DELAY_S = 0.02
MAX_ENDS_PER_MESSAGE = 100
MAX_ANSWERED_PER_MESSAGE = 500


class Quarantine:
    """Evidence against parts of prompts, shared with other gateways.

    Attributes:
      site: Local view of the site, with the list of gateways.
      send: Sends a message to the gateway with an address.
      evidence: What is known.
    """

    def __init__(self, site: site_view.SiteView) -> None:
        """Knows nothing and sends nothing yet."""
        self.site = site
        self.send: Send = lambda *_: None
        self.evidence = evidences.Evidence()
        self._decided_s = float("-inf")
        self._untold: set[str] = set()
        self._changed = anyio.Event()

    def is_held(self, prompt: prompts.Prompt) -> bool:
        """Returns whether a prompt must not be sent to targets."""
        ends = len(self.evidence.ends)
        self._decide(DECISION_INTERVAL_PER_END_S * ends)
        if not self.evidence.quarantined:
            return False
        return self.evidence.is_quarantined(_shared_keys(prompt))

    def refuse_if_held(
        self, prompt: prompts.Prompt, outcome: verdict.Verdict
    ) -> None:
        """Refuses a prompt that must not be sent to targets.

        Args:
          prompt: The prompt.
          outcome: Whether the request may have run.

        Raises:
          RefusedError: Targets end under prompts with the same parts.
        """
        if not self.is_held(prompt):
            return
        raise verdict.refuse(
            verdict.Reason.QUARANTINED,
            "several targets ended under prompts with the same parts; "
            "change the prompt",
            verdict=outcome,
            retry_after_s=self.evidence.remaining_s(anyio.current_time()),
        )

    def record_end(
        self, target_id: str, prompt: prompts.Prompt, ended_s: float
    ) -> None:
        """Records that a target ended before it had answered a prompt.

        Args:
          target_id: Id of the target's incarnation.
          prompt: The prompt.
          ended_s: Loop time at which the target ended.
        """
        if len(prompt.parts) < MIN_PARTS:
            return
        now_s = anyio.current_time()
        suspect = evidences.SuspectPrompt(
            target_id,
            request_keys.part_key(prompt.parts[-1].id),
            _shared_keys(prompt),
            ended_s,
        )
        if not self.evidence.add_end(suspect):
            return
        # Without the parts that an answer here exonerates.
        stored = self.evidence.ends[suspect.target, suspect.prompt]
        message = quarantine_messages.PromptEvidence(
            (_encode_end(stored, now_s),), ()
        )
        for receiver in self.site.other_gateways():
            self.send(message, receiver)

    def record_answer(self, prompt: prompts.Prompt) -> None:
        """Records that a target answers a prompt."""
        now_s = anyio.current_time()
        parts = _shared_keys(prompt)
        suspect = parts & self.evidence.suspect_parts
        for part in parts:
            self.evidence.add_answer(part, now_s)
        self._tell_soon(suspect)

    def receive(self, message: quarantine_messages.PromptEvidence) -> None:
        """Applies what another gateway knows."""
        now_s = anyio.current_time()
        for answered in message.answered:
            answered_s = now_s - ages.to_s(answered.age_ms)
            self.evidence.add_answer(answered.part, answered_s)
            self._untold.discard(answered.part)
        for end in message.ends:
            suspect = evidences.SuspectPrompt(
                end.target,
                end.prompt,
                frozenset(end.parts),
                now_s - ages.to_s(end.age_ms),
            )
            self.evidence.add_end(suspect)
            # The sender does not know of the answers that exonerate a part.
            unanswered = self.evidence.unanswered(suspect)
            self._tell_soon(suspect.parts - unanswered)

    async def run(self) -> None:
        """Tells other gateways what is known while the process runs."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._run_answers)
            while True:
                await anyio.sleep(REPEAT_INTERVAL_S)
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
        message = quarantine_messages.PromptEvidence(
            (), self._encode_answers(told, now_s)
        )
        for receiver in self.site.other_gateways():
            self.send(message, receiver)

    def repeat(self) -> None:
        """Repeats the ends that count to a few gateways."""
        now_s = anyio.current_time()
        self.evidence.is_stale |= bool(self.evidence.ends)
        self._decide(0.0)
        if not self.evidence.ends:
            return
        others = self.site.other_gateways()
        receivers = random.sample(others, min(REPEAT_RECEIVERS, len(others)))
        ends = [_encode_end(end, now_s) for end in self.evidence.ends.values()]
        for start in range(0, len(ends), MAX_ENDS_PER_MESSAGE):
            part = tuple(ends[start : start + MAX_ENDS_PER_MESSAGE])
            message = quarantine_messages.PromptEvidence(part, ())
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
        logger.warning(
            "parts of prompts under which targets end are quarantined",
            extra={
                "quarantined": [
                    sorted(parts) for parts in self.evidence.quarantined
                ]
            },
        )

    def _tell_soon(self, parts: collections.abc.Set[str]) -> None:
        if parts:
            self._untold |= parts
            self._changed.set()

    def _encode_answers(
        self, parts: collections.abc.Iterable[str], now_s: float
    ) -> tuple[quarantine_messages.AnsweredPart, ...]:
        return tuple(
            quarantine_messages.AnsweredPart(
                part, ages.to_ms(now_s - self.evidence.answered[part])
            )
            for part in parts
            if part in self.evidence.answered
        )


class AnswerObserver:
    """Observes the current attempt: whether the target answers its prompt.

    Attributes:
      quarantine: Is told of an answer that goes on.
      prompt: The prompt.
      is_answered: Whether the answer has gone on for long enough, or is whole.
    """

    def __init__(self, quarantine: Quarantine, prompt: prompts.Prompt) -> None:
        """Observes an attempt that has not been answered yet."""
        self.quarantine = quarantine
        self.prompt = prompt
        self.begin_attempt()

    def begin_attempt(self) -> None:
        """Forgets how far the answer of an earlier target had come."""
        self.is_answered = False
        self._began_s: float | None = None

    def record_event(self) -> None:
        """Records that an event arrived."""
        if self.is_answered:
            return
        now_s = anyio.current_time()
        if self._began_s is None:
            self._began_s = now_s
        elif now_s - self._began_s >= SETTLING_S:
            self.record_whole()

    def record_whole(self) -> None:
        """Records that the answer is complete."""
        if not self.is_answered:
            self.is_answered = True
            self.quarantine.record_answer(self.prompt)


def _shared_keys(prompt: prompts.Prompt) -> frozenset[str]:
    return frozenset(
        request_keys.part_key(part) for part in prompt.shared_ids()
    )


def _encode_end(
    suspect: evidences.SuspectPrompt, now_s: float
) -> quarantine_messages.TargetEnd:
    return quarantine_messages.TargetEnd(
        suspect.target,
        suspect.prompt,
        tuple(sorted(suspect.parts)),
        ages.to_ms(now_s - suspect.ended_s),
    )
