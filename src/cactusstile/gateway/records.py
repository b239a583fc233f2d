"""Records of requests and attempts, for the request log and the metrics."""

from __future__ import annotations

import typing

import attrs

from cactusstile import verdict
from cactusstile.gateway import admission
from cactusstile.gateway import exchange
from cactusstile.gateway import target_requests
from cactusstile.gateway import target_view
from cactusstile.http import messages
from cactusstile.http import responder as responders
from cactusstile.platform import notices

MAX_ATTEMPTS_LOGGED = 8
# Outcomes of attempts whose connection ended before their answer.
_BROKEN = frozenset(("broken", "stream_broken", "cut_event"))


@attrs.define
class AttemptRecord:
    """Record of one attempt.

    Attributes:
      target: Id of the target.
      started_s: Loop time of the start.
      occupied: Estimated requests at the target at the start.
      outcome: Outcome in one word; empty while the attempt is in progress.
      ended_s: Loop time of the end.
      first_event_s: Loop time of the stream's start; None without a stream.
      events: Number of relayed events.
      longest_gap_s: Longest time between two events of the answer so far, in
        seconds.
      prompt_tokens: Length of the prompt in tokens.
      unread_tokens: Prompt tokens that the target was expected to prefill.
      fetched_tokens: Prompt tokens that the target was instructed to fetch.
      store: Address of the store or engine with the largest fetch.
      from_copy: Whether the run resumed from its copy.
      build: Build of the target's software; empty if unknown.
      weights: Version of the weights that the engine was expected to hold;
        None without a model.
      outdated_s: Time since a newer version was announced, in seconds; None
        if there is none.
      was_usable: Whether the target was neither failing nor swapping.
      said_leaving: Whether the target announced that it leaves.
      pause_s: Pause that the target asked for, in seconds.
      limit_per_s: Requests per second that the target takes from all senders;
        None if it names no limit.
      shared_parts: Ids of the prompt's parts that other prompts may share.
      fingerprint: Fingerprint of the request; empty unless the target may have
        ended under it.
    """

    target: str
    started_s: float
    occupied: int
    outcome: str = ""
    ended_s: float = 0.0
    first_event_s: float | None = None
    events: int = 0
    longest_gap_s: float = 0.0
    prompt_tokens: int = 0
    unread_tokens: int = 0
    fetched_tokens: int = 0
    store: str = ""
    from_copy: bool = False
    build: str = ""
    weights: int | None = None
    outdated_s: float | None = None
    was_usable: bool = True
    said_leaving: bool = False
    pause_s: float = 0.0
    limit_per_s: float | None = None
    shared_parts: tuple[str, ...] = ()
    fingerprint: str = ""

    def fields(self, received_s: float, ended_s: float) -> dict[str, object]:
        """Returns the attempt's fields in the log line of the request."""
        duration_s = (self.ended_s or ended_s) - self.started_s
        fields: dict[str, object] = {
            "target": self.target,
            "after_ms": _to_ms(self.started_s - received_s),
            "took_ms": _to_ms(duration_s),
            "occupied": self.occupied,
            "outcome": self.outcome or "cut_off",
        }
        if self.prompt_tokens:
            fields["tokens"] = self.prompt_tokens
            fields["unread"] = self.unread_tokens
            fields["fetched"] = self.fetched_tokens
            fields["store"] = self.store
        if self.build:
            fields["build"] = self.build
        if self.from_copy:
            fields["from_copy"] = True
        if self.weights is not None:
            fields["weights"] = self.weights
        if self.outdated_s is not None:
            fields["outdated_ms"] = _to_ms(self.outdated_s)
        if not self.was_usable:
            fields["usable"] = False
        if self.said_leaving:
            fields["said_leaving"] = True
        if self.pause_s:
            fields["pause_ms"] = _to_ms(self.pause_s)
        fields.update(self._answer_fields())
        return fields

    def _answer_fields(self) -> dict[str, object]:
        """Returns the fields about the answer and its events."""
        fields: dict[str, object] = {}
        if self.limit_per_s is not None:
            fields["limit_per_s"] = self.limit_per_s
        if self.first_event_s is not None:
            fields["first_event_ms"] = _to_ms(
                self.first_event_s - self.started_s
            )
            fields["events"] = self.events
            fields["longest_gap_ms"] = _to_ms(self.longest_gap_s)
        if self.outcome in _BROKEN and not self.events:
            fields["parts"] = self.shared_parts
        if self.fingerprint:
            fields["fingerprint"] = self.fingerprint
        return fields


@attrs.define
class RequestRecord:
    """Record of one request.

    Attributes:
      id: Request id from the caller.
      received_s: Loop time of the first byte.
      route: Name of the route; empty if no route matched.
      workspace: Name of the workspace; empty without one.
      max_output_tokens: Limit of the answer's tokens; 0 if there is none.
      expected_tokens: Number of output tokens that the caller expects; 0 if it
        gives no estimate.
      version: Version of the configuration that was applied, also to refuse;
        -1 if none was known.
      view_age_s: Time since control last confirmed the view of the site that
        was applied, in seconds; None if it never did.
      resumed_id: Id of the attempt that began the stream that the caller
        resumes; empty if it names none.
      last_event_id: Last event that the caller received of it; None if it
        resumes none.
      attempts: Attempts in order.
      outcome: "answered", "caller_left" or the reason of a refusal.
      refusal_verdict: Whether a refused request may have run; empty if it was
        not refused.
      status: Status that the caller received; 0 if it received none.
      whole: Whether the caller received the complete answer.
      ended_s: Loop time of the end.
      first_byte_s: Loop time of the answer's first byte; None without an
        answer.
    """

    id: str
    received_s: float
    route: str = ""
    workspace: str = ""
    max_output_tokens: int = 0
    expected_tokens: int = 0
    version: int = -1
    view_age_s: float | None = None
    resumed_id: str = ""
    last_event_id: int | None = None
    attempts: list[AttemptRecord] = attrs.field(factory=list)
    outcome: str = "answered"
    refusal_verdict: str = ""
    status: int = 0
    whole: bool = False
    ended_s: float = 0.0
    first_byte_s: float | None = None

    def set_admitted(self, admitted: admission.AdmittedRequest) -> None:
        """Records the route, the workspace and the prompt's limits."""
        self.route = admitted.route.name
        self.resumed_id = admitted.resumed_id
        self.last_event_id = admitted.last_event_id
        self.max_output_tokens = admitted.prompt.max_output_tokens
        self.expected_tokens = admitted.prompt.expected_tokens
        if admitted.workspace is not None:
            self.workspace = admitted.workspace.name

    def set_view(self, version: int, age_s: float) -> None:
        """Records the view of the site by which the request is decided.

        A request that was admitted stays with the view of its admission.

        Args:
          version: Version of the configuration.
          age_s: Age of the view in seconds; infinite if control never confirmed
            it.
        """
        if self.version >= 0:
            return
        self.version = version
        if age_s != float("inf"):
            self.view_age_s = age_s

    def set_refusal(self, refusal: verdict.Refusal) -> None:
        """Records why the request was refused."""
        self.outcome = refusal.reason.value
        self.refusal_verdict = refusal.verdict.value

    def begin_attempt(self, view: target_view.TargetView, now_s: float) -> None:
        """Appends an attempt at a target."""
        occupied = view.occupied(now_s)
        attempt = AttemptRecord(view.target.id, now_s, occupied)
        attempt.was_usable = view.is_usable(now_s)
        attempt.build = view.target.build
        self.attempts.append(attempt)

    def set_weights(self, version: int, outdated_s: float | None) -> None:
        """Records the weights of the current attempt."""
        self.attempts[-1].weights = version
        self.attempts[-1].outdated_s = outdated_s

    def add_notices(self, head: messages.ResponseHead) -> None:
        """Records what the target of the current attempt announced."""
        attempt = self.attempts[-1]
        attempt.said_leaving |= notices.is_leaving(head)
        attempt.pause_s = max(attempt.pause_s, notices.pause_s(head))
        attempt.limit_per_s = notices.limit_per_s(head)

    def set_events(self, count: int, longest_gap_s: float) -> None:
        """Sets what the last attempt added to a stream."""
        self.attempts[-1].events = count
        self.attempts[-1].longest_gap_s = longest_gap_s

    def set_work(
        self,
        admitted: admission.AdmittedRequest,
        work: exchange.Work,
        dispatch: target_requests.Dispatch,
    ) -> None:
        """Records the expected work of the current attempt."""
        attempt = self.attempts[-1]
        attempt.prompt_tokens = admitted.prompt.tokens
        attempt.shared_parts = admitted.prompt.shared_ids()
        attempt.unread_tokens = work.unread_tokens
        attempt.fetched_tokens = work.fetched_tokens
        attempt.store, _ = dispatch.transfers.main_source()
        attempt.from_copy = dispatch.from_copy

    def end_attempt(self, outcome: str, now_s: float) -> None:
        """Records the outcome of the current attempt."""
        self.attempts[-1].outcome = outcome
        self.attempts[-1].ended_s = now_s

    def fail_attempt(
        self,
        admitted: admission.AdmittedRequest,
        error: exchange.AttemptError,
        now_s: float,
    ) -> None:
        """Records why the current attempt failed."""
        self.end_attempt(error.reason, now_s)
        if error.is_broken_off:
            self.attempts[-1].fingerprint = admitted.keys.request

    def close(self, responder: responders.Responder, now_s: float) -> None:
        """Records what the caller received."""
        self.status = responder.status
        self.whole = responder.finished
        self.first_byte_s = responder.started_s
        self.ended_s = now_s

    def _view_age_ms(self) -> float:
        return -1 if self.view_age_s is None else _to_ms(self.view_age_s)

    def fields(self) -> dict[str, typing.Any]:
        """Returns the fields of the request's log line."""
        attempts = [
            attempt.fields(self.received_s, self.ended_s)
            for attempt in self.attempts[:MAX_ATTEMPTS_LOGGED]
        ]
        fields = {
            "request": self.id,
            "route": self.route,
            "workspace": self.workspace,
            "configuration": self.version,
            "view_age_ms": self._view_age_ms(),
            "outcome": self.outcome,
            "verdict": self.refusal_verdict,
            "status": self.status,
            "whole": self.whole,
            "took_ms": _to_ms(self.ended_s - self.received_s),
            "attempts": attempts,
        }
        if self.last_event_id is not None:
            fields["resumes"] = self.resumed_id
            fields["last_event"] = self.last_event_id
        if self.max_output_tokens:
            fields["max_output"] = self.max_output_tokens
            fields["expected_output"] = self.expected_tokens
        return fields


def _to_ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
