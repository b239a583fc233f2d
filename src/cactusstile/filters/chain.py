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
    """Returns a handler that passes an exchange through `filters` in order.

    Each filter awaits the handler that it is given, or refuses the exchange
    by raising `verdict.RefusedError`.
    """
    composed = handler
    for entry in reversed(filters):
        composed = functools.partial(_apply, entry, composed)
    return composed


async def _apply(
    entry: Filter, proceed: Handler, passing: exchange.Exchange
) -> None:
    await entry(passing, proceed)
