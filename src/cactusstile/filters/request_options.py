"""Filters that read the callers' marks: deadline, priority, identity."""

from __future__ import annotations

import secrets
import typing

from cactusstile import verdict
from cactusstile.filters import chain
from cactusstile.filters import exchange

if typing.TYPE_CHECKING:
    import collections.abc

PRIORITY_HEADER = "cactusstile-priority"
DEADLINE_HEADER = "cactusstile-deadline-ms"
REPEATABLE_HEADER = "cactusstile-repeatable"
IDEMPOTENCY_HEADER = "idempotency-key"
CALLER_KEY_PREFIX = "c:"
_MARKS = (
    PRIORITY_HEADER,
    DEADLINE_HEADER,
    REPEATABLE_HEADER,
    IDEMPOTENCY_HEADER,
)
MAX_PRIORITY = 100
MAX_DEADLINE_MS = 86_400_000
MAX_IDEMPOTENCY_CHARACTERS = 255
_GENERATED_KEY_BYTES = 16
_MAX_DIGITS = 12


async def read_marks(
    passing: exchange.Exchange, proceed: chain.Handler
) -> None:
    """Reads priority, deadline and repeatability from the headers.

    A mark that comes twice could be read either way, so it is refused.
    """
    headers = passing.headers
    names = [name for name, _ in passing.scope["headers"]]
    for mark in _MARKS:
        if names.count(mark.encode()) > 1:
            raise _bad(f"{mark} is given more than once")
    if PRIORITY_HEADER in headers:
        passing.priority = _parse_integer(
            PRIORITY_HEADER,
            headers[PRIORITY_HEADER],
            -MAX_PRIORITY,
            MAX_PRIORITY,
        )
    if DEADLINE_HEADER in headers:
        left_ms = _parse_integer(
            DEADLINE_HEADER, headers[DEADLINE_HEADER], 1, MAX_DEADLINE_MS
        )
        passing.deadline_s = passing.started_s + left_ms / 1000
    if REPEATABLE_HEADER in headers:
        answer = headers[REPEATABLE_HEADER].strip().lower()
        if answer not in ("yes", "no"):
            raise _bad(f"{REPEATABLE_HEADER} must be 'yes' or 'no'")
        passing.repeatable = answer == "yes"
    await proceed(passing)


async def identify(passing: exchange.Exchange, proceed: chain.Handler) -> None:
    """Sets the request's identity.

    A caller's key and a drawn one never coincide: their prefixes differ.
    """
    given = passing.headers.get(IDEMPOTENCY_HEADER)
    if given is None:
        passing.request_key = "g:" + secrets.token_hex(_GENERATED_KEY_BYTES)
        await proceed(passing)
        return
    if not 0 < len(given) <= MAX_IDEMPOTENCY_CHARACTERS or not (
        given.isascii() and given.isprintable()
    ):
        raise _bad(
            f"Idempotency-Key must be 1 to {MAX_IDEMPOTENCY_CHARACTERS} "
            "printable ASCII characters"
        )
    passing.request_key = CALLER_KEY_PREFIX + given
    await proceed(passing)


def require_confirmed(
    is_ready: collections.abc.Callable[[], bool],
) -> chain.Filter:
    """Returns a filter that refuses all until the configuration is known.

    Until then no workspace and so no claim can be read: a caller's key may
    have run in an earlier attempt.
    """

    async def filter_exchange(
        passing: exchange.Exchange, proceed: chain.Handler
    ) -> None:
        if not is_ready():
            raise _unconfirmed(passing)
        await proceed(passing)

    return filter_exchange


def _unconfirmed(passing: exchange.Exchange) -> verdict.RefusedError:
    message = "this entry has no confirmed configuration yet"
    told = verdict.Verdict.NOT_RUN
    mark = passing.headers.get(REPEATABLE_HEADER, "").strip().lower()
    if IDEMPOTENCY_HEADER in passing.headers and mark != "yes":
        message += "; an earlier attempt with the same key may have run"
        told = verdict.Verdict.MAY_HAVE_RUN
    return verdict.refuse(
        verdict.Reason.STALE_CONFIGURATION,
        message,
        verdict=told,
        retry_after_s=1.0,
    )


def _parse_integer(name: str, text: str, minimum: int, maximum: int) -> int:
    text = text.strip()
    digits = text.removeprefix("-")
    if digits.isascii() and digits.isdecimal() and len(digits) <= _MAX_DIGITS:
        value = int(text)
        if minimum <= value <= maximum:
            return value
    raise _bad(f"{name} must be a whole number from {minimum} to {maximum}")


def _bad(message: str) -> verdict.RefusedError:
    return verdict.refuse(verdict.Reason.BAD_REQUEST, message)
