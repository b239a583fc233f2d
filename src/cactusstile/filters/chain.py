"""Composition of filters into one handler."""

from __future__ import annotations

import collections.abc
import functools
import typing

from cactusstile.filters import exchange

Handler: typing.TypeAlias = collections.abc.Callable[
    [exchange.Exchange], collections.abc.Awaitable[None]
]
Filter: typing.TypeAlias = collections.abc.Callable[
    [exchange.Exchange, Handler], collections.abc.Awaitable[None]
]


def compose(
    filters: collections.abc.Sequence[Filter], handler: Handler
) -> Handler:
    """Returns a handler that applies `filters` in order, then `handler`.

    Each filter either awaits the next handler, which it receives as an
    argument, or refuses the exchange by raising `verdict.RefusedError`.
    """
    composed = handler
    for entry in reversed(filters):
        composed = functools.partial(_apply, entry, composed)
    return composed


async def _apply(
    entry: Filter, call_next: Handler, context: exchange.Exchange
) -> None:
    await entry(context, call_next)
