"""Sends one request to one target; a failure carries a verdict."""

from __future__ import annotations

import contextlib
import typing

import anyio
import attrs

from cactusstile import verdict
from cactusstile.gateway import admission
from cactusstile.gateway import answer_memory
from cactusstile.gateway import target_requests
from cactusstile.http import exceptions
from cactusstile.http import messages
from cactusstile.http import targets
from cactusstile.platform import headers

if typing.TYPE_CHECKING:
    import collections.abc

    MaySend = collections.abc.Callable[[], bool]
    RecordHead = collections.abc.Callable[[messages.ResponseHead], None]

CONNECT_TIMEOUT_S = 0.3
# Statuses that guarantee to a caller that the request did not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_MISDIRECTED = 421
_BAD_REQUEST = 400
_SUCCESSES = range(200, 300)
_SERVER_ERRORS = range(500, 600)
_WITHDRAWN = "withdrawn"
_OUTDATED = "outdated"


@attrs.frozen
class Answer:
    """A complete answer.

    Attributes:
      head: Status and header fields.
      body: The body.
    """

    head: messages.ResponseHead
    body: bytes

    @property
    def was_run(self) -> bool:
        """Whether the target ran the request."""
        return self.head.find(headers.NOT_RUN) is None


class AttemptError(Exception):
    """Raised when an attempt failed.

    Attributes:
      verdict: Whether the request may have run at the target.
      reason: Cause as one word, for logs.
      was_sent: Whether any byte of the request left for the target.
      answer: Rejection or error answer of the target; None without one.
    """

    def __init__(
        self,
        reason: str,
        outcome: verdict.Verdict,
        *,
        was_sent: bool = True,
        answer: Answer | None = None,
    ) -> None:
        """Describes a failed attempt."""
        super().__init__(reason)
        self.reason = reason
        self.verdict = outcome
        self.was_sent = was_sent
        self.answer = answer

    @property
    def is_withdrawn(self) -> bool:
        """Whether this gateway gave up a target that has not failed."""
        return self.reason in (_WITHDRAWN, _OUTDATED)

    @property
    def is_broken_off(self) -> bool:
        """Whether the target got bytes and ended without a whole answer."""
        return self.was_sent and self.answer is None and not self.is_withdrawn

    @property
    def is_misdirected(self) -> bool:
        """Whether the address belongs to another target, or weights differ."""
        if self.answer is None:
            return False
        return self.answer.head.status == _MISDIRECTED


@attrs.frozen
class OpenStream:
    """An event stream of which only the head was read.

    Attributes:
      head: Status and header fields.
      connection: Connection that the events arrive on.
    """

    head: messages.ResponseHead
    connection: targets.TargetConnection

    @property
    def is_framed(self) -> bool:
        """Whether its end can be told from the end of its connection."""
        return messages.is_framed(self.head.headers)


@attrs.define
class Work:
    """Expected work of one attempt at a target.

    Attributes:
      unread_tokens: Prompt tokens that are still to be prefilled.
      fetched_tokens: Prompt tokens that are fetched from stores or engines.
      cost_tokens: Prompt tokens to prefill before the first event, including
        those queued ahead.
      memory_tokens: KV cache that the request adds, in tokens.
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
    admitted: admission.AdmittedRequest,
    dispatch: target_requests.Dispatch,
    may_send: MaySend,
    record_head: RecordHead,
    *,
    holding: answer_memory.Holding,
) -> collections.abc.AsyncIterator[Answer | OpenStream]:
    """Sends a request to a target; leaving the context ends the attempt.

    A connection whose answer was not read to its end is closed, which makes the
    target cancel the work.

    Args:
      pool: Connections to targets.
      admitted: The request.
      dispatch: Target and parameters of the attempt.
      may_send: Called right before the request is sent; may refuse it.
      record_head: Called with the head of each answer, also of late ones.
      holding: Memory for a large answer.

    Raises:
      AttemptError: The attempt failed.
    """
    connection = await _take_connection(pool, dispatch, admitted.id)
    try:
        if not may_send():
            raise AttemptError(
                _WITHDRAWN, verdict.Verdict.NOT_RUN, was_sent=False
            )
        yield await _send(connection, admitted, dispatch, record_head, holding)
    finally:
        pool.give_back(connection)


async def _take_connection(
    pool: targets.Pool, dispatch: target_requests.Dispatch, request_id: str
) -> targets.TargetConnection:
    """Returns a connection to the target that has not carried the request.

    Raises:
      AttemptError: The target is unreachable.
    """
    place = dispatch.target.address
    try:
        if dispatch.is_return:
            return await pool.open(place, CONNECT_TIMEOUT_S)
        connection = await pool.take(place, CONNECT_TIMEOUT_S)
        if request_id not in connection.carried:
            return connection
        connection.close()
        return await pool.open(place, CONNECT_TIMEOUT_S)
    except exceptions.UnreachableError as error:
        raise AttemptError(
            "unreachable", verdict.Verdict.NOT_RUN, was_sent=False
        ) from error


async def _send(
    connection: targets.TargetConnection,
    admitted: admission.AdmittedRequest,
    dispatch: target_requests.Dispatch,
    record_head: RecordHead,
    holding: answer_memory.Holding,
) -> Answer | OpenStream:
    """Sends a request and returns its answer; see `_exchange`.

    Raises:
      AttemptError: The attempt failed.
    """
    request = target_requests.build(admitted, dispatch)
    if admitted.id:
        connection.carried.append(admitted.id)
    bytes_before = connection.socket.bytes_sent
    try:
        with anyio.CancelScope(deadline=dispatch.begin_by_s):
            return await _exchange(
                connection, request, admitted, record_head, holding
            )
    except exceptions.HttpError as error:
        was_sent = connection.socket.bytes_sent > bytes_before
        raise _make_error(error, was_sent=was_sent) from error
    raise AttemptError(_OUTDATED, verdict.Verdict.MAY_HAVE_RUN)


def _make_error(error: exceptions.HttpError, *, was_sent: bool) -> AttemptError:
    """Returns the attempt error for a failed exchange."""
    reason = "broken"
    if isinstance(error, exceptions.MalformedError):
        reason = "malformed"
    outcome = verdict.Verdict.NOT_RUN
    if was_sent:
        outcome = verdict.Verdict.MAY_HAVE_RUN
    return AttemptError(reason, outcome, was_sent=was_sent)


async def _exchange(
    connection: targets.TargetConnection,
    request: messages.Request,
    admitted: admission.AdmittedRequest,
    record_head: RecordHead,
    holding: answer_memory.Holding,
) -> Answer | OpenStream:
    """Returns the answer, verified as complete and for this request.

    Raises:
      AttemptError: The target rejected the request or reported an error, or the
        answer cannot be trusted.
      HttpError: The connection failed or the answer is malformed.
    """
    head = await connection.ask(
        request, _make_matcher(admitted.id, record_head)
    )
    is_sealed = head.find(headers.SEAL) is not None
    is_plain = head.find(b"content-encoding") is None
    if _is_stream(head) and is_sealed and is_plain:
        return OpenStream(head, connection)
    answer = Answer(head, await holding.read_body(connection, head))
    if _is_rejection(head):
        raise AttemptError(
            f"rejected_{head.status}", verdict.Verdict.NOT_RUN, answer=answer
        )
    if _is_invalid_request(head):
        return answer
    if head.status in _SERVER_ERRORS and is_sealed:
        raise AttemptError(
            f"answered_{head.status}",
            verdict.Verdict.MAY_HAVE_RUN,
            answer=answer,
        )
    if not is_sealed or not is_plain or head.status in NOT_RUN_STATUSES:
        raise AttemptError(
            f"unproven_{head.status}", verdict.Verdict.MAY_HAVE_RUN
        )
    return answer


def _is_stream(head: messages.ResponseHead) -> bool:
    """Returns whether an answer is a stream of events and no failure."""
    is_stream = messages.media_type(head) == headers.EVENT_STREAM
    return is_stream and head.status in _SUCCESSES


def _make_matcher(
    request_id: str, record_head: RecordHead
) -> targets.ResponseMatcher:
    """Returns a function that records heads and finds that of a request."""

    def is_match(head: messages.ResponseHead) -> bool:
        record_head(head)
        return _matches_request(head, request_id)

    return is_match


def _matches_request(head: messages.ResponseHead, request_id: str) -> bool:
    """Returns whether an answer belongs to the request with this id.

    Raises:
      MalformedError: The answer contains no request id.
    """
    answer_id = head.find(headers.REQUEST_ID)
    if answer_id is None and request_id:
        raise exceptions.MalformedError("answer contains no request id")
    return answer_id is None or answer_id == request_id


def _is_rejection(head: messages.ResponseHead) -> bool:
    """Returns whether the target did not run the request, but another may.

    The seal is proof of a run: a 421 with a seal and without the mark is the
    answer of a run.
    """
    if head.find(headers.NOT_RUN) is not None:
        return head.status != _BAD_REQUEST
    return head.status == _MISDIRECTED and head.find(headers.SEAL) is None


def _is_invalid_request(head: messages.ResponseHead) -> bool:
    """Returns whether the request is invalid for all targets."""
    is_marked = head.find(headers.NOT_RUN) is not None
    return is_marked and head.status == _BAD_REQUEST


def relayed_answer(
    answer: Answer,
) -> tuple[int, list[tuple[bytes, bytes]], bytes]:
    """Returns the status, header fields and body that the caller receives."""
    dropped = headers.TARGET_ONLY_FIELDS | {b"content-length"}
    fields = messages.end_to_end(answer.head.headers, dropped)
    return answer.head.status, fields, answer.body
