"""Reconstructs the course of a request from the logs of all processes."""

from __future__ import annotations

import datetime
import json
import typing

import attrs

if typing.TYPE_CHECKING:
    import collections.abc

    Fields = dict[str, typing.Any]

# Changes logged up to this long before a request are reported with it.
CONTEXT_WINDOW_S = 5.0
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
REQUEST_MESSAGE = "request ended"
_COMMON_FIELDS = ("time", "level", "logger", "message", "role", "process")

OUTCOME_TEXTS = {
    "answered": "a target answered; its status was passed on",
    "caller_left": "the caller closed its connection before the answer",
    "stale_configuration": "this gateway knew no configuration yet",
    "unknown_route": "no route of this configuration has the host and path",
    "unauthenticated": "no workspace of this configuration holds the key",
    "no_target": "no target of the service was left to try",
    "target_lost": "the last target tried gave no answer that can be used",
    "deadline_exceeded": "the time of the route was over",
    "overloaded": "no engine had room for the prompt within its wait",
    "shutting_down": "this gateway was stopping and the stream too long",
}
ATTEMPT_TEXTS = {
    "answered": "answered",
    "unreachable": "refused the connection; nothing was sent",
    "broken": "closed or reset the connection; it may have run",
    "malformed": "sent bytes that are no valid answer; it may have run",
    "stream_broken": "broke off its stream",
    "cut_event": "ended its stream within an event",
    "cut_off": "had not answered when the request ended",
}


@attrs.frozen
class LogLine:
    """One parsed log line.

    Attributes:
      at: Time at which the line was written.
      fields: Fields of the line by name.
    """

    at: datetime.datetime
    fields: Fields

    @property
    def own_fields(self) -> Fields:
        """Fields other than those that every line has."""
        return {
            name: value
            for name, value in self.fields.items()
            if name not in _COMMON_FIELDS
        }


def parse(text: str) -> LogLine | None:
    """Parses a log line, skipping text before its JSON object.

    Returns:
      The line; None if `text` is not a log line.
    """
    _, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
        at = datetime.datetime.strptime(fields["time"], TIME_FORMAT)
    except (ValueError, KeyError, TypeError):
        return None
    return LogLine(at, fields)


def describe(request: str, texts: collections.abc.Iterable[str]) -> list[str]:
    """Describes a request: its attempts, its outcome and related changes.

    Args:
      request: Id of the request.
      texts: Log lines of all processes.

    Returns:
      Lines for the operator; empty if the request does not occur in the logs.
    """
    lines = [line for line in map(parse, texts) if line is not None]
    lines.sort(key=lambda line: line.at)
    description: list[str] = []
    for line in lines:
        if line.fields.get("message") != REQUEST_MESSAGE:
            continue
        if line.fields.get("request") == request:
            description += _describe_request(line)
            description += _describe_context(line, lines)
    return description


def _describe_request(line: LogLine) -> list[str]:
    fields = line.fields
    outcome = fields.get("outcome", "")
    verdict = fields.get("verdict") or "none needed"
    description = [
        f"request {fields.get('request')} at {fields.get('process')}, ended"
        f" {fields['time']} after {fields.get('took_ms')} ms",
        f"  route {fields.get('route') or '-'}, workspace"
        f" {fields.get('workspace') or '-'}, configuration"
        f" {fields.get('configuration')}",
    ]
    for attempt in fields.get("attempts", []):
        description.append(_describe_attempt(attempt))
    ending = "whole" if fields.get("whole") else "broken off"
    description.append(
        f"  caller received status {fields.get('status') or 'none'}, {ending};"
        f" verdict {verdict}"
    )
    description.append(f"  cause: {OUTCOME_TEXTS.get(outcome, outcome)}")
    return description


def _describe_attempt(attempt: Fields) -> str:
    outcome = attempt.get("outcome", "")
    outcome_text = ATTEMPT_TEXTS.get(outcome, outcome.replace("_", " "))
    text = (
        f"  after {attempt.get('after_ms')} ms sent to {attempt.get('target')}"
        f" ({attempt.get('occupied')} requests there); after"
        f" {attempt.get('took_ms')} ms it {outcome_text}"
    )
    if "tokens" in attempt:
        text += (
            f"; prompt of {attempt['tokens']} tokens, {attempt['unread']} to"
            f" read, {attempt['fetched']} from {attempt['store'] or 'no store'}"
        )
    if "first_event_ms" in attempt:
        text += f"; first event after {attempt['first_event_ms']} ms"
    return text


def _describe_context(
    request: LogLine, lines: collections.abc.Iterable[LogLine]
) -> list[str]:
    """Lists logged changes shortly before or during a request."""
    took_ms = float(request.fields.get("took_ms", 0))
    start = request.at - datetime.timedelta(milliseconds=took_ms)
    since = start - datetime.timedelta(seconds=CONTEXT_WINDOW_S)
    targets = {
        attempt.get("target") for attempt in request.fields.get("attempts", [])
    }
    description = []
    for line in lines:
        if not since <= line.at <= request.at:
            continue
        if line.fields.get("message") == REQUEST_MESSAGE:
            continue
        if not _is_related(line, request, targets):
            continue
        details = json.dumps(line.own_fields)
        description.append(
            f"  {line.fields['time']} {line.fields.get('process')}"
            f"/{line.fields.get('role')}: {line.fields.get('message')}"
            f" {details}"
        )
    return description


def _is_related(
    line: LogLine, request: LogLine, targets: set[str | None]
) -> bool:
    """Returns whether a change is by the same process or on a tried target."""
    if line.fields.get("process") == request.fields.get("process"):
        return True
    changed_targets = {line.fields.get("target")}
    for field in ("came", "went", "leaving"):
        changed_targets.update(line.fields.get(field, ()))
    return bool(targets & changed_targets - {None})
