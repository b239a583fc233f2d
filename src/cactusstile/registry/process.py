"""Runs a registry process from start to shutdown."""

from __future__ import annotations

import contextlib
import functools
import logging
import pathlib
import typing

import anyio
import attrs

from cactusstile.consensus import exceptions
from cactusstile.consensus import storage_wait
from cactusstile.console import signals
from cactusstile.registry import daemon
from cactusstile.registry import redirector
from cactusstile.registry import rejoin
from cactusstile.settings import node
from cactusstile.settings import reload

if typing.TYPE_CHECKING:
    import collections.abc

    from cactusstile.consensus import replica_settings

logger = logging.getLogger(__name__)


@attrs.define
class Run:
    """How a run of a replica ended.

    Attributes:
      stopping: Whether a signal has requested shutdown.
      replaced: Whether the replica was replaced and must discard its data.
      failure: Why the data folder cannot be used; empty if it can.
      has_group: Whether the group exists, for all that this process knows; it
        must not found another one with an empty folder.
    """

    has_group: bool = False
    stopping: bool = False
    replaced: bool = False
    failure: str = ""


async def run(settings: node.NodeSettings, path: pathlib.Path) -> None:
    """Serves until a signal requests shutdown, then transfers leadership.

    A replica that was replaced while it was down discards its data and joins
    the group as a new member. While the data folder refuses access, and without
    a data folder, the process holds no replica.

    Args:
      settings: Settings of the node.
      path: Settings file, which is watched for changes.

    Raises:
      StorageError: The data folder is damaged or belongs to another replica.
    """
    with signals.receive_from_start() as received:
        if settings.data_folder is None:
            logger.info("started without a disk; operators are redirected")
            await _redirect(settings, path, received, anyio.sleep_forever)
        else:
            await _run_replica(settings, path, received)
    logger.info("stopped")


async def _run_replica(
    settings: node.NodeSettings,
    path: pathlib.Path,
    received: signals.Signals,
) -> None:
    """Serves until shutdown, with a pause whenever the disk refuses access."""
    config = daemon.build_replica_settings(settings)
    storage = storage_wait.StorageWait()
    outcome = Run()
    while True:
        started_s = anyio.current_time()
        outcome = Run(outcome.has_group)
        await _serve(settings, path, received, outcome)
        if outcome.replaced:
            outcome.failure = _discard_data(config)
        if outcome.stopping:
            return
        if not outcome.failure:
            continue
        logger.error(
            "the data folder cannot be used; operators are redirected",
            extra={"error": outcome.failure},
        )
        storage.reset_after(anyio.current_time() - started_s)
        wait = functools.partial(storage.until_usable, [config])
        if not await _redirect(settings, path, received, wait):
            return


def _discard_data(config: replica_settings.ReplicaSettings) -> str:
    """Discards the data; returns why it cannot, empty if it was done."""
    try:
        rejoin.discard_replica_data(config.data_folder)
    except OSError as error:
        return str(error)
    return ""


async def _redirect(
    settings: node.NodeSettings,
    path: pathlib.Path,
    received: signals.Signals,
    wait: collections.abc.Callable[[], collections.abc.Awaitable[None]],
) -> bool:
    """Redirects operators to the leader until shutdown or until `wait` ends.

    Returns:
      Whether `wait` ended before a signal requested shutdown.
    """
    is_stopping = False
    has_ended = False
    async with (
        redirector.open_redirector(settings) as opened,
        anyio.create_task_group() as group,
    ):

        async def stop_at_signal() -> None:
            nonlocal is_stopping
            number = await anext(received)
            is_stopping = True
            logger.info("stopping", extra={"signal": int(number)})
            await opened.finish_calls()
            group.cancel_scope.cancel()

        group.start_soon(reload.watch, path, settings, opened.reload)
        group.start_soon(stop_at_signal)
        await wait()
        if not is_stopping:
            has_ended = True
            group.cancel_scope.cancel()
    return has_ended


async def _serve(
    settings: node.NodeSettings,
    path: pathlib.Path,
    received: signals.Signals,
    outcome: Run,
) -> None:
    """Serves until shutdown or until the replica has to end."""
    try:
        await _serve_replica(settings, path, received, outcome)
    except* exceptions.StorageUnavailableError as group:
        outcome.failure = str(storage_wait.find_cause(group))


@contextlib.asynccontextmanager
async def _note_group(
    registry: daemon.Registry, outcome: Run
) -> collections.abc.AsyncIterator[None]:
    """Notes at the end of the context whether the group exists."""
    try:
        yield
    finally:
        if registry.replica.status().group:
            outcome.has_group = True


async def _serve_replica(
    settings: node.NodeSettings,
    path: pathlib.Path,
    received: signals.Signals,
    outcome: Run,
) -> None:
    may_found = settings.first_start and not outcome.has_group
    opened = attrs.evolve(settings, first_start=may_found)
    async with (
        daemon.open_registry(opened) as registry,
        _note_group(registry, outcome),
        anyio.create_task_group() as group,
    ):
        logger.info("started", extra={"first": settings.first_start})

        async def stop_when(
            wait: collections.abc.Callable[
                [], collections.abc.Awaitable[object]
            ],
        ) -> None:
            await wait()
            outcome.replaced = wait == registry.wait_until_removed
            group.cancel_scope.cancel()

        async def stop_at_signal() -> None:
            number = await anext(received)
            outcome.stopping = True
            logger.info("stopping", extra={"signal": int(number)})
            await registry.step_down()
            await registry.finish_calls()

        group.start_soon(reload.watch, path, settings, registry.apply)
        group.start_soon(stop_when, stop_at_signal)
        group.start_soon(stop_when, registry.wait_until_removed)
