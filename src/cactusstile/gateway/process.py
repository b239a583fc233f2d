"""Runs a gateway process from start to shutdown."""

from __future__ import annotations

import logging
import pathlib

import anyio

from cactusstile.console import signals
from cactusstile.gateway import daemon
from cactusstile.gateway import lifecycle
from cactusstile.settings import node
from cactusstile.settings import reload

logger = logging.getLogger(__name__)

# Time in which the datagrams of the hand-over leave.
HAND_OVER_S = 0.05


async def run(settings: node.NodeSettings, path: pathlib.Path) -> None:
    """Serves until a signal requests a stop, then drains."""
    with signals.receive_from_start() as received:
        async with (
            daemon.open_gateway(settings) as gateway,
            anyio.create_task_group() as group,
        ):
            logger.info("started", extra={"first": settings.first_start})

            def apply(changed: node.NodeSettings) -> None:
                gateway.watch.seeds = changed.internal_seeds

            group.start_soon(reload.watch, path, settings, apply)
            number = await anext(received)
            late_s = received.late_s()
            logger.info(
                "stopping",
                extra={"signal": int(number), "late_ms": round(1000 * late_s)},
            )
            sent_s = anyio.current_time() - late_s
            gateway.forwarder.stop_at_s = (
                sent_s + settings.stop_s - lifecycle.RESERVE_S
            )
            await gateway.lifecycle.drain(
                gateway.serving, settings.stop_s, late_s
            )
            gateway.forwarder.directory.hand_over()
            await anyio.sleep(HAND_OVER_S)
            group.cancel_scope.cancel()
    logger.info("stopped")
