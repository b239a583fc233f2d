"""One request's story, from the log lines of all processes."""

from __future__ import annotations

import datetime
import json
import typing

import attrs

if typing.TYPE_CHECKING:
    import collections.abc

    Fields = dict[str, typing.Any]

# Time before a request within which changes may explain its fate.
CONTEXT_S = 5.0
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
REQUEST_MESSAGE = "request ended"
_COMMON = ("time", "level", "logger", "message", "role", "process")

CAUSES = {
    "answered": "a target answered; its status was passed on",
    "caller_left": "the caller closed its connection before the answer",
    "stale_configuration": "this gateway knew no configuration yet",
    "unknown_route": "no route of this configuration has the host and path",
    "unauthenticated": "no workspace of this configuration holds the key",
    "no_target": "no target of the service was left to try",
    "target_lost": "the last target tried gave no answer that can be used",
    "deadline_exceeded": "the time of the route was over",
    "shutting_down": "this gateway was stopping and the stream too long",
}
ATTEMPTS = {
    "answered": "answered",
    "unreachable": "refused the connection; nothing was sent",
    "broken": "closed or reset the connection; it may have run",
    "malformed": "sent bytes that are no valid answer; it may have run",
    "stream_broken": "broke off its stream",
    "cut_event": "ended its stream within an event",
    "cut_off": "had not answered when the request ended",
}


@attrs.frozen
class Line:
    """One log line.

    Attributes:
      at: When it was written.
      fields: Its fields.
    """

    at: datetime.datetime
    fields: Fields

    @property
    def own_fields(self) -> Fields:
        """Fields beyond those that every line has."""
        return {
            name: value
            for name, value in self.fields.items()
            if name not in _COMMON
        }


def parse(text: str) -> Line | None:
    """Returns a log line, also behind a prefix; None if it is none."""
    _, brace, rest = text.partition("{")
    if not brace:
        return None
    try:
        fields = json.loads(brace + rest)
        at = datetime.datetime.strptime(fields["time"], TIME_FORMAT)
    except (ValueError, KeyError, TypeError):
        return None
    return Line(at, fields)


def describe(request: str, texts: collections.abc.Iterable[str]) -> list[str]:
    """Returns the story of a request, one sentence a line.

    Empty if no line tells of it.
    """
    lines = [line for line in map(parse, texts) if line is not None]
    lines.sort(key=lambda line: line.at)
    story: list[str] = []
    for line in lines:
        if line.fields.get("message") != REQUEST_MESSAGE:
            continue
        if line.fields.get("request") == request:
            story += _tell_request(line)
            story += _tell_context(line, lines)
    return story


def _tell_request(line: Line) -> list[str]:
    fields = line.fields
    outcome = fields.get("outcome", "")
    verdict = fields.get("verdict") or "none needed"
    story = [
        f"request {fields.get('request')} at {fields.get('process')}, ended"
        f" {fields['time']} after {fields.get('took_ms')} ms",
        f"  route {fields.get('route') or '-'}, workspace"
        f" {fields.get('workspace') or '-'}, configuration"
        f" {fields.get('configuration')}",
    ]
    for attempt in fields.get("attempts", []):
        story.append(_tell_attempt(attempt))
    ending = "whole" if fields.get("whole") else "broken off"
    story.append(
        f"  caller received status {fields.get('status') or 'none'}, {ending};"
        f" verdict {verdict}"
    )
    story.append(f"  cause: {CAUSES.get(outcome, outcome)}")
    return story


def _tell_attempt(attempt: Fields) -> str:
    outcome = attempt.get("outcome", "")
    said = ATTEMPTS.get(outcome, outcome.replace("_", " "))
    text = (
        f"  after {attempt.get('after_ms')} ms sent to {attempt.get('target')}"
        f" ({attempt.get('occupied')} requests there); after"
        f" {attempt.get('took_ms')} ms it {said}"
    )
    if "tokens" in attempt:
        text += (
            f"; prompt of {attempt['tokens']} tokens, {attempt['unread']} to"
            f" read, {attempt['fetched']} from {attempt['store'] or 'no store'}"
        )
    if "first_event_ms" in attempt:
        text += f"; first event after {attempt['first_event_ms']} ms"
    return text


def _tell_context(
    request: Line, lines: collections.abc.Iterable[Line]
) -> list[str]:
    """Returns changes around the request that may explain it."""
    took_ms = float(request.fields.get("took_ms", 0))
    start = request.at - datetime.timedelta(milliseconds=took_ms)
    since = start - datetime.timedelta(seconds=CONTEXT_S)
    targets = {one.get("target") for one in request.fields.get("attempts", [])}
    story = []
    for line in lines:
        if not since <= line.at <= request.at:
            continue
        if line.fields.get("message") == REQUEST_MESSAGE:
            continue
        if not _concerns(line, request, targets):
            continue
        details = json.dumps(line.own_fields)
        story.append(
            f"  {line.fields['time']} {line.fields.get('process')}"
            f"/{line.fields.get('role')}: {line.fields.get('message')}"
            f" {details}"
        )
    return story


def _concerns(line: Line, request: Line, targets: set[str | None]) -> bool:
    """Returns whether a change is of the same process or of a target tried."""
    if line.fields.get("process") == request.fields.get("process"):
        return True
    named = {line.fields.get("target")}
    for field in ("came", "went", "leaving"):
        named.update(line.fields.get(field, ()))
    return bool(targets & named - {None})
