"""Runs a process on an event loop whose clock includes suspension.

The default clock of an event loop stands still while a VM is suspended. What
was confirmed or measured before would count as new afterwards.
"""

from __future__ import annotations

import asyncio
import typing

import anyio

from cactusstile import clocks

if typing.TYPE_CHECKING:
    import collections.abc

_T = typing.TypeVar("_T")
_Arguments = typing.TypeVarTuple("_Arguments")


class BootTimeLoop(asyncio.SelectorEventLoop):
    """Event loop on the clock of `clocks.boot_s`."""

    def time(self) -> float:
        """Returns seconds since boot, including time in suspension."""
        return clocks.boot_s()


def run(
    main: collections.abc.Callable[
        [typing.Unpack[_Arguments]], collections.abc.Awaitable[_T]
    ],
    *arguments: *_Arguments,
) -> _T:
    """Runs `main` until it returns; as `anyio.run`."""
    return anyio.run(
        main, *arguments, backend_options={"loop_factory": BootTimeLoop}
    )
