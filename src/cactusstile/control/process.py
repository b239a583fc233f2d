"""Runs a control process from start to shutdown."""

from __future__ import annotations

import logging
import typing

import anyio
import attrs

from cactusstile.consensus import exceptions
from cactusstile.consensus import storage_wait
from cactusstile.control import daemon
from cactusstile.control import settings as control_settings

if typing.TYPE_CHECKING:
    from cactusstile.consensus import replica
    from cactusstile.consensus import replica_settings
    from cactusstile.console import signals
    from cactusstile.control import state as states

logger = logging.getLogger(__name__)


@attrs.frozen
class Run:
    """How a run of the replicas ended.

    Attributes:
      failure: Why the data folder cannot be used; empty if it can.
      groups: Names of the groups that the replicas belonged to.
    """

    failure: str
    groups: frozenset[str]


async def run(
    settings: control_settings.ControlSettings, received: signals.Received
) -> None:
    """Serves until a signal requests a stop.

    While the data folder refuses access, the process holds no replica.

    Args:
      settings: Settings of the process.
      received: Signals received by the process.

    Raises:
      StorageError: The data folder is damaged, or used by another process.
      OSError: An address cannot be bound.
    """
    storage = storage_wait.StorageWait()
    groups = [settings.for_group(name) for name in control_settings.GROUPS]
    while True:
        started_s = anyio.current_time()
        run = await _serve(settings, received)
        if not run.failure:
            return
        founded = settings.founded | run.groups
        settings = attrs.evolve(settings, founded=founded)
        logger.error(
            "the data folder cannot be used; the process serves nobody",
            extra={"error": run.failure},
        )
        storage.reset_after(anyio.current_time() - started_s)
        if await _is_stopped_while_waiting(storage, groups, received):
            return


async def _serve(
    settings: control_settings.ControlSettings, received: signals.Received
) -> Run:
    """Serves until a signal or until the data folder cannot be used.

    A failure after the signal is none: the process is about to end.
    """
    ready = anyio.Event()
    stop = anyio.Event()

    async def stop_at_signal() -> None:
        await ready.wait()
        await anext(received)
        stop.set()

    replicas: dict[str, replica.Replica] = {}

    def handle_ready(state: states.ControlState) -> None:
        replicas.update(state.replicas)
        ready.set()

    failure = ""
    try:
        async with anyio.create_task_group() as group:
            group.start_soon(stop_at_signal)
            await daemon.run_control(settings, stop, on_ready=handle_ready)
            group.cancel_scope.cancel()
    except* exceptions.FolderLockedError:
        raise
    except* exceptions.StorageUnavailableError as errors:
        failure = str(storage_wait.find_cause(errors))
    groups = {name for name in replicas if replicas[name].status().group}
    return Run("" if stop.is_set() else failure, frozenset(groups))


async def _is_stopped_while_waiting(
    storage: storage_wait.StorageWait,
    groups: list[replica_settings.ReplicaSettings],
    received: signals.Received,
) -> bool:
    """Waits for the disk or a signal; returns whether a signal came."""
    is_stopped = False

    async with anyio.create_task_group() as group:

        async def stop_at_signal() -> None:
            nonlocal is_stopped
            await anext(received)
            is_stopped = True
            group.cancel_scope.cancel()

        group.start_soon(stop_at_signal)
        await storage.until_usable(groups)
        group.cancel_scope.cancel()
    return is_stopped
