"""Event loop of a process that looks at what arrived before time runs out."""

from __future__ import annotations

import asyncio
import selectors
import typing

import anyio

if typing.TYPE_CHECKING:
    import collections.abc

    Events = list[tuple[selectors.SelectorKey, int]]


_Result = typing.TypeVar("_Result")


class ArrivalsFirstSelector(selectors.DefaultSelector):
    """Selector that never reports nothing while input waits.

    A wait that is interrupted, as by SIGSTOP and SIGCONT, ends without another
    look at the descriptors once its time is over. The loop would handle all
    timers that expired in the meantime, and close connections whose requests
    or answers have arrived.
    """

    def select(self, timeout: float | None = None) -> Events:
        """Waits for events; see `selectors.BaseSelector.select`."""
        events = super().select(timeout)
        if events or (timeout is not None and timeout <= 0):
            return events
        return super().select(0)


def run(
    main: collections.abc.Callable[..., collections.abc.Awaitable[_Result]],
    *arguments: object,
) -> _Result:
    """Runs `main` with `arguments` in a new event loop; see `anyio.run`."""
    options = {"loop_factory": _create}
    return anyio.run(main, *arguments, backend_options=options)


def _create() -> asyncio.AbstractEventLoop:
    return asyncio.SelectorEventLoop(ArrivalsFirstSelector())
