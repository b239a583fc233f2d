"""Filters that read request options of the callers from headers.

The options are the deadline, priority, repeatability and idempotency key.
"""

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
_OPTION_HEADERS = (
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


async def read_options(
    context: exchange.Exchange, call_next: chain.Handler
) -> None:
    """Reads priority, deadline and repeatability from the headers.

    A request with a repeated option header is ambiguous and is refused.
    """
    headers = context.headers
    names = [name for name, _ in context.scope["headers"]]
    for option_header in _OPTION_HEADERS:
        if names.count(option_header.encode()) > 1:
            raise _bad_request(f"{option_header} is given more than once")
    if PRIORITY_HEADER in headers:
        context.priority = _parse_integer(
            PRIORITY_HEADER,
            headers[PRIORITY_HEADER],
            -MAX_PRIORITY,
            MAX_PRIORITY,
        )
    if DEADLINE_HEADER in headers:
        remaining_ms = _parse_integer(
            DEADLINE_HEADER, headers[DEADLINE_HEADER], 1, MAX_DEADLINE_MS
        )
        context.deadline_s = context.started_s + remaining_ms / 1000
    if REPEATABLE_HEADER in headers:
        answer = headers[REPEATABLE_HEADER].strip().lower()
        if answer not in ("yes", "no"):
            raise _bad_request(f"{REPEATABLE_HEADER} must be 'yes' or 'no'")
        context.repeatable = answer == "yes"
    await call_next(context)


async def set_request_key(
    context: exchange.Exchange, call_next: chain.Handler
) -> None:
    """Sets the request key from the idempotency key, or generates one.

    Different prefixes prevent collisions of callers' keys and generated keys.
    """
    caller_key = context.headers.get(IDEMPOTENCY_HEADER)
    if caller_key is None:
        context.request_key = "g:" + secrets.token_hex(_GENERATED_KEY_BYTES)
        await call_next(context)
        return
    if not 0 < len(caller_key) <= MAX_IDEMPOTENCY_CHARACTERS or not (
        caller_key.isascii() and caller_key.isprintable()
    ):
        raise _bad_request(
            f"Idempotency-Key must be 1 to {MAX_IDEMPOTENCY_CHARACTERS} "
            "printable ASCII characters"
        )
    context.request_key = CALLER_KEY_PREFIX + caller_key
    await call_next(context)


def require_confirmed(
    is_ready: collections.abc.Callable[[], bool],
) -> chain.Filter:
    """Returns a filter that refuses requests without a configuration in force.

    Without a configuration neither the workspace nor the claim of a caller's
    key can be read, so an earlier attempt with the key may have run.
    """

    async def filter_exchange(
        context: exchange.Exchange, call_next: chain.Handler
    ) -> None:
        if not is_ready():
            raise unconfirmed(
                context, "this entry has no confirmed configuration yet"
            )
        await call_next(context)

    return filter_exchange


def unconfirmed(
    context: exchange.Exchange, message: str
) -> verdict.RefusedError:
    """Returns a refusal for lack of a configuration.

    Whether an earlier attempt with the caller's key has run is not known.
    """
    request_verdict = verdict.Verdict.NOT_RUN
    repeatable_option = (
        context.headers.get(REPEATABLE_HEADER, "").strip().lower()
    )
    if IDEMPOTENCY_HEADER in context.headers and repeatable_option != "yes":
        message += "; an earlier attempt with the same key may have run"
        request_verdict = verdict.Verdict.MAY_HAVE_RUN
    return verdict.refuse(
        verdict.Reason.STALE_CONFIGURATION,
        message,
        verdict=request_verdict,
        retry_after_s=1.0,
    )


def _parse_integer(name: str, text: str, minimum: int, maximum: int) -> int:
    text = text.strip()
    digits = text.removeprefix("-")
    if digits.isascii() and digits.isdecimal() and len(digits) <= _MAX_DIGITS:
        value = int(text)
        if minimum <= value <= maximum:
            return value
    raise _bad_request(
        f"{name} must be a whole number from {minimum} to {maximum}"
    )


def _bad_request(message: str) -> verdict.RefusedError:
    return verdict.refuse(verdict.Reason.BAD_REQUEST, message)
