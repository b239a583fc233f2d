"""Outermost filter: converts refusals to HTTP error responses."""

from __future__ import annotations

import json
import logging
import math
import typing

from cactusstile import verdict
from cactusstile.filters import chain
from cactusstile.filters import exceptions
from cactusstile.filters import exchange

if typing.TYPE_CHECKING:
    import collections.abc

logger = logging.getLogger(__name__)

VERDICT_HEADER = b"cactusstile-verdict"
STATUSES = {
    verdict.Reason.BAD_REQUEST: 400,
    verdict.Reason.UNAUTHENTICATED: 401,
    verdict.Reason.UNKNOWN_MODEL: 404,
    verdict.Reason.UNKNOWN_ROUTE: 404,
    verdict.Reason.TOO_LARGE: 413,
    verdict.Reason.OVERLOADED: 429,
    verdict.Reason.DEADLINE_EXCEEDED: 504,
    verdict.Reason.TARGET_LEAVING: 503,
    verdict.Reason.TARGET_LOST: 502,
    verdict.Reason.NO_TARGET: 503,
    verdict.Reason.VERSION_CHANGED: 503,
    verdict.Reason.DUPLICATE: 409,
    verdict.Reason.STALE_CONFIGURATION: 503,
    verdict.Reason.CONTROL_UNAVAILABLE: 503,
    verdict.Reason.QUARANTINED: 503,
    verdict.Reason.SHUTTING_DOWN: 503,
    verdict.Reason.INTERNAL: 500,
}
_ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    404: "invalid_request_error",
    409: "conflict_error",
    413: "invalid_request_error",
    429: "rate_limit_error",
}


def error_body(refusal: verdict.Refusal) -> bytes:
    """Returns the JSON error object for `refusal`."""
    status = STATUSES[refusal.reason]
    error: dict[str, object] = {
        "message": refusal.message,
        "type": _ERROR_TYPES.get(status, "server_error"),
        "param": None,
        "code": refusal.reason.value,
        "verdict": refusal.verdict.value,
    }
    if refusal.retry_after_s > 0:
        error["retry_after_s"] = refusal.retry_after_s
    return json.dumps({"error": error}).encode()


def error_headers(
    refusal: verdict.Refusal, *, repeatable: bool
) -> list[tuple[bytes, bytes]]:
    """Returns the headers of an error response for `refusal`.

    Common client libraries evaluate `x-should-retry`. It is "false" if a retry
    cannot succeed, or if it might run a non-repeatable request twice.
    """
    headers = [
        exchange.JSON_TYPE,
        (VERDICT_HEADER, refusal.verdict.value.encode()),
    ]
    not_run = refusal.verdict is verdict.Verdict.NOT_RUN
    should_retry = refusal.retry_after_s > 0 and (not_run or repeatable)
    headers.append((b"x-should-retry", str(should_retry).lower().encode()))
    if refusal.retry_after_s > 0:
        seconds = max(1, math.ceil(refusal.retry_after_s))
        headers.append((b"retry-after", str(seconds).encode()))
    if refusal.reason is verdict.Reason.UNAUTHENTICATED:
        headers.append((b"www-authenticate", b"Bearer"))
    return headers


def answer_refusals(
    count_refusal: collections.abc.Callable[
        [exchange.Exchange, verdict.Refusal], None
    ],
) -> chain.Filter:
    """Returns a filter that sends error responses.

    It handles refusals and unexpected errors; the latter are logged.
    """

    async def filter_exchange(
        context: exchange.Exchange, call_next: chain.Handler
    ) -> None:
        try:
            await call_next(context)
            return
        except verdict.RefusedError as error:
            refusal = error.refusal
        except exceptions.CallerLeftError:
            raise
        except Exception:
            logger.exception("request failed because of an internal error")
            refusal = verdict.Refusal(
                verdict.Verdict.MAY_HAVE_RUN,
                verdict.Reason.INTERNAL,
                "internal error; the entry's log tells more",
            )
        count_refusal(context, refusal)
        if context.status:
            raise verdict.RefusedError(refusal)
        repeatable = context.repeatable is not False
        headers = error_headers(refusal, repeatable=repeatable)
        status = STATUSES[refusal.reason]
        await context.answer(status, error_body(refusal), headers)

    return filter_exchange
