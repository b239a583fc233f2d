"""What happened to one request, for its log line and the metrics."""

from __future__ import annotations

import typing

import attrs

from cactusstile import verdict
from cactusstile.gateway import admission
from cactusstile.gateway import exchange
from cactusstile.gateway import target_view
from cactusstile.http import responder as responders

MAX_ATTEMPTS_LOGGED = 8


@attrs.define
class AttemptRecord:
    """One attempt.

    Attributes:
      target: Id of the target.
      started_s: Loop time of its start.
      occupied: Requests at the target, as believed then.
      outcome: How it ended; empty while it is under way.
      ended_s: Loop time of its end.
      first_event_s: Loop time at which a stream began; None for none.
      events: Events that its stream passed on.
      prompt_tokens: Tokens of the prompt.
      unread_tokens: Those that the target was expected to read.
      fetched_tokens: Those that it was told to fetch.
      store: Store or engine that most of these come from.
      from_copy: Whether it went on from a copy of the run.
    """

    target: str
    started_s: float
    occupied: int
    outcome: str = ""
    ended_s: float = 0.0
    first_event_s: float | None = None
    events: int = 0
    prompt_tokens: int = 0
    unread_tokens: int = 0
    fetched_tokens: int = 0
    store: str = ""
    from_copy: bool = False

    def fields(self, received_s: float, ended_s: float) -> dict[str, object]:
        """Returns the fields of the attempt in its request's log line."""
        took_s = (self.ended_s or ended_s) - self.started_s
        found: dict[str, object] = {
            "target": self.target,
            "after_ms": _ms(self.started_s - received_s),
            "took_ms": _ms(took_s),
            "occupied": self.occupied,
            "outcome": self.outcome or "cut_off",
        }
        if self.prompt_tokens:
            found["tokens"] = self.prompt_tokens
            found["unread"] = self.unread_tokens
            found["fetched"] = self.fetched_tokens
            found["store"] = self.store
        if self.from_copy:
            found["from_copy"] = True
        if self.first_event_s is not None:
            found["first_event_ms"] = _ms(self.first_event_s - self.started_s)
            found["events"] = self.events
        return found


@attrs.define
class RequestRecord:
    """One request.

    Attributes:
      id: Identity that the caller gave it.
      received_s: Loop time of its first byte.
      route: Name of its route; empty if it has none.
      workspace: Name of its workspace.
      max_output_tokens: Bound of its answer; 0 if it names none.
      expected_tokens: Length that its caller expects; 0 if it does not say.
      version: Version of the configuration that decided.
      attempts: Attempts in order.
      outcome: How it ended.
      refusal_verdict: Whether it may have run, if it was refused.
      status: Status that the caller received; 0 for none.
      whole: Whether the caller received the whole answer.
      ended_s: Loop time of its end.
      first_byte_s: Loop time at which the answer began; None without one.
    """

    id: str
    received_s: float
    route: str = ""
    workspace: str = ""
    max_output_tokens: int = 0
    expected_tokens: int = 0
    version: int = -1
    attempts: list[AttemptRecord] = attrs.field(factory=list)
    outcome: str = "answered"
    refusal_verdict: str = ""
    status: int = 0
    whole: bool = False
    ended_s: float = 0.0
    first_byte_s: float | None = None

    def note_admitted(self, admitted: admission.Admitted) -> None:
        """Notes what the configuration says of the request."""
        self.route = admitted.route.name
        self.version = admitted.version
        self.max_output_tokens = admitted.prompt.max_output_tokens
        self.expected_tokens = admitted.prompt.expected_tokens
        if admitted.workspace is not None:
            self.workspace = admitted.workspace.name

    def note_refusal(self, refusal: verdict.Refusal) -> None:
        """Notes why the request was refused."""
        self.outcome = refusal.reason.value
        self.refusal_verdict = refusal.verdict.value

    def begin_attempt(self, view: target_view.TargetView, now_s: float) -> None:
        """Notes that the request is sent to a target."""
        occupied = view.occupied(now_s)
        self.attempts.append(AttemptRecord(view.target.id, now_s, occupied))

    def note_work(
        self,
        admitted: admission.Admitted,
        work: exchange.Work,
        dispatch: exchange.Dispatch,
    ) -> None:
        """Notes the work that the attempt under way brings its target."""
        attempt = self.attempts[-1]
        attempt.prompt_tokens = admitted.prompt.tokens
        attempt.unread_tokens = work.unread_tokens
        attempt.fetched_tokens = work.fetched_tokens
        attempt.store, _ = dispatch.kept.main_source()
        attempt.from_copy = dispatch.from_copy

    def end_attempt(self, outcome: str, now_s: float) -> None:
        """Notes how the attempt that is under way ended."""
        self.attempts[-1].outcome = outcome
        self.attempts[-1].ended_s = now_s

    def close(self, responder: responders.Responder, now_s: float) -> None:
        """Notes what the caller received."""
        self.status = responder.status
        self.whole = responder.finished
        self.first_byte_s = responder.started_s
        self.ended_s = now_s

    def fields(self) -> dict[str, typing.Any]:
        """Returns the fields of the request's log line."""
        attempts = [
            one.fields(self.received_s, self.ended_s)
            for one in self.attempts[:MAX_ATTEMPTS_LOGGED]
        ]
        found = {
            "request": self.id,
            "route": self.route,
            "workspace": self.workspace,
            "configuration": self.version,
            "outcome": self.outcome,
            "verdict": self.refusal_verdict,
            "status": self.status,
            "whole": self.whole,
            "took_ms": _ms(self.ended_s - self.received_s),
            "attempts": attempts,
        }
        if self.max_output_tokens:
            found["max_output"] = self.max_output_tokens
            found["expected_output"] = self.expected_tokens
        return found


def _ms(seconds: float) -> float:
    return round(seconds * 1000, 1)
