"""One attempt at one target, with a verdict if it fails."""

from __future__ import annotations

import contextlib
import typing

import anyio
import attrs

from cactusstile import verdict
from cactusstile.gateway import admission
from cactusstile.gateway import kept_parts
from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.http import targets
from cactusstile.platform import headers
from cactusstile.sites import model
from cactusstile.transport import address

if typing.TYPE_CHECKING:
    import collections.abc

# Bound of an answer that is held whole before it is passed on.
MAX_ANSWER_BYTES = 8 << 20
CONNECT_TIMEOUT_S = 0.3
# Statuses that promise a caller that the request did not run.
PROMISING_STATUSES = frozenset((408, 421, 429, 503))
# Fields of a caller's request that are replaced or end here.
_NOT_PASSED_ON = headers.SYSTEM_FIELDS | {b"content-length", b"expect"}
_MISDIRECTED = 421
_BAD_REQUEST = 400
_SERVER_ERRORS = range(500, 600)


@attrs.frozen
class Answer:
    """A whole answer.

    Attributes:
      head: Status and header fields.
      body: The body.
    """

    head: messages.ResponseHead
    body: bytes


class AttemptError(Exception):
    """Raised when an attempt failed.

    Attributes:
      verdict: Whether the request may have run at the target.
      reason: What happened, in one word for logs.
      arrived: Whether any byte of the request left for the target.
      answer: Answer of the target that reports its own error, if any.
    """

    def __init__(
        self,
        reason: str,
        outcome: verdict.Verdict,
        *,
        arrived: bool = True,
        answer: Answer | None = None,
    ) -> None:
        """Describes a failed attempt."""
        super().__init__(reason)
        self.reason = reason
        self.verdict = outcome
        self.arrived = arrived
        self.answer = answer

    @property
    def is_misdirected(self) -> bool:
        """Whether the address is another target's, or the weights differ."""
        if self.answer is None:
            return False
        return self.answer.head.status == _MISDIRECTED


@attrs.frozen
class OpenStream:
    """A stream whose events follow.

    Attributes:
      head: Status and header fields.
      connection: Connection that the events arrive on.
    """

    head: messages.ResponseHead
    connection: targets.TargetConnection


@attrs.frozen
class Dispatch:
    """Where a request goes, and with what.

    Attributes:
      target: The target.
      salt: Salt under which its KV cache is kept; empty without a model.
      weights: Version of the weights that the engine must hold; None if it
        does not matter or is not known.
      last_event_id: Last event that the caller has, of a resumed stream.
      kept: Parts of the prompt that the engine fetches and saves.
      copy_to: Engine that the run's memory is copied to while it grows.
      from_copy: Whether the run goes on from its copy at this engine.
    """

    target: model.Target
    salt: str = ""
    weights: int | None = None
    last_event_id: int | None = None
    kept: kept_parts.Plan = kept_parts.NOTHING
    copy_to: address.Address | None = None
    from_copy: bool = False


@attrs.define
class Work:
    """Work that one attempt brings a target.

    Attributes:
      unread_tokens: Prompt tokens that are still to be read.
      fetched_tokens: Prompt tokens that come from stores.
      cost_tokens: Tokens to be read before the first event, with the queue.
      memory_tokens: Tokens of memory that the request takes.
      started_s: Loop time of the attempt's start.
    """

    unread_tokens: int
    fetched_tokens: int
    cost_tokens: float
    memory_tokens: int
    started_s: float


@contextlib.asynccontextmanager
async def open_attempt(
    pool: targets.Pool,
    admitted: admission.Admitted,
    dispatch: Dispatch,
) -> collections.abc.AsyncIterator[Answer | OpenStream]:
    """Sends a request to a target; leaving the context ends the attempt.

    A connection whose answer was not read to its end is closed, which has the
    target drop the work.

    Raises:
      AttemptError: The attempt failed.
    """
    try:
        connection = await pool.take(dispatch.target.address, CONNECT_TIMEOUT_S)
    except exceptions.UnreachableError as error:
        raise AttemptError(
            "unreachable", verdict.Verdict.NOT_RUN, arrived=False
        ) from error
    try:
        request = outgoing(admitted, dispatch)
        sent_before = connection.socket.bytes_sent
        try:
            opened = await _ask(connection, request, admitted)
        except exceptions.HttpError as error:
            arrived = connection.socket.bytes_sent > sent_before
            raise _failure(error, arrived=arrived) from error
        yield opened
    finally:
        pool.give_back(connection)


def _failure(error: exceptions.HttpError, *, arrived: bool) -> AttemptError:
    """Returns the failure that a broken connection stands for."""
    reason = "broken"
    if isinstance(error, exceptions.MalformedError):
        reason = "malformed"
    outcome = verdict.Verdict.NOT_RUN
    if arrived:
        outcome = verdict.Verdict.MAY_HAVE_RUN
    return AttemptError(reason, outcome, arrived=arrived)


def outgoing(
    admitted: admission.Admitted, dispatch: Dispatch
) -> messages.Request:
    """Returns the request as the target receives it."""
    request = admitted.request
    dropped = _NOT_PASSED_ON
    if dispatch.last_event_id is not None:
        dropped |= {headers.LAST_EVENT_ID}
    fields = messages.end_to_end(request.headers, dropped)
    until_s = min(admitted.caller_until_s, admitted.answer_by_s)
    left_ms = max(1, int((until_s - anyio.current_time()) * 1000))
    fields.append((headers.DEADLINE_MS, b"%d" % left_ms))
    fields.append((headers.EXPECTED_TARGET, dispatch.target.id.encode()))
    if dispatch.last_event_id is not None:
        last = b"%d" % dispatch.last_event_id
        fields.append((headers.LAST_EVENT_ID, last))
    if admitted.workspace is not None:
        fields.append((headers.WORKSPACE, admitted.workspace.name.encode()))
    if admitted.prompt.model:
        fields.append((headers.PRIORITY, b"%d" % admitted.rank))
        fields.extend(_cache_fields(dispatch))
        fields.extend(_copy_fields(dispatch, admitted.id))
    return attrs.evolve(request, headers=tuple(fields))


def _cache_fields(dispatch: Dispatch) -> list[tuple[bytes, bytes]]:
    """Returns the fields that tell an engine about its KV cache."""
    fields = [(headers.CACHE_SALT, dispatch.salt.encode())]
    if dispatch.weights is not None:
        fields.append((headers.EXPECTED_WEIGHTS, b"%d" % dispatch.weights))
    kept = dispatch.kept
    if any(kept.fetches):
        sources = [
            "-" if one is None else f"{one.address}/{one.tokens}"
            for one in kept.fetches
        ]
        fields.append((headers.KV_FETCH, ",".join(sources).encode()))
        if kept.until_ms is not None:
            until_ms = b"%d" % int(kept.until_ms)
            fields.append((headers.KV_FETCH_UNTIL, until_ms))
    if any(kept.saves):
        stores = ",".join(one or "-" for one in kept.saves)
        fields.append((headers.KV_SAVE, stores.encode()))
    return fields


def _copy_fields(
    dispatch: Dispatch, request_id: str
) -> list[tuple[bytes, bytes]]:
    """Returns the fields that tell an engine of a run's copy."""
    fields = []
    if dispatch.copy_to is not None:
        fields.append((headers.KV_BACKUP, str(dispatch.copy_to).encode()))
    if dispatch.from_copy:
        copy = f"{dispatch.target.address}/{request_id}"
        fields.append((headers.KV_FROM, copy.encode()))
    return fields


async def _ask(
    connection: targets.TargetConnection,
    request: messages.Request,
    admitted: admission.Admitted,
) -> Answer | OpenStream:
    """Returns the target's answer, once it is known to be ours and whole."""
    head = await connection.ask(
        request, lambda found: _is_ours(found, admitted.id)
    )
    kind = head.find(b"content-type") or ""
    sealed = head.find(headers.SEAL) is not None
    plain = head.find(b"content-encoding") is None
    if kind.startswith(headers.EVENT_STREAM) and sealed and plain:
        return OpenStream(head, connection)
    answer = Answer(head, await connection.read_full_body(MAX_ANSWER_BYTES))
    if head.status == _MISDIRECTED or _was_not_run(head):
        raise AttemptError(
            f"rejected_{head.status}", verdict.Verdict.NOT_RUN, answer=answer
        )
    if _was_unreadable(head):
        return answer
    if head.status in _SERVER_ERRORS and sealed:
        raise AttemptError(
            f"answered_{head.status}",
            verdict.Verdict.MAY_HAVE_RUN,
            answer=answer,
        )
    if not sealed or not plain or head.status in PROMISING_STATUSES:
        raise AttemptError(
            f"unproven_{head.status}", verdict.Verdict.MAY_HAVE_RUN
        )
    return answer


def _is_ours(head: messages.ResponseHead, request_id: str) -> bool:
    """Returns whether an answer is to our request, by the id it repeats.

    Raises:
      MalformedError: It names no request.
    """
    found = head.find(headers.REQUEST_ID)
    if found is None and request_id:
        raise exceptions.MalformedError("an answer that names no request")
    return found is None or found == request_id


def _was_not_run(head: messages.ResponseHead) -> bool:
    """Returns whether the target says that another one may run the request."""
    said = head.find(headers.NOT_RUN) is not None
    return said and head.status != _BAD_REQUEST


def _was_unreadable(head: messages.ResponseHead) -> bool:
    """Returns whether no target could run the request."""
    said = head.find(headers.NOT_RUN) is not None
    return said and head.status == _BAD_REQUEST


def passed_on(answer: Answer) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Returns status, header fields and body as the caller receives them."""
    dropped = (b"content-length", headers.LOAD)
    fields = messages.end_to_end(answer.head.headers, dropped)
    return answer.head.status, fields, answer.body
