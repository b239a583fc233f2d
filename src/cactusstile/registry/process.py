"""Runs a registry process from its start to its end."""

from __future__ import annotations

import logging
import pathlib

import anyio

from cactusstile.console import signals
from cactusstile.registry import daemon
from cactusstile.settings import node
from cactusstile.settings import reload

logger = logging.getLogger(__name__)


async def run(settings: node.NodeSettings, path: pathlib.Path) -> None:
    """Serves until a signal asks for a stop, then hands leadership over."""
    with signals.receive() as received:
        async with (
            daemon.open_registry(settings) as registry,
            anyio.create_task_group() as group,
        ):
            logger.info("started", extra={"first": settings.first_start})
            group.start_soon(reload.watch, path, settings, lambda _: None)
            number = await anext(received)
            logger.info("stopping", extra={"signal": int(number)})
            await registry.hand_over()
            group.cancel_scope.cancel()
    logger.info("stopped")
