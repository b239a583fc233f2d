"""Runs a registry process from start to shutdown."""

from __future__ import annotations

import logging
import pathlib
import typing

import anyio

from cactusstile.console import signals
from cactusstile.registry import daemon
from cactusstile.registry import redirector
from cactusstile.registry import rejoin
from cactusstile.settings import node
from cactusstile.settings import reload

if typing.TYPE_CHECKING:
    import collections.abc

logger = logging.getLogger(__name__)


async def run(settings: node.NodeSettings, path: pathlib.Path) -> None:
    """Serves until a signal requests shutdown, then transfers leadership.

    A replica that was replaced while it was down discards its data and joins
    the group as a new member. Without a data folder the process holds no
    replica.

    Args:
      settings: Settings of the node.
      path: Settings file, which is watched for changes.
    """
    with signals.receive_from_start() as received:
        if settings.data_folder is None:
            await _redirect(settings, path, received)
            return
        while await _serve(settings, path, received):
            rejoin.discard_replica_data(
                daemon.build_replica_settings(settings).data_folder
            )
    logger.info("stopped")


async def _redirect(
    settings: node.NodeSettings,
    path: pathlib.Path,
    received: signals.Signals,
) -> None:
    """Redirects operators to the leader until shutdown."""
    async with (
        redirector.open_redirector(settings) as opened,
        anyio.create_task_group() as group,
    ):
        logger.info("started without a disk; operators are redirected")
        group.start_soon(reload.watch, path, settings, opened.reload)
        number = await anext(received)
        logger.info("stopping", extra={"signal": int(number)})
        await opened.finish_calls()
        group.cancel_scope.cancel()


async def _serve(
    settings: node.NodeSettings,
    path: pathlib.Path,
    received: signals.Signals,
) -> bool:
    """Serves until shutdown; returns whether the replica was replaced."""
    removed = False
    async with (
        daemon.open_registry(settings) as registry,
        anyio.create_task_group() as group,
    ):
        logger.info("started", extra={"first": settings.first_start})

        async def stop_when(
            wait: collections.abc.Callable[
                [], collections.abc.Awaitable[object]
            ],
        ) -> None:
            nonlocal removed
            await wait()
            removed = wait == registry.wait_until_removed
            group.cancel_scope.cancel()

        async def stop_at_signal() -> None:
            number = await anext(received)
            logger.info("stopping", extra={"signal": int(number)})
            await registry.step_down()
            await registry.finish_calls()

        group.start_soon(reload.watch, path, settings, lambda _: None)
        group.start_soon(stop_when, stop_at_signal)
        group.start_soon(stop_when, registry.wait_until_removed)
    return removed
